"""Instances with a mesh in memory between them, each with a keeper of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors, ids
from bronzequay.sched import gateway as gateways
from bronzequay.sched import keepers
from bronzequay.sched import scheduler as schedulers
from bronzequay.work import fleet as fleets
from tests.sched import harness

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from tests.sched import memory


class MemoryMesh:
    """Calls between instances in memory; ``cut`` names pairs that cannot talk."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.cut: set[tuple[str, str]] = set()

    def node(self, name: str, gate: memory.Gate) -> Node:
        self.nodes[f"mesh://{name}"] = Node(self, f"mesh://{name}", gate)
        return self.nodes[f"mesh://{name}"]


class Node:
    """One instance's end of the mesh."""

    def __init__(self, mesh: MemoryMesh, address: str, gate: memory.Gate) -> None:
        self._mesh = mesh
        self.address = address
        self._gate = gate
        self._handlers: dict[str, Callable[[bytes], Awaitable[bytes]]] = {}

    def serve(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        self._handlers[kind] = handler

    async def call(self, address: str, kind: str, body: bytes, *, timeout_s: float) -> bytes:
        with trio.move_on_after(timeout_s):
            await trio.sleep(0.001)
            await self._gate.wait_thawed()
            if (self.address, address) in self._mesh.cut:
                await trio.sleep_forever()
            peer = self._mesh.nodes[address]
            await peer._gate.wait_thawed()
            answer = await peer._handlers[kind](body)
            await peer._gate.wait_thawed()
            if (address, self.address) not in self._mesh.cut:
                return answer
            await trio.sleep_forever()
        raise errors.BronzequayError(codes.ResultCode.PEER_TIMEOUT, "no answer")


class Member(harness.Instance):
    """An instance whose keeper has a share, with a mesh to the others.

    :param share: workers whose leases it keeps
    """

    def __init__(self, fleet: harness.Fleet, name: str, mesh: MemoryMesh, share: set[str]) -> None:
        self.share = share
        self._mesh = mesh
        super().__init__(fleet, name, withhold=self._withhold)
        self.directory = fleets.Fleet(instances=self.store.instances, workers=self.workers)
        self.scheduler = schedulers.Scheduler(
            partition=harness.PARTITION,
            instance=ids.InstanceId(name),
            address=f"mesh://{name}",
            store=self.store,
            workers=self.workers,
            rules=lambda: harness.RULES,
            wall_clock=trio.current_time,
            fleet=self.directory,
            withhold=self._withhold,
        )
        node = mesh.node(name, self.gate)
        self.gateway = gateways.Gateway(
            partition=harness.PARTITION, scheduler=self.scheduler, store=self.store, mesh=node
        )
        self.keepers = keepers.Keepers(
            partition=harness.PARTITION,
            scheduler=self.scheduler,
            store=self.store,
            mesh=node,
            fleet=self.directory,
            workers=self.workers,
            share=lambda worker: worker in self.share,
            peers=lambda: [peer for peer in mesh.nodes if peer != node.address],
        )

    async def run(self) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.directory.run)
                nursery.start_soon(self.keepers.run)
                nursery.start_soon(self.scheduler.run)

    async def _withhold(self, tasks: Sequence[ids.TaskId]) -> bool:
        return await self.keepers.withhold(tasks)
