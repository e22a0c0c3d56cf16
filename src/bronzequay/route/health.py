"""Which executors take no new work: ejected after failures, or leaving by their own word."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay import ids

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

FAILURES_TO_EJECT = 3
MIN_CALLERS_TO_EJECT = 2
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_SHARE = 0.5
RECHECK_LEAVING_S = 2.0


class Record(msgspec.Struct):
    """What is known of one executor.

    :param failures: consecutive failures
    :param run_failures: consecutive failures of runs, as opposed to connections
    :param callers: callers whose runs failed, since the last success
    :param ejections: ejections since the last success
    :param ejected_until_s: end of the ejection; none when in service
    :param leaving_since_s: when it was last known to leave by its own word
    """

    failures: int = 0
    run_failures: int = 0
    callers: set[ids.CallerId] = msgspec.field(default_factory=set)
    ejections: int = 0
    ejected_until_s: float | None = None
    leaving_since_s: float | None = None


class Health:
    """Records of the listed executors.

    :param on_change: called when the closed executors change
    :param clock: the time in seconds
    """

    def __init__(
        self,
        *,
        on_change: Callable[[Collection[ids.ExecutorId]], None],
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._on_change = on_change
        self._clock = clock
        self._records: dict[ids.ExecutorId, Record] = {}

    def set_listed(self, executors: Collection[ids.ExecutorId]) -> None:
        """Keep records of these executors only."""
        self._records = {name: self._records.get(name, Record()) for name in executors}
        while len(self._ejected()) > self._max_ejected():
            soonest = min(self._ejected(), key=self._until)
            self._records[soonest].ejected_until_s = None
        self._on_change(self.closed())

    def closed(self) -> frozenset[ids.ExecutorId]:
        """Return the executors that take no new work."""
        return frozenset(
            name
            for name, record in self._records.items()
            if record.ejected_until_s is not None or record.leaving_since_s is not None
        )

    def due(self) -> list[ids.ExecutorId]:
        """Return the closed executors that are to be asked about themselves now."""
        now_s = self._clock()
        return [
            name
            for name, record in self._records.items()
            if (record.ejected_until_s is not None and record.ejected_until_s <= now_s)
            or (
                record.leaving_since_s is not None
                and record.leaving_since_s + RECHECK_LEAVING_S <= now_s
            )
        ]

    def note_success(self, executor: ids.ExecutorId) -> None:
        """Count an answer of a run."""
        record = self._records.get(executor)
        if record is None or not record.failures:
            return
        record.failures = 0
        record.run_failures = 0
        record.ejections = 0
        record.callers.clear()

    def note_connection_failure(self, executor: ids.ExecutorId) -> None:
        """Count a connection refused or cut, or a refusal to run."""
        self._note_failure(executor, caller=None)

    def note_run_failure(self, executor: ids.ExecutorId, caller: ids.CallerId) -> None:
        """Count a failed run; one caller's failures alone are not held against an executor."""
        self._note_failure(executor, caller=caller)

    def note_silence(self, executor: ids.ExecutorId) -> None:
        """Eject an executor that does not answer a question about itself."""
        record = self._records.get(executor)
        if record is not None:
            record.failures = max(record.failures, FAILURES_TO_EJECT)
            self._eject(record)

    def note_leaving(self, executor: ids.ExecutorId) -> None:
        """Close an executor that says that it leaves."""
        record = self._records.get(executor)
        if record is None:
            return
        is_news = record.leaving_since_s is None
        record.leaving_since_s = self._clock()
        if is_news:
            self._on_change(self.closed())

    def note_live(self, executor: ids.ExecutorId) -> None:
        """Reopen an executor that described itself as live, on trial if it was ejected."""
        record = self._records.get(executor)
        if record is None:
            return
        was_closed = record.leaving_since_s is not None or record.ejected_until_s is not None
        record.leaving_since_s = None
        if record.ejected_until_s is not None and record.ejected_until_s <= self._clock():
            record.ejected_until_s = None
            record.failures = FAILURES_TO_EJECT - 1
        if was_closed:
            self._on_change(self.closed())

    def dump(self) -> dict[str, object]:
        """Return the records that differ from new ones."""
        return {
            name: {
                "failures": record.failures,
                "ejections": record.ejections,
                "ejected_for_s": self._left_s(record),
                "leaving": record.leaving_since_s is not None,
            }
            for name, record in self._records.items()
            if record != Record()
        }

    def _note_failure(self, executor: ids.ExecutorId, *, caller: ids.CallerId | None) -> None:
        record = self._records.get(executor)
        if record is None:
            return
        record.failures += 1
        if caller is not None:
            record.run_failures += 1
            if len(record.callers) < MIN_CALLERS_TO_EJECT:
                record.callers.add(caller)
        if self._is_bad(record):
            self._eject(record)

    def _is_bad(self, record: Record) -> bool:
        if record.failures - record.run_failures >= FAILURES_TO_EJECT:
            return True
        if record.ejections and record.failures >= FAILURES_TO_EJECT:
            return True
        enough = record.failures >= FAILURES_TO_EJECT
        return enough and len(record.callers) >= MIN_CALLERS_TO_EJECT

    def _eject(self, record: Record) -> None:
        now_s = self._clock()
        if record.ejected_until_s is None and len(self._ejected()) >= self._max_ejected():
            return
        if record.ejected_until_s is not None and record.ejected_until_s > now_s:
            return
        for_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**record.ejections)
        record.ejected_until_s = now_s + for_s
        record.ejections += 1
        self._on_change(self.closed())

    def _ejected(self) -> list[ids.ExecutorId]:
        return [name for name, record in self._records.items() if record.ejected_until_s]

    def _max_ejected(self) -> int:
        return int(len(self._records) * MAX_EJECTED_SHARE)

    def _until(self, executor: ids.ExecutorId) -> float:
        return self._records[executor].ejected_until_s or 0.0

    def _left_s(self, record: Record) -> float | None:
        if record.ejected_until_s is None:
            return None
        return max(0.0, record.ejected_until_s - self._clock())


__all__ = ["FAILURES_TO_EJECT", "FIRST_EJECTION_S", "MAX_EJECTION_S", "Health"]
