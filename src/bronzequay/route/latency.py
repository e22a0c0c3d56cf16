"""Recent latencies of a service, from which the hedging delay follows."""

from __future__ import annotations

import collections

WINDOW_SAMPLES = 256
MIN_SAMPLES = 20
QUANTILE = 0.95
REFRESH_EVERY_SAMPLES = 16
INITIAL_P95_S = 0.5
MIN_P95_S = 0.005


class Latency:
    """The 95th percentile of the latencies of recent answers.

    It is recomputed once every ``REFRESH_EVERY_SAMPLES`` answers.
    """

    def __init__(self) -> None:
        self._samples_s: collections.deque[float] = collections.deque(maxlen=WINDOW_SAMPLES)
        self._samples_since_refresh = 0
        self._p95_s = INITIAL_P95_S

    def record(self, run_s: float) -> None:
        """Record the latency of an answer.

        :param run_s: seconds from sending the request to the complete answer
        """
        self._samples_s.append(run_s)
        self._samples_since_refresh += 1
        if (
            self._samples_since_refresh >= REFRESH_EVERY_SAMPLES
            and len(self._samples_s) >= MIN_SAMPLES
        ):
            self._samples_since_refresh = 0
            ordered = sorted(self._samples_s)
            self._p95_s = max(MIN_P95_S, ordered[int(len(ordered) * QUANTILE)])

    def p95_s(self) -> float:
        """Return the 95th percentile in seconds."""
        return self._p95_s


__all__ = ["INITIAL_P95_S", "Latency"]
