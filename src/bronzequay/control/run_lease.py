"""What the scheduler believes of the run lease on one incarnation of a worker."""

from __future__ import annotations

import contextlib
import enum
from typing import TYPE_CHECKING, NamedTuple

from bronzequay import clock

if TYPE_CHECKING:
    from collections.abc import Iterator


CONTACT_S = 3.0
"""Time after its last answer for which a worker counts as in contact. Later nothing that extends
leases is sent to it."""
RUN_LEASE_S = 5.0
"""Lease of running tasks. It is longer than a takeover, about 3 s; lost work restarts only after it
has expired."""
MIN_CLOCK_RATE = 0.98
"""Lowest rate of a worker's clock relative to this instance's."""
MAX_ORDER_DELAY_S = 15.0
"""Time after which an unanswered order can no longer take effect; delays of up to 12 s occur."""


def late_run_s(max_lease_s: float) -> float:
    """Return the time after an unanswered start from which no incarnation runs it any more.

    :param max_lease_s: longest lease that a worker grants, which is what a deadline by the clock of
        an earlier incarnation amounts to
    """
    return MAX_ORDER_DELAY_S + max_lease_s / MIN_CLOCK_RATE


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


class Sent(NamedTuple):
    """Deadlines that a term has sent to the incarnations under one id.

    :param latest_deadline_ms: the latest of them, each on the clock of its incarnation
    :param ended_s: boot clock when the last call with one ended
    """

    latest_deadline_ms: float = 0.0
    ended_s: float = float("-inf")


class RunLease:
    """Latest end of the run lease that one incarnation of a worker may hold, on its own clock.

    The worker kills all its runs when its lease ends. Which lease it holds cannot be queried.

    :param max_lease_s: longest lease that the worker grants
    :param sent: what this term has sent to earlier incarnations
    :ivar sent: the same with what it has sent to this one
    """

    def __init__(self, max_lease_s: float, sent: Sent) -> None:
        self._max_lease_s = max_lease_s
        self.sent = sent
        self._calls = 0
        self._clock_ms: float | None = None
        self._read_s = 0.0
        self._end_ms = 0.0
        self._earlier_end_ms = 0.0
        self._basis = Basis.NONE

    @property
    def is_clock_known(self) -> bool:
        """Return whether the worker's clock has been read."""
        return self._clock_ms is not None

    def clock_age_s(self) -> float:
        """Return the time since the worker's clock was read, infinity before."""
        return float("inf") if self._clock_ms is None else clock.boot_s() - self._read_s

    def clock_ms(self) -> float:
        """Return the present time on the worker's clock if it runs at the rate of ours."""
        assert self._clock_ms is not None  # noqa: S101  # set by the first listing
        return self._clock_ms + self.clock_age_s() * 1000

    def read_clock(self, clock_ms: float) -> None:
        """Note the worker's clock in an answer that has just arrived."""
        self._clock_ms = clock_ms
        self._read_s = clock.boot_s()

    def end_if_granted_now_ms(self) -> float:
        """Return the end of a lease that begins now, on the worker's clock."""
        return self.clock_ms() + RUN_LEASE_S * 1000

    def on_send(self, deadline_ms: float) -> None:
        """Note a deadline that is about to be sent, in case the session ends during the call."""
        latest_ms = max(self.sent.latest_deadline_ms, deadline_ms)
        self.sent = self.sent._replace(latest_deadline_ms=latest_ms)

    @contextlib.contextmanager
    def sending(self) -> Iterator[None]:
        """Surround a call with a deadline, which may be sent at any time until it ends."""
        self._calls += 1
        try:
            yield
        finally:
            self._calls -= 1
            self.sent = self.sent._replace(ended_s=clock.boot_s())

    def last_call_s(self) -> float:
        """Return the boot time when the last call with a deadline ended, now if one has not."""
        return clock.boot_s() if self._calls else self.sent.ended_s

    def grant_start_ms(self) -> float:
        """Return the end of the lease for a start that is about to be sent, and count it."""
        end_ms = self.end_if_granted_now_ms()
        self.on_send(end_ms)
        self.extend(end_ms, Basis.START)
        return end_ms

    def extend(self, end_ms: float, basis: Basis) -> None:
        """Count a lease that the worker may have granted.

        :param end_ms: its end, on the worker's clock
        """
        if end_ms > self._end_ms:
            self._end_ms, self._basis = end_ms, basis

    def count_earlier_calls(self, *, is_settled: bool) -> None:
        """Count what other calls have granted, after the first answer to this session.

        That answer fences them. A call to an earlier incarnation that this one has carried out has
        extended the lease to a deadline by the clock of that one, up to the worker's own limit.

        :param is_settled: whether no such call of an earlier term can have extended the lease
        """
        assert self._clock_ms is not None  # noqa: S101  # set by the first listing
        longest_end_ms = self._clock_ms + self._max_lease_s * 1000
        self._count_earlier(
            min(self.sent.latest_deadline_ms, longest_end_ms) if is_settled else longest_end_ms
        )
        self.extend(self._clock_ms + RUN_LEASE_S / MIN_CLOCK_RATE * 1000, Basis.EARLIER_TERM)

    def _count_earlier(self, end_ms: float) -> None:
        self._earlier_end_ms = max(self._earlier_end_ms, end_ms)
        self.extend(end_ms, Basis.EARLIER_LIFE)

    def is_settled(self) -> bool:
        """Return whether a lease granted now outlasts those by earlier incarnations' clocks."""
        latest_ms = self._earlier_end_ms - RUN_LEASE_S * 1000
        return self._clock_ms is not None and self._clock_ms >= latest_ms

    def has_expired(self) -> bool:
        """Return whether the lease has certainly expired; False while the clock is unknown."""
        if self._clock_ms is None:
            return False
        return self._clock_ms + self.clock_age_s() * MIN_CLOCK_RATE * 1000 > self._end_ms

    def describe(self) -> dict[str, object]:
        """Return what the log states of the lease; times are on the worker's clock."""
        clock_s = None if self._clock_ms is None else round(self.clock_ms() / 1000, 3)
        return {
            "clock_s": clock_s,
            "lease_end_s": round(self._end_ms / 1000, 3),
            "lease_basis": self._basis.value,
        }


__all__ = [
    "CONTACT_S",
    "MAX_ORDER_DELAY_S",
    "MIN_CLOCK_RATE",
    "RUN_LEASE_S",
    "Basis",
    "RunLease",
    "Sent",
    "late_run_s",
]
