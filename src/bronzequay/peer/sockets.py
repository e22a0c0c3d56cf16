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
KEEP_ALIVE_INTERVAL_S = 10
KEEP_ALIVE_PROBES = 3
MAX_MESSAGE_BYTES = 16_000_000


_monitor_numbers = itertools.count()


class _UnsentMessage:
    """A message that is waiting for a connection."""

    def __init__(self, frames: Frames) -> None:
        self.frames = frames
        self.done = trio.Event()
        self.is_sent = False


class Channel:
    """A socket used without blocking, with one task that receives.

    The socket's descriptor is edge-triggered and signals both directions. Therefore only
    the receiving task waits on it, and it checks ``zmq.EVENTS`` before each wait.

    :param sock: the socket, which the channel closes
    :param on_frames: called with the frames of each received message
    """

    def __init__(self, sock: zmq.SyncSocket, on_frames: Callable[[Frames], None]) -> None:
        self._sock = sock
        self._on_frames = on_frames
        self._unsent: collections.deque[_UnsentMessage] = collections.deque()
        self._wait_scope: trio.CancelScope | None = None

    async def run(self) -> None:
        """Receive messages and send unsent ones until cancelled or closed."""
        while not self._sock.closed:
            self._receive_all()
            self._send_unsent()
            if self._sock.closed:
                return
            if self._is_ready():
                await trio.lowlevel.checkpoint()
                continue
            with trio.CancelScope() as self._wait_scope:
                await trio.lowlevel.wait_readable(self._get_option(zmq.FD))
            self._wait_scope = None

    def try_send(self, frames: Frames) -> bool:
        """Send one message if a connection accepts it now, and return whether it did."""
        if self._sock.closed:
            return False
        try:
            self._sock.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        finally:
            self._wake_receiver()
        return True

    async def send(self, frames: Frames) -> bool:
        """Send one message once a connection accepts it; a cancelled send has no effect.

        :return: False if the channel is closed before the message is sent
        """
        if not self._unsent and self.try_send(frames):
            return True
        if self._sock.closed:
            return False
        message = _UnsentMessage(frames)
        self._unsent.append(message)
        self._wake_receiver()
        try:
            await message.done.wait()
        finally:
            if message in self._unsent:
                self._unsent.remove(message)
        return message.is_sent

    def close(self) -> None:
        """Close the socket immediately; unsent messages are dropped."""
        if self._wait_scope is not None:
            self._wait_scope.cancel()
        if not self._sock.closed:
            self._sock.close(linger=0)
        while self._unsent:
            self._unsent.popleft().done.set()

    def receive_available(self) -> None:
        """Handle the messages that have already arrived."""
        self._receive_all()

    def _get_option(self, option: int) -> int:
        return int(self._sock.getsockopt(option))

    def _is_ready(self) -> bool:
        wanted_events = zmq.POLLIN | (zmq.POLLOUT if self._unsent else 0)
        return bool(self._get_option(zmq.EVENTS) & wanted_events)

    def _wake_receiver(self) -> None:
        """Wake the receiving task if a send has consumed the descriptor's signal."""
        if self._wait_scope is not None and not self._sock.closed and self._is_ready():
            self._wait_scope.cancel()

    def _receive_all(self) -> None:
        while not self._sock.closed:
            try:
                frames = self._sock.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._on_frames(frames)

    def _send_unsent(self) -> None:
        while self._unsent and not self._sock.closed:
            message = self._unsent[0]
            try:
                self._sock.send_multipart(message.frames, zmq.NOBLOCK)
            except zmq.Again:
                return
            self._unsent.popleft()
            message.is_sent = True
            message.done.set()


def open_router(ctx: zmq.SyncContext, address: str) -> zmq.SyncSocket:
    """Open the socket that receives calls; with port 0 the kernel chooses the port."""
    sock = ctx.socket(zmq.ROUTER)
    sock.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    sock.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    sock.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    sock.setsockopt(zmq.TCP_KEEPALIVE, 1)
    sock.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEP_ALIVE_PROBES)
    sock.bind(address)
    return sock


def open_dealer(ctx: zmq.SyncContext, address: str) -> zmq.SyncSocket:
    """Open a socket for calls to one peer; it queues nothing while the peer is not connected."""
    sock = ctx.socket(zmq.DEALER)
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    sock.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    sock.connect(address)
    return sock


class Link:
    """A socket to one peer, and the monitor of its connection.

    :param ctx: ZeroMQ context of the socket
    :param address: the peer's address
    :param on_frames: called with the frames of each received message
    :param on_disconnect: called when an established connection has ended
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
        endpoint = f"inproc://monitor-{next(_monitor_numbers)}"
        monitor = self._sock.get_monitor_socket(zmq.EVENT_DISCONNECTED, endpoint)
        self._monitor = Channel(monitor, self._on_event)

    async def run(self) -> None:
        """Receive until cancelled or closed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._channel.run)
            nursery.start_soon(self._monitor.run)

    async def send(self, frames: Frames) -> bool:
        """Send one message once a connection accepts it; False if the link is closed first."""
        return await self._channel.send(frames)

    def try_send(self, frames: Frames) -> bool:
        """Send one message if a connection accepts it now, and return whether it did."""
        return self._channel.try_send(frames)

    def close(self) -> None:
        """Close the socket and its monitor immediately; unsent messages are dropped."""
        if not self._sock.closed:
            self._sock.disable_monitor()
        self._monitor.close()
        self._channel.close()

    def _on_event(self, frames: Frames) -> None:
        event = zmq.utils.monitor.parse_monitor_message(frames)
        if event["event"] == zmq.EVENT_DISCONNECTED:
            self._channel.receive_available()
            self._on_disconnect()


__all__ = ["Channel", "Link", "open_router"]
