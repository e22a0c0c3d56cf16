"""Free room on workers, now and as running work ends."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from bronzequay.core import model, work
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bronzequay import ids
    from bronzequay.core.state import State, StepRun, Worker

MAX_STOP_S = 0.9
"""Longest time from a stop order to the end of the run."""

ExpectedEnd = tuple[float, model.Resources]
"""Seconds until a task is expected to end, and the room that becomes free."""


class Room:
    """Resources that are free on a worker for a step.

    :param cpu: thousandths of a core
    """

    __slots__ = ("cpu", "gpu", "mem_mb")

    def __init__(self, cpu: int, mem_mb: int, gpu: int) -> None:
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.gpu = gpu

    def release(self, need: model.Resources, count: int = 1) -> None:
        """Add the resources of some tasks; a negative count subtracts them."""
        self.cpu += need.cpu * count
        self.mem_mb += need.mem_mb * count
        self.gpu += need.gpu * count

    def count_fitting(self, need: model.Resources, limit: int) -> int:
        """Return how many tasks fit, at most ``limit``."""
        if need.gpu:
            if self.gpu < need.gpu:
                return 0
            limit = min(limit, self.gpu // need.gpu)
        if need.cpu:
            limit = min(limit, self.cpu // need.cpu)
        if need.mem_mb:
            limit = min(limit, self.mem_mb // need.mem_mb)
        return max(0, limit)


class Fit(NamedTuple):
    """Room for all tasks of a gang in a group of workers.

    :param wait_s: time until the room is expected to be free
    :param slots: number of tasks by worker
    """

    wait_s: float
    slots: dict[ids.WorkerId, int]


def weight(cpu: int, gpu: int) -> float:
    """Return an amount of room, or its use, in cores.

    :param cpu: thousandths of a core
    """
    return work.weight(cpu, gpu)


def max_additional_tasks(worker: Worker, step: StepRun) -> int:
    """Return how many more tasks of a step a worker may have by the step's limit per worker."""
    if not step.spec.max_per_worker:
        return step.spec.count
    job, occurrence, number = step.job.spec.job, step.occurrence, step.number
    held = sum(
        key.job == job and key.occurrence == occurrence and key.step == number
        for key in worker.tasks
    )
    return step.spec.max_per_worker - held


def max_tasks_if_empty(worker: Worker, step: StepRun) -> int:
    """Return how many tasks of a step fit on a worker without other tasks."""
    capacity = worker.spec.capacity
    limit = step.spec.max_per_worker or model.MAX_TASKS_PER_JOB
    return Room(capacity.cpu, capacity.mem_mb, capacity.gpu).count_fitting(
        states.allocation_of(step.spec), limit
    )


def expected_ends(
    state: State, worker: Worker, may_stop: Callable[[StepRun], bool] | None = None
) -> list[ExpectedEnd]:
    """Return the expected ends of a worker's tasks; those of services never end by themselves.

    :param may_stop: whether tasks of a step can be stopped now, None when no task can
    """
    ends = []
    for task in worker.tasks.values():
        step = state.step_of(task.key)
        if step is None:
            continue
        if task.phase is model.Phase.STOPPING:
            wait_s = max(0.0, MAX_STOP_S - (state.now_s - task.phase_since_s))
        elif may_stop is not None and may_stop(step):
            wait_s = MAX_STOP_S
        elif step.spec.is_endless:
            continue
        else:
            wait_s = max(0.0, states.remaining_s(step, task, state.now_s))
        ends.append((wait_s, states.allocation_of(step.spec)))
    return ends


def earliest_fit(
    step: StepRun,
    group: Iterable[Worker],
    *,
    room_of: Callable[[Worker], Room],
    ends_of: Callable[[Worker], list[ExpectedEnd]],
) -> Fit | None:
    """Return the room for a gang that is first large enough as running work ends.

    :param room_of: free room of a worker
    :param ends_of: expected ends of a worker's tasks
    :return: the room, None when the group is never large enough
    """
    need, count = states.allocation_of(step.spec), step.spec.count
    rooms = {worker.spec.worker: room_of(worker) for worker in group}
    limits = {worker.spec.worker: max_additional_tasks(worker, step) for worker in group}
    fits = {name: room.count_fitting(need, limits[name]) for name, room in rooms.items()}
    total, wait_s = sum(fits.values()), 0.0
    ends = [
        (end_s, worker.spec.worker, freed) for worker in group for end_s, freed in ends_of(worker)
    ]
    for end_s, name, freed in sorted(ends, key=lambda end: end[0]):
        if total >= count:
            break
        rooms[name].release(freed)
        total -= fits[name]
        fits[name] = rooms[name].count_fitting(need, limits[name])
        total += fits[name]
        wait_s = end_s
    return Fit(wait_s, _assign(fits, count)) if total >= count else None


def _assign(fits: dict[ids.WorkerId, int], count: int) -> dict[ids.WorkerId, int]:
    slots: dict[ids.WorkerId, int] = {}
    for name, fitting in fits.items():
        if fitting and count:
            slots[name] = min(fitting, count)
            count -= slots[name]
    return slots


__all__ = [
    "MAX_STOP_S",
    "ExpectedEnd",
    "Fit",
    "Room",
    "earliest_fit",
    "expected_ends",
    "max_additional_tasks",
    "max_tasks_if_empty",
    "weight",
]
