"""Keepers: every instance renews the task leases of its share of the workers."""

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
PROBE_S = 1.0
SHARE_CHECK_S = 1.0
MIN_INTERVAL_S = 0.2
MAX_WITHHELD = 100_000


class Link:
    """What a keeper knows of one worker.

    :param seen: sequence number of the last answer
    :param is_silent: whether the last call went unanswered
    :param tasks: the last listing
    """

    def __init__(self) -> None:
        self.seen = 0
        self.is_silent = False
        self.tasks: tuple[client.Status, ...] = ()


class Keeper:
    """Renews leases and passes on what the workers say.

    :param fleet: the workers and their addresses
    :param workers: calls to workers
    :param share: whether this instance keeps the leases of a worker
    :param on_listing: receives every answer, the whole listing of a worker; returns tasks
        that are to be renewed no longer
    :param on_silence: receives workers that do not answer
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
        self.links: dict[ids.WorkerId, Link] = {}

    async def run(self) -> None:
        """Keep leases until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for worker in list(self._fleet.members):
                    if worker not in self.links and self._is_assigned(worker):
                        self.links[worker] = Link()
                        nursery.start_soon(self._keep, worker, self.links[worker])
                await trio.sleep(SHARE_CHECK_S)

    def withhold_renewals(self, tasks: Iterable[ids.TaskId]) -> None:
        """Renew these tasks never again.

        :param tasks: tasks of attempts that are to end
        """
        self._withheld.update(dict.fromkeys(tasks))
        while len(self._withheld) > MAX_WITHHELD:
            del self._withheld[next(iter(self._withheld))]

    async def _keep(self, worker: ids.WorkerId, link: Link) -> None:
        while self._is_assigned(worker) and worker in self._fleet.members:
            await self._renew(worker, link)
        del self.links[worker]

    async def _renew(self, worker: ids.WorkerId, link: Link) -> None:
        address = self._fleet.members[worker].address
        wait_s = 0.0 if link.is_silent else RENEW_WAIT_S
        try:
            renewal = await self._workers.renew(
                address, self._due(link), ttl_s=TASK_TTL_S, wait_s=wait_s, seen=link.seen
            )
        except errors.BronzequayError:
            link.is_silent = True
            await self._on_unreachable(worker)
            await trio.sleep(PROBE_S)
            return
        link.is_silent = False
        link.seen = renewal.seq
        link.tasks = renewal.tasks
        self.withhold_renewals(await self._on_listing(worker, renewal.tasks))
        await trio.sleep(MIN_INTERVAL_S)

    def _due(self, link: Link) -> list[ids.TaskId]:
        """Return the tasks to renew: none until a silent worker has answered a probe."""
        if link.is_silent:
            return []
        return [
            status.task
            for status in link.tasks
            if status.state in client.LIVE_STATES and status.task not in self._withheld
        ]


__all__ = ["RENEW_WAIT_S", "TASK_TTL_S", "Keeper", "Link"]
