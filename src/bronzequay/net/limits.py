"""Limits of a listener, the account of one connection, and the share of processor time."""

from __future__ import annotations

import enum
import time
from typing import TYPE_CHECKING, TypeVar

import msgspec
import trio

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

ORDINARY_BYTES = 32_768
"""A request that holds no more is ordinary: a whole permitted head and a body of 16 KB. A larger
one reserves its memory before more of it is read."""
LARGE_SHARE = 0.5
"""Share of the bytes held by requests that arrive which large ones may reserve; the rest is kept
for ordinary ones."""
ADMISSION_TIMEOUT_S = 1.0
"""Longest wait of a complete request for its handler; callers retry on another instance."""
UNREAD_GRACE_S = 0.5
"""Time to read a response before its connection may be closed for the memory of others; 300 KB take
0.5 s on a link of 5 Mbit/s."""
SLOW_GRACE_S = 1.0
"""Time from which the rate of a large request is judged; a lost packet delays it by 0.2 s."""
SLOW_BYTES_PER_S = 8192
"""Rate below which a large request gives way; the 19 that fit on a machine of 160 MB get 33 KB/s
each on a link of 5 Mbit/s."""
RETRY_AFTER_S = 1
TURN_SHARE = 0.7
"""Share of the wall-clock time that requests may use; the rest is for the scheduler, its leases and
readiness."""
ACCEPT_SHARE = 0.15
"""The same for accepting connections, which must not wait for the requests of others."""
ACCEPT_COST_S = 0.0002
"""Estimated processor time of a new connection: a listener then accepts 750 a second."""
TURN_BURST_S = 0.005
"""Processor time that requests may use at once; a scheduling pass of a full fleet takes 19 ms."""
MAX_DEBT_S = 0.05
"""Longest excess that is made up for, so that one slow step stops requests for 0.1 s at most."""
MIN_PAUSE_S = 0.0005
"""Added to each pause, since half of it is the credit of the next request."""
REQUEST_COST_S = 0.0005
"""Estimated processor time of handling one short request, with its call to the store: an instance
then takes 1,400 a second, and a deployment has 30 at most on each instance."""
BODY_COST_S_PER_BYTE = 2e-8
"""Estimated processor time of decoding a body: 5 ms for the largest permitted one."""


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one listener. The defaults suit a server whose clients are trusted.

    :param max_head_bytes: limit on the request line and the header lines, and on the trailers
    :param max_head_lines: limit on the lines of a head
    :param max_body_bytes: limit on a body
    :param head_timeout_s: time for a whole head, from its first byte
    :param body_timeout_s: time for a whole body, from the end of its head
    :param send_timeout_s: time for which a peer may leave a response unread
    :param idle_timeout_s: longest pause between two requests on a connection
    :param max_connections: limit on connections
    :param max_peer_connections: limit on connections of one peer address
    :param max_handled: limit on requests that are handled at once; a handler may need a descriptor
    :param max_held_bytes: limit on the bytes held by all requests, half of it while they arrive
        and half from their admission to the handler until the peer has read the response
    :param handling_bytes: estimated memory of handling a request without a body
    :param handling_factor: estimated memory of handling a body, in bytes per byte
    :param socket_buffer_bytes: size of each of the kernel's buffers of a connection; 0 lets the
        kernel choose
    """

    max_head_bytes: int = 32_768
    max_head_lines: int = 8_192
    max_body_bytes: int = 1_048_576
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    send_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    max_connections: int = 100_000
    max_peer_connections: int = 100_000
    max_handled: int = 100_000
    max_held_bytes: int = 4_294_967_296
    handling_bytes: int = 16_384
    handling_factor: int = 8
    socket_buffer_bytes: int = 0


class Refusal(Exception):  # noqa: N818  # an outcome of the protocol, which the peer is told
    """A request that is refused before it is handled.

    :param status: the HTTP status; all statuses used say that the request was not run
    :param reason: label of the metric, one of a fixed set
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{status} {reason}")
        self.status = status
        self.reason = reason


class Phase(enum.Enum):
    """What a connection is doing; ``WAITING`` is a complete request without a handler yet."""

    IDLE = "idle"
    RECEIVING = "receiving"
    WAITING = "waiting"
    HANDLING = "handling"
    SENDING = "sending"
    CLOSING = "closing"


class Account:
    """What one connection holds.

    :param peer: IP address of the peer
    :ivar held_bytes: charged for a request that arrives, at least ``reserved_bytes``
    :ivar received_bytes: what of it has arrived
    :ivar reserved_bytes: reserved for a large request, 0 for others
    :ivar handling_bytes: charged for a request that is handled, then for its response
    :ivar refusal: set when the connection was made to give way
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.phase = Phase.IDLE
        self.since_s = trio.current_time()
        self.held_bytes = 0
        self.received_bytes = 0
        self.reserved_bytes = 0
        self.reserved_s = 0.0
        self.handling_bytes = 0
        self.refusal: Refusal | None = None
        self.scope = trio.CancelScope()

    def enter(self, phase: Phase) -> None:
        """Change the phase."""
        if phase is not self.phase:
            self.phase = phase
            self.since_s = trio.current_time()

    def is_slow(self, now_s: float) -> bool:
        """Return whether a large request arrives so slowly that others may take its memory."""
        age_s = now_s - self.reserved_s
        return (
            self.phase is Phase.RECEIVING
            and self.reserved_bytes > 0
            and age_s >= SLOW_GRACE_S
            and self.received_bytes < age_s * SLOW_BYTES_PER_S
        )

    def check(self) -> None:
        """Raise the refusal of a connection that was made to give way.

        :raises Refusal: when it was
        """
        if self.refusal is not None:
            raise self.refusal


class Turns:
    """Bounds the processor time of requests, so that they do not starve the scheduler.

    Requests that have used more than their share of the time wait in a queue, in which each waits
    until the excess is made up for. Other tasks find the event loop free meanwhile.

    :param share: share of the wall-clock time
    """

    def __init__(self, share: float = TURN_SHARE) -> None:
        self._share = share
        self._lock = trio.Lock()
        self._credit_s = TURN_BURST_S
        self._refilled_s = time.perf_counter()

    @property
    def is_busy(self) -> bool:
        """Return whether the share is used up, so that a turn has to be taken."""
        self._refill()
        return self._credit_s <= 0 or self._lock.locked()

    async def take(self) -> None:
        """Wait for the turn of a connection whose bytes are to be parsed."""
        async with self._lock:
            self._refill()
            while self._credit_s <= 0:
                await trio.sleep(MIN_PAUSE_S - self._credit_s / self._share)
                self._refill()

    def run(self, parse: Callable[[], T]) -> T:
        """Call a function and charge the time that it takes."""
        started_s = time.perf_counter()
        try:
            return parse()
        finally:
            self.spend(time.perf_counter() - started_s)

    def spend(self, seconds: float) -> None:
        """Charge processor time."""
        self._credit_s = max(-MAX_DEBT_S, self._credit_s - seconds)

    def _refill(self) -> None:
        now_s = time.perf_counter()
        self._credit_s += (now_s - self._refilled_s) * self._share
        self._credit_s = min(TURN_BURST_S, self._credit_s)
        self._refilled_s = now_s


__all__ = [
    "ORDINARY_BYTES",
    "RETRY_AFTER_S",
    "Account",
    "Limits",
    "Phase",
    "Refusal",
    "Turns",
]
