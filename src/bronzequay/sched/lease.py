"""The lease of the active scheduler of a partition."""

from __future__ import annotations

import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.sched import ports

TTL_S = 2.5
RENEW_S = 0.8
POLL_S = 0.4
ABSENT = ids.Revision(0)


class Holder(msgspec.Struct, frozen=True):
    """Value of the lease key.

    :param address: mesh address of the instance
    :param epoch: epoch of its takeover, 0 while the takeover goes on
    """

    instance: ids.InstanceId
    address: str
    epoch: ids.Epoch


class Held:
    """A lease that this instance holds, or held.

    :param lease: the store's id of the lease
    :param rev: revision of the lease key
    :param valid_until_s: runtime clock up to which nobody else can hold the key
    """

    def __init__(self, lease: ids.LeaseId, rev: ids.Revision, valid_until_s: float) -> None:
        self.lease = lease
        self.rev = rev
        self.valid_until_s = valid_until_s

    @property
    def is_valid(self) -> bool:
        """Return whether the lease is certainly still held."""
        return trio.current_time() < self.valid_until_s


def key(partition: ids.RegionId) -> str:
    """Return the lease key of a partition's scheduler."""
    return f"part/{partition}/scheduler"


async def read_holder(
    store: ports.Store, partition: ids.RegionId
) -> tuple[Holder, ids.Revision] | None:
    """Read who holds the partition's lease.

    :param store: the platform's service
    :param partition: the partition
    :return: the holder and the key's revision, None when nobody does
    """
    entry = await store.get(key(partition), purpose=ports.Purpose.LEASE)
    if entry is None:
        return None
    return msgspec.json.decode(entry.value, type=Holder), entry.rev


async def campaign(store: ports.Store, partition: ids.RegionId, holder: Holder) -> Held:
    """Wait until this instance holds the partition's lease.

    :param store: the platform's service
    :param partition: the partition
    :param holder: what the key says of this instance
    :return: the lease
    """
    while True:
        try:
            held = await _try(store, partition, holder)
        except* errors.BronzequayError:
            held = None
        if held is not None:
            return held
        await trio.sleep(POLL_S)


async def _try(store: ports.Store, partition: ids.RegionId, holder: Holder) -> Held | None:
    if await store.get(key(partition), purpose=ports.Purpose.LEASE) is not None:
        return None
    sent_s = trio.current_time()
    held = Held(await store.grant(TTL_S), ABSENT, sent_s + TTL_S)
    value = msgspec.json.encode(holder)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep, store, held)
            held.rev = await store.put(
                key(partition), value, rev=ABSENT, purpose=ports.Purpose.LEASE, lease=held.lease
            )
            nursery.cancel_scope.cancel()
    except* errors.BronzequayError as group:
        await release(store, held.lease)
        raise first_error(group) from None
    return held


def first_error(group: BaseExceptionGroup[errors.BronzequayError]) -> errors.BronzequayError:
    """Return the first error of a nursery.

    :param group: what the nursery raised
    """
    found: BaseException = group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    assert isinstance(found, errors.BronzequayError)  # noqa: S101  # the type of the group
    return found


async def publish(store: ports.Store, partition: ids.RegionId, held: Held, holder: Holder) -> None:
    """Tell the epoch in the lease key; the takeover is complete.

    :param store: the platform's service
    :param partition: the partition
    :param held: the lease, whose revision is updated
    :param holder: the new value
    """
    value = msgspec.json.encode(holder)
    while True:
        try:
            held.rev = await store.put(
                key(partition), value, rev=held.rev, purpose=ports.Purpose.LEASE, lease=held.lease
            )
        except errors.BronzequayError as exc:
            if not ports.is_unanswered(exc) and not await _is_published(
                store, partition, held, value
            ):
                raise errors.BronzequayError(codes.ResultCode.LEASE_LOST, "another holder") from exc
            await trio.sleep(POLL_S)
            continue
        return


async def _is_published(
    store: ports.Store, partition: ids.RegionId, held: Held, value: bytes
) -> bool:
    entry = await store.get(key(partition), purpose=ports.Purpose.LEASE)
    if entry is None or entry.value != value:
        return False
    held.rev = entry.rev
    return True


async def keep(store: ports.Store, held: Held) -> None:
    """Renew a lease until it is lost.

    :param store: the platform's service
    :param held: the lease, whose validity is updated
    :raises errors.BronzequayError: LEASE_LOST
    """
    async with trio.open_nursery() as nursery:
        while True:
            nursery.start_soon(_renew, store, held)
            await trio.sleep(RENEW_S)


async def _renew(store: ports.Store, held: Held) -> None:
    """Renew once; renewals overlap, so that a slow store does not end the lease."""
    sent_s = trio.current_time()
    with trio.move_on_after(TTL_S) as scope:
        try:
            await store.renew(held.lease)
        except errors.BronzequayError as exc:
            if not ports.is_unanswered(exc):
                raise errors.BronzequayError(codes.ResultCode.LEASE_LOST, exc.message) from exc
            return
    if not scope.cancelled_caught:
        held.valid_until_s = max(held.valid_until_s, sent_s + TTL_S)


async def release(store: ports.Store, lease: ids.LeaseId) -> None:
    """Give a lease up so that another instance can take over at once.

    :param store: the platform's service
    :param lease: the lease
    """
    with trio.move_on_after(RENEW_S, shield=True):
        try:
            await store.revoke(lease)
        except errors.BronzequayError:
            return


__all__ = [
    "Held",
    "Holder",
    "campaign",
    "first_error",
    "keep",
    "key",
    "publish",
    "read_holder",
    "release",
]
