"""Loopback proxy between two processes that delays, resets, cuts or silences connections."""

from __future__ import annotations

import math
import socket
import struct
from typing import TYPE_CHECKING, Literal

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value with which closing a socket sends a reset."""

Direction = Literal["up", "down"]
"""Direction of data: ``up`` is from the client to the target."""


class _Connection:
    """A connection through the proxy, with its two sockets."""

    def __init__(
        self, client_sock: trio.socket.SocketType, target_sock: trio.socket.SocketType
    ) -> None:
        self.client_sock = client_sock
        self.target_sock = target_sock
        self.is_silenced = False

    def reset(self) -> None:
        """Close both sockets with a reset."""
        for sock in (self.client_sock, self.target_sock):
            if sock.fileno() < 0:
                continue
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()


class Link:
    """Forwards a port to a target port under the faults that are set.

    :param port: port on which it listens
    :param target: returns the port to which it forwards
    :ivar delay_s: delay of each chunk of data, in seconds
    :ivar bytes_per_s: bandwidth towards the client, for all connections together
    :ivar cut: directions in which data is held back until ``heal`` is called
    :ivar is_refusing: whether new connections are reset
    :ivar unreachable_s: time at which a connection to the target was last refused or failed
    """

    def __init__(self, port: int, target: Callable[[], int]) -> None:
        self.port = port
        self.delay_s = 0.0
        self.bytes_per_s = float("inf")
        self.cut: set[Direction] = set()
        self.is_refusing = False
        self.unreachable_s = float("-inf")
        self._target = target
        self._conns: set[_Connection] = set()
        self._uncut = trio.Event()
        self._free_s = float("-inf")

    def heal(self) -> None:
        """End all lasting faults; data held back by a cut is delivered."""
        self.delay_s = 0.0
        self.cut.clear()
        self.is_refusing = False
        self._uncut.set()
        self._uncut = trio.Event()

    def reset(self) -> None:
        """Reset the open connections."""
        for conn in list(self._conns):
            conn.reset()

    def silence(self) -> None:
        """Drop all further data on the open connections; new ones work."""
        for conn in self._conns:
            conn.is_silenced = True

    async def run(self) -> None:
        """Accept connections until cancelled."""
        listener = trio.socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await listener.bind(("127.0.0.1", self.port))
        listener.listen(256)
        async with trio.open_nursery() as nursery:
            while True:
                client_sock, _ = await listener.accept()
                nursery.start_soon(self._forward, client_sock)

    async def _forward(self, client_sock: trio.socket.SocketType) -> None:
        target_sock = trio.socket.socket()
        conn = _Connection(client_sock, target_sock)
        try:
            if self.is_refusing:
                self.unreachable_s = trio.current_time()
                conn.reset()
                return
            await self._wait_until_uncut("up")
            await target_sock.connect(("127.0.0.1", self._target()))
        except OSError:
            self.unreachable_s = trio.current_time()
            conn.reset()
            return
        for sock in (client_sock, target_sock):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._conns.add(conn)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, conn, client_sock, target_sock, "up")
                nursery.start_soon(self._pump, conn, target_sock, client_sock, "down")
        finally:
            self._conns.discard(conn)
            client_sock.close()
            target_sock.close()

    async def _pump(
        self,
        conn: _Connection,
        source: trio.socket.SocketType,
        sink: trio.socket.SocketType,
        direction: Direction,
    ) -> None:
        try:
            while data := await source.recv(READ_BYTES):
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                if direction == "down":
                    await self._transmit(len(data))
                await self._wait_until_uncut(direction)
                if conn.is_silenced:
                    continue
                while data:
                    data = data[await sink.send(data) :]
            if not conn.is_silenced:
                sink.shutdown(socket.SHUT_WR)
        except (OSError, trio.ClosedResourceError):
            conn.reset()

    async def _transmit(self, size: int) -> None:
        """Wait until the data has passed the link, behind all data before it."""
        if math.isinf(self.bytes_per_s):
            return
        self._free_s = max(self._free_s, trio.current_time()) + size / self.bytes_per_s
        await trio.sleep_until(self._free_s)

    async def _wait_until_uncut(self, direction: Direction) -> None:
        while direction in self.cut:
            await self._uncut.wait()
