"""Calls between instances over ZeroMQ."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import structlog
import trio
import zmq

from bronzequay import codes, errors
from bronzequay.peer import connection, envelope, sockets

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bronzequay import ids

    Handler = Callable[[bytes], Awaitable[bytes]]

HEARTBEAT_S = 1.0
SILENCE_S = 3.0
IDLE_S = 15.0
CHECK_INTERVAL_RATIO = 0.25
MAX_CALLS_IN_PROGRESS = 2_000

_log = structlog.get_logger()


class Mesh:
    """Receives calls from peers and makes calls to them.

    A connection that has a call in progress and receives nothing for ``silence_s`` is
    replaced; its calls fail with PEER_TIMEOUT. A connection without calls for ``idle_s`` is
    closed, so that none can go silent undetected.

    :param instance: id of this instance
    :param address: ``tcp://IP:PORT`` to bind; with port 0, the attribute ``address`` has
        the bound port
    :param heartbeat_s: seconds of silence after which a peer that owes an answer is pinged
    :param silence_s: seconds of silence after which its connection is replaced
    :param idle_s: seconds without a call after which a connection is closed
    """

    def __init__(
        self,
        *,
        instance: ids.InstanceId,
        address: str,
        heartbeat_s: float = HEARTBEAT_S,
        silence_s: float = SILENCE_S,
        idle_s: float = IDLE_S,
    ) -> None:
        self.instance = instance
        self.counts: collections.Counter[str] = collections.Counter()
        self._limits = connection.Limits(
            heartbeat_s=heartbeat_s, silence_s=silence_s, idle_s=idle_s
        )
        self._ctx = zmq.Context()
        router = sockets.open_router(self._ctx, address)
        self.address = router.getsockopt_string(zmq.LAST_ENDPOINT)
        self._router = sockets.Channel(router, self._on_request)
        self._handlers: dict[str, Handler] = {}
        self._connections: dict[str, connection.Connection] = {}
        self._silence_listeners: list[Callable[[str], None]] = []
        self._nursery: trio.Nursery | None = None
        self._started = trio.Event()
        self._calls_in_progress = 0

    def serve(self, kind: str, handler: Handler) -> None:
        """Register the handler whose results answer calls of a kind."""
        self._handlers[kind] = handler

    def add_silence_listener(self, listener: Callable[[str], None]) -> None:
        """Register a listener for the address of each peer that disconnects or goes silent."""
        self._silence_listeners.append(listener)

    async def call(self, address: str, kind: str, body: bytes, *, timeout_s: float) -> bytes:
        """Call a peer.

        :param address: the peer's address
        :param kind: name of the peer's handler
        :param body: encoded argument of the handler
        :param timeout_s: seconds after which the call fails
        :return: body of the answer
        :raises BronzequayError: PEER_TIMEOUT, whose message says whether the call was sent,
            or the error that the handler raised
        """
        await self._started.wait()
        conn = self._get_connection(address)
        pending = connection.PendingCall(address)
        conn.pending[pending.number] = pending
        try:
            with trio.fail_after(timeout_s):
                return await self._exchange(conn, pending, kind, body)
        except trio.TooSlowError:
            raise connection.no_answer_error(address, is_sent=pending.is_sent) from None
        finally:
            conn.pending.pop(pending.number, None)
            conn.last_used_s = trio.current_time()

    async def send(self, address: str, kind: str, body: bytes) -> None:
        """Send a one-way message; it is dropped if the peer cannot be reached."""
        await self._started.wait()
        conn = self._get_connection(address)
        with trio.move_on_after(self._limits.silence_s):
            await conn.link.send([self._message(envelope.Form.SEND, 0, kind, body)])

    async def run(self) -> None:
        """Receive messages and supervise the connections until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._router.run)
            self._nursery.start_soon(self._supervise)
            self._started.set()

    def close(self) -> None:
        """Close all sockets immediately; calls in progress fail."""
        for conn in self._connections.values():
            conn.close()
        self._connections.clear()
        self._router.close()
        self._ctx.term()

    async def _exchange(
        self, conn: connection.Connection, pending: connection.PendingCall, kind: str, body: bytes
    ) -> bytes:
        message = self._message(envelope.Form.CALL, pending.number, kind, body)
        pending.is_sent = await conn.link.send([message])
        return await pending.wait()

    def _message(self, form: envelope.Form, number: int, kind: str, body: bytes) -> bytes:
        message = envelope.Message(
            version=envelope.PROTOCOL_VERSION, form=form, call_number=number, kind=kind, body=body
        )
        return envelope.encode(message)

    def _get_connection(self, address: str) -> connection.Connection:
        conn = self._connections.get(address)
        if conn is None:
            conn = connection.Connection(
                address,
                lambda on_frames: self._open_link(address, on_frames),
                on_dropped_message=self._count_event,
            )
            self._connections[address] = conn
        conn.last_used_s = trio.current_time()
        return conn

    def _count_event(self, event: str) -> None:
        self.counts[event] += 1

    def _open_link(self, address: str, on_frames: Callable[[list[bytes]], None]) -> sockets.Link:
        assert self._nursery is not None  # noqa: S101  # callers wait for run()
        link = sockets.Link(
            self._ctx,
            address,
            on_frames=on_frames,
            on_disconnect=lambda: self._on_disconnect(address),
        )
        self._nursery.start_soon(link.run)
        return link

    def _on_disconnect(self, address: str) -> None:
        """Fail the calls of a closed connection; the next call opens a new one."""
        self._close_connection(address, "disconnected")
        self._notify_silence(address)

    def _close_connection(self, address: str, reason: str) -> None:
        self._connections.pop(address).close()
        self.counts[reason] += 1

    def _notify_silence(self, address: str) -> None:
        for listener in self._silence_listeners:
            listener(address)

    def _on_request(self, frames: list[bytes]) -> None:
        message = envelope.decode(frames[-1])
        if message is None:
            self.counts["malformed"] += 1
            return
        if message.form is envelope.Form.PING:
            self._answer(frames[0], envelope.Form.PONG, message.call_number, b"")
            return
        assert self._nursery is not None  # noqa: S101  # requests arrive within run()
        self._nursery.start_soon(self._handle, frames[0], message)

    def _answer(self, route: bytes, form: envelope.Form, number: int, body: bytes) -> None:
        if not self._router.try_send([route, self._message(form, number, "", body)]):
            self.counts["unsent"] += 1

    async def _handle(self, route: bytes, message: envelope.Message) -> None:
        form = envelope.Form.ANSWER
        self._calls_in_progress += 1
        try:
            body = await self._run_handler(message)
        except errors.BronzequayError as exc:
            form, body = envelope.Form.ERROR, envelope.encode_error(exc)
        finally:
            self._calls_in_progress -= 1
        if message.form is envelope.Form.CALL:
            self._answer(route, form, message.call_number, body)

    async def _run_handler(self, message: envelope.Message) -> bytes:
        if self._calls_in_progress > MAX_CALLS_IN_PROGRESS:
            self.counts["refused"] += 1
            raise errors.BronzequayError(codes.ResultCode.QUEUE_FULL, "too many calls in progress")
        handler = self._handlers.get(message.kind)
        if handler is None:
            raise errors.BronzequayError(
                codes.ResultCode.UNSUPPORTED_VERSION,
                f"no handler for calls of kind {message.kind!r}",
            )
        try:
            return await handler(message.body)
        except errors.BronzequayError:
            raise
        except Exception as exc:
            _log.exception("peer_handler_failed", kind=message.kind)
            raise errors.BronzequayError(
                codes.ResultCode.INTERNAL, f"the handler for {message.kind} calls failed"
            ) from exc

    async def _supervise(self) -> None:
        check_interval_s = CHECK_INTERVAL_RATIO * self._limits.heartbeat_s
        while True:
            check_due_s = trio.current_time() + check_interval_s
            await trio.sleep_until(check_due_s)
            was_frozen = trio.current_time() - check_due_s > self._limits.heartbeat_s
            for conn in list(self._connections.values()):
                if was_frozen:
                    conn.reset_silence()
                self._check_connection(conn)

    def _check_connection(self, conn: connection.Connection) -> None:
        action = conn.next_action(self._limits)
        if action is connection.Action.PING:
            conn.link.try_send([self._message(envelope.Form.PING, 0, "", b"")])
        elif action is not connection.Action.NONE:
            self._close_connection(conn.address, action.name.lower())
        if action is connection.Action.REPLACE:
            self._notify_silence(conn.address)


__all__ = ["HEARTBEAT_S", "IDLE_S", "SILENCE_S", "Mesh"]
