"""Responses that take longer than the time limit of their call."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from bronzequay.net import client

if TYPE_CHECKING:
    from trio.testing import MockClock

SIZE = 400_000
TIMEOUT_S = 0.5


@pytest.fixture
async def peer(autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch) -> trio.abc.Stream:
    """Connect all clients to one stream and return its other end."""
    here, there = trio.testing.memory_stream_pair()

    async def connect(this: client.Client, _timeout_s: float) -> client.Connection:
        return client.Connection(here, this._max_response_bytes or client.MAX_RESPONSE_BYTES)  # type: ignore[arg-type]

    monkeypatch.setattr(client.Client, "_connect", connect)
    here.socket = trio.socket.socket()  # type: ignore[attr-defined]
    return there


async def respond(peer: trio.abc.Stream, bytes_per_s: float, *, sent_bytes: int = SIZE) -> None:
    """Send a response of ``SIZE`` bytes in parts, and stop after some of them."""
    await peer.receive_some()
    await peer.send_all(f"HTTP/1.1 200 OK\r\nContent-Length: {SIZE}\r\n\r\n".encode())
    part_bytes = round(bytes_per_s / 10)
    for start in range(0, sent_bytes, part_bytes):
        await trio.sleep(part_bytes / bytes_per_s)
        await peer.send_all(bytes(min(part_bytes, sent_bytes - start)))


async def test_a_response_that_goes_on_arriving_is_not_cut_off(
    autojump_clock: MockClock, peer: trio.abc.Stream, nursery: trio.Nursery
) -> None:
    nursery.start_soon(respond, peer, 100_000)
    transfer = client.Transfer()
    http_client = client.Client("127.0.0.1:1")
    resp = await http_client.request("GET", "/", timeout_s=TIMEOUT_S, transfer=transfer)
    assert len(resp.body) == SIZE
    assert transfer.receiving_s == pytest.approx(4.0, abs=0.2)


@pytest.mark.parametrize(
    ("bytes_per_s", "sent_bytes", "most_s"),
    [
        (400_000, SIZE // 2, 0.5 + client.STALL_TIMEOUT_S),
        (client.MIN_BYTES_PER_S / 2, SIZE, 2 * client.STALL_TIMEOUT_S),
    ],
    ids=["pause", "trickle"],
)
async def test_a_response_that_stops_or_trickles_is_lost(  # noqa: PLR0917
    autojump_clock: MockClock,
    peer: trio.abc.Stream,
    nursery: trio.Nursery,
    bytes_per_s: float,
    sent_bytes: int,
    most_s: float,
) -> None:
    async def serve() -> None:
        await respond(peer, bytes_per_s, sent_bytes=sent_bytes)

    nursery.start_soon(serve)
    with pytest.raises(client.NoResponseError, match="the response stopped after"):
        await client.Client("127.0.0.1:1").request(
            "GET", "/", timeout_s=TIMEOUT_S, transfer=client.Transfer()
        )
    assert trio.current_time() <= most_s + 0.3
    nursery.cancel_scope.cancel()


async def test_a_response_that_does_not_begin_is_lost_after_the_time_limit_of_its_call(
    autojump_clock: MockClock, peer: trio.abc.Stream
) -> None:
    with pytest.raises(client.NoResponseError, match=r"no response within 0.5 s"):
        await client.Client("127.0.0.1:1").request(
            "GET", "/", timeout_s=TIMEOUT_S, transfer=client.Transfer()
        )
    assert trio.current_time() == pytest.approx(TIMEOUT_S)
