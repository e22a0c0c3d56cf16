"""Placement of a step's tasks on workers: gangs as a whole, other tasks one by one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import advice, isolate, model, rollout
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay import ids
    from bronzequay.core.state import State, StepRun, Task, Worker

Placement = list[tuple["Task", "Worker"]]


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


class FleetView:
    """The workers during one scheduling pass, less the room reserved earlier in the pass.

    :param state: state whose open steps the pass goes through
    """

    def __init__(self, state: State) -> None:
        self._state = state
        self._reserved: dict[ids.WorkerId, list[tuple[float, model.Resources, int]]] = {}
        self._eligible: dict[tuple[ids.ServiceId, str], list[Worker]] = {}
        self._with_room: dict[tuple[ids.ServiceId, str], list[Worker]] = {}
        self._groups: dict[object, list[tuple[int, list[Worker]]]] = {}
        needs = [states.allocation_of(step.spec) for step in state.open_steps.values()]
        self._smallest_need = model.Resources(
            min((need.cpu for need in needs), default=0),
            min((need.mem_mb for need in needs), default=0),
            min((need.gpu for need in needs), default=0),
        )

    def eligible_workers(self, step: StepRun) -> list[Worker]:
        """Return the workers that suit a step, whether or not it has tickets for them."""
        queue = self._state.queue_of(step.job)
        if queue is None:
            return []
        key = (queue.service, step.spec.label)
        if key not in self._eligible:
            self._eligible[key] = _eligible_workers(self._state, *key)
        return self._eligible[key]

    def permitted_workers(self, step: StepRun) -> list[Worker]:
        """Return the eligible workers for which a step has a ticket or needs none."""
        return self._with_tickets(step, self.eligible_workers(step))

    def _with_tickets(self, step: StepRun, workers: list[Worker]) -> list[Worker]:
        queue = self._state.queue_of(step.job)
        if queue is None or not queue.requires_advice:
            return workers
        return [worker for worker in workers if advice.has_valid_ticket(self._state, step, worker)]

    def workers_with_room(self, step: StepRun) -> list[Worker]:
        """Return the permitted workers with free room for the smallest need among open steps."""
        queue = self._state.queue_of(step.job)
        if queue is None:
            return []
        key = (queue.service, step.spec.label)
        if key not in self._with_room:
            smallest = self._smallest_need
            self._with_room[key] = [
                worker
                for worker in self.eligible_workers(step)
                if worker.free_gpu >= smallest.gpu
                and worker.free_cpu >= smallest.cpu
                and worker.free_mem_mb >= smallest.mem_mb
            ]
        return self._with_tickets(step, self._with_room[key])

    def candidate_groups(self, step: StepRun) -> list[list[Worker]]:
        """Return groups of workers, each to be tried as the place of all tasks of a step.

        For a step with ``same_rack`` these are the racks that could hold all its tasks when empty.
        If no rack is large enough, and for other steps, all permitted workers are one group.
        """
        if not step.spec.same_rack:
            return [self.permitted_workers(step)]
        queue = self._state.queue_of(step.job)
        scope = step.key if queue is not None and queue.requires_advice else step.job.spec.queue
        key = (scope, step.spec.label, step.spec.need, step.spec.max_per_worker)
        if key not in self._groups:
            racks = _group_by_rack(self.permitted_workers(step)).values()
            self._groups[key] = [
                (sum(_max_tasks_if_empty(worker, step) for worker in rack), rack) for rack in racks
            ]
        large = [rack for room, rack in self._groups[key] if room >= step.spec.count]
        return large or [self.permitted_workers(step)]

    def reserve(
        self, worker: ids.WorkerId, need: model.Resources, count: int, available_s: float
    ) -> None:
        """Reserve room on a worker for tasks of a step.

        :param available_s: when the step is expected to begin using it
        """
        self._reserved.setdefault(worker, []).append((available_s, need, count))

    def unreserved_room(self, worker: Worker, until_s: float) -> Room:
        """Return the free room of a worker, less the reservations that begin before a time.

        :param until_s: when the task to be placed is expected to end
        """
        room = Room(worker.free_cpu, worker.free_mem_mb, worker.free_gpu)
        for available_s, need, count in self._reserved.get(worker.spec.worker, ()):
            if available_s < until_s:
                room.release(need, -count)
        return room


def _eligible_workers(state: State, service: ids.ServiceId, label: str) -> list[Worker]:
    return [
        worker
        for worker in state.workers.values()
        if worker.is_ready
        and not worker.is_silent
        and state.is_capacity_known(worker, state.now_s)
        and not worker.is_draining
        and not worker.is_held_for_upkeep
        and not worker.stray_runs
        and worker.spec.service == service
        and (not label or label in worker.spec.labels)
        and worker.quarantined_until_s <= state.now_s
    ]


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


def _max_tasks_if_empty(worker: Worker, step: StepRun) -> int:
    """Return how many tasks of a step fit on a worker without other tasks."""
    capacity = worker.spec.capacity
    limit = step.spec.max_per_worker or model.MAX_TASKS_PER_JOB
    return Room(capacity.cpu, capacity.mem_mb, capacity.gpu).count_fitting(
        states.allocation_of(step.spec), limit
    )


def _group_by_rack(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.spec.rack, []).append(worker)
    return racks


def find_placement(state: State, step: StepRun, view: FleetView) -> Placement:
    """Find workers for a whole gang, or for as many single tasks as fit.

    :return: tasks with their workers, empty when nothing fits
    """
    waiting = step.waiting_tasks
    if not step.spec.is_gang:
        return _place_single_tasks(state, step, view)
    if len(waiting) < step.spec.count:
        return []
    best: Placement = []
    best_cost: tuple[int, bool, int, int] | None = None
    need = states.allocation_of(step.spec)
    for group in view.candidate_groups(step):
        if sum(worker.free_gpu for worker in group) < need.gpu * step.spec.count:
            continue
        placement = _pack(
            state, waiting, group, step, view, is_suspect=isolate.has_suspects(state, step)
        )
        if len(placement) == len(waiting):
            suspect_count = sum(_has_failures(worker, step) for _, worker in placement)
            leaving_count = sum(
                rollout.is_leaving_soon(state, worker, step.spec) for _, worker in placement
            )
            cost = (
                suspect_count,
                _is_off_data_rack(group, step),
                leaving_count,
                sum(worker.free_gpu for worker in group),
            )
            if best_cost is None or cost < best_cost:
                best, best_cost = placement, cost
    return best


def _place_single_tasks(state: State, step: StepRun, view: FleetView) -> Placement:
    """Find workers for tasks outside a gang; suspects all start on one worker."""
    waiting, workers = step.waiting_tasks, view.workers_with_room(step)
    if not isolate.has_suspects(state, step):
        return _pack(state, waiting, workers, step, view)
    suspects = [task for task in waiting if task.fatal_starts]
    others = [task for task in waiting if not task.fatal_starts]
    placement: Placement = []
    if suspects and not isolate.is_suspect_starting(step):
        placement = _pack(state, suspects, workers, step, view, is_suspect=True)
        placement = [place for place in placement if place[1] is placement[0][1]]
    used = [worker for _, worker in placement[:1]]
    free = [worker for worker in workers if worker not in used]
    return placement + _pack(state, others, free, step, view)


def _has_failures(worker: Worker, step: StepRun) -> bool:
    """Return whether jobs failed on a worker since its last success, or this step failed there."""
    return bool(worker.failed_jobs) or worker.spec.machine in step.failed_machines


def _is_off_data_rack(workers: Iterable[Worker], step: StepRun) -> bool:
    rack = step.spec.data_rack
    return bool(rack) and any(worker.spec.rack != rack for worker in workers)


def _pack(
    state: State,
    waiting: list[Task],
    workers: list[Worker],
    step: StepRun,
    view: FleetView,
    *,
    is_suspect: bool = False,
) -> Placement:
    """Assign tasks in order of preference, as far as workers have room.

    For suspects the workers with the fewest tasks come first. Then workers without recent failures
    come first, then the rack near the data, then those that are not about to be replaced, then the
    racks and workers with the fewest free accelerators.
    """
    rack = step.spec.data_rack
    need = states.allocation_of(step.spec)
    until_s = state.now_s + step.spec.estimate_s
    free_gpus_by_rack: dict[str, int] = {}
    must_be_apart = isolate.must_start_apart(state, step, waiting)
    slots = []
    for worker in workers:
        free_gpus_by_rack[worker.spec.rack] = (
            free_gpus_by_rack.get(worker.spec.rack, 0) + worker.free_gpu
        )
        if must_be_apart and not isolate.may_start_on(worker, step, is_suspect=is_suspect):
            continue
        if worker.free_gpu >= need.gpu and worker.free_cpu >= need.cpu:
            fits = view.unreserved_room(worker, until_s).count_fitting(
                need, max_additional_tasks(worker, step)
            )
            if fits > 0:
                slots.append((worker, fits))
    slots.sort(
        key=lambda slot: (
            len(slot[0].tasks) if is_suspect else 0,
            _has_failures(slot[0], step),
            bool(rack) and slot[0].spec.rack != rack,
            rollout.is_leaving_soon(state, slot[0], step.spec),
            free_gpus_by_rack[slot[0].spec.rack],
            slot[0].spec.rack,
            slot[0].free_gpu,
            slot[0].free_cpu,
            slot[0].spec.worker,
        )
    )
    placement: Placement = []
    remaining_tasks = iter(waiting)
    for worker, fits in slots:
        for _ in range(fits):
            task = next(remaining_tasks, None)
            if task is None:
                return placement
            placement.append((task, worker))
    return placement


__all__ = ["FleetView", "Placement", "Room", "find_placement", "max_additional_tasks"]
