"""HTTP/1.1 server with one handler, persistent connections and a graceful shutdown."""

from __future__ import annotations

import collections
import functools
import socket
from typing import TYPE_CHECKING

import httptools
import msgspec
import structlog
import trio

from bronzequay import figures

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

READ_BYTES = 65_536
BACKLOG = 512
RECEIVE_TIMEOUT_S = 10.0
"""Longest wait for more data of a request that has begun to arrive."""
IDLE_TIMEOUT_S = 75.0
"""Keep-alive timeout, the longest pause between two requests on a connection; 75 s is common
among HTTP servers."""
IDLE_POLL_S = 0.05
MAX_BODY_BYTES = 1_048_576
"""Limit on a request body held in memory; the configuration sets a smaller limit."""
REASON_PHRASES = {200: "OK", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 410: "Gone"}

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


class _Message(msgspec.Struct):
    """A request as it was received.

    :param raw_headers: names and values, in their order
    :param size: of the whole body, of which no more than the limit is kept
    """

    method: bytes
    target: bytes
    raw_headers: list[tuple[bytes, bytes]]
    body: bytes
    size: int
    is_keep_alive: bool

    def headers(self) -> dict[str, str]:
        """Return the headers' values by lower-case name; the last of several counts."""
        return {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in self.raw_headers
        }


class _RequestReader:
    """Receives the callbacks of the request parser.

    :ivar messages: complete requests that have not been answered, in their order
    """

    def __init__(self) -> None:
        self.messages: collections.deque[_Message] = collections.deque()
        self._error: httptools.HttpParserError | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []
        self._size = 0

    def on_message_begin(self) -> None:
        self._reset()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._raw_headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size <= MAX_BODY_BYTES:
            self._chunks.append(data)

    def on_message_complete(self) -> None:
        message = _Message(
            self._parser.get_method(),
            self._target,
            self._raw_headers,
            b"".join(self._chunks),
            self._size,
            # The parser resets this flag right after the callback.
            self._parser.should_keep_alive(),
        )
        self.messages.append(message)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; malformed ones are reported after the requests before them."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            self._decline_upgrade(data[exc.args[0] :])
        except httptools.HttpParserError as exc:
            self._error = exc

    def check(self) -> None:
        """Raise the error that the received bytes have caused.

        :raises httptools.HttpParserError: when they are malformed
        """
        if self._error is not None:
            raise self._error

    def _decline_upgrade(self, rest: bytes) -> None:
        """Parse a request that offers another protocol again, without the offer.

        The parser takes the end of its headers for the end of HTTP/1.1.

        :param rest: the bytes after its headers
        """
        message = self.messages.pop()
        if message.method == b"CONNECT":
            message.is_keep_alive = False
            self.messages.append(message)
            return
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (message.method, message.target, version)]
        lines += [b"%b: %b" % pair for pair in message.raw_headers if pair[0].lower() != b"upgrade"]
        self._parser = httptools.HttpRequestParser(self)
        self.feed(b"\r\n".join([*lines, b"", b""]) + rest)


class Server:
    """Serves one address until cancelled.

    :param address: ``IP:PORT``
    :param handle: handles one request
    """

    def __init__(self, address: str, handle: Callable[[Request], Awaitable[Response]]) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._handle = handle
        self._is_keep_alive_disabled = False
        self._in_flight = 0
        self._last_request_s = 0.0

    def disable_keep_alive(self) -> None:
        """Close every connection after its next response."""
        self._is_keep_alive_disabled = True

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
        listener = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await listener.bind((self._host, self._port))
        listener.listen(BACKLOG)
        task_status.started()
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    sock, _ = await listener.accept()
                except OSError as exc:
                    # The listener stays usable: a lack of descriptors or memory, or an error of
                    # the connection that was to be accepted.
                    _log.warning("accept_failed", error=str(exc))
                    await trio.sleep(0.1)
                    continue
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                nursery.start_soon(self._serve, trio.SocketStream(sock))

    async def _serve(self, stream: trio.SocketStream) -> None:
        reader = _RequestReader()
        try:
            while await self._read(stream, reader):
                if not await self._respond(stream, reader.messages.popleft()):
                    break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except httptools.HttpParserError:
            await _send_ignoring_errors(stream, _encode(Response(400), keep_alive=False))
        except Exception:  # noqa: BLE001  # it must not end the other connections
            _log.exception("connection_failed", address=f"{self._host}:{self._port}")
            figures.count("connections_failed")
        finally:
            stream.socket.close()

    async def _read(self, stream: trio.SocketStream, reader: _RequestReader) -> bool:
        """Read until a request is complete; return false when the connection ended or timed out."""
        timeout_s = IDLE_TIMEOUT_S
        while not reader.messages:
            reader.check()
            with trio.move_on_after(timeout_s):
                data = await stream.receive_some(READ_BYTES)
                if not data:
                    return False
                reader.feed(data)
                timeout_s = RECEIVE_TIMEOUT_S
                continue
            return False
        return True

    async def _respond(self, stream: trio.SocketStream, message: _Message) -> bool:
        """Respond to one request; return false when the connection is to be closed."""
        self._in_flight += 1
        self._last_request_s = trio.current_time()
        try:
            path, _, query = message.target.decode("latin-1").partition("?")
            method = message.method.decode("latin-1")
            req = Request(method, path, message.headers(), message.body, query)
            if message.size > MAX_BODY_BYTES:
                response = Response(413)
            elif method == "CONNECT":
                response = Response(405)
            else:
                response = await self._call_handler(req)
            keep_alive = message.is_keep_alive and not self._is_keep_alive_disabled
            await stream.send_all(_encode(response, keep_alive=keep_alive))
        finally:
            self._in_flight -= 1
            self._last_request_s = trio.current_time()
        return keep_alive

    async def _call_handler(self, req: Request) -> Response:
        try:
            return await self._handle(req)
        except Exception:  # noqa: BLE001  # a bug in the handler must not end the process
            _log.exception("request_failed", method=req.method, path=req.path)
            return Response(500)


async def _send_ignoring_errors(stream: trio.SocketStream, data: bytes) -> None:
    try:
        await stream.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


@functools.cache
def _status_line(status: int) -> str:
    return f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}"


def _encode(response: Response, *, keep_alive: bool) -> bytes:
    lines = [_status_line(response.status), f"Content-Length: {len(response.body)}"]
    if response.body and not any(name == "Content-Type" for name, _ in response.headers):
        lines.append("Content-Type: application/json")
    lines.extend(f"{name}: {value}" for name, value in response.headers)
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body


__all__ = ["Request", "Response", "Server"]
