"""Outgoing connection to a peer: its calls in progress and the length of its silence."""

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

_call_numbers = itertools.count(random.SystemRandom().getrandbits(CALL_NUMBER_BITS))


class Action(enum.Enum):
    """Action that the state of a connection requires."""

    NONE = enum.auto()
    PING = enum.auto()
    REPLACE = enum.auto()
    CLOSE = enum.auto()


class Limits:
    """Time limits of a connection, in seconds.

    :param heartbeat_s: silence with a call in progress after which the peer is pinged
    :param silence_s: silence with a call in progress after which the connection is replaced
    :param idle_s: time without a call after which the connection is closed
    """

    def __init__(self, *, heartbeat_s: float, silence_s: float, idle_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self.silence_s = silence_s
        self.idle_s = idle_s


class PendingCall:
    """A call in progress; once ``is_sent``, the peer may have handled it.

    :param address: address of the peer that is called
    """

    def __init__(self, address: str) -> None:
        self.number = next(_call_numbers)
        self._address = address
        self._is_unanswered = False
        self.started_s = trio.current_time()
        self.is_sent = False
        self._done = trio.Event()
        self._body: bytes | None = None
        self._error: errors.BronzequayError | None = None

    async def wait(self) -> bytes:
        """Wait for the answer and return its body, or raise the error of the call."""
        await self._done.wait()
        if self._is_unanswered:
            raise no_answer_error(self._address, is_sent=self.is_sent)
        if self._error is not None:
            raise self._error
        return self._body or b""

    def succeed(self, body: bytes) -> None:
        """Complete the call with the body of its answer."""
        self._body = body
        self._done.set()

    def fail_unanswered(self) -> None:
        """Complete the call with the error that no answer will arrive."""
        self._is_unanswered = True
        self._done.set()

    def fail(self, error: errors.BronzequayError) -> None:
        """Complete the call with an error."""
        self._error = error
        self._done.set()


class Connection:
    """Calls to one peer over one socket.

    :param address: the peer's address
    :param open_link: opens the socket; called with the function that receives its frames
    :param on_dropped_message: called with ``late`` or ``malformed`` for each dropped message
    """

    def __init__(
        self,
        address: str,
        open_link: Callable[[Callable[[list[bytes]], None]], sockets.Link],
        *,
        on_dropped_message: Callable[[str], None],
    ) -> None:
        self.address = address
        self.pending: dict[int, PendingCall] = {}
        self.last_used_s = trio.current_time()
        self.last_heard_s = trio.current_time()
        self._on_dropped_message = on_dropped_message
        self.link = open_link(self._on_frames)

    def next_action(self, limits: Limits) -> Action:
        """Return the action that the connection's silence or lack of calls requires."""
        now_s = trio.current_time()
        if not self.pending:
            return Action.CLOSE if now_s - self.last_used_s > limits.idle_s else Action.NONE
        oldest_start_s = min(
            (pending_call.started_s for pending_call in self.pending.values()), default=math.inf
        )
        silent_s = now_s - max(self.last_heard_s, oldest_start_s)
        if silent_s > limits.silence_s:
            return Action.REPLACE
        return Action.PING if silent_s > limits.heartbeat_s else Action.NONE

    def reset_silence(self) -> None:
        """Restart the measurement of silence after this process itself did not run."""
        self.last_heard_s = trio.current_time()

    def close(self) -> None:
        """Close the socket and fail the calls in progress."""
        self.link.close()
        for pending in self.pending.values():
            pending.fail_unanswered()
        self.pending.clear()

    def _on_frames(self, frames: list[bytes]) -> None:
        message = envelope.decode(frames[-1])
        if message is None:
            self._on_dropped_message("malformed")
            return
        self.last_heard_s = trio.current_time()
        if message.form is envelope.Form.PONG:
            return
        pending = self.pending.pop(message.call_number, None)
        if pending is None:
            self._on_dropped_message("late")
        elif message.form is envelope.Form.ERROR:
            pending.fail(envelope.decode_error(message.body))
        else:
            pending.succeed(message.body)


def no_answer_error(address: str, *, is_sent: bool) -> errors.BronzequayError:
    """Return the error of a call without an answer; its text says whether it was sent."""
    text = "no answer, the outcome is unknown" if is_sent else "no connection, not sent"
    return errors.BronzequayError(codes.ResultCode.PEER_TIMEOUT, f"{text}: {address}")


__all__ = ["Action", "Connection", "Limits", "PendingCall", "no_answer_error"]
