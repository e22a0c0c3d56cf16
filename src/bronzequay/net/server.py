"""HTTP/1.1 server: one handler, connections kept open, a graceful end."""

from __future__ import annotations

import errno
import functools
import socket
from typing import TYPE_CHECKING

import httptools
import msgspec
import structlog
import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

READ_BYTES = 65_536
BACKLOG = 512
HEADER_TIMEOUT_S = 10.0
"""Longest time from a request's first byte to its last."""
IDLE_TIMEOUT_S = 75.0
"""Longest pause between two requests of a connection; common among HTTP servers."""
QUIET_POLL_S = 0.05
MAX_BODY_BYTES = 1_048_576
"""Bound on one request's body in memory; the configuration sets a smaller one."""
REASONS = {200: "OK", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 410: "Gone"}

_log = structlog.get_logger()


class Request(msgspec.Struct, frozen=True):
    """A whole request.

    :param path: the target without its query
    :param headers: by name in lower case
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    query: str = ""


class Answer(msgspec.Struct, frozen=True):
    """What the handler says.

    :param headers: beside those of the connection and the body
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class _Reader:
    """Receives the callbacks of the request parser."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.reset()

    def reset(self) -> None:
        self.target = b""
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.size = 0
        self.is_complete = False
        self.is_kept = False

    def on_message_begin(self) -> None:
        self.reset()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        if self.size <= MAX_BODY_BYTES:
            self.chunks.append(data)

    def on_message_complete(self) -> None:
        # Only here does the parser still know; it is reset right after.
        self.is_kept = self.parser.should_keep_alive()
        self.is_complete = True


class Server:
    """Serves one address until it is told to stop.

    :param address: ``IP:PORT``
    :param handle: answers one request
    """

    def __init__(self, address: str, handle: Callable[[Request], Awaitable[Answer]]) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._handle = handle
        self._is_closing = False
        self._busy = 0
        self._last_request_s = 0.0

    def close_connections(self) -> None:
        """Have every further answer end its connection."""
        self._is_closing = True

    async def wait_quiet(self, quiet_s: float) -> None:
        """Wait until no request has been in hand for a while."""
        while self._busy or trio.current_time() - self._last_request_s < quiet_s:  # noqa: ASYNC110
            await trio.sleep(QUIET_POLL_S)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled; started once it listens."""
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
                    if exc.errno not in (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED):
                        raise
                    _log.warning("accept_failed", error=str(exc))
                    await trio.sleep(0.1)
                    continue
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                nursery.start_soon(self._serve, trio.SocketStream(sock))

    async def _serve(self, stream: trio.SocketStream) -> None:
        reader = _Reader()
        try:
            while await self._read(stream, reader):
                if not await self._answer(stream, reader):
                    break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except httptools.HttpParserError:
            await _send_quietly(stream, _encode(Answer(400), keep=False))
        finally:
            stream.socket.close()

    async def _read(self, stream: trio.SocketStream, reader: _Reader) -> bool:
        """Read one request; false at the end of the connection."""
        reader.is_complete = False
        timeout_s = IDLE_TIMEOUT_S
        while not reader.is_complete:
            with trio.move_on_after(timeout_s):
                data = await stream.receive_some(READ_BYTES)
                if not data:
                    return False
                reader.parser.feed_data(data)
                timeout_s = HEADER_TIMEOUT_S
                continue
            return False
        return True

    async def _answer(self, stream: trio.SocketStream, reader: _Reader) -> bool:
        """Answer one request; false when the connection is to be closed."""
        self._busy += 1
        self._last_request_s = trio.current_time()
        try:
            path, _, query = reader.target.decode("latin-1").partition("?")
            method = reader.parser.get_method().decode("latin-1")
            req = Request(method, path, reader.headers, b"".join(reader.chunks), query)
            if reader.size > MAX_BODY_BYTES:
                answer = Answer(413)
            else:
                answer = await self._handled(req)
            keep = reader.is_kept and not self._is_closing
            await stream.send_all(_encode(answer, keep=keep))
        finally:
            self._busy -= 1
            self._last_request_s = trio.current_time()
        return keep

    async def _handled(self, req: Request) -> Answer:
        try:
            return await self._handle(req)
        except Exception:  # noqa: BLE001  # one bug must not end the process
            _log.exception("request_failed", method=req.method, path=req.path)
            return Answer(500)


async def _send_quietly(stream: trio.SocketStream, data: bytes) -> None:
    try:
        await stream.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


@functools.cache
def _status_line(status: int) -> str:
    return f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"


def _encode(answer: Answer, *, keep: bool) -> bytes:
    lines = [_status_line(answer.status), f"Content-Length: {len(answer.body)}"]
    if answer.body and not any(name == "Content-Type" for name, _ in answer.headers):
        lines.append("Content-Type: application/json")
    lines.extend(f"{name}: {value}" for name, value in answer.headers)
    if not keep:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + answer.body


__all__ = ["Answer", "Request", "Server"]
