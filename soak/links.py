"""Loopback proxy between two parts: delays, resets, cuts and silences connections."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, Literal

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value that makes a close send a reset."""

Direction = Literal["up", "down"]


class _Pair:
    """A connection through the proxy: its two sockets."""

    def __init__(self, near: trio.socket.SocketType, far: trio.socket.SocketType) -> None:
        self.near = near
        self.far = far
        self.is_silenced = False

    def reset(self) -> None:
        """End both connections with a reset."""
        for sock in (self.near, self.far):
            if sock.fileno() < 0:
                continue
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()


class Link:
    """Forwards one port to a target, as well as its faults allow.

    :param port: on which it listens
    :param target: gives the port that it forwards to
    :ivar delay_s: added to each piece of data
    :ivar cut: directions in which data is held until the cut heals
    :ivar is_refusing: whether new connections are reset
    :ivar unreached_s: when the target was last found without a listener
    """

    def __init__(self, port: int, target: Callable[[], int]) -> None:
        self.port = port
        self.delay_s = 0.0
        self.cut: set[Direction] = set()
        self.is_refusing = False
        self.unreached_s = float("-inf")
        self._target = target
        self._pairs: set[_Pair] = set()
        self._healed = trio.Event()

    def heal(self) -> None:
        """End all lasting faults; data that a cut has held goes on."""
        self.delay_s = 0.0
        self.cut.clear()
        self.is_refusing = False
        self._healed.set()
        self._healed = trio.Event()

    def reset(self) -> None:
        """Reset the open connections."""
        for pair in list(self._pairs):
            pair.reset()

    def silence(self) -> None:
        """Let the open connections carry nothing any more; new ones work."""
        for pair in self._pairs:
            pair.is_silenced = True

    async def run(self) -> None:
        """Accept connections until cancelled."""
        listener = trio.socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await listener.bind(("127.0.0.1", self.port))
        listener.listen(256)
        async with trio.open_nursery() as nursery:
            while True:
                near, _ = await listener.accept()
                nursery.start_soon(self._carry, near)

    async def _carry(self, near: trio.socket.SocketType) -> None:
        far = trio.socket.socket()
        pair = _Pair(near, far)
        try:
            if self.is_refusing:
                pair.reset()
                return
            await self._wait_open("up")
            await far.connect(("127.0.0.1", self._target()))
        except OSError:
            self.unreached_s = trio.current_time()
            pair.reset()
            return
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pairs.add(pair)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, pair, near, far, "up")
                nursery.start_soon(self._pump, pair, far, near, "down")
        finally:
            self._pairs.discard(pair)
            near.close()
            far.close()

    async def _pump(
        self,
        pair: _Pair,
        source: trio.socket.SocketType,
        sink: trio.socket.SocketType,
        direction: Direction,
    ) -> None:
        try:
            while data := await source.recv(READ_BYTES):
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                await self._wait_open(direction)
                if pair.is_silenced:
                    continue
                while data:
                    data = data[await sink.send(data) :]
            if not pair.is_silenced:
                sink.shutdown(socket.SHUT_WR)
        except (OSError, trio.ClosedResourceError):
            pair.reset()

    async def _wait_open(self, direction: Direction) -> None:
        while direction in self.cut:
            await self._healed.wait()
