"""Where the tasks of a step go: whole gangs or single tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import advice, model
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay import ids
    from bronzequay.core.state import State, StepRun, Task, Worker

Placement = list[tuple["Task", "Worker"]]


class Room:
    """Free room of a worker as one step sees it.

    :param cpu: thousandths of a core
    """

    __slots__ = ("cpu", "gpu", "mem_mb")

    def __init__(self, cpu: int, mem_mb: int, gpu: int) -> None:
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.gpu = gpu

    def add(self, need: model.Resources, count: int = 1) -> None:
        """Free what tasks take."""
        self.cpu += need.cpu * count
        self.mem_mb += need.mem_mb * count
        self.gpu += need.gpu * count

    def fits(self, need: model.Resources, most: int) -> int:
        """Return how many tasks have room, at most ``most``."""
        if need.gpu:
            if self.gpu < need.gpu:
                return 0
            most = min(most, self.gpu // need.gpu)
        if need.cpu:
            most = min(most, self.cpu // need.cpu)
        if need.mem_mb:
            most = min(most, self.mem_mb // need.mem_mb)
        return max(0, most)


class View:
    """The workers as one pass sees them, with the room that higher ranked steps wait for.

    :param state: whose open steps the pass goes through
    """

    def __init__(self, state: State) -> None:
        self._state = state
        self._reserved: dict[ids.WorkerId, list[tuple[float, model.Resources, int]]] = {}
        self._usable: dict[tuple[ids.ServiceId, str], list[Worker]] = {}
        self._open: dict[tuple[ids.ServiceId, str], list[Worker]] = {}
        self._groups: dict[object, list[tuple[int, list[Worker]]]] = {}
        needs = [states.need_of(step.spec) for step in state.open.values()]
        self._least = model.Resources(
            min((need.cpu for need in needs), default=0),
            min((need.mem_mb for need in needs), default=0),
            min((need.gpu for need in needs), default=0),
        )

    def fitting(self, step: StepRun) -> list[Worker]:
        """Return the workers that may be given tasks of a step, with or without advice."""
        queue = self._state.queue_of(step.job)
        if queue is None:
            return []
        name = (queue.service, step.spec.label)
        if name not in self._usable:
            self._usable[name] = _usable(self._state, *name)
        return self._usable[name]

    def usable(self, step: StepRun) -> list[Worker]:
        """Return the workers that may be given tasks of a step now."""
        return self._allowed(step, self.fitting(step))

    def _allowed(self, step: StepRun, workers: list[Worker]) -> list[Worker]:
        queue = self._state.queue_of(step.job)
        if queue is None or not queue.has_advice:
            return workers
        return [worker for worker in workers if advice.may_run(self._state, step, worker)]

    def open(self, step: StepRun) -> list[Worker]:
        """Return those of them that had room for any waiting task."""
        queue = self._state.queue_of(step.job)
        if queue is None:
            return []
        name = (queue.service, step.spec.label)
        if name not in self._open:
            least = self._least
            self._open[name] = [
                worker
                for worker in self.fitting(step)
                if worker.gpu >= least.gpu
                and worker.cpu >= least.cpu
                and worker.mem_mb >= least.mem_mb
            ]
        return self._allowed(step, self._open[name])

    def groups(self, step: StepRun) -> list[list[Worker]]:
        """Return the sets of workers one of which is to hold all of a gang.

        These are racks where the gang belongs into one and some rack is large enough.
        """
        if not step.spec.same_rack:
            return [self.usable(step)]
        queue = self._state.queue_of(step.job)
        own = step.key if queue is not None and queue.has_advice else step.job.spec.queue
        name = (own, step.spec.label, step.spec.need, step.spec.max_per_worker)
        if name not in self._groups:
            racks = _racks(self.usable(step)).values()
            self._groups[name] = [(sum(_most(each, step) for each in rack), rack) for rack in racks]
        large = [rack for room, rack in self._groups[name] if room >= step.spec.count]
        return large or [self.usable(step)]

    def reserve(
        self, worker: ids.WorkerId, need: model.Resources, count: int, from_s: float
    ) -> None:
        """Reserve room for tasks on a worker from some moment on."""
        self._reserved.setdefault(worker, []).append((from_s, need, count))

    def room(self, worker: Worker, until_s: float) -> Room:
        """Return what is free on a worker and not reserved before some moment."""
        room = Room(worker.cpu, worker.mem_mb, worker.gpu)
        for from_s, need, count in self._reserved.get(worker.spec.worker, ()):
            if from_s < until_s:
                room.add(need, -count)
        return room


def _usable(state: State, service: ids.ServiceId, label: str) -> list[Worker]:
    return [
        worker
        for worker in state.workers.values()
        if worker.is_ready
        and not worker.is_draining
        and not worker.is_withheld
        and not worker.strays
        and worker.spec.service == service
        and (not label or label in worker.spec.labels)
        and worker.avoid_until_s <= state.now_s
    ]


def most_on(worker: Worker, step: StepRun) -> int:
    """Return how many more tasks of a step may be on a worker, whatever its room."""
    if not step.spec.max_per_worker:
        return step.spec.count
    job, occurrence, number = step.job.spec.job, step.occurrence, step.number
    held = sum(
        key.job == job and key.occurrence == occurrence and key.step == number
        for key in worker.tasks
    )
    return step.spec.max_per_worker - held


def _most(worker: Worker, step: StepRun) -> int:
    """Return how many tasks of a step a worker could take if it had none."""
    whole = worker.spec.capacity
    most = step.spec.max_per_worker or model.MAX_COUNT
    return Room(whole.cpu, whole.mem_mb, whole.gpu).fits(states.need_of(step.spec), most)


def _racks(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.spec.rack, []).append(worker)
    return racks


def find(state: State, step: StepRun, view: View) -> Placement:
    """Find places for a gang as a whole, or for as many single tasks as fit.

    :return: the tasks with their workers, empty when there is no place
    """
    waiting = step.waiting
    if not step.spec.is_gang:
        return _fill(state, waiting, view.open(step), step, view)
    if len(waiting) < step.spec.count:
        return []
    found: Placement = []
    least: tuple[int, bool, int] | None = None
    need = states.need_of(step.spec)
    for group in view.groups(step):
        if sum(worker.gpu for worker in group) < need.gpu * step.spec.count:
            continue
        placement = _fill(state, waiting, group, step, view)
        if len(placement) == len(waiting):
            doubts = sum(_is_doubtful(worker, step) for _, worker in placement)
            cost = (doubts, _away(group, step), sum(worker.gpu for worker in group))
            if least is None or cost < least:
                found, least = placement, cost
    return found


def _is_doubtful(worker: Worker, step: StepRun) -> bool:
    """Return whether work has failed there lately, or this step's own has."""
    return bool(worker.failed_jobs) or worker.spec.machine in step.failed_on


def _away(workers: Iterable[Worker], step: StepRun) -> bool:
    rack = step.spec.data_rack
    return bool(rack) and any(worker.spec.rack != rack for worker in workers)


def _fill(
    state: State, waiting: list[Task], workers: list[Worker], step: StepRun, view: View
) -> Placement:
    """Fill the rack near the data first, then the fullest racks and workers."""
    rack = step.spec.data_rack
    need = states.need_of(step.spec)
    until_s = state.now_s + step.spec.estimate_s
    free: dict[str, int] = {}
    slots = []
    for worker in workers:
        free[worker.spec.rack] = free.get(worker.spec.rack, 0) + worker.gpu
        if worker.gpu >= need.gpu and worker.cpu >= need.cpu:
            fits = view.room(worker, until_s).fits(need, most_on(worker, step))
            if fits > 0:
                slots.append((worker, fits))
    slots.sort(
        key=lambda slot: (
            _is_doubtful(slot[0], step),
            bool(rack) and slot[0].spec.rack != rack,
            free[slot[0].spec.rack],
            slot[0].spec.rack,
            slot[0].gpu,
            slot[0].cpu,
            slot[0].spec.worker,
        )
    )
    placement: Placement = []
    rest = iter(waiting)
    for worker, fits in slots:
        for _ in range(fits):
            task = next(rest, None)
            if task is None:
                return placement
            placement.append((task, worker))
    return placement


__all__ = ["Placement", "Room", "View", "find", "most_on"]
