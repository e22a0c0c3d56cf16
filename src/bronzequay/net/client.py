"""HTTP/1.1 client: connections that are kept open, one request at a time on each."""

from __future__ import annotations

import select
import socket
from typing import TYPE_CHECKING

import httptools
import msgspec
import trio

if TYPE_CHECKING:
    from collections.abc import Mapping

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
"""A connection over these links takes a few milliseconds; a lost opening packet costs a second."""
UNACKED_TIMEOUT_MS = 4000
"""Kernel limit on unacknowledged bytes, behind the timeout that each call has of its own."""


class NotSentError(Exception):
    """No connection could be made: the peer has not seen the request.

    :param is_refused: whether the address has no listener
    """

    def __init__(self, message: str = "", *, is_refused: bool = False) -> None:
        super().__init__(message)
        self.is_refused = is_refused


class NoAnswerError(Exception):
    """The request may have arrived, and no whole answer to it came back."""


class Response(msgspec.Struct, frozen=True):
    """A whole answer.

    :param headers: by name in lower case
    """

    status: int
    headers: dict[str, str]
    body: bytes


class _Collector:
    """Receives the callbacks of the response parser."""

    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.is_complete = False
        self.is_kept = False
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        # Only here does the parser still know; it is reset right after.
        self.is_kept = self.parser.should_keep_alive()
        self.is_complete = True


class Connection:
    """One connection; it is closed by the first failure.

    :param stream: an open stream
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.is_open = True

    async def exchange(self, message: bytes) -> Response:
        """Send one request and read the answer.

        :raises NoAnswerError: when the connection ended first
        """
        collector = _Collector()
        try:
            await self._stream.send_all(message)
            while not collector.is_complete:
                data = await self._stream.receive_some(READ_BYTES)
                if not data:
                    raise NoAnswerError("the connection was closed before the answer")
                collector.parser.feed_data(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise NoAnswerError("the connection was reset") from exc
        except httptools.HttpParserError as exc:
            raise NoAnswerError(f"unreadable answer: {exc}") from exc
        finally:
            self.is_open = collector.is_complete and collector.is_kept
            if not self.is_open:
                self.close()
        return Response(
            collector.parser.get_status_code(), collector.headers, b"".join(collector.chunks)
        )

    @property
    def is_usable(self) -> bool:
        """Return whether the idle connection is open and the peer has not closed it."""
        if not self.is_open:
            return False
        # An idle connection has something to read only at its end.
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Close the socket without waiting."""
        self.is_open = False
        self._stream.socket.close()


class Client:
    """Connections to one address, made when all open ones are busy.

    :param address: ``IP:PORT``
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host, self._port = host, int(port)
        self._idle: list[Connection] = []

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
    ) -> Response:
        """Make one call.

        :param timeout_s: seconds for the whole call, a connection included
        :raises NotSentError: the peer has not seen the request
        :raises NoAnswerError: the peer may have seen it
        """
        message = _message(method, path, self.address, body, headers)
        with trio.move_on_after(timeout_s) as scope:
            conn = await self._take(timeout_s)
            try:
                return await conn.exchange(message)
            finally:
                if conn.is_open:
                    self._idle.append(conn)
        assert scope.cancelled_caught  # noqa: S101  # the only way out of the block
        raise NoAnswerError(f"no answer within {timeout_s:g} s")

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _take(self, timeout_s: float) -> Connection:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable:
                return conn
            conn.close()
        return await self._connect(timeout_s)

    async def _connect(self, timeout_s: float) -> Connection:
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
            with trio.fail_after(min(CONNECT_TIMEOUT_S, timeout_s)):
                await sock.connect((self._host, self._port))
        except (OSError, trio.TooSlowError) as exc:
            sock.close()
            is_refused = isinstance(exc, ConnectionRefusedError)
            message = f"no connection to {self.address}: {exc!r}"
            raise NotSentError(message, is_refused=is_refused) from exc
        except trio.Cancelled:
            sock.close()
            raise
        return Connection(trio.SocketStream(sock))


def _message(
    method: str, path: str, host: str, body: bytes, headers: Mapping[str, str] | None
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    if headers:
        lines.extend(f"{name}: {value}" for name, value in headers.items())
    if body or method == "POST":
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


__all__ = ["Client", "Connection", "NoAnswerError", "NotSentError", "Response"]
