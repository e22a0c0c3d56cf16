"""Instances that are connected by an in-memory mesh, each with its own lease keeper."""

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
    """Calls between instances in memory; messages over ``cut_links`` (from, to) are lost."""

    def __init__(self) -> None:
        self.nodes: dict[str, MeshNode] = {}
        self.cut_links: set[tuple[str, str]] = set()

    def node(self, name: str, gate: memory.Gate) -> MeshNode:
        self.nodes[f"mesh://{name}"] = MeshNode(self, f"mesh://{name}", gate)
        return self.nodes[f"mesh://{name}"]


class MeshNode:
    """One instance's endpoint of the mesh."""

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
            await self._gate.wait_until_resumed()
            if (self.address, address) in self._mesh.cut_links:
                await trio.sleep_forever()
            peer = self._mesh.nodes[address]
            await peer._gate.wait_until_resumed()
            answer = await peer._handlers[kind](body)
            await peer._gate.wait_until_resumed()
            if (address, self.address) not in self._mesh.cut_links:
                return answer
            await trio.sleep_forever()
        raise errors.BronzequayError(codes.ResultCode.PEER_TIMEOUT, "no answer")


class MeshInstance(harness.Instance):
    """An instance with a keeper and a mesh to the other instances.

    :param assigned_workers: workers whose task leases this instance renews
    """

    def __init__(
        self, fleet: harness.Fleet, name: str, mesh: MemoryMesh, assigned_workers: set[str]
    ) -> None:
        self.assigned_workers = assigned_workers
        self._mesh = mesh
        super().__init__(fleet, name, withhold_renewals=self._withhold)
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
            withhold_renewals=self._withhold,
        )
        node = mesh.node(name, self.gate)
        self.gateway = gateways.Gateway(
            partition=harness.PARTITION, scheduler=self.scheduler, store=self.store, mesh=node
        )
        self.keepers = keepers.KeeperService(
            partition=harness.PARTITION,
            scheduler=self.scheduler,
            store=self.store,
            mesh=node,
            fleet=self.directory,
            workers=self.workers,
            is_assigned=lambda worker: worker in self.assigned_workers,
            peers=lambda: [peer for peer in mesh.nodes if peer != node.address],
        )

    async def run(self) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.directory.run)
                nursery.start_soon(self.keepers.run)
                nursery.start_soon(self.scheduler.run)

    async def _withhold(self, tasks: Sequence[ids.TaskId]) -> bool:
        return await self.keepers.withhold_renewals(tasks)
