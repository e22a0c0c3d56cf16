"""One outgoing connection to a peer: its calls in progress and its health."""

from __future__ import annotations

import enum
import itertools
import math
import random
from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors
from bronzequay.peer import envelope

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.peer import sockets

CALL_NUMBER_BITS = 48

_numbers = itertools.count(random.SystemRandom().getrandbits(CALL_NUMBER_BITS))


class Action(enum.Enum):
    """What a connection needs now."""

    NONE = enum.auto()
    PING = enum.auto()
    REPLACE = enum.auto()
    CLOSE = enum.auto()


class Limits:
    """Bounds of a connection's silence, in seconds.

    :param heartbeat_s: silence with a call in progress after which the peer is pinged
    :param silence_s: silence with a call in progress after which the connection is replaced
    :param idle_s: time without a call after which the connection is closed
    """

    def __init__(self, *, heartbeat_s: float, silence_s: float, idle_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self.silence_s = silence_s
        self.idle_s = idle_s


class Pending:
    """A call in progress.

    :param is_sent: whether the call left this process, so that it may have been handled
    """

    def __init__(self, address: str) -> None:
        self.number = next(_numbers)
        self._address = address
        self._is_lost = False
        self.began_s = trio.current_time()
        self.is_sent = False
        self._done = trio.Event()
        self._body: bytes | None = None
        self._error: errors.BronzequayError | None = None

    async def wait(self) -> bytes:
        """Wait for the answer's body, or raise the error."""
        await self._done.wait()
        if self._is_lost:
            raise no_answer(self._address, is_sent=self.is_sent)
        if self._error is not None:
            raise self._error
        return self._body or b""

    def succeed(self, body: bytes) -> None:
        """Tell the caller the answer."""
        self._body = body
        self._done.set()

    def lose(self) -> None:
        """Tell the caller that no answer will come."""
        self._is_lost = True
        self._done.set()

    def fail(self, error: errors.BronzequayError) -> None:
        """Tell the caller an error."""
        self._error = error
        self._done.set()


class Connection:
    """Calls to one peer over one socket.

    :param address: the peer's address
    :param open_link: opens the socket; called with what takes the frames received
    :param on_stray: called with ``late`` or ``malformed`` for a message that is dropped
    """

    def __init__(
        self,
        address: str,
        open_link: Callable[[Callable[[list[bytes]], None]], sockets.Link],
        *,
        on_stray: Callable[[str], None],
    ) -> None:
        self.address = address
        self.pending: dict[int, Pending] = {}
        self.used_s = trio.current_time()
        self.heard_s = trio.current_time()
        self._on_stray = on_stray
        self.link = open_link(self._on_frames)

    def judge(self, limits: Limits) -> Action:
        """Tell what the connection needs, from its silence."""
        now_s = trio.current_time()
        if not self.pending:
            return Action.CLOSE if now_s - self.used_s > limits.idle_s else Action.NONE
        oldest_s = min((each.began_s for each in self.pending.values()), default=math.inf)
        silent_s = now_s - max(self.heard_s, oldest_s)
        if silent_s > limits.silence_s:
            return Action.REPLACE
        return Action.PING if silent_s > limits.heartbeat_s else Action.NONE

    def forgive(self) -> None:
        """Count silence anew: this process itself did not run meanwhile."""
        self.heard_s = trio.current_time()

    def close(self) -> None:
        """Close the socket and fail its calls."""
        self.link.close()
        for pending in self.pending.values():
            pending.lose()
        self.pending.clear()

    def _on_frames(self, frames: list[bytes]) -> None:
        message = envelope.decode(frames[-1])
        if message is None:
            self._on_stray("malformed")
            return
        self.heard_s = trio.current_time()
        if message.form is envelope.Form.PONG:
            return
        pending = self.pending.pop(message.call, None)
        if pending is None:
            self._on_stray("late")
        elif message.form is envelope.Form.ERROR:
            pending.fail(envelope.decode_error(message.body))
        else:
            pending.succeed(message.body)


def no_answer(address: str, *, is_sent: bool) -> errors.BronzequayError:
    """Return the error of a call without an answer; it tells whether the call was sent."""
    text = "no answer, the outcome is unknown" if is_sent else "no connection, not sent"
    return errors.BronzequayError(codes.ResultCode.PEER_TIMEOUT, f"{text}: {address}")


__all__ = ["Action", "Connection", "Limits", "Pending", "no_answer"]
