"""Bytes of any kind on the listeners of a real instance: its process goes on and serves."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING

import trio

from soak import harness, intrusions
from tests.net.test_hostile_peers import GOOD_REQUEST, damage

if TYPE_CHECKING:
    import pathlib

SENDS = 150


async def send(port: int, data: bytes) -> bytes:
    received = b""
    with contextlib.suppress(OSError, trio.BrokenResourceError), trio.move_on_after(0.05):
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(data)
            async for chunk in stream:
                received += chunk
    return received


async def test_no_bytes_on_a_listener_end_an_instance(tmp_path: pathlib.Path) -> None:
    """Guards against a message that ends the process of the instance which reads it."""
    rng = random.Random(5)
    async with trio.open_nursery() as nursery:
        site = harness.Harness(nursery, seed=1, entries=1, workers=1, folder=tmp_path)
        try:
            await site.start()
            (instance,) = site.instances
            with trio.fail_after(15.0):
                while b" 200 " not in await send(instance.ready_port, READY):
                    await trio.sleep(0.1)
            ports = [instance.front_port, instance.ready_port, instance.own_port]
            for _ in range(SENDS):
                data = rng.choice([GOOD_REQUEST, *intrusions.REQUESTS])
                await send(rng.choice(ports), damage(data, rng))
            assert b" 200 " in await send(instance.ready_port, READY)
            assert site.unexpected_exits == []
            assert instance.incarnation == 1
        finally:
            site.stop()
        nursery.cancel_scope.cancel()


READY = b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
