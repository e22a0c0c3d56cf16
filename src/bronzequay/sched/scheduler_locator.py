"""Locates the active scheduler of a partition."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors
from bronzequay.sched import lease

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.sched import ports

RETRY_AFTER_S = 1.0
ABSENCE_CACHE_S = 0.25


class SchedulerLocator:
    """Reads the mesh address of the active scheduler from its lease key and caches it.

    :param store: client of the platform's store
    :param partition: id of the partition
    """

    def __init__(self, *, store: ports.Store, partition: ids.RegionId) -> None:
        self._store = store
        self._partition = partition
        self._address: str | None = None
        self._absent_until_s = 0.0

    async def address(self) -> str:
        """Return the mesh address of the active scheduler.

        :raises errors.BronzequayError: NO_SCHEDULER
        """
        if self._address is None:
            self._address = await self._read_address()
        return self._address

    def invalidate(self) -> None:
        """Drop the cached address: its instance did not answer or is not the active scheduler."""
        self._address = None

    async def _read_address(self) -> str:
        if trio.current_time() < self._absent_until_s:
            raise _no_scheduler_error("no scheduler is active")
        self._absent_until_s = trio.current_time() + ABSENCE_CACHE_S
        try:
            holder_and_rev = await lease.read_holder(self._store, self._partition)
        except errors.BronzequayError as exc:
            raise _no_scheduler_error("the store does not answer") from exc
        if holder_and_rev is None:
            raise _no_scheduler_error("no scheduler is active")
        self._absent_until_s = 0.0
        return holder_and_rev[0].address


def _no_scheduler_error(reason: str) -> errors.BronzequayError:
    return errors.BronzequayError(
        codes.ResultCode.NO_SCHEDULER, f"not run: {reason}", retry_after_s=RETRY_AFTER_S
    )


__all__ = ["SchedulerLocator"]
