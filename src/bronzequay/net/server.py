"""HTTP/1.1 server with one handler, persistent connections and a graceful shutdown.

Clients are not trusted: ``limits`` bounds what they can make the process hold.
"""

from __future__ import annotations

import functools
import math
import select
import socket
from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import figures
from bronzequay.net import framing, ledger, limits, listener, responses

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

READ_BYTES = 16_384
"""Largest read. It bounds the time of one turn: 16 KB of one-byte chunks take about 4 ms."""
IDLE_POLL_S = 0.05
LAST_REQUEST_S = 0.1
"""Time for the request on a connection that was accepted last to arrive."""
TURN_AWAY_S = 0.1
"""Time for sending the refusal of a new connection; the kernel takes it at once."""
LINGER_S = 1.0
"""Time for which the rest of a refused request is read and dropped: closing a socket with unread
bytes resets the connection, and the peer may lose the response."""
LINGER_BYTES = 1_310_720
"""Limit on the bytes dropped, so that a body of 1 MB still gets its 413."""
_log = structlog.get_logger()


class Request(msgspec.Struct, frozen=True):
    """A complete request.

    :param path: the target without its query
    :param headers: values by lower-case name
    :param query: the target's query, without the question mark
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    query: str = ""


class Response(msgspec.Struct, frozen=True):
    """The handler's response.

    :param headers: in addition to those for the connection and the body
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class _Connection:
    """One connection with what was received on it.

    :ivar receiving: surrounds the read that is in progress or was the last
    :ivar is_waiting: whether a complete request has not been handled yet
    :ivar is_sending: whether a part of a response may have been sent
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        account: limits.Account,
        read_limits: Callable[[], limits.Limits],
    ) -> None:
        self.stream = stream
        self.account = account
        self.reader = framing.RequestReader(read_limits)
        self.receiving = trio.CancelScope()
        self.is_waiting = False
        self.is_sending = False

    @property
    def is_idle(self) -> bool:
        """Return whether no part of a request or response is in progress, or waits to be read."""
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return self.account.phase is limits.Phase.IDLE and not poll.poll(0)


class Server:
    """Serves one address until cancelled.

    :param address: ``IP:PORT``
    :param handle: handles one request
    :param read_limits: returns the limits now in force
    :param turns: shared by the servers of a process whose requests take turns; None for a server
        whose clients are trusted
    :param name: name in the metrics and in the log
    """

    def __init__(
        self,
        address: str,
        handle: Callable[[Request], Awaitable[Response]],
        *,
        read_limits: Callable[[], limits.Limits] = limits.Limits,
        turns: limits.Turns | None = None,
        name: str = "server",
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._handle = handle
        self._read_limits = read_limits
        self._turns = turns
        self._accept_turns = None if turns is None else limits.Turns(limits.ACCEPT_SHARE)
        self._name = name
        self.ledger = ledger.Ledger(read_limits)
        self._accept_scope = trio.CancelScope()
        self._conns: set[_Connection] = set()
        self._is_keep_alive_disabled = False
        self._in_flight = 0
        self._last_request_s = 0.0

    def disable_keep_alive(self) -> None:
        """Close every connection after its next response."""
        self._is_keep_alive_disabled = True

    def register_gauges(self) -> None:
        """Add what the connections hold to the metrics."""
        for gauge in ("connections", "held_bytes", "handling_bytes"):
            name = f'listener_{gauge}{{listener="{self._name}"}}'
            figures.gauge(name, functools.partial(getattr, self.ledger, gauge))

    async def wait_idle(self, idle_s: float) -> None:
        """Wait until no request has been in progress for a given time.

        :param idle_s: the time in seconds
        """
        while self._in_flight or trio.current_time() - self._last_request_s < idle_s:  # noqa: ASYNC110
            await trio.sleep(IDLE_POLL_S)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled.

        :param task_status: started once the server listens
        """
        accepting = listener.Listener(
            self._host,
            self._port,
            buffer_bytes=self._read_limits().socket_buffer_bytes,
            on_exhausted=self.ledger.evict_idle,
        )
        try:
            task_status.started()
            async with trio.open_nursery() as nursery:
                with self._accept_scope:
                    while True:
                        if self._accept_turns is not None:
                            if self._accept_turns.is_busy:
                                await self._accept_turns.take()
                            self._accept_turns.spend(limits.ACCEPT_COST_S)
                        self._open(nursery, *await accepting.accept())
                for stream, peer in accepting.close():
                    self._open(nursery, stream, peer)
        finally:
            for stream, _ in accepting.close():
                stream.socket.close()

    async def finish(self, within_s: float) -> None:
        """Accept no more connections, and answer the requests that have been sent.

        :param within_s: longest time for the answers, in seconds
        """
        self._accept_scope.cancel()
        with trio.move_on_after(within_s):
            await trio.sleep(LAST_REQUEST_S)
            for conn in self._conns:
                if conn.is_idle:
                    # Ends a wait for bytes, not a read that already has some.
                    conn.receiving.cancel()
            while self._conns:  # noqa: ASYNC110  # as in ``wait_idle``
                await trio.sleep(IDLE_POLL_S)

    def _open(self, nursery: trio.Nursery, stream: trio.SocketStream, peer: str) -> None:
        try:
            account = self.ledger.open(peer)
        except limits.Refusal as refusal:
            nursery.start_soon(self._turn_away, stream, peer, refusal)
            return
        conn = _Connection(stream, account, self._read_limits)
        self._conns.add(conn)
        nursery.start_soon(self._serve, conn)

    async def _turn_away(
        self, stream: trio.SocketStream, peer: str, refusal: limits.Refusal
    ) -> None:
        """Refuse a new connection, without waiting for the peer."""
        self._record(peer, refusal)
        with trio.move_on_after(TURN_AWAY_S):
            await _send_ignoring_errors(stream, _encode_refusal(refusal))
        stream.socket.close()

    async def _serve(self, conn: _Connection) -> None:
        account = conn.account
        refusal = None
        try:
            with account.scope:
                while (message := await self._read(conn)) is not None:
                    if not await self._respond(conn, message):
                        break
            refusal = account.refusal
            if refusal is None and account.scope.cancelled_caught:
                refusal = _timeout_refusal(conn)
        except limits.Refusal as exc:
            refusal = exc.with_traceback(None)  # whose frames would keep the buffers
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception:  # noqa: BLE001  # it must not end the other connections
            _log.exception("connection_failed", address=f"{self._host}:{self._port}")
            figures.count("connections_failed")
        try:
            if refusal is not None:
                await self._refuse(conn, refusal)
        finally:
            self._conns.discard(conn)
            conn.reader.clear()
            self.ledger.close(account)
            conn.stream.socket.close()

    async def _read(self, conn: _Connection) -> framing.Message | None:
        """Read until a request is complete; return None when the connection is to be closed.

        :raises limits.Refusal: when the request is refused
        """
        reader, account = conn.reader, conn.account
        deadline_s: float | None = None
        has_head = False
        while True:
            message = await self._parse(conn)
            if message is not None:
                return message
            bounds = self._read_limits()
            expected_bytes = reader.expected_bytes
            if expected_bytes > account.reserved_bytes + limits.ORDINARY_BYTES:
                await self.ledger.reserve(account, expected_bytes, bounds.body_timeout_s)
            if not reader.is_receiving:
                account.scope.deadline = account.since_s + bounds.idle_timeout_s
            elif deadline_s is None or reader.has_head > has_head:
                has_head = reader.has_head
                timeout_s = bounds.body_timeout_s if has_head else bounds.head_timeout_s
                deadline_s = account.scope.deadline = trio.current_time() + timeout_s
            else:
                account.scope.deadline = deadline_s
            data = b""
            with trio.CancelScope() as conn.receiving:
                data = bytes(await conn.stream.receive_some(READ_BYTES))
            # Waiting for the turn, for memory and for the handler has time limits of its own.
            account.scope.deadline = math.inf
            if not data:
                return None
            reader.feed(data)

    async def _parse(self, conn: _Connection) -> framing.Message | None:
        """Return the next request if all of it has arrived.

        :raises limits.Refusal: when it is refused
        """
        reader, account = conn.reader, conn.account
        account.check()
        if not reader.is_receiving:
            return None
        account.enter(limits.Phase.RECEIVING)
        message, has_more = None, True
        while has_more:
            if self._turns is None:
                message = reader.next_message()
            else:
                if self._turns.is_busy:
                    self.ledger.hold(account, reader.held_bytes)
                    await self._turns.take()
                message = self._turns.run(reader.next_message)
            has_more = reader.has_more
        conn.is_waiting = message is not None
        message_bytes = 0 if message is None else message.held_bytes + len(message.body)
        self.ledger.hold(account, reader.held_bytes + message_bytes)
        return message

    async def _respond(self, conn: _Connection, message: framing.Message) -> bool:
        """Respond to one request; return false when the connection is to be closed.

        :raises limits.Refusal: when there is no room to handle it
        """
        bounds = self._read_limits()
        self._in_flight += 1
        self._last_request_s = trio.current_time()
        try:
            cost_bytes = bounds.handling_bytes + message.decoded_bytes
            cost_bytes += bounds.handling_factor * len(message.body)
            await self.ledger.admit(conn.account, cost_bytes, conn.reader.held_bytes)
            conn.is_waiting = False
            if self._turns is not None:
                self._turns.spend(
                    limits.REQUEST_COST_S + limits.BODY_COST_S_PER_BYTE * len(message.body)
                )
            response = await self._call_handler(message)
            keep_alive = message.is_keep_alive and not self._is_keep_alive_disabled
            del message
            data = responses.encode(
                response.status, response.body, response.headers, keep_alive=keep_alive
            )
            del response
            self._last_request_s = trio.current_time()
            self.ledger.respond(conn.account, len(data))
            conn.is_sending = True
            conn.account.scope.deadline = self._last_request_s + bounds.send_timeout_s
            await conn.stream.send_all(data)
            conn.account.scope.deadline = math.inf
            conn.is_sending = False
            self.ledger.finish(conn.account)
        finally:
            self._in_flight -= 1
            self._last_request_s = trio.current_time()
        return keep_alive

    async def _call_handler(self, message: framing.Message) -> Response:
        if message.method == "CONNECT":
            return Response(405)
        path, _, query = message.target.partition("?")
        req = Request(message.method, path, message.headers(), bytes(message.body), query)
        message.body = b""
        try:
            return await self._handle(req)
        except Exception:  # noqa: BLE001  # a bug in the handler must not end the process
            _log.exception("request_failed", method=req.method, path=req.path)
            return Response(500)

    async def _refuse(self, conn: _Connection, refusal: limits.Refusal) -> None:
        """Send the refusal of a request that has begun to arrive, and drop the rest of it."""
        self._record(conn.account.peer, refusal)
        is_unanswered = conn.is_waiting or conn.reader.is_receiving
        conn.reader.clear()
        if conn.is_sending or not is_unanswered or refusal.reason == "connections":
            return
        self.ledger.refuse(conn.account)
        stream = conn.stream
        try:
            with trio.move_on_after(LINGER_S), conn.account.scope:
                await stream.send_all(_encode_refusal(refusal))
                stream.socket.shutdown(socket.SHUT_WR)
                dropped_bytes = 0
                while dropped_bytes < LINGER_BYTES:
                    data = await stream.receive_some(READ_BYTES)
                    if not data:
                        return
                    dropped_bytes += len(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return

    def _record(self, peer: str, refusal: limits.Refusal) -> None:
        figures.count(f'refusals{{listener="{self._name}",reason="{refusal.reason}"}}')
        _log.info(
            "client_refused",
            listener=self._name,
            peer=peer,
            status=refusal.status,
            reason=refusal.reason,
        )


def _timeout_refusal(conn: _Connection) -> limits.Refusal | None:
    """Return why a connection whose time is over is refused; None for an idle one."""
    if conn.is_sending:
        return limits.Refusal(408, "unread_response")
    if not conn.reader.is_receiving:
        return None
    return limits.Refusal(408, "body_timeout" if conn.reader.has_head else "head_timeout")


async def _send_ignoring_errors(stream: trio.SocketStream, data: bytes) -> None:
    try:
        await stream.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


def _encode_refusal(refusal: limits.Refusal) -> bytes:
    has_retry = refusal.status == 503  # noqa: PLR2004
    headers = (("Retry-After", str(limits.RETRY_AFTER_S)),) if has_retry else ()
    return responses.encode(refusal.status, b"", headers, keep_alive=False)


__all__ = ["Request", "Response", "Server"]
