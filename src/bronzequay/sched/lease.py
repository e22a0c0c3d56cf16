"""The lease of the active scheduler of a partition."""

from __future__ import annotations

import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.sched import ports

TTL_S = 2.5
RENEW_INTERVAL_S = 0.8
POLL_INTERVAL_S = 0.4
ABSENT_REVISION = ids.Revision(0)


class Holder(msgspec.Struct, frozen=True):
    """Value of the lease key.

    :param instance: id of the instance that holds the lease
    :param address: mesh address of the instance
    :param epoch: epoch of its takeover, 0 until the takeover is complete
    """

    instance: ids.InstanceId
    address: str
    epoch: ids.Epoch


class HeldLease:
    """A lease that this instance has been granted and may have lost since.

    :param lease_id: the store's id of the lease
    :param rev: revision of the lease key
    :param valid_until_s: time on the runtime's clock until which no other instance can hold the key
    """

    def __init__(self, lease_id: ids.LeaseId, rev: ids.Revision, valid_until_s: float) -> None:
        self.lease_id = lease_id
        self.rev = rev
        self.valid_until_s = valid_until_s

    @property
    def is_valid(self) -> bool:
        """Return whether the lease is certainly still held."""
        return trio.current_time() < self.valid_until_s


def lease_key(partition: ids.RegionId) -> str:
    """Return the store key of the lease of a partition's scheduler."""
    return f"part/{partition}/scheduler"


async def read_holder(
    store: ports.Store, partition: ids.RegionId
) -> tuple[Holder, ids.Revision] | None:
    """Read which instance holds the partition's lease.

    :param store: client of the platform's store
    :param partition: id of the partition
    :return: the holder and the key's revision, None if the lease is free
    """
    entry = await store.get(lease_key(partition), purpose=ports.Purpose.LEASE)
    if entry is None:
        return None
    return msgspec.json.decode(entry.value, type=Holder), entry.rev


async def campaign(store: ports.Store, partition: ids.RegionId, holder: Holder) -> HeldLease:
    """Wait until this instance holds the partition's lease.

    :param store: client of the platform's store
    :param partition: id of the partition
    :param holder: value of the lease key for this instance
    :return: the lease
    """
    while True:
        try:
            held_lease = await _try_acquire(store, partition, holder)
        except* errors.BronzequayError:
            held_lease = None
        if held_lease is not None:
            return held_lease
        await trio.sleep(POLL_INTERVAL_S)


async def _try_acquire(
    store: ports.Store, partition: ids.RegionId, holder: Holder
) -> HeldLease | None:
    if await store.get(lease_key(partition), purpose=ports.Purpose.LEASE) is not None:
        return None
    sent_s = trio.current_time()
    held_lease = HeldLease(await store.grant(TTL_S), ABSENT_REVISION, sent_s + TTL_S)
    value = msgspec.json.encode(holder)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(renew_until_lost, store, held_lease)
            held_lease.rev = await store.put(
                lease_key(partition),
                value,
                rev=ABSENT_REVISION,
                purpose=ports.Purpose.LEASE,
                lease=held_lease.lease_id,
            )
            nursery.cancel_scope.cancel()
    except* errors.BronzequayError as group:
        await release(store, held_lease.lease_id)
        raise first_error(group) from None
    return held_lease


def first_error(group: BaseExceptionGroup[errors.BronzequayError]) -> errors.BronzequayError:
    """Return the first error of a group.

    :param group: exception group that a nursery raised
    """
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, errors.BronzequayError)  # noqa: S101  # the type of the group
    return error


async def publish_holder(
    store: ports.Store, partition: ids.RegionId, held_lease: HeldLease, holder: Holder
) -> None:
    """Write the epoch to the lease key, once the takeover is complete.

    :param store: client of the platform's store
    :param partition: id of the partition
    :param held_lease: the lease; its revision is updated
    :param holder: new value of the lease key
    :raises errors.BronzequayError: LEASE_LOST
    """
    value = msgspec.json.encode(holder)
    while True:
        try:
            held_lease.rev = await store.put(
                lease_key(partition),
                value,
                rev=held_lease.rev,
                purpose=ports.Purpose.LEASE,
                lease=held_lease.lease_id,
            )
        except errors.BronzequayError as exc:
            if not ports.is_unanswered(exc) and not await _is_published(
                store, partition, held_lease, value
            ):
                raise errors.BronzequayError(
                    codes.ResultCode.LEASE_LOST, "the lease key was written by another instance"
                ) from exc
            await trio.sleep(POLL_INTERVAL_S)
            continue
        return


async def _is_published(
    store: ports.Store, partition: ids.RegionId, held_lease: HeldLease, value: bytes
) -> bool:
    entry = await store.get(lease_key(partition), purpose=ports.Purpose.LEASE)
    if entry is None or entry.value != value:
        return False
    held_lease.rev = entry.rev
    return True


async def renew_until_lost(store: ports.Store, held_lease: HeldLease) -> None:
    """Renew a lease until it is lost.

    :param store: client of the platform's store
    :param held_lease: the lease; its validity is updated
    :raises errors.BronzequayError: LEASE_LOST
    """
    async with trio.open_nursery() as nursery:
        while True:
            nursery.start_soon(_renew, store, held_lease)
            await trio.sleep(RENEW_INTERVAL_S)


async def _renew(store: ports.Store, held_lease: HeldLease) -> None:
    """Renew once; renewals overlap, so that slow answers of the store do not lose the lease."""
    sent_s = trio.current_time()
    with trio.move_on_after(TTL_S) as scope:
        try:
            await store.renew(held_lease.lease_id)
        except errors.BronzequayError as exc:
            if not ports.is_unanswered(exc):
                raise errors.BronzequayError(codes.ResultCode.LEASE_LOST, exc.message) from exc
            return
    if not scope.cancelled_caught:
        held_lease.valid_until_s = max(held_lease.valid_until_s, sent_s + TTL_S)


async def release(store: ports.Store, lease_id: ids.LeaseId) -> None:
    """Revoke a lease so that another instance can take over immediately.

    :param store: client of the platform's store
    :param lease_id: id of the lease
    """
    with trio.move_on_after(RENEW_INTERVAL_S, shield=True):
        try:
            await store.revoke(lease_id)
        except errors.BronzequayError:
            return


__all__ = [
    "HeldLease",
    "Holder",
    "campaign",
    "first_error",
    "lease_key",
    "publish_holder",
    "read_holder",
    "release",
    "renew_until_lost",
]
