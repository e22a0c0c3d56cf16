"""Whether a gang waits for a rack that can hold it, or is spread over several racks.

A gang that is spread takes ``State.remote_factor`` times as long, so a wait pays while it is
shorter than the time that the rack saves. How long running work still takes is only roughly known,
therefore the time that the gang has already waited counts too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import rooms

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay.core.fleet_view import FleetView
    from bronzequay.core.state import State, StepRun, Worker

MAX_IDLE_WAIT_S = 2.0
"""Longest wait for a rack while the fleet has room to spare, or of guaranteed work: work that
nothing keeps from running must begin within 3 s, guaranteed work within ``reclaimMs``, 3.4 s."""
IDLE_SHARE = 0.5
"""Share of the fleet in use below which it has room to spare."""
SPARE_ROOM_FACTOR = 2
"""It has room to spare for a gang if this many such gangs fit."""


def waits_for_rack(state: State, step: StepRun, racks: list[list[Worker]], view: FleetView) -> bool:
    """Return whether a gang goes on waiting until one of some racks can hold it."""
    idle_limit_s = MAX_IDLE_WAIT_S + (rooms.MAX_STOP_S if step.key in view.being_freed else 0.0)
    limit_s = (state.remote_factor - 1) * state.work_s(step)
    if step.spec.is_endless:
        limit_s = idle_limit_s
    elif view.is_guaranteed(step):
        limit_s = min(limit_s, idle_limit_s)
    if limit_s > idle_limit_s and _has_spare_room(state, step, view):
        limit_s = idle_limit_s
    left_s = limit_s - waited_s(state, step)
    return left_s > 0.0 and any(
        fit is not None and fit.wait_s < left_s
        for fit in (view.earliest_fit(step, rack, with_stops=True) for rack in racks)
    )


def waited_s(state: State, step: StepRun) -> float:
    """Return for how long a gang, or the first of several single tasks, has waited."""
    waiting_s = [task.phase_since_s for task in step.waiting_tasks]
    since_s = max(waiting_s, default=0.0) if step.spec.is_gang else min(waiting_s, default=0.0)
    return state.now_s - max(since_s, step.ready_s or 0.0)


def is_mostly_idle(workers: Iterable[Worker]) -> bool:
    """Return whether less than ``IDLE_SHARE`` of the workers' capacity is in use."""
    used = total = 0.0
    for worker in workers:
        capacity = worker.spec.capacity
        total += rooms.weight(capacity.cpu, capacity.gpu)
        used += rooms.weight(capacity.cpu - worker.free_cpu, capacity.gpu - worker.free_gpu)
    return used < IDLE_SHARE * total


def _has_spare_room(state: State, step: StepRun, view: FleetView) -> bool:
    """Return whether the fleet is mostly idle and has room for several such gangs."""
    queue = state.queue_of(step.job)
    if queue is None or not view.is_mostly_idle(queue.service):
        return False
    return view.count_fitting(step) >= SPARE_ROOM_FACTOR * step.spec.count


__all__ = ["MAX_IDLE_WAIT_S", "is_mostly_idle", "waited_s", "waits_for_rack"]
