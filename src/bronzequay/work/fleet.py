"""Directory of the workers, from the platform's lagging list and the workers' own word."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from bronzequay import errors, ids
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from bronzequay.work import client

POLL_S = 2.0
GONE_S = 120.0
DESCRIBES_IN_PROGRESS = 64
WORKER_KIND = "worker"
LEAVING = "leaving"


class Member(msgspec.Struct):
    """A worker that has described itself.

    :param address: base URL of the worker
    :param is_gone: whether neither the list nor the worker itself has shown it for long
    :param unseen_since_s: runtime clock since when both have been missing, None while seen
    """

    spec: model.WorkerSpec
    address: str
    is_leaving: bool = False
    is_gone: bool = False
    unseen_since_s: float | None = None


class Fleet:
    """The workers that an instance knows.

    :param instances: reads the platform's lagging list
    :param workers: asks a worker for its capacity
    """

    def __init__(
        self,
        *,
        instances: Callable[[], Awaitable[Iterable[Any]]],
        workers: client.WorkerClient,
    ) -> None:
        self._instances = instances
        self._workers = workers
        self._listeners: list[Callable[[Member], None]] = []
        self.members: dict[ids.WorkerId, Member] = {}
        self.polled = trio.Event()

    def address(self, worker: ids.WorkerId) -> str | None:
        """Return the base URL of a worker, None when it is not known."""
        member = self.members.get(worker)
        return None if member is None else member.address

    def listen(self, listener: Callable[[Member], None]) -> Callable[[], None]:
        """Have a function called with each worker that is new or changed.

        :param listener: called on the runtime's thread
        :return: ends the calls
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    async def run(self) -> None:
        """Poll the list for ever; what is known stays known in a store outage."""
        while True:
            await self.poll()
            await trio.sleep(POLL_S)

    async def poll(self) -> None:
        """Read the list once and ask new workers for their capacity."""
        try:
            listed = [entry for entry in await self._instances() if entry.kind == WORKER_KIND]
        except errors.BronzequayError:
            return
        names = {entry.id for entry in listed}
        limit = trio.CapacityLimiter(DESCRIBES_IN_PROGRESS)
        async with trio.open_nursery() as nursery:
            for worker, member in list(self.members.items()):
                if worker not in names:
                    nursery.start_soon(self._look_for, member, limit)
            for entry in listed:
                if not self._update(entry):
                    nursery.start_soon(self._describe, entry.address, limit)
        self.polled.set()

    def mark_leaving(self, worker: ids.WorkerId) -> None:
        """Note a worker's own word that it leaves, ahead of the list.

        :param worker: the worker
        """
        member = self.members.get(worker)
        if member is not None and not member.is_leaving:
            member.is_leaving = True
            self._tell(member)

    def _update(self, entry: Any) -> bool:
        """Apply one line of the list; False when the worker has to be asked."""
        member = self.members.get(ids.WorkerId(entry.id))
        if member is None or member.address != entry.address:
            return False
        member.unseen_since_s = None
        if entry.state == LEAVING:
            self.mark_leaving(member.spec.worker)
        return not member.is_leaving or entry.state == LEAVING

    async def _look_for(self, member: Member, limit: trio.CapacityLimiter) -> None:
        """Ask a worker that the list no longer names; drop it once it is silent for long."""
        if await self._describe(member.address, limit):
            return
        now_s = trio.current_time()
        if member.unseen_since_s is None:
            member.unseen_since_s = now_s
        if now_s - member.unseen_since_s >= GONE_S:
            member.is_gone = True
            self.members.pop(member.spec.worker, None)
            self._tell(member)

    async def _describe(self, address: str, limit: trio.CapacityLimiter) -> bool:
        async with limit:
            try:
                found = await self._workers.describe(address)
            except errors.BronzequayError:
                return False
        member = Member(found.spec(), address, is_leaving=found.is_leaving)
        if self.members.get(found.worker) != member:
            self.members[found.worker] = member
            self._tell(member)
        return True

    def _tell(self, member: Member) -> None:
        for listener in list(self._listeners):
            listener(member)


__all__ = ["GONE_S", "POLL_S", "Fleet", "Member"]
