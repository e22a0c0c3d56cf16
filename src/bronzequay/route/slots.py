"""Slot estimates: chooses the executor of the next request of this instance.

Instances share the executors without a coordinator. Each counts its own requests and
estimates those of the others from the last answer of an executor, which reports how many
requests the executor holds (a hint).
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
BASE_SLOTS = 1
MIN_HINT_TTL_S = 0.25
HINT_TTL_RUN_TIMES = 2.0
RUN_SMOOTHING = 0.05
INITIAL_RUN_S = 0.05
LIVE_TTL_S = 2.0


class ExecutorEstimate(msgspec.Struct, eq=False):
    """Estimated load of one executor, as seen by this instance.

    :param in_progress: requests of this instance in progress
    :param others_in_progress: requests of the other instances at ``observed_s``; none before
        the first hint
    :param last_live_s: time when the executor last reported itself as live
    :param is_probe_pending: whether a probe of the executor is in progress
    :param is_unavailable: whether the executor is ejected or leaving
    """

    executor: model.Executor
    in_progress: int = 0
    others_in_progress: int | None = None
    observed_s: float = 0.0
    last_live_s: float = -math.inf
    is_probe_pending: bool = False
    is_unavailable: bool = False


class SlotTable:
    """Slot estimates of all executors of a service.

    :param instances: returns the number of live entry instances that share the executors
    :param clock: returns the time in seconds
    :param seed: seed of the random choice of two executors
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
        self._table: dict[ids.ExecutorId, ExecutorEstimate] = {}
        self._delisted: dict[ids.ExecutorId, ExecutorEstimate] = {}
        self._available: list[ExecutorEstimate] = []
        self._run_s = INITIAL_RUN_S

    def connection_limit(self) -> int:
        """Return the number of connections that this instance may have to one executor."""
        return max(1, MAX_CONNECTIONS // max(1, self._instances()))

    def set_executors(self, executors: Sequence[model.Executor]) -> None:
        """Replace the list of executors; requests in progress on removed ones stay counted."""
        known = self._delisted | self._table
        self._table = {}
        for executor in executors:
            estimate = known.pop(executor.executor, None) or ExecutorEstimate(executor)
            estimate.executor = executor
            self._table[executor.executor] = estimate
        self._delisted = {
            name: estimate for name, estimate in known.items() if estimate.in_progress
        }
        self._refresh_available()

    def set_unavailable(self, executors: Collection[ids.ExecutorId]) -> None:
        """Set the executors that get no new requests, besides those listed as leaving."""
        for name, estimate in self._table.items():
            estimate.is_unavailable = name in executors
        self._refresh_available()

    def acquire(self, *, avoid: Collection[ids.ExecutorId] = ()) -> model.Executor | None:
        """Acquire a slot on the less loaded of two executors chosen at random.

        An executor that was recently live is preferred to one that must be probed first.

        :param avoid: executors that must not be used
        :return: the executor, or none if none has a free slot
        """
        if not self._available:
            return None
        pair = (self._rng.choice(self._available), self._rng.choice(self._available))
        chosen = self._least_loaded(pair, avoid)
        if chosen is None or not self._is_recently_live(chosen):
            chosen = self._least_loaded(self._available, avoid)
        if chosen is None:
            return None
        chosen.in_progress += 1
        return chosen.executor

    def release(self, executor: ids.ExecutorId, *, run_s: float) -> None:
        """Release a slot.

        :param run_s: seconds that the slot was held
        """
        estimate = self._table.get(executor) or self._delisted[executor]
        estimate.in_progress -= 1
        self._run_s += RUN_SMOOTHING * (run_s - self._run_s)
        if not estimate.in_progress:
            self._delisted.pop(executor, None)

    def is_recently_live(self, executor: ids.ExecutorId) -> bool:
        """Return whether the executor reported itself as live within ``LIVE_TTL_S``."""
        estimate = self._table.get(executor)
        return estimate is not None and self._is_recently_live(estimate)

    def record_live(self, executor: ids.ExecutorId) -> None:
        """Record that the executor reports itself as live."""
        estimate = self._table.get(executor)
        if estimate is not None:
            estimate.last_live_s = self._clock()

    def require_probe(self, executor: ids.ExecutorId, *, unless_live_within_s: float = 0.0) -> None:
        """Require a probe of the executor before its next request.

        :param unless_live_within_s: no probe is required if the executor reported itself as
            live within this time
        """
        estimate = self._table.get(executor)
        if estimate is not None and estimate.last_live_s + unless_live_within_s <= self._clock():
            estimate.last_live_s = -math.inf

    def set_probe_pending(self, executor: ids.ExecutorId, *, is_probe_pending: bool) -> None:
        """Set whether a probe is in progress.

        Until it ends, an executor that was not recently live gets no new requests.
        """
        estimate = self._table.get(executor)
        if estimate is not None:
            estimate.is_probe_pending = is_probe_pending

    def probe_candidates(self, limit: int) -> list[model.Executor]:
        """Return available executors that must be probed before use, longest not live first.

        :param limit: maximum number of executors
        """
        silent = [estimate for estimate in self._available if not self._is_recently_live(estimate)]
        silent.sort(key=lambda estimate: estimate.last_live_s)
        return [estimate.executor for estimate in silent[:limit]]

    def record_hint(self, executor: ids.ExecutorId, *, busy: int) -> None:
        """Record the load that an executor reports with an answer.

        Must be called before the slot of the answered request is released.

        :param busy: requests that the executor holds, without the answered one
        """
        estimate = self._table.get(executor)
        if estimate is None:
            return
        estimate.others_in_progress = max(0, busy - max(0, estimate.in_progress - 1))
        estimate.observed_s = self._clock()

    def record_description(self, executor: ids.ExecutorId, *, busy: int) -> None:
        """Record the load that an executor reports in its description.

        Every waiting instance may see the same free slots, so this one counts only its share.

        :param busy: slots in use
        """
        estimate = self._table.get(executor)
        if estimate is None:
            return
        free = max(0, SLOTS_PER_EXECUTOR - max(busy, estimate.in_progress))
        share = -(-free // max(1, self._instances()))
        estimate.others_in_progress = max(0, SLOTS_PER_EXECUTOR - estimate.in_progress - share)
        estimate.observed_s = self._clock()

    def stale_executors(self) -> list[model.Executor]:
        """Return the available executors whose last hint has expired."""
        now_s = self._clock()
        return [
            estimate.executor
            for estimate in self._available
            if not self._has_fresh_hint(estimate, now_s)
        ]

    def has_free(self) -> bool:
        """Return whether an executor has a free slot."""
        limit = self.connection_limit()
        now_s = self._clock()
        return any(self._is_free(estimate, limit, now_s) for estimate in self._available)

    def capacity(self) -> int:
        """Return the number of slots in this instance's equal share, at least 1."""
        return max(1, SLOTS_PER_EXECUTOR * len(self._available) // max(1, self._instances()))

    def has_available(self) -> bool:
        """Return whether any executor accepts new requests."""
        return bool(self._available)

    def executors(self) -> list[model.Executor]:
        """Return the listed executors."""
        return [estimate.executor for estimate in self._table.values()]

    def dump(self) -> dict[str, dict[str, object]]:
        """Return the estimates for the operators' state dump."""
        return {
            name: {
                "state": estimate.executor.state.value,
                "in_progress": estimate.in_progress,
                "others": estimate.others_in_progress,
                "closed": estimate.is_unavailable,
            }
            for name, estimate in (self._table | self._delisted).items()
        }

    def _refresh_available(self) -> None:
        self._available = [
            estimate
            for estimate in self._table.values()
            if not estimate.is_unavailable and estimate.executor.state is model.ExecutorState.LIVE
        ]

    def _least_loaded(
        self, candidates: Iterable[ExecutorEstimate], avoid: Collection[ids.ExecutorId]
    ) -> ExecutorEstimate | None:
        limit = self.connection_limit()
        now_s = self._clock()
        free = [
            estimate
            for estimate in candidates
            if self._is_free(estimate, limit, now_s) and estimate.executor.executor not in avoid
        ]
        return min(
            free,
            key=lambda estimate: (now_s - estimate.last_live_s > LIVE_TTL_S, _load(estimate)),
            default=None,
        )

    def _is_recently_live(self, estimate: ExecutorEstimate) -> bool:
        return self._clock() - estimate.last_live_s <= LIVE_TTL_S

    def _is_free(self, estimate: ExecutorEstimate, limit: int, now_s: float) -> bool:
        if estimate.is_probe_pending and now_s - estimate.last_live_s > LIVE_TTL_S:
            return False
        if estimate.in_progress < BASE_SLOTS:
            return True
        if estimate.in_progress >= limit:
            return False
        if estimate.others_in_progress is None:
            return True
        if not self._has_fresh_hint(estimate, now_s):
            return False
        return estimate.in_progress + estimate.others_in_progress < SLOTS_PER_EXECUTOR

    def _has_fresh_hint(self, estimate: ExecutorEstimate, now_s: float) -> bool:
        ttl_s = max(MIN_HINT_TTL_S, HINT_TTL_RUN_TIMES * self._run_s)
        return estimate.others_in_progress is not None and now_s - estimate.observed_s < ttl_s


def _load(estimate: ExecutorEstimate) -> int:
    return estimate.in_progress + (estimate.others_in_progress or 0)


__all__ = ["MAX_CONNECTIONS", "SLOTS_PER_EXECUTOR", "SlotTable"]
