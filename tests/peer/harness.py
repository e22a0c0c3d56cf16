"""Meshes on loopback, and a relay whose connections can be cut or made silent."""

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
    mesh_list = [
        mesh.Mesh(instance=ids.InstanceId(f"entry-{n}"), address="tcp://127.0.0.1:0", **options)
        for n in range(count)
    ]
    async with trio.open_nursery() as nursery:
        for mesh_node in mesh_list:
            nursery.start_soon(mesh_node.run)
        yield mesh_list
        nursery.cancel_scope.cancel()
    for mesh_node in mesh_list:
        mesh_node.close()


class Relay:
    """A TCP relay whose open connections can go silent while new ones work."""

    def __init__(self, target: str) -> None:
        self._host, port = target.removeprefix("tcp://").split(":")
        self._port = int(port)
        self.address = ""
        self.connections = 0
        self.is_cut = False
        self._first_relayed = 0

    def silence_open(self) -> None:
        """Drop all bytes of the connections open now, without closing them."""
        self._first_relayed = self.connections + 1

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.address = f"tcp://127.0.0.1:{listener.socket.getsockname()[1]}"
            task_status.started()
            nursery.start_soon(trio.serve_listeners, self._relay, [listener])

    async def _relay(self, client_stream: trio.SocketStream) -> None:
        self.connections += 1
        number = self.connections
        server_stream = await trio.open_tcp_stream(self._host, self._port)
        async with client_stream, server_stream, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, number, client_stream, server_stream, nursery)
            nursery.start_soon(self._copy, number, server_stream, client_stream, nursery)

    async def _copy(
        self, number: int, source: trio.SocketStream, sink: trio.SocketStream, nursery: trio.Nursery
    ) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for chunk in source:
                if number >= self._first_relayed and not self.is_cut:
                    await sink.send_all(chunk)
        nursery.cancel_scope.cancel()


async def echo(body: bytes) -> bytes:
    await trio.lowlevel.checkpoint()
    return body
