"""Slot accounting: which executor takes the next request of this instance.

Instances share the executors without a coordinator. Each counts its own requests and takes
the others' from the last answer of the executor, which says how many requests it holds.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay.route import model

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Sequence

    from bronzequay import ids

SLOTS_PER_EXECUTOR = 8
MAX_CONNECTIONS = 64
BASE_SHARE = 1
MIN_HINT_TTL_S = 0.25
HINT_TTL_RUNS = 2.0
RUN_SMOOTHING = 0.05
INITIAL_RUN_S = 0.05
HEARD_TTL_S = 2.0


class Slots(msgspec.Struct, eq=False):
    """What this instance knows of one executor.

    :param in_progress: requests of this instance
    :param others: requests of the other instances at ``seen_s``; none before the first hint
    :param heard_s: when it last said that it is live
    :param is_asked: whether a question about itself is on its way
    :param is_closed: whether it takes no new work, for whatever reason
    """

    executor: model.Executor
    in_progress: int = 0
    others: int | None = None
    seen_s: float = 0.0
    heard_s: float = -math.inf
    is_asked: bool = False
    is_closed: bool = False


class SlotTable:
    """Counts of this instance.

    :param instances: number of live entry instances that share the executors
    :param clock: the time in seconds
    :param seed: seed of the choice between two executors
    """

    def __init__(
        self,
        *,
        instances: Callable[[], int],
        clock: Callable[[], float] = trio.current_time,
        seed: int = 0,
    ) -> None:
        self._instances = instances
        self._clock = clock
        self._rng = random.Random(seed)  # noqa: S311 - load balancing, no secret
        self._table: dict[ids.ExecutorId, Slots] = {}
        self._gone: dict[ids.ExecutorId, Slots] = {}
        self._open: list[Slots] = []
        self._run_s = INITIAL_RUN_S

    def limit(self) -> int:
        """Return the connections that this instance may have to one executor."""
        return max(1, MAX_CONNECTIONS // max(1, self._instances()))

    def set_executors(self, executors: Sequence[model.Executor]) -> None:
        """Replace the list of executors; requests in progress stay counted."""
        known = self._gone | self._table
        self._table = {}
        for executor in executors:
            slots = known.pop(executor.executor, None) or Slots(executor)
            slots.executor = executor
            self._table[executor.executor] = slots
        self._gone = {name: slots for name, slots in known.items() if slots.in_progress}
        self._list_open()

    def set_closed(self, executors: Collection[ids.ExecutorId]) -> None:
        """Say which executors take no new work, besides those listed as leaving."""
        for name, slots in self._table.items():
            slots.is_closed = name in executors
        self._list_open()

    def acquire(self, *, avoid: Collection[ids.ExecutorId] = ()) -> model.Executor | None:
        """Take a slot on the less loaded of two executors drawn at random.

        One that was heard of lately goes before one that must be asked first.

        :param avoid: executors to pass over
        :return: the executor, or nothing when none has a free slot
        """
        if not self._open:
            return None
        pair = (self._rng.choice(self._open), self._rng.choice(self._open))
        chosen = self._best(pair, avoid)
        if chosen is None or not self._is_heard(chosen):
            chosen = self._best(self._open, avoid)
        if chosen is None:
            return None
        chosen.in_progress += 1
        return chosen.executor

    def release(self, executor: ids.ExecutorId, *, run_s: float) -> None:
        """Give a slot back.

        :param run_s: seconds that it was held
        """
        slots = self._table.get(executor) or self._gone[executor]
        slots.in_progress -= 1
        self._run_s += RUN_SMOOTHING * (run_s - self._run_s)
        if not slots.in_progress:
            self._gone.pop(executor, None)

    def is_heard(self, executor: ids.ExecutorId) -> bool:
        """Return whether the executor said lately that it takes new work."""
        slots = self._table.get(executor)
        return slots is not None and self._is_heard(slots)

    def note_heard(self, executor: ids.ExecutorId) -> None:
        """Note that the executor says that it takes new work."""
        slots = self._table.get(executor)
        if slots is not None:
            slots.heard_s = self._clock()

    def note_doubt(self, executor: ids.ExecutorId, *, after_s: float = 0.0) -> None:
        """Let the executor be asked before its next request.

        :param after_s: do so only if it was not heard of for this long
        """
        slots = self._table.get(executor)
        if slots is not None and slots.heard_s + after_s <= self._clock():
            slots.heard_s = -math.inf

    def set_asked(self, executor: ids.ExecutorId, *, is_asked: bool) -> None:
        """Keep new requests from an executor whose answer about itself is awaited."""
        slots = self._table.get(executor)
        if slots is not None:
            slots.is_asked = is_asked

    def unheard(self, limit: int) -> list[model.Executor]:
        """Return some executors in service that must be asked first, longest unheard first."""
        silent = [slots for slots in self._open if not self._is_heard(slots)]
        silent.sort(key=lambda slots: slots.heard_s)
        return [slots.executor for slots in silent[:limit]]

    def observe(self, executor: ids.ExecutorId, *, busy: int) -> None:
        """Take in an executor's answer, before the slot of the answered request is released.

        :param busy: requests that the executor holds, without the answered one
        """
        slots = self._table.get(executor)
        if slots is None:
            return
        slots.others = max(0, busy - max(0, slots.in_progress - 1))
        slots.seen_s = self._clock()

    def observe_description(self, executor: ids.ExecutorId, *, busy: int) -> None:
        """Take in an executor's description.

        Every waiting instance may see the same free slots, so this one counts on its share.

        :param busy: slots in use
        """
        slots = self._table.get(executor)
        if slots is None:
            return
        free = max(0, SLOTS_PER_EXECUTOR - max(busy, slots.in_progress))
        share = -(-free // max(1, self._instances()))
        slots.others = max(0, SLOTS_PER_EXECUTOR - slots.in_progress - share)
        slots.seen_s = self._clock()

    def stale(self) -> list[model.Executor]:
        """Return the executors in service whose last hint is too old to count on."""
        now_s = self._clock()
        return [slots.executor for slots in self._open if not self._is_fresh(slots, now_s)]

    def has_free(self) -> bool:
        """Return whether a request could be sent now."""
        limit = self.limit()
        now_s = self._clock()
        return any(self._is_free(slots, limit, now_s) for slots in self._open)

    def capacity(self) -> int:
        """Return the slots that this instance can count on at all times."""
        return max(1, SLOTS_PER_EXECUTOR * len(self._open) // max(1, self._instances()))

    def is_open(self) -> bool:
        """Return whether any executor takes new work."""
        return bool(self._open)

    def executors(self) -> list[model.Executor]:
        """Return the listed executors."""
        return [slots.executor for slots in self._table.values()]

    def dump(self) -> dict[str, dict[str, object]]:
        """Return the counts for the state dump."""
        return {
            name: {
                "state": slots.executor.state.value,
                "in_progress": slots.in_progress,
                "others": slots.others,
                "closed": slots.is_closed,
            }
            for name, slots in (self._table | self._gone).items()
        }

    def _list_open(self) -> None:
        self._open = [
            slots
            for slots in self._table.values()
            if not slots.is_closed and slots.executor.state is model.ExecutorState.LIVE
        ]

    def _best(self, candidates: Iterable[Slots], avoid: Collection[ids.ExecutorId]) -> Slots | None:
        limit = self.limit()
        now_s = self._clock()
        free = [
            slots
            for slots in candidates
            if self._is_free(slots, limit, now_s) and slots.executor.executor not in avoid
        ]
        return min(
            free,
            key=lambda slots: (now_s - slots.heard_s > HEARD_TTL_S, _load(slots)),
            default=None,
        )

    def _is_heard(self, slots: Slots) -> bool:
        return self._clock() - slots.heard_s <= HEARD_TTL_S

    def _is_free(self, slots: Slots, limit: int, now_s: float) -> bool:
        if slots.is_asked and now_s - slots.heard_s > HEARD_TTL_S:
            return False
        if slots.in_progress < BASE_SHARE:
            return True
        if slots.in_progress >= limit:
            return False
        if slots.others is None:
            return True
        if not self._is_fresh(slots, now_s):
            return False
        return slots.in_progress + slots.others < SLOTS_PER_EXECUTOR

    def _is_fresh(self, slots: Slots, now_s: float) -> bool:
        ttl_s = max(MIN_HINT_TTL_S, HINT_TTL_RUNS * self._run_s)
        return slots.others is not None and now_s - slots.seen_s < ttl_s


def _load(slots: Slots) -> int:
    return slots.in_progress + (slots.others or 0)


__all__ = ["MAX_CONNECTIONS", "SLOTS_PER_EXECUTOR", "SlotTable"]
