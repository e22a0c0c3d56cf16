"""Checks of the invariants on the executors' log while a soak runs."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzequay.fakes import executors

SHRINK_GRACE_S = 4.5
"""Time in which starts may still count on a capacity that has shrunk: 3 s of contact, 1.5 s between
two entries of a worker."""


class RunChecker:
    """Checks the log of a world of executors as it grows.

    A task has at most one run at a time and none after a noted end as done; its run numbers rise.
    An end is noted if it is acknowledged before the executor's lease lapses.

    :param world: world whose log is checked
    :ivar breaches: descriptions of the breaches
    :ivar done: tasks with an end as done in the log
    :ivar started: tasks that were ever started
    :ivar start_counts: number of starts by task
    """

    def __init__(self, world: executors.World) -> None:
        self._world = world
        self._next_event = 0
        self._running: dict[str, tuple[str, int]] = {}
        self._done_runs: dict[str, list[int]] = {}
        self._noted_tasks: set[str] = set()
        self._later_starts: dict[tuple[str, int], str] = {}
        self._highest_runs: dict[str, int] = {}
        self._first_executors: dict[tuple[str, int], str] = {}
        self.breaches: list[str] = []
        self.done: set[str] = set()
        self.started: set[str] = set()
        self.start_counts: collections.Counter[str] = collections.Counter()

    def check(self) -> list[str]:
        """Process the new events of the log; return all breaches so far."""
        for at_s, event, executor, task, run in self._world.log[self._next_event :]:
            self._process(at_s, event, executor, task, run)
        self._next_event = len(self._world.log)
        return self.breaches

    def _process(self, at_s: float, event: str, executor: str, task: str, run: int) -> None:
        run_text = f"{task} run {run} on {executor} at {at_s:.3f}"
        if event == "start":
            self.started.add(task)
            self.start_counts[task] += 1
            if task in self._running:
                self.breaches.append(f"two runs at once: {run_text}, beside {self._running[task]}")
            if task in self._noted_tasks:
                self.breaches.append(f"started after a noted end as done: {run_text}")
            for done_run in self._done_runs.get(task, ()):
                self._later_starts.setdefault((task, done_run), run_text)
            # A later incarnation of the executor may carry out an unanswered start again.
            first_executor = self._first_executors.setdefault((task, run), executor)
            if run < self._highest_runs.get(task, 0) or first_executor != executor:
                self.breaches.append(f"run number used before: {run_text}, on {first_executor}")
            self._highest_runs[task] = max(run, self._highest_runs.get(task, 0))
            self._running[task] = (executor, run)
        elif event == "noted":
            self._noted_tasks.add(task)
            if (task, run) in self._later_starts:
                later_start = self._later_starts[task, run]
                self.breaches.append(f"run {run} noted as done after a later start: {later_start}")
        else:
            if self._running.get(task) == (executor, run):
                del self._running[task]
            if event == "done":
                self.done.add(task)
                self._done_runs.setdefault(task, []).append(run)

    def running_tasks(self, job: str) -> list[str]:
        """Return the tasks of a job that are running."""
        return [task for task in self._running if task.startswith(f"{job}.")]


class RoomChecker:
    """Checks that no start brings an executor over its accelerators.

    Accelerators that an executor has lost count for ``SHRINK_GRACE_S``; its runs may exceed what is
    left as long as nothing is started.

    :param world: world whose executors are checked
    :ivar breaches: descriptions of the breaches
    """

    def __init__(self, world: executors.World) -> None:
        self._world = world
        self._capacities: dict[str, list[tuple[float, int]]] = {}
        self._runs: dict[str, set[tuple[str, int]]] = {}
        self.breaches: list[str] = []

    def check(self, now_s: float) -> list[str]:
        """Check what the executors hold now; return all breaches so far."""
        for executor in self._world.executors.values():
            capacities = self._capacities.setdefault(executor.name, [])
            capacities.append((now_s, executor.capacity["gpu"]))
            while len(capacities) > 1 and capacities[1][0] < now_s - SHRINK_GRACE_S:
                del capacities[0]
            limit = max(gpu for _, gpu in capacities)
            used = sum(run.plan.gpu for run in executor.runs.values())
            runs = {(run.task, run.run) for run in executor.runs.values()}
            has_started = bool(runs - self._runs.get(executor.name, set()))
            self._runs[executor.name] = runs
            if used > limit and has_started:
                self.breaches.append(f"{executor.name} holds {used} of {limit} GPUs")
        return self.breaches
