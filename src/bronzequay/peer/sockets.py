"""ZeroMQ sockets on trio."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio
import zmq

if TYPE_CHECKING:
    from collections.abc import Callable

    Frames = list[bytes]

HIGH_WATER_MARK = 10_000
KEEP_ALIVE_IDLE_S = 30
KEEP_ALIVE_GAP_S = 10
KEEP_ALIVE_PROBES = 3
MAX_MESSAGE_BYTES = 16_000_000


class Channel:
    """A socket with one task that receives; sending never waits.

    The socket's descriptor is edge-triggered and signals both directions, so that the
    receiving task alone waits on it and looks at ``zmq.EVENTS`` before each wait.

    :param sock: the socket, which the channel owns
    :param on_frames: called with each message received
    """

    def __init__(self, sock: zmq.SyncSocket, on_frames: Callable[[Frames], None]) -> None:
        self._sock = sock
        self._on_frames = on_frames
        self._waiting: collections.deque[tuple[Frames, trio.Event]] = collections.deque()
        self._scope: trio.CancelScope | None = None

    async def run(self) -> None:
        """Receive, and send what waited for a connection, until cancelled."""
        while not self._sock.closed:
            self._receive_all()
            self._send_waiting()
            if self._is_ready():
                await trio.lowlevel.checkpoint()
                continue
            with trio.CancelScope() as self._scope:
                await trio.lowlevel.wait_readable(self._option(zmq.FD))
            self._scope = None

    def try_send(self, frames: Frames) -> bool:
        """Send one message if a connection can take it now."""
        if self._sock.closed:
            return False
        try:
            self._sock.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        finally:
            self._kick()
        return True

    async def send(self, frames: Frames) -> None:
        """Send one message, waiting for a connection; cancelled, it is not sent."""
        if not self._waiting and self.try_send(frames):
            return
        item = (frames, trio.Event())
        self._waiting.append(item)
        self._kick()
        try:
            await item[1].wait()
        except trio.Cancelled:
            if not item[1].is_set():
                self._waiting.remove(item)
            raise

    def close(self) -> None:
        """Close the socket at once."""
        if self._scope is not None:
            self._scope.cancel()
        self._sock.close(linger=0)

    def _option(self, option: int) -> int:
        return int(self._sock.getsockopt(option))

    def _is_ready(self) -> bool:
        wanted = zmq.POLLIN | (zmq.POLLOUT if self._waiting else 0)
        return bool(self._option(zmq.EVENTS) & wanted)

    def _kick(self) -> None:
        """Wake the receiving task if a send has taken the descriptor's signal."""
        if self._scope is not None and self._is_ready():
            self._scope.cancel()

    def _receive_all(self) -> None:
        while True:
            try:
                frames = self._sock.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._on_frames(frames)

    def _send_waiting(self) -> None:
        while self._waiting:
            frames, sent = self._waiting[0]
            try:
                self._sock.send_multipart(frames, zmq.NOBLOCK)
            except zmq.Again:
                return
            self._waiting.popleft()
            sent.set()


def open_router(ctx: zmq.SyncContext, address: str) -> zmq.SyncSocket:
    """Open the socket that receives calls; a port of 0 lets the kernel choose."""
    sock = ctx.socket(zmq.ROUTER)
    sock.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    sock.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    sock.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    sock.setsockopt(zmq.TCP_KEEPALIVE, 1)
    sock.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEP_ALIVE_GAP_S)
    sock.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEP_ALIVE_PROBES)
    sock.bind(address)
    return sock


def open_dealer(ctx: zmq.SyncContext, address: str) -> zmq.SyncSocket:
    """Open a socket for calls to one peer; it queues nothing for a peer not connected."""
    sock = ctx.socket(zmq.DEALER)
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    sock.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    sock.connect(address)
    return sock


__all__ = ["Channel", "open_dealer", "open_router"]
