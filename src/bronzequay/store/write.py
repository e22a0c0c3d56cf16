"""One compare-and-swap write, through lost answers and retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes, errors
from bronzequay.store import entries, history, retry, wire

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bronzequay import ids

_RETRIED = frozenset(
    {
        codes.ResultCode.STORE_TIMEOUT,
        codes.ResultCode.STORE_UNAVAILABLE,
        codes.ResultCode.STORE_BUDGET,
    }
)
_FINAL_REFUSALS = frozenset({codes.ResultCode.LEASE_LOST, codes.ResultCode.VALUE_TOO_LARGE})


def _lost_race(key: str) -> errors.BronzequayError:
    return wire.refusal(409, key)


_FINAL = {history.Verdict.LOST_RACE: _lost_race, history.Verdict.UNKNOWN: wire.unknown}


def is_retried(exc: errors.BronzequayError) -> bool:
    """Tell whether a later attempt may succeed."""
    return exc.code in _RETRIED


class Write:
    """A write of one key at one revision.

    Attempts repeat the same write id, so that at most one of them takes effect. Once an
    attempt's outcome is unknown, the key is read back before anything else is decided.

    :param attempt: makes one attempt
    :param wires: the store's calls, to read back
    :param step: this write's id and the revision that it replaces
    :param is_deletion: a key found absent counts as deleted by this write
    """

    def __init__(
        self,
        attempt: Callable[[wire.Call], Awaitable[ids.Revision]],
        *,
        wires: wire.Wire,
        key: str,
        step: history.Step,
        tries: retry.Tries,
        call: wire.Call,
        is_deletion: bool = False,
    ) -> None:
        self._attempt = attempt
        self._wire = wires
        self._key = key
        self._step = step
        self._tries = tries
        self._call = call
        self._is_deletion = is_deletion
        self._seen_rev = wires.seen_rev
        self._is_unsure = False

    async def run(self) -> ids.Revision:
        """Write.

        :return: the write's revision
        :raises BronzequayError: STORE_TIMEOUT: unknown; any other: not written
        """
        while True:
            try:
                return await self._attempt(self._call)
            except errors.BronzequayError as exc:
                error = exc
            self._is_unsure |= error.code is codes.ResultCode.STORE_TIMEOUT
            if not self._is_unsure:
                await self._go_on(error)
                continue
            verdict, rev = await self._settle()
            if rev is not None:
                return rev
            if verdict in _FINAL:
                raise _FINAL[verdict](self._key)
            if verdict is history.Verdict.OPEN and error.code in _FINAL_REFUSALS:
                raise error
            await self._tries.pause(wire.unknown(self._key))

    async def _go_on(self, error: errors.BronzequayError) -> None:
        """Wait for another attempt after one that surely had no effect."""
        if not is_retried(error):
            raise error
        await self._tries.pause(error)

    async def _settle(self) -> tuple[history.Verdict | None, ids.Revision | None]:
        """Read back; no verdict when the store cannot be read."""
        try:
            return await self._read_back()
        except errors.BronzequayError:
            return None, None

    async def _read_back(self) -> tuple[history.Verdict, ids.Revision | None]:
        record = await self._wire.get(self._key, self._call)
        if self._is_deletion and record.value is None:
            return history.Verdict.HAPPENED, entries.ABSENT
        verdict, rev = history.judge(self._step, record.steps, record.rev)
        if verdict is history.Verdict.OPEN and self._step.base == entries.ABSENT:
            return await self._judge_absence(), None
        return verdict, rev

    async def _judge_absence(self) -> history.Verdict:
        """Tell a key never created from one created and deleted since."""
        _, records = await self._wire.watch(
            self._key, after=self._seen_rev, wait_s=0.0, call=self._call
        )
        if any(record.key == self._key for record in records):
            return history.Verdict.UNKNOWN
        return history.Verdict.OPEN


__all__ = ["Write", "is_retried"]
