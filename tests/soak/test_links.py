"""The loopback proxy applies its faults."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest
import trio

from soak import links

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


async def echo(stream: trio.SocketStream) -> None:
    async with stream:
        async for data in stream:
            await stream.send_all(data)


@pytest.fixture
async def link(nursery: trio.Nursery) -> AsyncIterator[links.Link]:
    """Yield a link to an echo server."""
    listeners = await nursery.start(trio.serve_tcp, echo, 0)
    port = listeners[0].socket.getsockname()[1]
    new_link = links.Link(free_port(), lambda: port)
    nursery.start_soon(new_link.run)
    await trio.sleep(0.05)
    yield new_link
    nursery.cancel_scope.cancel()


async def connect(link: links.Link) -> trio.SocketStream:
    return await trio.open_tcp_stream("127.0.0.1", link.port)


async def is_echoed(stream: trio.SocketStream, *, within_s: float = 1.0) -> bool:
    """Send a byte; return whether it comes back within ``within_s`` seconds."""
    with trio.move_on_after(within_s):
        await stream.send_all(b"x")
        return bool(await stream.receive_some(1))
    return False


async def test_a_link_without_faults_forwards(link: links.Link) -> None:
    assert await is_echoed(await connect(link))


async def test_a_delay_is_added_in_both_directions(link: links.Link) -> None:
    stream = await connect(link)
    link.delay_s = 0.1
    started_s = trio.current_time()
    assert await is_echoed(stream)
    assert trio.current_time() - started_s >= 0.2


@pytest.mark.parametrize("cut", [{"up"}, {"down"}, {"up", "down"}])
async def test_data_held_back_by_a_cut_is_delivered_once_it_heals(
    link: links.Link, cut: set[links.Direction]
) -> None:
    stream = await connect(link)
    assert await is_echoed(stream)
    link.cut = cut
    assert not await is_echoed(stream, within_s=0.2)
    link.heal()
    with trio.fail_after(1.0):
        assert await stream.receive_some(1) == b"x"


async def test_silenced_connections_stay_silent_while_new_ones_work(link: links.Link) -> None:
    stream = await connect(link)
    assert await is_echoed(stream)
    link.silence()
    assert not await is_echoed(stream, within_s=0.2)
    assert await is_echoed(await connect(link))


async def test_a_reset_ends_the_open_connections(link: links.Link) -> None:
    stream = await connect(link)
    assert await is_echoed(stream)
    link.reset()
    with pytest.raises(trio.BrokenResourceError):
        await stream.receive_some(1)


async def test_a_refusing_link_resets_new_connections(link: links.Link) -> None:
    link.is_refusing = True
    stream = await connect(link)
    with pytest.raises(trio.BrokenResourceError):
        await stream.receive_some(1)
