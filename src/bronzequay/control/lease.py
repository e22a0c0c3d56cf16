"""The leader lease, which makes one instance the scheduler and bounds how long it is trusted."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import clock, codec, codes, errors, ids
from bronzequay.control import keys
from bronzequay.platform import kv

if TYPE_CHECKING:
    from bronzequay.platform.kv import Store

TTL_S = 2.0
"""Time to live of the leader lease, after which a failed scheduler is replaced. A slow store takes
0.25 s for a renewal."""
RENEWALS_PER_TTL = 3
WATCH_S = 5.0
"""Longest wait of one watch call on the lease's key; other instances watch it too."""
RETRY_S = 0.3
CALL_TIMEOUT_S = 0.6
"""Timeout of a call of the campaign; a slow store takes 0.25 s."""
MAX_UNCONFIRMED_S = 60.0
"""Longest time without the store's confirmation of the lease for which the scheduler renews run
leases, so that outages of up to a minute end no run. A later term that has no other proof waits for
as long before it takes the work of workers out of its reach for lost."""

_log = structlog.get_logger()


class LeaderRecord(msgspec.Struct, frozen=True, array_like=True):
    """Holder of the leader lease, as stored under the lease's key.

    :param lease_id: the store's id of the lease
    :param address: ``IP:PORT`` of the instance's own interface, empty when it has none
    """

    instance: ids.InstanceId
    lease_id: int
    address: str = ""


class LeaderLease:
    """The leader lease while this instance holds it.

    :param lease_id: the store's id of the lease
    :param sent_s: boot clock when the grant was requested
    :param instance: this instance
    :param address: ``IP:PORT`` of its own interface
    :ivar epoch: increases from term to term; fences every order
    :ivar requested_s: boot clock when the grant was requested
    :ivar confirmed_s: boot clock when the latest renewal that was answered was sent
    :ivar is_lost: whether the lease was released or the store has ended it
    """

    def __init__(  # noqa: PLR0917
        self,
        lease_id: int,
        ttl_s: float,
        epoch: ids.Epoch,
        sent_s: float,
        instance: ids.InstanceId,
        address: str,
    ) -> None:
        self.lease_id = lease_id
        self.ttl_s = ttl_s
        self.epoch = epoch
        self.instance, self.address = instance, address
        self.requested_s = self.confirmed_s = sent_s
        self.is_lost = False

    @property
    def is_trusted(self) -> bool:
        """Return whether no other instance can hold the lease now."""
        return not self.is_lost and clock.boot_s() < self.confirmed_s + self.ttl_s

    def extend(self, sent_s: float) -> None:
        """Trust the lease for its time to live from when its renewal was sent."""
        self.confirmed_s = max(self.confirmed_s, sent_s)


async def campaign(
    store: Store,
    instance: ids.InstanceId,
    *,
    ttl_s: float,
    address: str = "",
    delay_s: float = 0.0,
    is_restart: bool = False,
) -> LeaderLease:
    """Wait until no instance holds the leader lease, then acquire it.

    :param address: ``IP:PORT`` of the instance's own interface
    :param delay_s: wait before each attempt, so that other instances go first
    :param is_restart: whether a lease under this instance's name belongs to an ended process
    """
    may_revoke_own = is_restart
    while True:
        try:
            item = await store.get(keys.LEADER, timeout_s=CALL_TIMEOUT_S)
            if item is not None and may_revoke_own:
                await _revoke_own_earlier(store, instance, item.value)
            may_revoke_own = False
            if item is not None:
                await _wait_until_free(store, item.seen_rev)
            await trio.sleep(delay_s)
            acquired = await _try_acquire(store, instance, ttl_s, address)
            if acquired is not None:
                return acquired
        except errors.BronzequayError as exc:
            _log.info("campaign_failed", error=str(exc))
            await trio.sleep(RETRY_S)


async def _revoke_own_earlier(store: Store, instance: ids.InstanceId, value: bytes | None) -> None:
    """Revoke the lease of an earlier process of this instance, which cannot be running."""
    try:
        leader = codec.from_msgpack(value or b"", LeaderRecord)
    except msgspec.MsgspecError:
        _log.warning("leader_unreadable")
        return
    if leader.instance == instance:
        _log.info("earlier_lease_ended", lease=leader.lease_id)
        await store.revoke(leader.lease_id)


async def _try_acquire(
    store: Store, instance: ids.InstanceId, ttl_s: float, address: str
) -> LeaderLease | None:
    """Acquire the leader lease; return None when another instance was first.

    A write whose answer is lost has succeeded if the key then holds this lease.
    """
    sent_s = clock.boot_s()
    granted = await store.grant(ttl_s, timeout_s=CALL_TIMEOUT_S)
    leader = msgspec.msgpack.encode(LeaderRecord(instance, granted.lease, address))
    put = kv.Put(keys.LEADER, leader, granted.lease)
    try:
        rev = await store.txn(
            expect=[(keys.LEADER, kv.ABSENT)], puts=[put], timeout_s=CALL_TIMEOUT_S
        )
    except kv.Conflict:
        return None
    except errors.BronzequayError as exc:
        item = await store.get(keys.LEADER, timeout_s=CALL_TIMEOUT_S)
        if item is None or item.value != leader:
            raise
        _log.info("lease_write_unanswered", lease=granted.lease, error=str(exc))
        rev = item.rev
    return LeaderLease(granted.lease, granted.ttl_s, ids.Epoch(rev), sent_s, instance, address)


async def _wait_until_free(store: Store, rev: ids.Revision) -> None:
    while True:
        changes = await store.watch(keys.LEADER, after=rev, wait_s=WATCH_S)
        if changes.items and changes.items[-1].value is None:
            return
        rev = changes.rev


async def renew_until_lost(store: Store, leader_lease: LeaderLease) -> None:
    """Renew the lease until it is lost.

    :raises errors.BronzequayError: LEASE_LOST
    """
    pause_s = leader_lease.ttl_s / RENEWALS_PER_TTL
    while True:
        await trio.sleep(pause_s)
        sent_s = clock.boot_s()
        try:
            await store.renew(leader_lease.lease_id, timeout_s=pause_s)
        except errors.BronzequayError as exc:
            if exc.code is codes.ResultCode.LEASE_LOST:
                leader_lease.is_lost = True
                raise
            _log.warning("renewal_failed", epoch=leader_lease.epoch, error=str(exc))
            pause_s = RETRY_S
        else:
            leader_lease.extend(sent_s)
            pause_s = leader_lease.ttl_s / RENEWALS_PER_TTL


async def release(store: Store, leader_lease: LeaderLease) -> None:
    """Revoke the lease, so that another instance can take over without waiting for its expiry."""
    leader_lease.is_lost = True
    with trio.move_on_after(1.0, shield=True):
        try:
            await store.revoke(leader_lease.lease_id)
        except errors.BronzequayError as exc:
            _log.info("release_failed", epoch=leader_lease.epoch, error=str(exc))


__all__ = ["TTL_S", "LeaderLease", "campaign", "release", "renew_until_lost"]
