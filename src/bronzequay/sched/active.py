"""Where the partition's active scheduler is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors
from bronzequay.sched import lease

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.sched import ports

RETRY_AFTER_S = 1.0
ABSENCE_S = 0.25


class Active:
    """Mesh address of the active scheduler, read from its lease key and remembered.

    :param store: the platform's service
    :param partition: the partition
    """

    def __init__(self, *, store: ports.Store, partition: ids.RegionId) -> None:
        self._store = store
        self._partition = partition
        self._address: str | None = None
        self._absent_until_s = 0.0

    async def address(self) -> str:
        """Return the address.

        :raises errors.BronzequayError: NO_SCHEDULER
        """
        if self._address is None:
            self._address = await self._read()
        return self._address

    def forget(self) -> None:
        """Read the address anew next time; it did not answer, or is active no longer."""
        self._address = None

    async def _read(self) -> str:
        if trio.current_time() < self._absent_until_s:
            raise _no_scheduler("no scheduler is active")
        self._absent_until_s = trio.current_time() + ABSENCE_S
        try:
            found = await lease.read_holder(self._store, self._partition)
        except errors.BronzequayError as exc:
            raise _no_scheduler("the store does not answer") from exc
        if found is None:
            raise _no_scheduler("no scheduler is active")
        self._absent_until_s = 0.0
        return found[0].address


def _no_scheduler(reason: str) -> errors.BronzequayError:
    return errors.BronzequayError(
        codes.ResultCode.NO_SCHEDULER, f"not run: {reason}", retry_after_s=RETRY_AFTER_S
    )


__all__ = ["Active"]
