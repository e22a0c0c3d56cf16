"""ZeroMQ sockets on trio."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

import trio
import zmq
import zmq.utils.monitor

if TYPE_CHECKING:
    from collections.abc import Callable

    Frames = list[bytes]

HIGH_WATER_MARK = 10_000
KEEP_ALIVE_IDLE_S = 30
KEEP_ALIVE_GAP_S = 10
KEEP_ALIVE_PROBES = 3
MAX_MESSAGE_BYTES = 16_000_000


_monitor_numbers = itertools.count()


class _Unsent:
    """A message that waits for a connection."""

    def __init__(self, frames: Frames) -> None:
        self.frames = frames
        self.done = trio.Event()
        self.is_sent = False


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
        self._waiting: collections.deque[_Unsent] = collections.deque()
        self._scope: trio.CancelScope | None = None

    async def run(self) -> None:
        """Receive, and send what waited for a connection, until cancelled."""
        while not self._sock.closed:
            self._receive_all()
            self._send_waiting()
            if self._sock.closed:
                return
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

    async def send(self, frames: Frames) -> bool:
        """Send one message, waiting for a connection; cancelled, it is not sent.

        :return: False when the channel is closed before the message is sent
        """
        if not self._waiting and self.try_send(frames):
            return True
        if self._sock.closed:
            return False
        item = _Unsent(frames)
        self._waiting.append(item)
        self._kick()
        try:
            await item.done.wait()
        finally:
            if item in self._waiting:
                self._waiting.remove(item)
        return item.is_sent

    def close(self) -> None:
        """Close the socket at once."""
        if self._scope is not None:
            self._scope.cancel()
        if not self._sock.closed:
            self._sock.close(linger=0)
        while self._waiting:
            self._waiting.popleft().done.set()

    def receive_now(self) -> None:
        """Take in what has arrived already."""
        self._receive_all()

    def _option(self, option: int) -> int:
        return int(self._sock.getsockopt(option))

    def _is_ready(self) -> bool:
        wanted = zmq.POLLIN | (zmq.POLLOUT if self._waiting else 0)
        return bool(self._option(zmq.EVENTS) & wanted)

    def _kick(self) -> None:
        """Wake the receiving task if a send has taken the descriptor's signal."""
        if self._scope is not None and not self._sock.closed and self._is_ready():
            self._scope.cancel()

    def _receive_all(self) -> None:
        while not self._sock.closed:
            try:
                frames = self._sock.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._on_frames(frames)

    def _send_waiting(self) -> None:
        while self._waiting and not self._sock.closed:
            item = self._waiting[0]
            try:
                self._sock.send_multipart(item.frames, zmq.NOBLOCK)
            except zmq.Again:
                return
            self._waiting.popleft()
            item.is_sent = True
            item.done.set()


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


class Link:
    """A socket to one peer, and the watch on its connection.

    :param on_frames: called with each message received
    :param on_disconnect: called when a connection that stood has ended
    """

    def __init__(
        self,
        ctx: zmq.SyncContext,
        address: str,
        *,
        on_frames: Callable[[Frames], None],
        on_disconnect: Callable[[], None],
    ) -> None:
        self._sock = open_dealer(ctx, address)
        self._on_disconnect = on_disconnect
        self._channel = Channel(self._sock, on_frames)
        place = f"inproc://monitor-{next(_monitor_numbers)}"
        monitor = self._sock.get_monitor_socket(zmq.EVENT_DISCONNECTED, place)
        self._monitor = Channel(monitor, self._on_event)

    async def run(self) -> None:
        """Receive until cancelled or closed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._channel.run)
            nursery.start_soon(self._monitor.run)

    async def send(self, frames: Frames) -> bool:
        """Send one message, waiting for a connection; False when the link is closed first."""
        return await self._channel.send(frames)

    def try_send(self, frames: Frames) -> bool:
        """Send one message if a connection can take it now."""
        return self._channel.try_send(frames)

    def close(self) -> None:
        """Close at once."""
        if not self._sock.closed:
            self._sock.disable_monitor()
        self._monitor.close()
        self._channel.close()

    def _on_event(self, frames: Frames) -> None:
        event = zmq.utils.monitor.parse_monitor_message(frames)
        if event["event"] == zmq.EVENT_DISCONNECTED:
            self._channel.receive_now()
            self._on_disconnect()


__all__ = ["Channel", "Link", "open_router"]
