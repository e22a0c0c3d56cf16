"""Calls between instances over ZeroMQ."""

from __future__ import annotations

import collections
import itertools
import random
from typing import TYPE_CHECKING

import structlog
import trio
import zmq

import outcome
from bronzequay import codes, errors
from bronzequay.peer import envelope, sockets

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bronzequay import ids

    Handler = Callable[[bytes], Awaitable[bytes]]

HEARTBEAT_S = 1.0
SILENCE_S = 3.0
MAX_CALLS_IN_PROGRESS = 2_000
CALL_NUMBER_BITS = 48

_log = structlog.get_logger()


class _Connection:
    """Calls to one peer, over one socket at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.channel: sockets.Channel | None = None
        self.heard_s = trio.current_time()
        self.pending: dict[int, trio.MemorySendChannel[outcome.Outcome[bytes]]] = {}


class Mesh:
    """Receives calls from peers and makes calls to them.

    :param instance: this instance
    :param address: ``tcp://IP:PORT`` to receive at; with port 0, ``address`` tells the
        port bound
    """

    def __init__(self, *, instance: ids.InstanceId, address: str) -> None:
        self.instance = instance
        self.counts: collections.Counter[str] = collections.Counter()
        self._ctx = zmq.Context()
        router = sockets.open_router(self._ctx, address)
        self.address = router.getsockopt_string(zmq.LAST_ENDPOINT)
        self._router = sockets.Channel(router, self._on_request)
        self._handlers: dict[str, Handler] = {}
        self._connections: dict[str, _Connection] = {}
        self._numbers = itertools.count(random.SystemRandom().getrandbits(CALL_NUMBER_BITS))
        self._nursery: trio.Nursery | None = None
        self._started = trio.Event()
        self._in_progress = 0

    def serve(self, kind: str, handler: Handler) -> None:
        """Answer calls of a kind with a handler's result."""
        self._handlers[kind] = handler

    async def call(self, address: str, kind: str, body: bytes, *, timeout_s: float) -> bytes:
        """Call a peer.

        :param address: the peer's address
        :return: the answer's body
        :raises BronzequayError: PEER_TIMEOUT, or the error that the handler raised
        """
        await self._started.wait()
        conn = self._connect(address)
        number = next(self._numbers)
        send, receive = trio.open_memory_channel[outcome.Outcome[bytes]](1)
        conn.pending[number] = send
        try:
            with trio.fail_after(timeout_s):
                await self._send(conn, envelope.Form.CALL, number, kind, body)
                answer = await receive.receive()
        except trio.TooSlowError:
            raise errors.BronzequayError(
                codes.ResultCode.PEER_TIMEOUT, f"no answer to {kind} from {address}"
            ) from None
        finally:
            conn.pending.pop(number, None)
        return answer.unwrap()

    async def send(self, address: str, kind: str, body: bytes) -> None:
        """Send a message one way; it is dropped when the peer cannot be reached."""
        await self._started.wait()
        conn = self._connect(address)
        with trio.move_on_after(SILENCE_S):
            await self._send(conn, envelope.Form.SEND, 0, kind, body)

    async def run(self) -> None:
        """Receive and keep connections alive until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._router.run)
            self._nursery.start_soon(self._beat)
            self._started.set()

    def close(self) -> None:
        """Close all sockets at once."""
        for conn in self._connections.values():
            if conn.channel is not None:
                conn.channel.close()
        self._router.close()
        self._ctx.term()

    def _message(self, form: envelope.Form, number: int, kind: str, body: bytes) -> bytes:
        return envelope.encode(
            envelope.Message(
                version=envelope.PROTOCOL_VERSION,
                form=form,
                call=number,
                sender=self.address,
                kind=kind,
                body=body,
            )
        )

    async def _send(
        self, conn: _Connection, form: envelope.Form, number: int, kind: str, body: bytes
    ) -> None:
        channel = conn.channel
        if channel is not None:
            await channel.send([self._message(form, number, kind, body)])

    def _connect(self, address: str) -> _Connection:
        conn = self._connections.get(address)
        if conn is None:
            conn = self._connections[address] = _Connection(address)
            self._open(conn)
        return conn

    def _open(self, conn: _Connection) -> None:
        assert self._nursery is not None  # noqa: S101  # callers wait for run()
        dealer = sockets.open_dealer(self._ctx, conn.address)
        conn.channel = sockets.Channel(dealer, lambda frames: self._on_answer(conn, frames))
        conn.heard_s = trio.current_time()
        self._nursery.start_soon(self._run_channel, conn.channel)

    async def _run_channel(self, channel: sockets.Channel) -> None:
        try:
            await channel.run()
        except zmq.ZMQError:
            self.counts["closed"] += 1

    def _on_answer(self, conn: _Connection, frames: list[bytes]) -> None:
        message = envelope.decode(frames[-1])
        if message is None:
            self.counts["malformed"] += 1
            return
        conn.heard_s = trio.current_time()
        waiter = conn.pending.pop(message.call, None)
        if message.form is envelope.Form.PONG:
            return
        if waiter is None:
            self.counts["late"] += 1
            return
        if message.form is envelope.Form.ERROR:
            waiter.send_nowait(outcome.Error(envelope.decode_error(message.body)))
        else:
            waiter.send_nowait(outcome.Value(message.body))

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

    async def _beat(self) -> None:
        while True:
            await trio.sleep(HEARTBEAT_S)
            for conn in list(self._connections.values()):
                if trio.current_time() - conn.heard_s > SILENCE_S:
                    self._replace(conn)
                assert conn.channel is not None  # noqa: S101  # set by _open
                conn.channel.try_send([self._message(envelope.Form.PING, 0, "", b"")])

    def _replace(self, conn: _Connection) -> None:
        self.counts["replaced"] += 1
        assert conn.channel is not None  # noqa: S101  # set by _open
        conn.channel.close()
        self._open(conn)


__all__ = ["Mesh"]
