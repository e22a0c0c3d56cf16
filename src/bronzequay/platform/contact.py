"""Tells in the log when the store is lost, slow or back; a line for each change."""

from __future__ import annotations

import structlog
import trio

SLOW_S = 0.1
"""A call takes 4 ms; this much longer delays what callers see."""
REPORT_S = 2.0
"""Least time between two lines about slow calls."""

_log = structlog.get_logger()


class Contact:
    """What one instance knows of its contact with the store.

    :ivar lost_s: since when no call has been answered, None while calls are
    """

    def __init__(self) -> None:
        self.lost_s: float | None = None
        self._failures = 0
        self._slow = 0
        self._slowest_s = 0.0
        self._reported_s = float("-inf")

    def note_failure(self, call: str, why: str) -> None:
        """Note a call that was refused or not answered."""
        self._failures += 1
        if self.lost_s is None:
            self.lost_s = trio.current_time()
            _log.warning("store_lost", call=call, why=why)

    def note_answer(self, call: str, took_s: float) -> None:
        """Note an answered call."""
        if self.lost_s is not None:
            away_s = trio.current_time() - self.lost_s
            _log.info("store_regained", away_s=round(away_s, 3), failures=self._failures)
            self.lost_s, self._failures = None, 0
        if took_s > SLOW_S:
            self._note_slow(call, took_s)

    def _note_slow(self, call: str, took_s: float) -> None:
        self._slow += 1
        self._slowest_s = max(self._slowest_s, took_s)
        if trio.current_time() - self._reported_s < REPORT_S:
            return
        _log.warning("store_slow", call=call, calls=self._slow, slowest_s=round(self._slowest_s, 3))
        self._reported_s = trio.current_time()
        self._slow, self._slowest_s = 0, 0.0


__all__ = ["Contact"]
