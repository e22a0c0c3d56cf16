"""Exports by organisation and queue whose work waits and whose work is lost by stops."""

from __future__ import annotations

import collections
import functools
import json
from typing import TYPE_CHECKING, NamedTuple, NoReturn

import structlog
import trio

from bronzequay import figures, ids

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.core.state import State
    from bronzequay.core.stop_limits import Counts

    _Pair = tuple[ids.OrgId, ids.QueueId]
    Load = tuple[dict[_Pair, "Waiting"], Counts]

EXPORT_S = 2.0
"""Time between two exports; short against the interval at which metrics are usually read."""
LOG_S = 10.0
"""Shortest time between two log lines."""
MAX_PAIRS = 300
"""Largest number of pairs of organisation and queue with metrics of their own; further ones share
one, so that the metrics stay small with many organisations."""
OTHERS = (ids.OrgId("other"), ids.QueueId("other"))

_log = structlog.get_logger()


class Waiting(NamedTuple):
    """Waiting work of one organisation in one queue.

    :param tasks: number of waiting tasks
    :param longest_s: time for which the first of them has waited
    """

    tasks: int
    longest_s: float


class Exporter:
    """Exports the counts of the core; the gauges are zero once the term has ended.

    :param take: returns the waiting work and the counts since the last call
    """

    def __init__(self, take: Callable[[], Load]) -> None:
        self._take = take
        self._pairs: set[_Pair] = set()
        self._waiting: dict[_Pair, Waiting] = {}
        self._stops: collections.Counter[str] = collections.Counter()
        self._withheld: collections.Counter[str] = collections.Counter()
        self._logged_s = float("-inf")

    async def run(self) -> NoReturn:
        """Export every ``EXPORT_S`` until cancelled."""
        try:
            while True:
                await trio.sleep(EXPORT_S)
                waiting, counts = self._take()
                self._export_waiting(waiting)
                self._export_counts(counts)
                self._log_summary()
        finally:
            self._waiting = {}

    def _own(self, pair: _Pair) -> _Pair:
        """Return the pair under which a pair is exported."""
        if pair not in self._pairs and len(self._pairs) < MAX_PAIRS:
            self._pairs.add(pair)
        return pair if pair in self._pairs else OTHERS

    def _export_waiting(self, waiting: dict[_Pair, Waiting]) -> None:
        self._waiting = {}
        for pair, added in waiting.items():
            own = self._own(pair)
            known = self._waiting.get(own, Waiting(0, 0.0))
            self._waiting[own] = Waiting(
                known.tasks + added.tasks, max(known.longest_s, added.longest_s)
            )
        for pair in self._waiting:
            labels = f"{{{_labels(pair)}}}"
            figures.gauge(f"waiting_tasks{labels}", functools.partial(self._tasks, pair))
            figures.gauge(f"longest_wait_seconds{labels}", functools.partial(self._longest_s, pair))

    def _tasks(self, pair: _Pair) -> float:
        return self._waiting.get(pair, Waiting(0, 0.0)).tasks

    def _longest_s(self, pair: _Pair) -> float:
        return self._waiting.get(pair, Waiting(0, 0.0)).longest_s

    def _export_counts(self, counts: Counts) -> None:
        for (reason, org, queue), tasks in counts.stops.items():
            labels = _labels(self._own((org, queue)))
            figures.count(f'stopped_tasks{{reason="{reason}",{labels}}}', tasks)
            self._stops[reason] += tasks
        for lost, work in counts.lost_work.items():
            figures.count(f"lost_core_seconds{{{_labels(self._own(lost))}}}", round(work))
        for reason, searches in counts.withheld.items():
            figures.count(f'withheld_stops{{reason="{reason}"}}', searches)
            self._withheld[reason] += searches

    def _log_summary(self) -> None:
        is_due = trio.current_time() - self._logged_s >= LOG_S
        if not is_due or not (self._stops or self._withheld):
            return
        self._logged_s = trio.current_time()
        _log.info("contention", stopped=dict(self._stops), withheld=dict(self._withheld))
        self._stops.clear()
        self._withheld.clear()


def _labels(pair: _Pair) -> str:
    """Return the labels of a pair; the names are escaped as JSON escapes them."""
    org, queue = (json.dumps(name, ensure_ascii=False) for name in pair)
    return f"org={org},queue={queue}"


def waiting_work(state: State) -> dict[_Pair, Waiting]:
    """Return the waiting work by organisation and queue."""
    result: dict[_Pair, Waiting] = {}
    for step in state.open_steps.values():
        tasks = step.waiting_tasks
        pair = (step.job.spec.org, step.job.spec.queue)
        known = result.get(pair, Waiting(0, 0.0))
        waited_s = state.now_s - min((task.phase_since_s for task in tasks), default=state.now_s)
        waited_s = min(waited_s, state.now_s - (step.ready_s or 0.0))
        result[pair] = Waiting(known.tasks + len(tasks), max(known.longest_s, waited_s))
    return result


__all__ = ["Exporter", "Waiting", "waiting_work"]
