"""The lease that makes one instance the scheduler, and for how long it may trust it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import clock, codes, errors, ids
from bronzequay.control import keys
from bronzequay.platform import kv

if TYPE_CHECKING:
    from bronzequay.platform.kv import Store

TTL_S = 2.0
"""Time until a dead scheduler is replaced; a slow store takes 0.25 s for a renewal."""
RENEWALS_PER_TTL = 3
WATCH_S = 5.0
"""Wait of one watch of the lease's key; other instances watch it too."""
RETRY_S = 0.3

_log = structlog.get_logger()


class Leader(msgspec.Struct, frozen=True, array_like=True):
    """Who holds the lease.

    :param address: ``IP:PORT`` of its own interface, empty when it has none
    """

    instance: ids.InstanceId
    lease: int
    address: str = ""


class Held:
    """A lease that this instance holds.

    :ivar epoch: rises from term to term; fences every order
    """

    def __init__(self, lease: int, ttl_s: float, epoch: ids.Epoch, sent_s: float) -> None:
        self.lease = lease
        self.ttl_s = ttl_s
        self.epoch = epoch
        self._trusted_until_s = sent_s + ttl_s
        self.is_lost = False

    @property
    def is_trusted(self) -> bool:
        """Return whether no other instance can hold the lease now."""
        return not self.is_lost and clock.boot_s() < self._trusted_until_s

    def extend(self, sent_s: float) -> None:
        """Trust the lease from when its renewal was sent."""
        self._trusted_until_s = max(self._trusted_until_s, sent_s + self.ttl_s)


async def campaign(
    store: Store,
    instance: ids.InstanceId,
    *,
    ttl_s: float,
    address: str = "",
    delay_s: float = 0.0,
    is_restart: bool = False,
) -> Held:
    """Wait until no instance holds the lease, and take it.

    :param address: ``IP:PORT`` of the instance's own interface
    :param is_restart: whether a lease in this instance's name is of a process that has ended
    :param delay_s: head start that other instances get
    """
    is_first = is_restart
    while True:
        try:
            found = await store.get(keys.LEADER)
            if found is not None and is_first:
                await _end_own_earlier(store, instance, found.value)
            is_first = False
            if found is not None:
                await _wait_until_free(store, found.seen_rev)
            await trio.sleep(delay_s)
            held = await _take(store, instance, ttl_s, address)
            if held is not None:
                return held
        except errors.BronzequayError as exc:
            _log.info("campaign_failed", error=str(exc))
            await trio.sleep(RETRY_S)


async def _end_own_earlier(store: Store, instance: ids.InstanceId, value: bytes | None) -> None:
    """End the lease of an earlier process of this instance, which cannot be alive."""
    try:
        leader = msgspec.msgpack.decode(value or b"", type=Leader)
    except msgspec.MsgspecError:
        _log.warning("leader_unreadable")
        return
    if leader.instance == instance:
        _log.info("earlier_lease_ended", lease=leader.lease)
        await store.revoke(leader.lease)


async def _take(store: Store, instance: ids.InstanceId, ttl_s: float, address: str) -> Held | None:
    sent_s = clock.boot_s()
    granted = await store.grant(ttl_s)
    leader = msgspec.msgpack.encode(Leader(instance, granted.lease, address))
    put = kv.Put(keys.LEADER, leader, granted.lease)
    try:
        rev = await store.txn(expect=[(keys.LEADER, kv.ABSENT)], puts=[put])
    except kv.Conflict:
        return None
    return Held(granted.lease, granted.ttl_s, ids.Epoch(rev), sent_s)


async def _wait_until_free(store: Store, rev: ids.Revision) -> None:
    while True:
        changes = await store.watch(keys.LEADER, after=rev, wait_s=WATCH_S)
        if changes.items and changes.items[-1].value is None:
            return
        rev = changes.rev


async def keep(store: Store, held: Held) -> None:
    """Renew the lease until it is lost.

    :raises errors.BronzequayError: LEASE_LOST
    """
    pause_s = held.ttl_s / RENEWALS_PER_TTL
    while True:
        await trio.sleep(pause_s)
        sent_s = clock.boot_s()
        try:
            await store.renew(held.lease, timeout_s=pause_s)
        except errors.BronzequayError as exc:
            if exc.code is codes.ResultCode.LEASE_LOST:
                held.is_lost = True
                raise
            _log.warning("renewal_failed", epoch=held.epoch, error=str(exc))
            pause_s = RETRY_S
        else:
            held.extend(sent_s)
            pause_s = held.ttl_s / RENEWALS_PER_TTL


async def release(store: Store, held: Held) -> None:
    """End the lease, so that another instance takes over at once."""
    held.is_lost = True
    with trio.move_on_after(1.0, shield=True):
        try:
            await store.revoke(held.lease)
        except errors.BronzequayError as exc:
            _log.info("release_failed", epoch=held.epoch, error=str(exc))


__all__ = ["TTL_S", "Held", "campaign", "keep", "release"]
