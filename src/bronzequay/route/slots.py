"""Slot accounting: which executor takes the next request of this instance."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from bronzequay.route import model

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from bronzequay import ids

SLOTS_PER_EXECUTOR = 8
MAX_CONNECTIONS = 64


class Slots(msgspec.Struct):
    """Requests of this instance in progress on one executor."""

    executor: model.Executor
    in_progress: int = 0


class SlotTable:
    """Counts of this instance, with no coordinator.

    :param instances: number of live entry instances that share the executors
    :param seed: seed of the choice between two executors
    """

    def __init__(self, *, instances: Callable[[], int], seed: int = 0) -> None:
        self._instances = instances
        self._rng = random.Random(seed)  # noqa: S311 - load balancing, no secret
        self._table: dict[ids.ExecutorId, Slots] = {}

    def limit(self) -> int:
        """Return the requests that this instance may have on one executor."""
        return max(1, MAX_CONNECTIONS // max(1, self._instances()))

    def set_executors(self, executors: Sequence[model.Executor]) -> None:
        """Replace the list of executors; requests in progress stay counted."""
        old = self._table
        self._table = {}
        for executor in executors:
            slots = old.get(executor.executor)
            in_progress = slots.in_progress if slots else 0
            self._table[executor.executor] = Slots(executor, in_progress)

    def acquire(self, *, avoid: Collection[ids.ExecutorId] = ()) -> model.Executor | None:
        """Take a slot on the less loaded of two executors drawn at random.

        :param avoid: executors to pass over
        :return: the executor, or nothing when none has a free slot
        """
        limit = self.limit()
        free = [
            slots
            for slots in self._table.values()
            if slots.in_progress < limit
            and slots.executor.state is model.ExecutorState.LIVE
            and slots.executor.executor not in avoid
        ]
        if not free:
            return None
        pair = self._rng.sample(free, 2) if len(free) > 1 else free
        chosen = min(pair, key=lambda slots: slots.in_progress)
        chosen.in_progress += 1
        return chosen.executor

    def release(self, executor: ids.ExecutorId) -> None:
        """Give a slot back."""
        slots = self._table.get(executor)
        if slots is not None:
            slots.in_progress -= 1

    def has_free(self) -> bool:
        """Return whether a request could be sent now."""
        limit = self.limit()
        return any(
            slots.in_progress < limit and slots.executor.state is model.ExecutorState.LIVE
            for slots in self._table.values()
        )

    def capacity(self) -> int:
        """Return the requests that this instance may have in progress at all."""
        return self.limit() * len(self._table)

    def has_live(self) -> bool:
        """Return whether any executor takes new work."""
        return any(
            slots.executor.state is model.ExecutorState.LIVE for slots in self._table.values()
        )

    def dump(self) -> dict[str, dict[str, object]]:
        """Return the counts for the state dump."""
        return {
            name: {"state": slots.executor.state.value, "in_progress": slots.in_progress}
            for name, slots in self._table.items()
        }


__all__ = ["MAX_CONNECTIONS", "SLOTS_PER_EXECUTOR", "SlotTable"]
