"""Listening TCP socket that stays usable when an accept fails."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING

import structlog
import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

BACKLOG = 512
ACCEPT_RETRY_S = 0.1
"""Pause after a failed accept, in which other connections may close."""

_log = structlog.get_logger()


class Listener:
    """A socket that listens on one address.

    :param host: IP address
    :param port: TCP port
    :param buffer_bytes: size of the buffers of accepted connections, 0 for the kernel's default
    :param on_exhausted: called when no file descriptor is left for a connection
    """

    def __init__(
        self, host: str, port: int, *, buffer_bytes: int, on_exhausted: Callable[[], None]
    ) -> None:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if buffer_bytes:  # accepted connections inherit them
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        self._sock.bind((host, port))
        self._sock.listen(BACKLOG)
        self._trio_sock = trio.socket.from_stdlib_socket(self._sock)  # makes it non-blocking
        self._on_exhausted = on_exhausted

    async def accept(self) -> tuple[trio.SocketStream, str]:
        """Return the next connection and the IP address of its peer."""
        while True:
            try:
                sock, peer = await self._trio_sock.accept()
            except OSError as exc:
                # The listener stays usable: a lack of descriptors or memory, or an error of the
                # connection that was to be accepted.
                _log.warning("accept_failed", error=str(exc))
                if exc.errno in (errno.EMFILE, errno.ENFILE):
                    self._on_exhausted()
                await trio.sleep(ACCEPT_RETRY_S)
            else:
                return _stream(sock), peer[0]

    def close(self) -> Iterator[tuple[trio.SocketStream, str]]:
        """Yield the connections that the kernel has already accepted, then close the socket."""
        with self._sock:
            while True:
                try:
                    sock, peer = self._sock.accept()
                except ConnectionAbortedError:
                    continue
                except OSError:  # none is left, or no file descriptor
                    return
                yield _stream(trio.socket.from_stdlib_socket(sock)), peer[0]


def _stream(sock: trio.socket.SocketType) -> trio.SocketStream:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return trio.SocketStream(sock)


__all__ = ["Listener"]
