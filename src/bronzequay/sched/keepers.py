"""Connects the keepers of all instances with the partition's active scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.sched import active
from bronzequay.work import client, keeper

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from bronzequay.sched import ports, scheduler
    from bronzequay.work import fleet as fleets

CALL_TIMEOUT_S = 1.0


class Listing(msgspec.Struct, frozen=True):
    """What a worker said, on its way to the active scheduler.

    :param tasks: every task on the worker, None when it does not answer
    """

    worker: ids.WorkerId
    tasks: tuple[client.Status, ...] | None


class Withhold(msgspec.Struct, frozen=True):
    """Tasks whose leases are to be renewed no longer."""

    tasks: tuple[ids.TaskId, ...]


class Keepers:
    """This instance's keeper, and its part in those of the others.

    :param partition: the partition
    :param scheduler: this instance's scheduler, active or not
    :param store: the platform's service
    :param mesh: calls to other instances
    :param fleet: the workers and their addresses
    :param workers: calls to workers
    :param share: whether this instance keeps the leases of a worker
    :param peers: mesh addresses of every other instance that may keep leases
    """

    def __init__(
        self,
        *,
        partition: ids.RegionId,
        scheduler: scheduler.Scheduler,
        store: ports.Store,
        mesh: ports.Mesh,
        fleet: fleets.Fleet,
        workers: client.WorkerClient,
        share: Callable[[ids.WorkerId], bool],
        peers: Callable[[], Sequence[str]],
    ) -> None:
        self._partition = partition
        self._scheduler = scheduler
        self._mesh = mesh
        self._peers = peers
        self._active = active.Active(store=store, partition=partition)
        self._told: dict[ids.WorkerId, tuple[str, Listing]] = {}
        self.keeper = keeper.Keeper(
            fleet=fleet,
            workers=workers,
            share=share,
            on_listing=self._on_listing,
            on_silence=self._on_silence,
        )
        mesh.serve(self._kind("listing"), self._serve_listing)
        mesh.serve(self._kind("withhold"), self._serve_withhold)

    async def run(self) -> None:
        """Keep the leases of this instance's share until cancelled."""
        await self.keeper.run()

    async def withhold(self, tasks: Sequence[ids.TaskId]) -> bool:
        """Have every keeper stop renewing tasks.

        :param tasks: tasks of an attempt that is to end
        :return: whether all confirmed; until then their leases may be renewed
        """
        self.keeper.withhold(tasks)
        body = msgspec.msgpack.encode(Withhold(tuple(tasks)))
        missed: list[str] = []
        async with trio.open_nursery() as nursery:
            for address in self._peers():
                nursery.start_soon(self._withhold_at, address, body, missed)
        return not missed

    def _kind(self, name: str) -> str:
        return f"keep/{self._partition}/{name}"

    async def _withhold_at(self, address: str, body: bytes, missed: list[str]) -> None:
        try:
            await self._mesh.call(address, self._kind("withhold"), body, timeout_s=CALL_TIMEOUT_S)
        except errors.BronzequayError:
            missed.append(address)

    async def _on_listing(
        self, worker: ids.WorkerId, tasks: tuple[client.Status, ...]
    ) -> Collection[ids.TaskId]:
        return await self._tell(Listing(worker, tasks))

    async def _on_silence(self, worker: ids.WorkerId) -> None:
        await self._tell(Listing(worker, None))

    async def _tell(self, listing: Listing) -> Collection[ids.TaskId]:
        """Pass a listing on; return the tasks that are to be renewed no longer."""
        if self._scheduler.can_answer:
            return self._apply(listing)
        try:
            address = await self._active.address()
            is_told = self._told.get(listing.worker) == (address, listing)
            if is_told and listing.tasks is not None:
                return ()
            answer = await self._mesh.call(
                address,
                self._kind("listing"),
                msgspec.msgpack.encode(listing),
                timeout_s=CALL_TIMEOUT_S,
            )
        except errors.BronzequayError:
            self._active.forget()
            self._told.clear()
            return ()
        self._told[listing.worker] = address, listing
        return msgspec.msgpack.decode(answer, type=Withhold).tasks

    def _apply(self, listing: Listing) -> Collection[ids.TaskId]:
        if listing.tasks is None:
            self._scheduler.on_silence(listing.worker)
            return ()
        return self._scheduler.on_listing(listing.worker, listing.tasks)

    async def _serve_listing(self, body: bytes) -> bytes:
        if not self._scheduler.can_answer:
            raise errors.BronzequayError(codes.ResultCode.NO_SCHEDULER, "not active here")
        await trio.lowlevel.checkpoint()
        withheld = self._apply(msgspec.msgpack.decode(body, type=Listing))
        return msgspec.msgpack.encode(Withhold(tuple(withheld)))

    async def _serve_withhold(self, body: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        self.keeper.withhold(msgspec.msgpack.decode(body, type=Withhold).tasks)
        return b""


__all__ = ["Keepers", "Listing", "Withhold"]
