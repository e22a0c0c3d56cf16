"""Directory of the workers, built from the platform's lagging list and worker descriptions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from bronzequay import errors, ids
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from bronzequay.work import client

POLL_INTERVAL_S = 2.0
REMOVE_AFTER_S = 120.0
MAX_CONCURRENT_DESCRIBES = 64
WORKER_KIND = "worker"
LEAVING = "leaving"


class KnownWorker(msgspec.Struct):
    """A worker that has answered a description request.

    :param spec: capacity and location of the worker
    :param address: base URL of the worker
    :param is_leaving: whether the worker accepts no new tasks
    :param is_removed: whether the worker was off the list and unreachable for ``REMOVE_AFTER_S``
    :param unseen_since_s: time on the runtime's clock since which the worker has been off the list
        and unreachable, None while it is listed or answers
    """

    spec: model.WorkerSpec
    address: str
    is_leaving: bool = False
    is_removed: bool = False
    unseen_since_s: float | None = None


class Fleet:
    """Polls the platform's list and holds the workers that an instance knows.

    :param instances: reads the platform's list of instances, which lags behind
    :param workers: client of the workers
    """

    def __init__(
        self,
        *,
        instances: Callable[[], Awaitable[Iterable[Any]]],
        workers: client.WorkerClient,
    ) -> None:
        self._instances = instances
        self._workers = workers
        self._listeners: list[Callable[[KnownWorker], None]] = []
        self.known_workers: dict[ids.WorkerId, KnownWorker] = {}
        self.first_poll_done = trio.Event()

    def address(self, worker: ids.WorkerId) -> str | None:
        """Return the base URL of a worker, None if the worker is unknown."""
        known_worker = self.known_workers.get(worker)
        return None if known_worker is None else known_worker.address

    def add_listener(self, listener: Callable[[KnownWorker], None]) -> Callable[[], None]:
        """Register a function that is called with each new, changed or removed worker.

        :param listener: called synchronously on the event loop's thread
        :return: function that removes the listener
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    async def run(self) -> None:
        """Poll the list until cancelled; known workers are kept during a store outage."""
        while True:
            await self.poll()
            await trio.sleep(POLL_INTERVAL_S)

    async def poll(self) -> None:
        """Read the list once and request descriptions of new, changed and unlisted workers."""
        try:
            listed = [entry for entry in await self._instances() if entry.kind == WORKER_KIND]
        except errors.BronzequayError:
            return
        listed_ids = {entry.id for entry in listed}
        limit = trio.CapacityLimiter(MAX_CONCURRENT_DESCRIBES)
        async with trio.open_nursery() as nursery:
            for worker, known_worker in list(self.known_workers.items()):
                if worker not in listed_ids:
                    nursery.start_soon(self._check_unlisted, known_worker, limit)
            for entry in listed:
                if not self._apply_entry(entry):
                    nursery.start_soon(self._describe, entry.address, limit)
        self.first_poll_done.set()

    def mark_leaving(self, worker: ids.WorkerId) -> None:
        """Mark a worker as leaving before the list shows it.

        :param worker: id of the worker
        """
        known_worker = self.known_workers.get(worker)
        if known_worker is not None and not known_worker.is_leaving:
            known_worker.is_leaving = True
            self._notify_listeners(known_worker)

    def _apply_entry(self, entry: Any) -> bool:
        """Apply an entry of the list; False if the worker's description must be requested."""
        known_worker = self.known_workers.get(ids.WorkerId(entry.id))
        if known_worker is None or known_worker.address != entry.address:
            return False
        known_worker.unseen_since_s = None
        if entry.state == LEAVING:
            self.mark_leaving(known_worker.spec.worker)
        return not known_worker.is_leaving or entry.state == LEAVING

    async def _check_unlisted(self, known_worker: KnownWorker, limit: trio.CapacityLimiter) -> None:
        """Query an unlisted worker; remove it after ``REMOVE_AFTER_S`` without an answer."""
        if await self._describe(known_worker.address, limit):
            return
        now_s = trio.current_time()
        if known_worker.unseen_since_s is None:
            known_worker.unseen_since_s = now_s
        if now_s - known_worker.unseen_since_s >= REMOVE_AFTER_S:
            known_worker.is_removed = True
            self.known_workers.pop(known_worker.spec.worker, None)
            self._notify_listeners(known_worker)

    async def _describe(self, address: str, limit: trio.CapacityLimiter) -> bool:
        async with limit:
            try:
                description = await self._workers.describe(address)
            except errors.BronzequayError:
                return False
        known_worker = KnownWorker(description.spec(), address, is_leaving=description.is_leaving)
        if self.known_workers.get(description.worker) != known_worker:
            self.known_workers[description.worker] = known_worker
            self._notify_listeners(known_worker)
        return True

    def _notify_listeners(self, known_worker: KnownWorker) -> None:
        for listener in list(self._listeners):
            listener(known_worker)


__all__ = ["POLL_INTERVAL_S", "REMOVE_AFTER_S", "Fleet", "KnownWorker"]
