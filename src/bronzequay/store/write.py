"""One compare-and-swap write, retried so that it takes effect at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes, errors
from bronzequay.store import entries, history, retry, wire

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bronzequay import ids

_RETRIABLE = frozenset(
    {
        codes.ResultCode.STORE_TIMEOUT,
        codes.ResultCode.STORE_UNAVAILABLE,
        codes.ResultCode.STORE_BUDGET,
    }
)
_PERMANENT_REFUSALS = frozenset({codes.ResultCode.LEASE_LOST, codes.ResultCode.VALUE_TOO_LARGE})


def _conflict_error(key: str) -> errors.BronzequayError:
    return wire.status_error(409, key)


_FINAL_ERRORS = {
    history.Verdict.LOST_RACE: _conflict_error,
    history.Verdict.UNKNOWN: wire.unknown_outcome,
}


def is_retriable(exc: errors.BronzequayError) -> bool:
    """Return whether a later attempt may succeed after this error."""
    return exc.code in _RETRIABLE


class Write:
    """A write of one key at one revision.

    All attempts have the same write id, so that at most one of them takes effect. Once the
    outcome of an attempt is unknown, the key is read back after every failed attempt.

    :param attempt: makes one attempt
    :param wire_client: makes the calls that read the key back
    :param key: the key to write
    :param write_entry: id of this write and the revision that it replaces
    :param backoff: deadline of the write and pauses between its attempts
    :param call: subject, purpose and deadline of the calls
    :param is_deletion: whether an absent key counts as deleted by this write
    """

    def __init__(
        self,
        attempt: Callable[[wire.Call], Awaitable[ids.Revision]],
        *,
        wire_client: wire.WireClient,
        key: str,
        write_entry: history.WriteEntry,
        backoff: retry.Backoff,
        call: wire.Call,
        is_deletion: bool = False,
    ) -> None:
        self._attempt = attempt
        self._wire = wire_client
        self._key = key
        self._write_entry = write_entry
        self._backoff = backoff
        self._call = call
        self._is_deletion = is_deletion
        self._start_rev = wire_client.max_seen_rev
        self._is_outcome_unknown = False

    async def run(self) -> ids.Revision:
        """Attempt the write until its outcome is known or its deadline passes.

        :return: the revision of the write
        :raises BronzequayError: STORE_TIMEOUT: outcome unknown; any other: not written
        """
        while True:
            try:
                return await self._attempt(self._call)
            except errors.BronzequayError as exc:
                error = exc
            self._is_outcome_unknown |= error.code is codes.ResultCode.STORE_TIMEOUT
            if not self._is_outcome_unknown:
                await self._wait_or_raise(error)
                continue
            verdict, rev = await self._try_read_back()
            if rev is not None:
                return rev
            if verdict in _FINAL_ERRORS:
                raise _FINAL_ERRORS[verdict](self._key)
            if verdict is history.Verdict.OPEN and error.code in _PERMANENT_REFUSALS:
                raise error
            await self._backoff.wait(wire.unknown_outcome(self._key))

    async def _wait_or_raise(self, error: errors.BronzequayError) -> None:
        """Wait for the next attempt after one that had no effect; raise a permanent error."""
        if not is_retriable(error):
            raise error
        await self._backoff.wait(error)

    async def _try_read_back(self) -> tuple[history.Verdict | None, ids.Revision | None]:
        """Read the key back; the verdict is None if the store cannot be read."""
        try:
            return await self._read_back()
        except errors.BronzequayError:
            return None, None

    async def _read_back(self) -> tuple[history.Verdict, ids.Revision | None]:
        record = await self._wire.get(self._key, self._call)
        if self._is_deletion and record.value is None:
            return history.Verdict.HAPPENED, entries.ABSENT
        verdict, rev = history.judge_write(self._write_entry, record.writes, record.rev)
        if verdict is history.Verdict.OPEN and self._write_entry.base_rev == entries.ABSENT:
            return await self._check_absence(), None
        return verdict, rev

    async def _check_absence(self) -> history.Verdict:
        """Distinguish a key that was never created from one created and deleted since."""
        _, records = await self._wire.watch(
            self._key, after=self._start_rev, wait_s=0.0, call=self._call
        )
        if any(record.key == self._key for record in records):
            return history.Verdict.UNKNOWN
        return history.Verdict.OPEN


__all__ = ["Write", "is_retriable"]
