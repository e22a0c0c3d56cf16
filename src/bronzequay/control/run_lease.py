"""What the scheduler believes of the run lease on one incarnation of a worker."""

from __future__ import annotations

import enum

from bronzequay import clock

RUN_LEASE_S = 5.0
"""Lease of running tasks. It is longer than a takeover, about 3 s; lost work restarts only after it
has expired."""
MIN_CLOCK_RATE = 0.98
"""Lowest rate of a worker's clock relative to this instance's."""
MAX_ORDER_DELAY_S = 15.0
"""Time after which an unanswered order can no longer take effect; delays of up to 12 s occur."""


class Basis(enum.Enum):
    """The call that the believed end of a lease rests on.

    EARLIER_TERM: a renewal that an earlier term may have sent just before this term's first call.
    EARLIER_LIFE: a call to an earlier incarnation that this one may carry out.
    """

    NONE = "none"
    START = "start"
    RENEWAL = "renewal"
    EARLIER_TERM = "earlier_term"
    EARLIER_LIFE = "earlier_life"


class RunLease:
    """Latest end of the run lease that one incarnation of a worker may hold, on its own clock.

    The worker kills all its runs when its lease ends. Which lease it holds cannot be queried.
    """

    def __init__(self) -> None:
        self._clock_ms: float | None = None
        self._read_s = 0.0
        self._end_ms = 0.0
        self._basis = Basis.NONE

    @property
    def is_clock_known(self) -> bool:
        """Return whether the worker's clock has been read."""
        return self._clock_ms is not None

    def clock_ms(self) -> float:
        """Return the present time on the worker's clock if it runs at the rate of ours."""
        assert self._clock_ms is not None  # noqa: S101  # set by the first listing
        return self._clock_ms + (clock.boot_s() - self._read_s) * 1000

    def read_clock(self, clock_ms: float) -> None:
        """Note the worker's clock in an answer that has just arrived."""
        self._clock_ms = clock_ms
        self._read_s = clock.boot_s()

    def end_if_granted_now_ms(self) -> float:
        """Return the end of a lease that begins now, on the worker's clock."""
        return self.clock_ms() + RUN_LEASE_S * 1000

    def extend(self, end_ms: float, basis: Basis) -> None:
        """Count a lease that the worker may have granted.

        :param end_ms: its end, on the worker's clock
        """
        if end_ms > self._end_ms:
            self._end_ms, self._basis = end_ms, basis

    def has_expired(self) -> bool:
        """Return whether the lease has certainly expired; False while the clock is unknown."""
        if self._clock_ms is None:
            return False
        passed_s = (clock.boot_s() - self._read_s) * MIN_CLOCK_RATE
        return self._clock_ms + passed_s * 1000 > self._end_ms

    def describe(self) -> dict[str, object]:
        """Return what the log states of the lease; times are on the worker's clock."""
        clock_s = None if self._clock_ms is None else round(self.clock_ms() / 1000, 3)
        return {
            "clock_s": clock_s,
            "lease_end_s": round(self._end_ms / 1000, 3),
            "lease_basis": self._basis.value,
        }


__all__ = ["MAX_ORDER_DELAY_S", "MIN_CLOCK_RATE", "RUN_LEASE_S", "Basis", "RunLease"]
