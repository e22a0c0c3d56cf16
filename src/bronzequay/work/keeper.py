"""Renewal of task leases; every instance renews those of the workers assigned to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import errors, ids
from bronzequay.work import client

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection, Iterable

    from bronzequay.work import fleet as fleets

TASK_TTL_S = 20.0
RENEW_WAIT_S = 6.0
PROBE_INTERVAL_S = 1.0
ASSIGNMENT_CHECK_INTERVAL_S = 1.0
MIN_RENEW_INTERVAL_S = 0.2
MAX_WITHHELD_TASKS = 100_000


class WorkerRecord:
    """State of one worker as known to its keeper.

    ``seen_seq`` is the sequence number of the last answer, ``is_unresponsive`` whether the last
    call was not answered, ``tasks`` the status of the worker's tasks in the last answer.
    """

    def __init__(self) -> None:
        self.seen_seq = 0
        self.is_unresponsive = False
        self.tasks: tuple[client.Status, ...] = ()


class LeaseKeeper:
    """Renews the leases of tasks and reports the answers of their workers.

    :param fleet: directory of the workers
    :param workers: client of the workers
    :param is_assigned: returns whether this instance renews the leases of a worker's tasks
    :param on_listing: receives the listing in each answer of a worker, the status of all its tasks;
        returns tasks whose leases must no longer be renewed
    :param on_unreachable: receives a worker that did not answer
    """

    def __init__(
        self,
        *,
        fleet: fleets.Fleet,
        workers: client.WorkerClient,
        is_assigned: Callable[[ids.WorkerId], bool],
        on_listing: Callable[
            [ids.WorkerId, tuple[client.Status, ...]], Awaitable[Collection[ids.TaskId]]
        ],
        on_unreachable: Callable[[ids.WorkerId], Awaitable[None]],
    ) -> None:
        self._fleet = fleet
        self._workers = workers
        self._is_assigned = is_assigned
        self._on_listing = on_listing
        self._on_unreachable = on_unreachable
        self._withheld: dict[ids.TaskId, None] = {}
        self.records: dict[ids.WorkerId, WorkerRecord] = {}

    async def run(self) -> None:
        """Renew leases until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for worker in list(self._fleet.known_workers):
                    if worker not in self.records and self._is_assigned(worker):
                        self.records[worker] = WorkerRecord()
                        nursery.start_soon(self._renew_while_assigned, worker, self.records[worker])
                await trio.sleep(ASSIGNMENT_CHECK_INTERVAL_S)

    def withhold_renewals(self, tasks: Iterable[ids.TaskId]) -> None:
        """Stop renewing the leases of tasks for good.

        :param tasks: tasks of attempts that are being stopped
        """
        self._withheld.update(dict.fromkeys(tasks))
        while len(self._withheld) > MAX_WITHHELD_TASKS:
            del self._withheld[next(iter(self._withheld))]

    async def _renew_while_assigned(self, worker: ids.WorkerId, record: WorkerRecord) -> None:
        while self._is_assigned(worker) and worker in self._fleet.known_workers:
            await self._renew(worker, record)
        del self.records[worker]

    async def _renew(self, worker: ids.WorkerId, record: WorkerRecord) -> None:
        address = self._fleet.known_workers[worker].address
        wait_s = 0.0 if record.is_unresponsive else RENEW_WAIT_S
        try:
            renewal = await self._workers.renew(
                address,
                self._tasks_to_renew(record),
                ttl_s=TASK_TTL_S,
                wait_s=wait_s,
                seen_seq=record.seen_seq,
            )
        except errors.BronzequayError:
            record.is_unresponsive = True
            await self._on_unreachable(worker)
            await trio.sleep(PROBE_INTERVAL_S)
            return
        record.is_unresponsive = False
        record.seen_seq = renewal.seq
        record.tasks = renewal.tasks
        self.withhold_renewals(await self._on_listing(worker, renewal.tasks))
        await trio.sleep(MIN_RENEW_INTERVAL_S)

    def _tasks_to_renew(self, record: WorkerRecord) -> list[ids.TaskId]:
        """Return the tasks to renew; none until an unresponsive worker has answered a probe."""
        if record.is_unresponsive:
            return []
        return [
            status.task
            for status in record.tasks
            if status.state in client.LIVE_STATES and status.task not in self._withheld
        ]


__all__ = ["RENEW_WAIT_S", "TASK_TTL_S", "LeaseKeeper", "WorkerRecord"]
