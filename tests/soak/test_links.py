"""The proxy between two parts does what its faults say."""

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
    """Yield a link to a server that sends everything back."""
    listeners = await nursery.start(trio.serve_tcp, echo, 0)
    port = listeners[0].socket.getsockname()[1]
    made = links.Link(free_port(), lambda: port)
    nursery.start_soon(made.run)
    await trio.sleep(0.05)
    yield made
    nursery.cancel_scope.cancel()


async def connect(link: links.Link) -> trio.SocketStream:
    return await trio.open_tcp_stream("127.0.0.1", link.port)


async def echoed(stream: trio.SocketStream, *, within_s: float = 1.0) -> bool:
    """Send a byte; tell whether it comes back."""
    with trio.move_on_after(within_s):
        await stream.send_all(b"x")
        return bool(await stream.receive_some(1))
    return False


async def test_a_sound_link_forwards(link: links.Link) -> None:
    assert await echoed(await connect(link))


async def test_a_delay_is_added_in_both_directions(link: links.Link) -> None:
    stream = await connect(link)
    link.delay_s = 0.1
    began_s = trio.current_time()
    assert await echoed(stream)
    assert trio.current_time() - began_s >= 0.2


@pytest.mark.parametrize("cut", [{"up"}, {"down"}, {"up", "down"}])
async def test_what_a_cut_has_held_goes_on_once_it_heals(
    link: links.Link, cut: set[links.Direction]
) -> None:
    stream = await connect(link)
    assert await echoed(stream)
    link.cut = cut
    assert not await echoed(stream, within_s=0.2)
    link.heal()
    with trio.fail_after(1.0):
        assert await stream.receive_some(1) == b"x"


async def test_silenced_connections_stay_silent_while_new_ones_work(link: links.Link) -> None:
    stream = await connect(link)
    assert await echoed(stream)
    link.silence()
    assert not await echoed(stream, within_s=0.2)
    assert await echoed(await connect(link))


async def test_a_reset_ends_the_open_connections(link: links.Link) -> None:
    stream = await connect(link)
    assert await echoed(stream)
    link.reset()
    with pytest.raises(trio.BrokenResourceError):
        await stream.receive_some(1)


async def test_a_refusing_link_resets_new_connections(link: links.Link) -> None:
    link.is_refusing = True
    stream = await connect(link)
    with pytest.raises(trio.BrokenResourceError):
        await stream.receive_some(1)
