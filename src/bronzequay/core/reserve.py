"""Reservations: room that a step waits for.

Steps that are placed after it in a pass use reserved room only for tasks that are expected to end
before the reservation begins.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import model, rooms, tasks
from bronzequay.core import state as states

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.core.fleet_view import FleetView
    from bronzequay.core.state import State, StepRun, Worker
    from bronzequay.core.tasks import Task

NEAR_END_S = 0.7
"""Running work expected to end within this time is not stopped; a stop takes up to 0.9 s."""
OVERRUN_S = 0.3
"""Time past its expected end for which a run still counts as ending; progress is reported every
second."""
REPLAN_S = 1.0
"""Time after which the reservation of a gang that waits for running work to end expires."""


class Reservation:
    """Room that a step waits for.

    :ivar slots: number of tasks of the step by worker
    :ivar available_s: when the room is expected to be free
    :ivar expires_s: when the reservation has to be planned anew
    :ivar is_preempting: whether it was planned with preemption, even if no stop was needed
    :ivar ignores_estimates: whether it counts on stops alone, not on expected ends of running work
    """

    def __init__(
        self,
        slots: dict[ids.WorkerId, int],
        *,
        available_s: float,
        expires_s: float,
        is_preempting: bool,
        ignores_estimates: bool = False,
    ) -> None:
        self.slots = slots
        self.available_s = available_s
        self.expires_s = expires_s
        self.is_preempting = is_preempting
        self.ignores_estimates = ignores_estimates


def invalid_reason(
    state: State, step: StepRun, view: FleetView, reservation: Reservation
) -> str | None:
    """Return why a step may not keep waiting for a reservation, None if it may.

    It must not have expired, the step must still be permitted on its workers, and a preempting
    reservation must still fit once all tasks that are about to end have ended.
    """
    if state.now_s > reservation.expires_s:
        return "expired"
    permitted = view.permitted_workers(step)
    if not all(state.workers.get(worker_id) in permitted for worker_id in reservation.slots):
        return "worker not permitted"
    need = states.allocation_of(step.spec)
    for worker_id, count in reservation.slots.items() if reservation.is_preempting else ():
        room = expected_room(
            state, state.workers[worker_id], ignores_estimates=reservation.ignores_estimates
        )
        if room.count_fitting(need, count) < count:
            return "room not expected"
    return None


def expected_room(state: State, worker: Worker, *, ignores_estimates: bool) -> rooms.Room:
    """Return the room of a worker once all tasks that are about to end have ended.

    :param ignores_estimates: whether only tasks that are being stopped count as ending
    """
    room = rooms.Room(worker.free_cpu, worker.free_mem_mb, worker.free_gpu)
    for task in worker.tasks.values():
        step = state.step_of(task.key)
        if step is not None and is_ending(state, step, task, ignores_estimates=ignores_estimates):
            room.release(states.allocation_of(step.spec))
    return room


def is_ending(state: State, step: StepRun, task: Task, *, ignores_estimates: bool) -> bool:
    """Return whether a task is being stopped or expected to end within about the time of a stop.

    An end is expected only of a run whose progress rate is known.

    :param ignores_estimates: whether only tasks that are being stopped count as ending
    """
    if task.phase is model.Phase.STOPPING:
        return True
    if ignores_estimates or task.phase is not model.Phase.RUNNING or step.spec.is_endless:
        return False
    if tasks.progress_rate(task) is None:
        return False
    if states.own_remaining_s(step, task, state.now_s) >= NEAR_END_S:
        return False
    return -OVERRUN_S < states.remaining_s(step, task, state.now_s) < NEAR_END_S


def find_earliest_room(state: State, step: StepRun, view: FleetView) -> Reservation | None:
    """Plan a reservation of the room that is first large enough for a gang as running work ends.

    :return: the reservation, None when no group of workers is large enough or members of the gang
        are still placed
    """
    if len(step.waiting_tasks) < step.spec.count:
        return None
    *_, groups = view.group_tiers(step)
    fits = [fit for group in groups if (fit := view.earliest_fit(step, group)) is not None]
    if not fits:
        return None
    best = min(fits, key=lambda fit: fit.wait_s)
    return Reservation(
        best.slots,
        available_s=state.now_s + best.wait_s,
        expires_s=state.now_s + REPLAN_S,
        is_preempting=False,
    )


__all__ = ["Reservation", "expected_room", "find_earliest_room", "invalid_reason", "is_ending"]
