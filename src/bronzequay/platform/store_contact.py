"""Tracks whether the store answers, and restarts hanging watches once it answers again."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import structlog
import trio

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bronzequay.net import client

MIN_OUTAGE_S = 0.3
"""Time without an answer from which waiting watches are restarted; one lost answer, repeated after
0.1 s, is no outage."""
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
        self._answered_s = self._failed_s = float("-inf")
        self._watches: dict[trio.CancelScope, tuple[float, client.Transfer]] = {}
        self._failures = 0
        self._slow_calls = 0
        self._slowest_s = 0.0
        self._last_slow_log_s = float("-inf")

    def has_answered_within(self, age_s: float) -> bool:
        """Return whether the latest call was answered, and at most ``age_s`` seconds ago."""
        return self.lost_since_s is None and trio.current_time() - self._answered_s <= age_s

    def has_failed_for(self, duration_s: float) -> bool:
        """Return whether all calls have failed, the first and the latest ``duration_s`` apart."""
        return self.lost_since_s is not None and self._failed_s - self.lost_since_s >= duration_s

    @contextlib.contextmanager
    def watch_scope(self, transfer: client.Transfer) -> Iterator[trio.CancelScope]:
        """Cancel a watch that is still waiting when the store answers again after an outage.

        A connection that went silent in the outage may never deliver the watch's answer.

        :param transfer: its answer, which is not waited for any more once it has begun to arrive
        """
        with trio.CancelScope() as scope:
            self._watches[scope] = (trio.current_time(), transfer)
            try:
                yield scope
            finally:
                del self._watches[scope]

    def record_failure(self, call: str, why: str) -> None:
        """Record a call that was refused or not answered."""
        self._failures += 1
        self._failed_s = trio.current_time()
        if self.lost_since_s is None:
            self.lost_since_s = trio.current_time()
            _log.warning("store_lost", call=call, why=why)

    def record_answer(self, call: str, elapsed_s: float) -> None:
        """Record an answered call.

        :param elapsed_s: seconds from the request to its answer
        """
        self._answered_s = trio.current_time()
        if self.lost_since_s is not None:
            outage_s = trio.current_time() - self.lost_since_s
            if outage_s >= MIN_OUTAGE_S:
                self._cancel_watches(begun_before_s=trio.current_time() - elapsed_s)
            _log.info("store_regained", away_s=round(outage_s, 3), failures=self._failures)
            self.lost_since_s, self._failures = None, 0
        if elapsed_s > SLOW_CALL_S:
            self._record_slow_call(call, elapsed_s)

    def _cancel_watches(self, *, begun_before_s: float) -> None:
        for scope, (begun_s, transfer) in self._watches.items():
            if begun_s < begun_before_s and not transfer.received_bytes:
                scope.cancel()

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
