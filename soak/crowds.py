"""Crowds of clients that nobody controls, for the soak and for ``tests/hostile``."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import Iterator

QUOTA_BYTES = 8_000_000
"""Bytes after which a client with a message without end gives up and counts as not refused."""
PIECE = 16_384
CROWD_S = 1.5
"""Time for which clients send; a flood of 20 connections fills 160 MB in it today."""
LINE = b"POST /q/00ff00ff00ff00ff HTTP/1.1\r\nHost: h\r\n"
CHUNKED = LINE + b"Transfer-Encoding: chunked\r\n\r\n"
LEGAL_BODY = 262_144


class Kind(NamedTuple):
    """One kind of client.

    :param connections: number of clients in the tests of one instance
    :param start: sent first
    :param piece: sent again and again, empty for a client that only holds its connection
    :param pause_s: time between two pieces, in seconds
    :param must_be_refused: whether the message has no end, so that only a refusal ends it
    """

    connections: int
    start: bytes
    piece: bytes = b""
    pause_s: float = 0.0
    must_be_refused: bool = False


def _fill(piece: bytes) -> bytes:
    return piece * (PIECE // len(piece))


def _distinct_lines() -> bytes:
    names = itertools.product(b"abcdefghijklmnopqrstuvwxyz0123456789", repeat=2)
    return b"".join(bytes(name) + b":\r\n" for name in names)


KINDS = {
    "many short header lines": Kind(20, LINE, _fill(b"a:\r\n"), must_be_refused=True),
    "odd header lines": Kind(20, LINE, _distinct_lines() * 3, must_be_refused=True),
    "trailers without end": Kind(
        20, CHUNKED + b"1\r\nx\r\n0\r\n", _fill(b"a:b\r\n"), must_be_refused=True
    ),
    "endless header line": Kind(20, LINE + b"A: ", b"x" * PIECE, must_be_refused=True),
    "endless header name": Kind(20, LINE, b"x" * PIECE, must_be_refused=True),
    "endless request target": Kind(20, b"GET /", b"x" * PIECE, must_be_refused=True),
    "endless empty lines": Kind(20, b"", _fill(b"\r\n"), must_be_refused=True),
    "endless chunk extensions": Kind(20, CHUNKED + b"1;", _fill(b"a=b;"), must_be_refused=True),
    "tiny chunks": Kind(20, CHUNKED, _fill(b"1\r\nx\r\n"), must_be_refused=True),
    "half-sent bodies": Kind(
        300, LINE + b"Content-Length: %d\r\n\r\n" % LEGAL_BODY + b"x" * (LEGAL_BODY - 1)
    ),
    "half-sent heads of distinct lines": Kind(300, LINE + _distinct_lines() * 2),
    "pipelined requests": Kind(300, b"", _fill(b"GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n")),
    "one byte at a time": Kind(300, LINE, b"x", pause_s=0.2),
    "idle connections": Kind(300, b""),
    "unread answers": Kind(300, b"GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n" * 20),
}


class Crowd:
    """Clients of one kind, which keep their connections open until cancelled.

    :param port: port of the listener on 127.0.0.1
    :ivar refused: number of clients whose connection the instance has closed
    """

    def __init__(self, kind: Kind, port: int) -> None:
        self.refused = 0
        self._kind = kind
        self._port = port

    async def send(self, nursery: trio.Nursery) -> None:
        """Connect and send for ``CROWD_S`` seconds; the connections stay open in the nursery."""
        streams = []
        for _ in range(self._kind.connections):
            stream = await trio.open_tcp_stream("127.0.0.1", self._port)
            streams.append(stream)
            nursery.start_soon(self._hold, stream)
        async with trio.open_nursery() as senders:
            for stream in streams:
                senders.start_soon(self._send, stream)

    async def _hold(self, stream: trio.SocketStream) -> None:
        async with stream:
            await trio.sleep_forever()

    async def _send(self, stream: trio.SocketStream) -> None:
        is_endless = self._kind.must_be_refused
        with trio.move_on_after(10 * CROWD_S if is_endless else CROWD_S):
            try:
                for piece in self._pieces():
                    await stream.send_all(piece)
                    await trio.sleep(self._kind.pause_s)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.refused += 1

    def _pieces(self) -> Iterator[bytes]:
        yield self._kind.start
        if self._kind.piece:
            count = QUOTA_BYTES // len(self._kind.piece)
            yield from itertools.repeat(self._kind.piece, count)
