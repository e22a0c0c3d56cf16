"""HTTP/1.1 server with one handler, persistent connections and a graceful shutdown."""

from __future__ import annotations

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


class _RequestReader:
    """Receives the callbacks of the request parser."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.reset()

    def reset(self) -> None:
        self.target = b""
        self.raw_headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.is_complete = False
        self.is_keep_alive = False

    def on_message_begin(self) -> None:
        self.reset()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.raw_headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        if self.size <= MAX_BODY_BYTES:
            self.chunks.append(data)

    def on_message_complete(self) -> None:
        # The parser resets this flag right after the callback.
        self.is_keep_alive = self.parser.should_keep_alive()
        self.is_complete = True

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers' values by lower-case name; the last of several counts."""
        return {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in self.raw_headers
        }

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises httptools.HttpParserError: when they are malformed
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            self._decline_upgrade(data[exc.args[0] :])

    def _decline_upgrade(self, rest: bytes) -> None:
        """Parse a request that offers another protocol again, without the offer.

        The parser takes the end of its headers for the end of HTTP/1.1.

        :param rest: the bytes after its headers
        """
        if self.parser.get_method() == b"CONNECT":
            self.is_keep_alive = False
            return
        version = self.parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (self.parser.get_method(), self.target, version)]
        lines += [b"%b: %b" % pair for pair in self.raw_headers if pair[0].lower() != b"upgrade"]
        self.parser = httptools.HttpRequestParser(self)
        self.reset()
        self.parser.feed_data(b"\r\n".join([*lines, b"", b""]) + rest)


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
                if not await self._respond(stream, reader):
                    break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except httptools.HttpParserError:
            await _send_ignoring_errors(stream, _encode(Response(400), keep_alive=False))
        except Exception:  # noqa: BLE001  # it must not end the other connections
            _log.exception("connection_failed", target=reader.target.decode("latin-1"))
            figures.count("connections_failed")
        finally:
            stream.socket.close()

    async def _read(self, stream: trio.SocketStream, reader: _RequestReader) -> bool:
        """Read one request; return false when the connection ended or timed out."""
        reader.is_complete = False
        timeout_s = IDLE_TIMEOUT_S
        while not reader.is_complete:
            with trio.move_on_after(timeout_s):
                data = await stream.receive_some(READ_BYTES)
                if not data:
                    return False
                reader.feed(data)
                timeout_s = RECEIVE_TIMEOUT_S
                continue
            return False
        return True

    async def _respond(self, stream: trio.SocketStream, reader: _RequestReader) -> bool:
        """Respond to one request; return false when the connection is to be closed."""
        self._in_flight += 1
        self._last_request_s = trio.current_time()
        try:
            path, _, query = reader.target.decode("latin-1").partition("?")
            method = reader.parser.get_method().decode("latin-1")
            req = Request(method, path, reader.headers, b"".join(reader.chunks), query)
            if reader.size > MAX_BODY_BYTES:
                response = Response(413)
            elif method == "CONNECT":
                response = Response(405)
            else:
                response = await self._call_handler(req)
            keep_alive = reader.is_keep_alive and not self._is_keep_alive_disabled
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
