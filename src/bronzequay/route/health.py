"""Health of executors by their outcomes: ejection after failures, and leaving executors.

Ejection works like a circuit breaker: an executor that fails gets no requests for a time that
doubles with each ejection up to ``MAX_EJECTION_S``, and is then readmitted on trial.
"""

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


class ExecutorRecord(msgspec.Struct):
    """Health of one executor.

    :param failures: consecutive failures
    :param run_failures: consecutive failed runs, as opposed to connection failures
    :param failed_callers: callers whose runs failed since the last success; at most
        ``MIN_CALLERS_TO_EJECT``
    :param ejections: ejections since the last success
    :param ejected_until_s: end of the ejection; none if not ejected
    :param leaving_since_s: time of the last report that the executor is leaving; none if it is not
    """

    failures: int = 0
    run_failures: int = 0
    failed_callers: set[ids.CallerId] = msgspec.field(default_factory=set)
    ejections: int = 0
    ejected_until_s: float | None = None
    leaving_since_s: float | None = None


class Health:
    """Health of the listed executors.

    :param on_change: called with the unavailable executors when they change
    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        *,
        on_change: Callable[[Collection[ids.ExecutorId]], None],
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._on_change = on_change
        self._clock = clock
        self._records: dict[ids.ExecutorId, ExecutorRecord] = {}

    def set_listed(self, executors: Collection[ids.ExecutorId]) -> None:
        """Set the listed executors; records of others are removed.

        If more than ``MAX_EJECTED_SHARE`` of them are ejected, those whose ejection ends first
        are readmitted.
        """
        self._records = {name: self._records.get(name, ExecutorRecord()) for name in executors}
        while len(self._ejected()) > self._max_ejected():
            earliest = min(self._ejected(), key=self._ejection_end_s)
            self._records[earliest].ejected_until_s = None
        self._on_change(self.unavailable())

    def unavailable(self) -> frozenset[ids.ExecutorId]:
        """Return the executors that are ejected or leaving."""
        return frozenset(
            name
            for name, record in self._records.items()
            if record.ejected_until_s is not None or record.leaving_since_s is not None
        )

    def due_for_probe(self) -> list[ids.ExecutorId]:
        """Return the unavailable executors that are due for a probe."""
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

    def record_success(self, executor: ids.ExecutorId) -> None:
        """Record a successful run."""
        record = self._records.get(executor)
        if record is None or not record.failures:
            return
        record.failures = 0
        record.run_failures = 0
        record.ejections = 0
        record.failed_callers.clear()

    def record_connection_failure(self, executor: ids.ExecutorId) -> None:
        """Record a refused or broken connection, or a refused request."""
        self._record_failure(executor, caller=None)

    def record_run_failure(self, executor: ids.ExecutorId, caller: ids.CallerId) -> None:
        """Record a failed run.

        Failed runs of one caller alone eject an executor only if it was ejected since its last
        success.
        """
        self._record_failure(executor, caller=caller)

    def record_probe_failure(self, executor: ids.ExecutorId) -> None:
        """Eject an executor whose probe failed."""
        record = self._records.get(executor)
        if record is not None:
            record.failures = max(record.failures, FAILURES_TO_EJECT)
            self._eject(record)

    def record_leaving(self, executor: ids.ExecutorId) -> None:
        """Record that an executor reports that it is leaving."""
        record = self._records.get(executor)
        if record is None:
            return
        is_newly_leaving = record.leaving_since_s is None
        record.leaving_since_s = self._clock()
        if is_newly_leaving:
            self._on_change(self.unavailable())

    def record_live(self, executor: ids.ExecutorId) -> None:
        """Readmit an executor that described itself as live.

        An ejected executor returns only after its ejection has ended, and on trial: one more
        failure ejects it again.
        """
        record = self._records.get(executor)
        if record is None:
            return
        was_unavailable = record.leaving_since_s is not None or record.ejected_until_s is not None
        record.leaving_since_s = None
        if record.ejected_until_s is not None and record.ejected_until_s <= self._clock():
            record.ejected_until_s = None
            record.failures = FAILURES_TO_EJECT - 1
        if was_unavailable:
            self._on_change(self.unavailable())

    def dump(self) -> dict[str, object]:
        """Return the records that differ from a new one, for the operators' state dump."""
        return {
            name: {
                "failures": record.failures,
                "ejections": record.ejections,
                "ejected_for_s": self._remaining_s(record),
                "leaving": record.leaving_since_s is not None,
            }
            for name, record in self._records.items()
            if record != ExecutorRecord()
        }

    def _record_failure(self, executor: ids.ExecutorId, *, caller: ids.CallerId | None) -> None:
        record = self._records.get(executor)
        if record is None:
            return
        record.failures += 1
        if caller is not None:
            record.run_failures += 1
            if len(record.failed_callers) < MIN_CALLERS_TO_EJECT:
                record.failed_callers.add(caller)
        if self._should_eject(record):
            self._eject(record)

    def _should_eject(self, record: ExecutorRecord) -> bool:
        if record.failures - record.run_failures >= FAILURES_TO_EJECT:
            return True
        if record.ejections and record.failures >= FAILURES_TO_EJECT:
            return True
        has_enough_failures = record.failures >= FAILURES_TO_EJECT
        return has_enough_failures and len(record.failed_callers) >= MIN_CALLERS_TO_EJECT

    def _eject(self, record: ExecutorRecord) -> None:
        now_s = self._clock()
        if record.ejected_until_s is None and len(self._ejected()) >= self._max_ejected():
            return
        if record.ejected_until_s is not None and record.ejected_until_s > now_s:
            return
        duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**record.ejections)
        record.ejected_until_s = now_s + duration_s
        record.ejections += 1
        self._on_change(self.unavailable())

    def _ejected(self) -> list[ids.ExecutorId]:
        return [name for name, record in self._records.items() if record.ejected_until_s]

    def _max_ejected(self) -> int:
        return int(len(self._records) * MAX_EJECTED_SHARE)

    def _ejection_end_s(self, executor: ids.ExecutorId) -> float:
        return self._records[executor].ejected_until_s or 0.0

    def _remaining_s(self, record: ExecutorRecord) -> float | None:
        if record.ejected_until_s is None:
            return None
        return max(0.0, record.ejected_until_s - self._clock())


__all__ = ["FAILURES_TO_EJECT", "FIRST_EJECTION_S", "MAX_EJECTION_S", "Health"]
