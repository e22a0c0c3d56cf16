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
TICK_SHARE = 0.25
MAX_CALLS_IN_PROGRESS = 2_000

_log = structlog.get_logger()


class Mesh:
    """Receives calls from peers and makes calls to them.

    A connection on which a call waits and nothing arrives for ``silence_s`` is replaced;
    its calls end in PEER_TIMEOUT. One without calls for ``idle_s`` is closed, so that
    none can go silent unseen.

    :param instance: this instance
    :param address: ``tcp://IP:PORT`` to receive at; with port 0, ``address`` tells the
        port bound
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
        self._listeners: list[Callable[[str], None]] = []
        self._nursery: trio.Nursery | None = None
        self._started = trio.Event()
        self._in_progress = 0

    def serve(self, kind: str, handler: Handler) -> None:
        """Answer calls of a kind with a handler's result."""
        self._handlers[kind] = handler

    def on_silence(self, listener: Callable[[str], None]) -> None:
        """Call a listener with the address of each peer whose connection broke or went silent."""
        self._listeners.append(listener)

    async def call(self, address: str, kind: str, body: bytes, *, timeout_s: float) -> bytes:
        """Call a peer.

        :param address: the peer's address
        :return: the answer's body
        :raises BronzequayError: PEER_TIMEOUT, whose message tells whether the call was sent,
            or the error that the handler raised
        """
        await self._started.wait()
        conn = self._connect(address)
        pending = connection.Pending(address)
        conn.pending[pending.number] = pending
        try:
            with trio.fail_after(timeout_s):
                return await self._exchange(conn, pending, kind, body)
        except trio.TooSlowError:
            raise connection.no_answer(address, is_sent=pending.is_sent) from None
        finally:
            conn.pending.pop(pending.number, None)
            conn.used_s = trio.current_time()

    async def send(self, address: str, kind: str, body: bytes) -> None:
        """Send a message one way; it is dropped when the peer cannot be reached."""
        await self._started.wait()
        conn = self._connect(address)
        with trio.move_on_after(self._limits.silence_s):
            await conn.link.send([self._message(envelope.Form.SEND, 0, kind, body)])

    async def run(self) -> None:
        """Receive and supervise the connections until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._router.run)
            self._nursery.start_soon(self._supervise)
            self._started.set()

    def close(self) -> None:
        """Close all sockets at once."""
        for conn in self._connections.values():
            conn.close()
        self._connections.clear()
        self._router.close()
        self._ctx.term()

    async def _exchange(
        self, conn: connection.Connection, pending: connection.Pending, kind: str, body: bytes
    ) -> bytes:
        message = self._message(envelope.Form.CALL, pending.number, kind, body)
        pending.is_sent = await conn.link.send([message])
        return await pending.wait()

    def _message(self, form: envelope.Form, number: int, kind: str, body: bytes) -> bytes:
        message = envelope.Message(
            version=envelope.PROTOCOL_VERSION, form=form, call=number, kind=kind, body=body
        )
        return envelope.encode(message)

    def _connect(self, address: str) -> connection.Connection:
        conn = self._connections.get(address)
        if conn is None:
            conn = connection.Connection(
                address,
                lambda on_frames: self._open_link(address, on_frames),
                on_stray=self._count,
            )
            self._connections[address] = conn
        conn.used_s = trio.current_time()
        return conn

    def _count(self, event: str) -> None:
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
        """End the calls of a connection that ended; the next call opens another."""
        self._drop(address, "disconnected")
        self._tell_silence(address)

    def _drop(self, address: str, reason: str) -> None:
        self._connections.pop(address).close()
        self.counts[reason] += 1

    def _tell_silence(self, address: str) -> None:
        for listener in self._listeners:
            listener(address)

    def _on_request(self, frames: list[bytes]) -> None:
        message = envelope.decode(frames[-1])
        if message is None:
            self.counts["malformed"] += 1
            return
        if message.form is envelope.Form.PING:
            self._answer(frames[0], envelope.Form.PONG, message.call, b"")
            return
        assert self._nursery is not None  # noqa: S101  # requests arrive within run()
        self._nursery.start_soon(self._handle, frames[0], message)

    def _answer(self, route: bytes, form: envelope.Form, number: int, body: bytes) -> None:
        if not self._router.try_send([route, self._message(form, number, "", body)]):
            self.counts["unsent"] += 1

    async def _handle(self, route: bytes, message: envelope.Message) -> None:
        form = envelope.Form.ANSWER
        self._in_progress += 1
        try:
            body = await self._run_handler(message)
        except errors.BronzequayError as exc:
            form, body = envelope.Form.ERROR, envelope.encode_error(exc)
        finally:
            self._in_progress -= 1
        if message.form is envelope.Form.CALL:
            self._answer(route, form, message.call, body)

    async def _run_handler(self, message: envelope.Message) -> bytes:
        if self._in_progress > MAX_CALLS_IN_PROGRESS:
            self.counts["refused"] += 1
            raise errors.BronzequayError(codes.ResultCode.QUEUE_FULL, "too many calls in progress")
        handler = self._handlers.get(message.kind)
        if handler is None:
            raise errors.BronzequayError(
                codes.ResultCode.UNSUPPORTED_VERSION, f"no handler of {message.kind!r}"
            )
        try:
            return await handler(message.body)
        except errors.BronzequayError:
            raise
        except Exception as exc:
            _log.exception("peer_handler_failed", kind=message.kind)
            raise errors.BronzequayError(
                codes.ResultCode.INTERNAL, f"the handler of {message.kind} failed"
            ) from exc

    async def _supervise(self) -> None:
        tick_s = TICK_SHARE * self._limits.heartbeat_s
        while True:
            due_s = trio.current_time() + tick_s
            await trio.sleep_until(due_s)
            was_frozen = trio.current_time() - due_s > self._limits.heartbeat_s
            for conn in list(self._connections.values()):
                if was_frozen:
                    conn.forgive()
                self._act(conn)

    def _act(self, conn: connection.Connection) -> None:
        action = conn.judge(self._limits)
        if action is connection.Action.PING:
            conn.link.try_send([self._message(envelope.Form.PING, 0, "", b"")])
        elif action is not connection.Action.NONE:
            self._drop(conn.address, action.name.lower())
        if action is connection.Action.REPLACE:
            self._tell_silence(conn.address)


__all__ = ["HEARTBEAT_S", "IDLE_S", "SILENCE_S", "Mesh"]
