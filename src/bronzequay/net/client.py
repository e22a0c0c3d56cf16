"""HTTP/1.1 client with persistent connections, without pipelining."""

from __future__ import annotations

import math
import select
import socket
from typing import TYPE_CHECKING

import httptools
import msgspec
import trio

from bronzequay.net import address

if TYPE_CHECKING:
    from collections.abc import Mapping

READ_BYTES = 65_536
MAX_RESPONSE_BYTES = 33_554_432
"""Limit on a response held in memory; the store's largest pages have a few MB."""
MAX_SHORT_RESPONSE_BYTES = 4_194_304
"""The same for workers, advice and machines, whose responses list the runs of one worker or the
workers of one service: 1,400 bytes for each of 3,000 workers."""
MAX_HEADER_LINES = 1000
"""Limit on header lines and trailers; the platform's services send about ten."""
MAX_FRAMING_BYTES = 131_072
"""Limit on bytes of a response in a row that are no part of its body: two reads."""
CONNECT_TIMEOUT_S = 1.0
"""Connecting takes a few milliseconds; the kernel resends a lost SYN only after one second."""
STALL_TIMEOUT_S = 1.0
"""Longest pause within a response; other traffic on a slow link delays it by half a second."""
MIN_BYTES_PER_S = 65_536
"""Slowest transfer over its whole duration, a tenth of what the slowest links carry."""
UNACKED_TIMEOUT_MS = 4000
"""TCP_USER_TIMEOUT: limit on how long sent bytes may stay unacknowledged; a backstop behind the
timeout of each call."""


class NotSentError(Exception):
    """No connection could be made, so the peer has not received the request.

    :param is_refused: whether the address has no listener
    """

    def __init__(self, message: str = "", *, is_refused: bool = False) -> None:
        super().__init__(message)
        self.is_refused = is_refused


class NoResponseError(Exception):
    """The request may have reached the peer, and no complete response came back."""


class TooLargeError(NoResponseError):
    """The peer has responded with more than the caller wants to read."""


class Transfer:
    """Progress of one response whose size, and so its duration, is not limited.

    The time limit of its call then applies to the begin of the response. After that the response
    may go on for as long as it arrives: without a pause, and not at a trickle.

    :param max_s: limit on the time from its first bytes to its last
    :param max_bytes: limit on the size of its body, where its header states one
    :ivar received_bytes: bytes that have arrived
    """

    def __init__(self, *, max_s: float = math.inf, max_bytes: float = math.inf) -> None:
        self.received_bytes = 0
        self._max_s = max_s
        self._max_bytes = max_bytes
        self._began_s = self._latest_s = math.nan
        self._scope: trio.CancelScope | None = None

    def limit(self, scope: trio.CancelScope) -> None:
        """Extend a scope's deadline with each part of the response that arrives."""
        self._scope = scope

    def expect(self, size: int) -> None:
        """Check the size of the body that the header states.

        :raises TooLargeError: when it is over the limit
        """
        if size > self._max_bytes:
            raise TooLargeError(f"the response has {size} bytes, over {self._max_bytes:g}")

    def record(self, size: int) -> None:
        """Record that bytes have arrived."""
        self._latest_s = trio.current_time()
        if not self.received_bytes:
            self._began_s = self._latest_s
        self.received_bytes += size
        if self._scope is not None:
            slowest_s = self._began_s + self.received_bytes / MIN_BYTES_PER_S
            stalled_s = min(self._latest_s, slowest_s) + STALL_TIMEOUT_S
            self._scope.deadline = min(stalled_s, self._began_s + self._max_s)

    @property
    def receiving_s(self) -> float:
        """Return the seconds from the first bytes to the latest, 0 before any arrived."""
        return self._latest_s - self._began_s if self.received_bytes else 0.0

    @property
    def idle_s(self) -> float:
        """Return the seconds since the latest bytes arrived, 0 before any did."""
        return trio.current_time() - self._latest_s if self.received_bytes else 0.0


class Response(msgspec.Struct, frozen=True):
    """A complete response.

    :param headers: values by lower-case name
    """

    status: int
    headers: dict[str, str]
    body: bytes


class _ResponseReader:
    """Receives the callbacks of the response parser.

    :param max_bytes: limit on the whole response
    """

    def __init__(self, max_bytes: int) -> None:
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.is_complete = False
        self.is_keep_alive = False
        self.parser = httptools.HttpResponseParser(self)
        self._max_bytes = max_bytes
        self._size = 0
        self._lines = 0
        self._framing_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises NoResponseError: when the response is too large
        """
        self._size += len(data)
        if self._size > self._max_bytes:
            raise NoResponseError(f"the response has more than {self._max_bytes} bytes")
        body_bytes = len(self.body)
        self.parser.feed_data(data)
        # Bytes without a byte of the body: the head, the trailers or the framing of chunks, of
        # which the parser holds an unfinished line.
        is_framing = len(self.body) == body_bytes
        self._framing_bytes = self._framing_bytes + len(data) if is_framing else 0
        if self._framing_bytes > MAX_FRAMING_BYTES and not self.is_complete:
            raise NoResponseError(f"the response has {MAX_FRAMING_BYTES} bytes without a body")

    @property
    def expected_bytes(self) -> int:
        """Return the size of the body that the header states so far, 0 when it states none."""
        text = self.headers.get("content-length", "")
        return int(text) if text.isascii() and text.isdigit() else 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._lines += 1
        if self._lines > MAX_HEADER_LINES:
            raise NoResponseError(f"the response has more than {MAX_HEADER_LINES} header lines")
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        # The parser resets this flag right after the callback.
        self.is_keep_alive = self.parser.should_keep_alive()
        self.is_complete = True


class Connection:
    """One connection, which is closed on the first failure.

    :param stream: a connected stream
    :param max_response_bytes: limit on a response
    """

    def __init__(self, stream: trio.SocketStream, max_response_bytes: int) -> None:
        self._stream = stream
        self._max_response_bytes = max_response_bytes
        self.is_open = True

    async def exchange(self, message: bytes, transfer: Transfer) -> Response:
        """Send one request and read its response.

        :param message: the encoded request
        :param transfer: records the progress of the response
        :raises NoResponseError: when the connection ends before the response is complete
        """
        reader = _ResponseReader(self._max_response_bytes)
        try:
            await self._stream.send_all(message)
            while not reader.is_complete:
                data = await self._stream.receive_some(READ_BYTES)
                if not data:
                    raise NoResponseError(
                        "the peer closed the connection before the response was complete"
                    )
                transfer.record(len(data))
                reader.feed(data)
                transfer.expect(reader.expected_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise NoResponseError("the connection broke before the response was complete") from exc
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise NoResponseError(f"malformed response: {exc!r}") from exc
        finally:
            self.is_open = reader.is_complete and reader.is_keep_alive
            if not self.is_open:
                self.close()
        return Response(reader.parser.get_status_code(), reader.headers, bytes(reader.body))

    @property
    def is_usable(self) -> bool:
        """Return whether the idle connection is open and the peer has not closed it."""
        if not self.is_open:
            return False
        # An idle connection becomes readable only when the peer closes it.
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Close the socket without waiting."""
        self.is_open = False
        self._stream.socket.close()


class Client:
    """Client of one address, with a pool of persistent connections.

    A new connection is opened when no idle one is usable.

    :param peer: its address, ``IP:PORT``
    :param max_response_bytes: limit on a response, ``MAX_RESPONSE_BYTES`` when None
    :raises ValueError: when it is not an address
    """

    def __init__(self, peer: str, *, max_response_bytes: int | None = None) -> None:
        self._host, self._port = address.parse(peer)
        self.address = peer
        self._max_response_bytes = max_response_bytes
        self._idle: list[Connection] = []

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
        transfer: Transfer | None = None,
    ) -> Response:
        """Send one request and return its response.

        :param timeout_s: seconds for the whole call, including connecting; with ``transfer`` for
            the call until its response begins
        :param transfer: limits the rest of the response
        :raises NotSentError: when the peer has not received the request
        :raises NoResponseError: when the peer may have received it
        """
        message = _encode_request(method, path, self.address, body, headers)
        progress = transfer or Transfer()
        with trio.move_on_after(timeout_s) as scope:
            if transfer is not None:
                transfer.limit(scope)
            conn = await self._acquire(timeout_s)
            try:
                return await conn.exchange(message, progress)
            finally:
                if conn.is_open:
                    self._idle.append(conn)
        assert scope.cancelled_caught  # noqa: S101  # only the timeout reaches this line
        size = progress.received_bytes
        if transfer is not None and size:
            elapsed_s = round(progress.receiving_s, 3)
            raise NoResponseError(f"the response stopped after {size} bytes and {elapsed_s} s")
        received = f", {size} bytes of it" if size else ""
        raise NoResponseError(f"no response within {timeout_s:g} s{received}")

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _acquire(self, timeout_s: float) -> Connection:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable:
                return conn
            conn.close()
        return await self._connect(timeout_s)

    async def _connect(self, timeout_s: float) -> Connection:
        try:
            sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as exc:  # no file descriptor is left
            raise NotSentError(f"cannot open a socket for {self.address}: {exc!r}") from exc
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
            with trio.fail_after(min(CONNECT_TIMEOUT_S, timeout_s)):
                await sock.connect((self._host, self._port))
        except (OSError, trio.TooSlowError) as exc:
            sock.close()
            is_refused = isinstance(exc, ConnectionRefusedError)
            message = f"cannot connect to {self.address}: {exc!r}"
            raise NotSentError(message, is_refused=is_refused) from exc
        except trio.Cancelled:
            sock.close()
            raise
        return Connection(trio.SocketStream(sock), self._max_response_bytes or MAX_RESPONSE_BYTES)


def _encode_request(
    method: str, path: str, host: str, body: bytes, headers: Mapping[str, str] | None
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    if headers:
        lines.extend(f"{name}: {value}" for name, value in headers.items())
    if body or method == "POST":
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


__all__ = [
    "Client",
    "Connection",
    "NoResponseError",
    "NotSentError",
    "Response",
    "TooLargeError",
    "Transfer",
]
