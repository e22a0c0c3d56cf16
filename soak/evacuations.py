"""Evacuations of data centres during a run, and the check that no task starts there too late."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from soak import plan

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bronzequay.fakes import executors
    from soak.harness import Harness
    from soak.plan import Fault

EVAC_S = 3.0
"""``evacMs`` of the instances, in seconds. With the platform's default of 5 s few evacuations would
outlast it and the faults of the store."""
ZONE_COUNT = 3
MAX_EVACUATED = 2
"""Data centres under evacuation at the same time; with all three no work could start."""
COLD_S = 4.0
"""Time for which every other executor of a data centre is cold after an evacuation."""

_DISTURBING_KINDS = frozenset(
    {
        plan.Kind.STORE_BUSY,
        plan.Kind.STORE_SILENT,
        plan.Kind.STORE_SLOW,
        plan.Kind.STORE_LOSES,
        plan.Kind.STORE_WRITES_LATE,
        plan.Kind.STORE_DEAF,
    }
)
"""Faults of the store, for whose time an evacuation may take effect later."""


def zone(number: int) -> str:
    """Return the data centre of an executor."""
    return f"z{number % ZONE_COUNT}"


class EvacuationChecker:
    """Checks that no task starts in a data centre later than ``evac_s`` after its evacuation.

    The time for which the store, or the link to an executor, was disturbed is added. So is the time
    for which an executor carries out a start after it has received it.

    :param world: world whose log is checked
    :param evac_s: time within which an evacuation must take effect
    :ivar breaches: descriptions of the breaches
    """

    def __init__(self, world: executors.World, *, evac_s: float = EVAC_S) -> None:
        self._world = world
        self._evac_s = evac_s
        self._next_event = 0
        self._evacuations: dict[str, list[list[float]]] = {}
        self._disturbances: list[list[float]] = []
        self._disturbed_executors: list[str] = []
        self.breaches: list[str] = []

    def evacuated_zones(self) -> set[str]:
        """Return the data centres under evacuation."""
        infinity = float("inf")
        return {name for name, times in self._evacuations.items() if times[-1][1] == infinity}

    def begin(self, name: str) -> None:
        """Note that the store has acknowledged the evacuation of a data centre."""
        self._evacuations.setdefault(name, []).append([trio.current_time(), float("inf")])

    def end(self, name: str) -> None:
        """Note that the evacuation of a data centre is being ended."""
        self._evacuations[name][-1][1] = trio.current_time()

    @contextlib.contextmanager
    def disturbance(self, executor: str | None = "", tail_s: float = 0.0) -> Iterator[None]:
        """Count a time as disturbed.

        :param executor: the executor that it affects, empty for all, None for none
        :param tail_s: time for which the disturbance lasts after its end
        """
        if executor is None:
            yield
            return
        times = [trio.current_time(), float("inf")]
        self._disturbances.append(times)
        self._disturbed_executors.append(executor)
        yield
        times[1] = trio.current_time() + tail_s

    def check(self) -> list[str]:
        """Process the new events of the log; return all breaches so far."""
        for at_s, event, executor, task, run in self._world.log[self._next_event :]:
            if event != "start":
                continue
            name = _base_name(executor)
            for acked_s, removed_s in self._evacuations.get(self._zone_of(executor), ()):
                late_s = at_s - acked_s - self._disturbed_s(name, acked_s, at_s)
                if acked_s <= at_s < removed_s and late_s > self._evac_s:
                    self.breaches.append(
                        f"{task} run {run} started on {executor} at {at_s:.3f},"
                        f" {at_s - acked_s:.3f} s after its evacuation, {late_s:.3f} s undisturbed"
                    )
        self._next_event = len(self._world.log)
        return self.breaches

    def checked_s(self) -> float:
        """Return for how long starts would have been breaches, over all data centres."""
        return sum(
            max(0.0, end_s - acked_s - self._disturbed_s("", acked_s, end_s) - self._evac_s)
            for times in self._evacuations.values()
            for acked_s, removed_s in times
            for end_s in (min(removed_s, trio.current_time()),)
        )

    def _zone_of(self, executor: str) -> str:
        name = _base_name(executor)
        return next(
            other.zone for other in self._world.executors.values() if _base_name(other.name) == name
        )

    def _disturbed_s(self, executor: str, from_s: float, until_s: float) -> float:
        """Return the length of the union of the disturbances of an executor within a time."""
        total_s, covered_s = 0.0, from_s
        affected = [
            times
            for times, name in zip(self._disturbances, self._disturbed_executors, strict=True)
            if name in ("", executor)
        ]
        for begin_s, end_s in sorted(affected):
            begin_s, end_s = max(begin_s, covered_s), min(end_s, until_s)  # noqa: PLW2901
            if end_s > begin_s:
                total_s += end_s - begin_s
                covered_s = end_s
        return total_s


def _base_name(executor: str) -> str:
    """Return the name of an executor without the suffix of a later life."""
    return executor.partition("-life")[0]


def disturbance_of(site: Harness, fault: Fault) -> tuple[str | None, float]:
    """Return which executor's starts a fault disturbs, and for how long after its end.

    :return: empty for all executors, None for none
    """
    if fault.kind in _DISTURBING_KINDS:
        return "", 0.0
    names = sorted(site.world.executors)
    executor = _base_name(names[fault.selector % len(names)])
    if fault.kind is plan.Kind.ORDERS_LATE:
        return executor, 2.0 + fault.selector % 8
    if fault.kind.value.startswith("link"):
        targets = {plan.Target.STORE: "", plan.Target.WORKER: executor}
        return targets.get(fault.target), 0.0
    return None, 0.0


async def inject(site: Harness, fault: Fault) -> None:
    """Evacuate a data centre for the duration of a fault, unless enough are evacuated."""
    name = zone(fault.selector)
    checker = site.evacuation_checker
    evacuated = checker.evacuated_zones()
    if name in evacuated or len(evacuated) >= MAX_EVACUATED:
        return
    key = f"op/evacuate/{name}"
    site.kv.put(key, b"{}" if fault.selector % 5 else b"\xff")
    checker.begin(name)
    await trio.sleep(fault.duration_s)
    checker.end(name)
    site.kv.delete(key)
    members = [other for other in site.world.executors.values() if other.zone == name]
    for executor in members[::2]:
        executor.cold_until_s = trio.current_time() + COLD_S
        if executor.is_up and not executor.beats:
            executor.list_entry()


__all__ = ["EvacuationChecker", "disturbance_of", "inject", "zone"]
