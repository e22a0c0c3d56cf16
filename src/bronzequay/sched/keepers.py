"""Messages between the task-lease keepers of all instances and the active scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.sched import scheduler_locator
from bronzequay.work import client, keeper

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from bronzequay.sched import ports, scheduler
    from bronzequay.work import fleet as fleets

CALL_TIMEOUT_S = 1.0


class Listing(msgspec.Struct, frozen=True):
    """A worker's task list, forwarded to the active scheduler.

    :param worker: id of the worker
    :param tasks: status of every task on the worker, None if it does not answer
    """

    worker: ids.WorkerId
    tasks: tuple[client.Status, ...] | None


class Withhold(msgspec.Struct, frozen=True):
    """Tasks whose leases must no longer be renewed."""

    tasks: tuple[ids.TaskId, ...]


class KeeperService:
    """Runs this instance's keeper and exchanges listings and withheld tasks with other instances.

    :param partition: id of the partition
    :param scheduler: this instance's scheduler, active or not
    :param store: client of the platform's store
    :param mesh: messages to other instances
    :param fleet: directory of the workers
    :param workers: client of the workers
    :param is_assigned: returns whether this instance renews the leases of a worker's tasks
    :param peers: returns the mesh addresses of all other instances that may renew leases
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
        is_assigned: Callable[[ids.WorkerId], bool],
        peers: Callable[[], Sequence[str]],
    ) -> None:
        self._partition = partition
        self._scheduler = scheduler
        self._mesh = mesh
        self._peers = peers
        self._locator = scheduler_locator.SchedulerLocator(store=store, partition=partition)
        self._last_sent: dict[ids.WorkerId, tuple[str, Listing]] = {}
        self.keeper = keeper.LeaseKeeper(
            fleet=fleet,
            workers=workers,
            is_assigned=is_assigned,
            on_listing=self._on_listing,
            on_unreachable=self._on_unreachable,
        )
        mesh.serve(self._message_kind("listing"), self._serve_listing)
        mesh.serve(self._message_kind("withhold"), self._serve_withhold)

    async def run(self) -> None:
        """Renew the task leases of the assigned workers until cancelled."""
        await self.keeper.run()

    async def withhold_renewals(self, tasks: Sequence[ids.TaskId]) -> bool:
        """Make the keepers of all instances stop renewing the leases of tasks.

        :param tasks: tasks of an attempt that is being stopped
        :return: whether all keepers confirmed; if not, leases may still be renewed
        """
        self.keeper.withhold_renewals(tasks)
        body = msgspec.msgpack.encode(Withhold(tuple(tasks)))
        unconfirmed: list[str] = []
        async with trio.open_nursery() as nursery:
            for address in self._peers():
                nursery.start_soon(self._withhold_at, address, body, unconfirmed)
        return not unconfirmed

    def _message_kind(self, name: str) -> str:
        return f"keep/{self._partition}/{name}"

    async def _withhold_at(self, address: str, body: bytes, unconfirmed: list[str]) -> None:
        try:
            await self._mesh.call(
                address, self._message_kind("withhold"), body, timeout_s=CALL_TIMEOUT_S
            )
        except errors.BronzequayError:
            unconfirmed.append(address)

    async def _on_listing(
        self, worker: ids.WorkerId, tasks: tuple[client.Status, ...]
    ) -> Collection[ids.TaskId]:
        return await self._send_listing(Listing(worker, tasks))

    async def _on_unreachable(self, worker: ids.WorkerId) -> None:
        await self._send_listing(Listing(worker, None))

    async def _send_listing(self, listing: Listing) -> Collection[ids.TaskId]:
        """Send a listing to the active scheduler; return tasks that must no longer be renewed."""
        if self._scheduler.can_answer:
            return self._apply_listing(listing)
        try:
            address = await self._locator.address()
            is_repeated = self._last_sent.get(listing.worker) == (address, listing)
            if is_repeated and listing.tasks is not None:
                return ()
            reply = await self._mesh.call(
                address,
                self._message_kind("listing"),
                msgspec.msgpack.encode(listing),
                timeout_s=CALL_TIMEOUT_S,
            )
        except errors.BronzequayError:
            self._locator.invalidate()
            self._last_sent.clear()
            return ()
        self._last_sent[listing.worker] = address, listing
        return msgspec.msgpack.decode(reply, type=Withhold).tasks

    def _apply_listing(self, listing: Listing) -> Collection[ids.TaskId]:
        if listing.tasks is None:
            self._scheduler.on_unreachable(listing.worker)
            return ()
        return self._scheduler.on_listing(listing.worker, listing.tasks)

    async def _serve_listing(self, body: bytes) -> bytes:
        if not self._scheduler.can_answer:
            raise errors.BronzequayError(
                codes.ResultCode.NO_SCHEDULER, "this instance is not the active scheduler"
            )
        await trio.lowlevel.checkpoint()
        withheld = self._apply_listing(msgspec.msgpack.decode(body, type=Listing))
        return msgspec.msgpack.encode(Withhold(tuple(withheld)))

    async def _serve_withhold(self, body: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        self.keeper.withhold_renewals(msgspec.msgpack.decode(body, type=Withhold).tasks)
        return b""


__all__ = ["KeeperService", "Listing", "Withhold"]
