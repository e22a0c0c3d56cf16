"""Placement of a step's tasks on workers: gangs as a whole, other tasks one by one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import fleet_view, isolate, rollout, rooms, spread
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay.core.state import State, StepRun, Worker
    from bronzequay.core.tasks import Task

Placement = list[tuple["Task", "Worker"]]


def find_placement(state: State, step: StepRun, view: fleet_view.FleetView) -> Placement:
    """Find workers for a whole gang, or for as many single tasks as fit.

    :return: tasks with their workers, empty when nothing fits
    """
    waiting = step.waiting_tasks
    if not step.spec.is_gang:
        return _place_single_tasks(state, step, view)
    if len(waiting) < step.spec.count:
        return []
    if view.count_fitting(step) < step.spec.count:
        return []
    for tier, groups in enumerate(view.group_tiers(step)):
        placement = _place_gang(state, step, groups, view)
        if placement and tier and step.spec.same_rack:
            state.record_decision(
                "gang_spread",
                step.job.spec.job,
                step=step.number,
                waited_s=round(spread.waited_s(state, step), 2),
                racks=sorted({worker.spec.rack for _, worker in placement}),
            )
        if placement:
            return placement
    return []


def _may_fit(step: StepRun, workers: list[Worker]) -> bool:
    """Return whether workers have enough free accelerators for a gang, wherever they are."""
    free_gpus = sum([worker.free_gpu for worker in workers if worker.free_gpu > 0])
    return free_gpus >= states.allocation_of(step.spec).gpu * step.spec.count


def _place_gang(
    state: State, step: StepRun, groups: Iterable[list[Worker]], view: fleet_view.FleetView
) -> Placement:
    """Find the best workers for a whole gang in one of some groups, empty when it fits in none."""
    best: Placement = []
    best_cost: tuple[int, int, bool, float, int, int] | None = None
    waiting, is_suspect = step.waiting_tasks, isolate.has_suspects(state, step)
    speeds = view.speed_order(step)
    for group in groups:
        if not _may_fit(step, group):
            continue
        placement = _pack(state, waiting, group, step, view, is_suspect=is_suspect)
        if len(placement) == len(waiting):
            suspect_count = sum(_has_failures(state, worker, step) for _, worker in placement)
            leaving_count = sum(
                rollout.is_leaving_soon(state, worker, step) for _, worker in placement
            )
            cost = (
                suspect_count,
                sum(worker.spec.worker in view.restriction.cold for _, worker in placement),
                _is_off_data_rack(group, step),
                speeds.slowness([worker for _, worker in placement]),
                leaving_count,
                sum(worker.free_gpu for worker in group),
            )
            if best_cost is None or cost < best_cost:
                best, best_cost = placement, cost
    return best


def _place_single_tasks(state: State, step: StepRun, view: fleet_view.FleetView) -> Placement:
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


def _has_failures(state: State, worker: Worker, step: StepRun) -> bool:
    """Return whether jobs failed on a worker since its last success, or this step failed there."""
    has_failed = bool(worker.failed_jobs) or worker.spec.machine in step.failed_machines
    return has_failed or fleet_view.is_paused(state, worker)


def _is_off_data_rack(workers: Iterable[Worker], step: StepRun) -> bool:
    rack = step.spec.data_rack
    return bool(rack) and any(worker.spec.rack != rack for worker in workers)


def _pack(
    state: State,
    waiting: list[Task],
    workers: list[Worker],
    step: StepRun,
    view: fleet_view.FleetView,
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
    work_s = state.work_s(step)
    free_gpus_by_rack: dict[str, int] = {}
    must_be_apart = isolate.must_start_apart(state, step, waiting)
    speed_key = view.speed_order(step).key()
    slots = []
    for worker in workers:
        free_gpus_by_rack[worker.spec.rack] = (
            free_gpus_by_rack.get(worker.spec.rack, 0) + worker.free_gpu
        )
        if must_be_apart and not isolate.may_start_on(worker, step, is_suspect=is_suspect):
            continue
        if worker.free_gpu >= need.gpu and worker.free_cpu >= need.cpu:
            until_s = state.now_s + work_s / state.forecast.speed_of(worker.spec)
            fits = view.unreserved_room(worker, until_s).count_fitting(
                need, rooms.max_additional_tasks(worker, step)
            )
            if fits > 0:
                slots.append((worker, fits))
    slots.sort(
        key=lambda slot: (
            len(slot[0].tasks) if is_suspect else 0,
            _has_failures(state, slot[0], step),
            slot[0].spec.worker in view.restriction.cold,
            bool(rack) and slot[0].spec.rack != rack,
            speed_key(slot[0]),
            rollout.is_leaving_soon(state, slot[0], step),
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


__all__ = ["Placement", "find_placement"]
