"""Checks of the invariants on the executors' log while a soak runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzequay.fakes import executors


class RunChecker:
    """Checks the log of a world of executors as it grows.

    A task has at most one run at a time and none after a noted end as done; its run numbers rise.
    An end is noted if it is acknowledged before the executor's lease lapses.

    :param world: world whose log is checked
    :ivar breaches: descriptions of the breaches
    :ivar done: tasks with an end as done in the log
    :ivar started: tasks that were ever started
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


def over_capacity(world: executors.World) -> list[str]:
    """Return a breach for each executor whose runs hold more accelerators than it has."""
    breaches = []
    for executor in world.executors.values():
        used_gpus = sum(run.plan.gpu for run in executor.runs.values())
        if used_gpus > executor.capacity["gpu"]:
            breaches.append(f"{executor.name} holds {used_gpus} of {executor.capacity['gpu']} GPUs")
    return breaches
