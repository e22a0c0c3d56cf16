"""A scheduling pass over the open steps: placement, preemption and reservations."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from bronzequay.core import (
    advice,
    attempts,
    fleet_view,
    isolate,
    lifecycle,
    occurrences,
    order,
    place,
    preempt,
    reserve,
    stop_costs,
    upkeep,
    work,
)
from bronzequay.core import state as states

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.core import model
    from bronzequay.core.state import State, StepRun

PREEMPTING_TIERS = frozenset({order.Tier.GUARANTEED, order.Tier.URGENT, order.Tier.URGENT_LATE})
"""Tiers whose steps may stop other work."""
NATURAL_END_WAIT_S = 1.0
"""Time for which a guaranteed step counts on running work to end when expected, instead of stopping
it. A stop then takes up to 0.9 s, and the step must start within ``reclaimMs``, 3.4 s."""
WITHHELD_BY_TIME = "time"
"""Why nothing is stopped: the step cannot reach its limits, or has much time left."""
RESERVATION_RETRY_S = 0.1
"""Pause after an unsuccessful search for room; searches take most of the time of a pass."""
MAX_AWAITING_GANGS = 3
"""Urgent gangs, and other gangs, that may reserve room at the same time until running work ends;
each of them keeps accelerators idle for a while."""


def run(state: State) -> None:
    """Run one pass: advance occurrences and upkeep, start open steps or reserve room for them.

    Steps that have a reservation come first, so that no other step is placed in the room freed for
    them. Other urgent steps follow before gangs that wait for running work to end, so that they use
    the room that such gangs hold instead of stopping work. Within each group the rank decides.
    """
    state.is_changed = False
    _open_due_occurrences(state)
    attempts.judge(state)
    lifecycle.stop_partial_gangs(state)
    isolate.drop_cleared_steps(state)
    upkeep.run(state)
    _sample_use(state)
    guaranteed = order.guaranteed_jobs(state)
    ranks = _rank_open_steps(state, guaranteed)
    reservations, state.reservations = state.reservations, {}
    being_freed = {key for key, held in reservations.items() if held.is_preempting}
    view = fleet_view.FleetView(state, guaranteed, being_freed)
    costs = stop_costs.pass_costs(state, guaranteed)
    strays = {key for worker in state.workers.values() for key, _ in worker.stray_runs}
    for key in sorted(
        ranks, key=lambda key: (_turn(reservations.get(key), ranks[key][0]), ranks[key])
    ):
        step = state.open_steps[key]
        if strays and any(task.key in strays for task in step.waiting_tasks):
            # An earlier run of one of its tasks is being stopped.
            continue
        state.considered_job = key.job
        placement = place.find_placement(state, step, view)
        if placement:
            lifecycle.start(state, step, placement)
        if not step.waiting_tasks:
            del state.open_steps[key]
            continue
        queue = state.queue_of(step.job)
        if queue is not None and queue.requires_advice:
            advice.request_tickets(state, step, view.eligible_workers(step))
        if isolate.waits_apart(state, step):
            continue
        reservation = reservations.get(key)
        if reservation is None or not _may_keep_reservation(
            state, step, view, reservation, ranks[key][0]
        ):
            reservation = _reserve_room(state, step, ranks[key], view, costs)
        if reservation is not None:
            state.reservations[key] = reservation
            for worker_id, count in reservation.slots.items():
                view.reserve(
                    worker_id, states.allocation_of(step.spec), count, reservation.available_s
                )

    state.considered_job = None


def _turn(reservation: reserve.Reservation | None, tier: order.Tier) -> int:
    """Return the group of a step; groups with lower numbers are placed first."""
    is_urgent = tier in PREEMPTING_TIERS
    if reservation is None:
        return 1 if is_urgent else 3
    return 0 if is_urgent or reservation.is_preempting else 2


def _open_due_occurrences(state: State) -> None:
    for job in list(state.jobs.values()):
        if job.next_occurrence < job.occurrence_count and not job.is_final:
            state.considered_job = job.spec.job
            occurrences.open_due(state, job)
    state.considered_job = None


def _sample_use(state: State) -> None:
    """Sample the accelerators that organisations use; eight cores count as one accelerator."""
    if not state.shares.is_due(state.now_s):
        return
    in_use: collections.defaultdict[ids.OrgId, float] = collections.defaultdict(float)
    for worker in state.workers.values():
        for key in worker.tasks:
            placed = state.step_of(key)
            if placed is not None:
                need = placed.spec.need
                in_use[placed.job.spec.org] += work.weight(need.cpu, need.gpu) / work.CORES_PER_GPU
    for step in state.open_steps.values():
        in_use[step.job.spec.org] += 0.0
    state.shares.record_use(state.now_s, in_use, state.rules.guaranteed_gpus)


def _rank_open_steps(state: State, guaranteed: set[ids.JobId]) -> dict[model.StepKey, order.Rank]:
    ranks = {}
    for key, step in state.open_steps.items():
        state.considered_job = key.job
        ranks[key] = order.rank(state, step, guaranteed)
    state.considered_job = None
    return ranks


def _may_keep_reservation(
    state: State,
    step: StepRun,
    view: fleet_view.FleetView,
    reservation: reserve.Reservation,
    tier: order.Tier,
) -> bool:
    """Return whether a step keeps waiting for the room that it has reserved.

    A guaranteed step that has waited too long drops a reservation that counts on estimates.
    """
    reason = reserve.invalid_reason(state, step, view, reservation)
    is_overdue = tier is order.Tier.GUARANTEED and _has_waited_longer(
        state, step, NATURAL_END_WAIT_S
    )
    if reason is None and is_overdue and not reservation.ignores_estimates:
        reason = "overdue"
    if reason is not None and reservation.is_preempting:
        state.record_decision(
            "reservation_dropped", step.job.spec.job, step=step.number, why=reason
        )
    return reason is None


def _has_waited_longer(state: State, step: StepRun, limit_s: float) -> bool:
    return step.ready_s is not None and state.now_s - step.ready_s > limit_s


def _max_stop_cost(state: State, step: StepRun, tier: order.Tier) -> float:
    """Return the largest acceptable cost of stops for a step, 0 if it may not stop other work.

    The first steps of guaranteed jobs must begin within ``reclaimMs`` whatever that costs. Later
    steps must still be able to reach the late limit.
    """
    if tier not in PREEMPTING_TIERS:
        return 0.0
    if tier is order.Tier.GUARANTEED and not step.spec.after:
        return float("inf")
    gain = stop_costs.stop_gain(state, step)
    if gain <= 0:
        state.stops.count_withheld(WITHHELD_BY_TIME)
    return float("inf") if gain > 0 and tier is order.Tier.GUARANTEED else gain


def _reserve_room(
    state: State,
    step: StepRun,
    rank: order.Rank,
    view: fleet_view.FleetView,
    costs: dict[tuple[bool, bool], stop_costs.StopCosts],
) -> reserve.Reservation | None:
    """Reserve room for a step, by preemption if the loss is acceptable.

    Otherwise reserve for a gang the room that becomes free first as running work ends.
    """
    tier = rank[0]
    if state.now_s < step.next_reservation_s:
        return None

    max_cost = _max_stop_cost(state, step, tier)
    if max_cost > 0:
        is_guaranteed = tier is order.Tier.GUARANTEED
        is_overdue = is_guaranteed and _has_waited_longer(state, step, NATURAL_END_WAIT_S)
        reservation = preempt.free_room(
            state, step, view, costs[is_guaranteed, is_overdue], max_cost=max_cost
        )
        if reservation is not None:
            return reservation
    is_urgent = order.is_urgent(state, step.job)
    awaiting_gangs = sum(
        not reservation.is_preempting
        and order.is_urgent(state, state.open_steps[key].job) is is_urgent
        for key, reservation in state.reservations.items()
    )
    if step.spec.is_gang and tier < order.Tier.HOPELESS and awaiting_gangs < MAX_AWAITING_GANGS:
        reservation = reserve.find_earliest_room(state, step, view)
        if reservation is not None:
            return reservation
    step.next_reservation_s = state.now_s + RESERVATION_RETRY_S
    return None


__all__ = ["run"]
