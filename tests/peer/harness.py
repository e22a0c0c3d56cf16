"""Meshes on loopback, with links that can be cut, delayed or made silent."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from bronzequay import ids
from bronzequay.peer import mesh

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CHUNK_BYTES = 65536


@contextlib.asynccontextmanager
async def meshes(count: int, **options: float) -> AsyncIterator[list[mesh.Mesh]]:
    made = [
        mesh.Mesh(instance=ids.InstanceId(f"entry-{n}"), address="tcp://127.0.0.1:0", **options)
        for n in range(count)
    ]
    async with trio.open_nursery() as nursery:
        for each in made:
            nursery.start_soon(each.run)
        yield made
        nursery.cancel_scope.cancel()
    for each in made:
        each.close()


class Link:
    """A TCP relay whose open connections can go silent while new ones work."""

    def __init__(self, target: str) -> None:
        self._host, port = target.removeprefix("tcp://").split(":")
        self._port = int(port)
        self.address = ""
        self.connections = 0
        self.is_cut = False
        self._silent_below = 0

    def silence_open(self) -> None:
        """Drop all bytes of the connections open now, without closing them."""
        self._silent_below = self.connections + 1

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.address = f"tcp://127.0.0.1:{listener.socket.getsockname()[1]}"
            task_status.started()
            nursery.start_soon(trio.serve_listeners, self._relay, [listener])

    async def _relay(self, near: trio.SocketStream) -> None:
        self.connections += 1
        number = self.connections
        far = await trio.open_tcp_stream(self._host, self._port)
        async with near, far, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, number, near, far, nursery)
            nursery.start_soon(self._copy, number, far, near, nursery)

    async def _copy(
        self, number: int, source: trio.SocketStream, sink: trio.SocketStream, nursery: trio.Nursery
    ) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for chunk in source:
                if number >= self._silent_below and not self.is_cut:
                    await sink.send_all(chunk)
        nursery.cancel_scope.cancel()


async def echo(body: bytes) -> bytes:
    await trio.lowlevel.checkpoint()
    return body
