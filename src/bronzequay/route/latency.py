"""Recent run times of a service, for timeouts that follow its speed."""

from __future__ import annotations

import collections

WINDOW = 256
MIN_SAMPLES = 20
QUANTILE = 0.95
REFRESH_EVERY = 16
INITIAL_P95_S = 0.5
MIN_P95_S = 0.005


class Latency:
    """The 95th percentile of the last answers' times."""

    def __init__(self) -> None:
        self._samples_s: collections.deque[float] = collections.deque(maxlen=WINDOW)
        self._unseen = 0
        self._p95_s = INITIAL_P95_S

    def add(self, run_s: float) -> None:
        """Count an answer.

        :param run_s: seconds from sending to the whole answer
        """
        self._samples_s.append(run_s)
        self._unseen += 1
        if self._unseen >= REFRESH_EVERY and len(self._samples_s) >= MIN_SAMPLES:
            self._unseen = 0
            ordered = sorted(self._samples_s)
            self._p95_s = max(MIN_P95_S, ordered[int(len(ordered) * QUANTILE)])

    def p95_s(self) -> float:
        """Return the 95th percentile in seconds."""
        return self._p95_s


__all__ = ["INITIAL_P95_S", "Latency"]
