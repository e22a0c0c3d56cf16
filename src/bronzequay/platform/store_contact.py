"""Logs when the store becomes unreachable, reachable again, or slow."""

from __future__ import annotations

import structlog
import trio

SLOW_CALL_S = 0.1
"""A call usually takes 4 ms; from here on callers notice the delay."""
SLOW_LOG_INTERVAL_S = 2.0
"""Shortest time between two log lines about slow calls."""

_log = structlog.get_logger()


class StoreContact:
    """Tracks whether the store answers this instance, and how fast.

    :ivar lost_since_s: time since which no call has been answered, None while calls are answered
    """

    def __init__(self) -> None:
        self.lost_since_s: float | None = None
        self._failures = 0
        self._slow_calls = 0
        self._slowest_s = 0.0
        self._last_slow_log_s = float("-inf")

    def record_failure(self, call: str, why: str) -> None:
        """Record a call that was refused or not answered."""
        self._failures += 1
        if self.lost_since_s is None:
            self.lost_since_s = trio.current_time()
            _log.warning("store_lost", call=call, why=why)

    def record_answer(self, call: str, elapsed_s: float) -> None:
        """Record an answered call.

        :param elapsed_s: seconds from the request to its answer
        """
        if self.lost_since_s is not None:
            outage_s = trio.current_time() - self.lost_since_s
            _log.info("store_regained", away_s=round(outage_s, 3), failures=self._failures)
            self.lost_since_s, self._failures = None, 0
        if elapsed_s > SLOW_CALL_S:
            self._record_slow_call(call, elapsed_s)

    def _record_slow_call(self, call: str, elapsed_s: float) -> None:
        self._slow_calls += 1
        self._slowest_s = max(self._slowest_s, elapsed_s)
        if trio.current_time() - self._last_slow_log_s < SLOW_LOG_INTERVAL_S:
            return
        _log.warning(
            "store_slow", call=call, calls=self._slow_calls, slowest_s=round(self._slowest_s, 3)
        )
        self._last_slow_log_s = trio.current_time()
        self._slow_calls, self._slowest_s = 0, 0.0


__all__ = ["StoreContact"]
