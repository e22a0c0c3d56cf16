"""What the soak's proxy records of its own faults, so that no instance is blamed for them."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import trio
import trio.testing

from soak import links

if TYPE_CHECKING:
    from collections.abc import Callable


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


async def call(port: int) -> bytes:
    """Send a byte through a link and return the answer, empty when there is none."""
    with contextlib.suppress(OSError, trio.BrokenResourceError):
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        async with stream:
            await stream.send_all(b"x")
            return bytes(await stream.receive_some(1))
    return b""


async def test_a_connection_that_the_link_refuses_is_recorded(nursery: trio.Nursery) -> None:
    """Guards against instances that are said to cut off calls which never reached them."""

    async def answer(stream: trio.SocketStream) -> None:
        await stream.send_all(await stream.receive_some(1))

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    target: int = listener.socket.getsockname()[1]
    find_target: Callable[[], int] = lambda: target  # noqa: E731
    nursery.start_soon(trio.serve_listeners, answer, [listener])
    link = links.Link(free_port(), find_target)
    nursery.start_soon(link.run)
    await trio.testing.wait_all_tasks_blocked()
    assert await call(link.port) == b"x"
    assert link.unreachable_s == float("-inf")
    sent_s = trio.current_time()
    link.is_refusing = True
    assert await call(link.port) == b""
    assert link.unreachable_s >= sent_s
    nursery.cancel_scope.cancel()
