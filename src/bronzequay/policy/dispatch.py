"""Passes over the queue: which waiting jobs start now, and which gangs are stopped for others."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

import msgspec

from bronzequay import codes, ids
from bronzequay.policy import (
    guarantees,
    model,
    ordering,
    placement,
    planning,
    preemption,
    search,
)
from bronzequay.policy import state as core_state

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MAX_PLACEMENT_SEARCHES = 20
"""Number of searches for free capacity after which a pass of a queue scan ends."""
MAX_EVICTION_SEARCHES = 3
"""Searches for gangs to stop in one pass, not counting those for guarantees."""
MAX_VISITED_JOBS = 300
"""Number of visited jobs at which a pass of a queue scan ends."""
MAX_RESERVATIONS = 64
"""Number of reservations at and above which gangs are stopped for guarantees only."""
MAX_AGED_RESERVATIONS = 2
"""Simultaneous reservations for jobs that have waited too long."""
AGED_AFTER_S = 2 * 3_600.0
"""Time after its rank at which a waiting job counts as aged, in seconds."""
MAX_SHORTER_WORK_RESERVATIONS = 4
"""Simultaneous reservations for which longer work is being stopped."""
MAX_MIGRATION_RESERVATIONS = 4
"""Simultaneous reservations for which other gangs are being moved."""
SCAN_PERIOD_S = 15.0
"""Shortest time between two scans without new capacity, and between two scans that may stop gangs
merely to improve the schedule, in seconds."""


class Pass(msgspec.Struct):
    """Budget of one pass over the queue.

    :param searched: jobs for which this pass or an earlier one of the same scan has searched
    :param may_improve: whether gangs may also be stopped merely to improve the schedule
    :param searches_left: remaining searches for free capacity
    :param eviction_searches_left: remaining searches for gangs to stop, not counting those for
        guarantees
    :param visits_left: remaining jobs to visit
    """

    now_s: float
    searched: set[ids.JobId]
    may_improve: bool
    searches_left: int = MAX_PLACEMENT_SEARCHES
    eviction_searches_left: int = MAX_EVICTION_SEARCHES
    visits_left: int = MAX_VISITED_JOBS


def run(state: core_state.State, now_s: float, *, is_tick: bool) -> tuple[model.Command, ...]:
    """Start the jobs that can start, and stop gangs for those that may preempt.

    :param is_tick: whether the event is a tick, after which jobs may preempt that could not before
    """
    commands = list(_start_reserved(state, now_s))
    has_new_capacity = state.fleet.capacity_version != state.scanned_capacity_version
    if has_new_capacity or (is_tick and now_s - state.last_scan_s >= SCAN_PERIOD_S):
        state.newly_queued.clear()
        if has_new_capacity:
            state.failed_searches.clear()
        commands.extend(_scan_queue(state, now_s))
        state.scanned_capacity_version = state.fleet.capacity_version
        state.last_scan_s = now_s
    else:
        commands.extend(_try_newly_queued(state, now_s))
    return tuple(commands)


def _start_reserved(state: core_state.State, now_s: float) -> Iterator[model.Command]:
    for job in [
        job for job, reservation in state.reservations.items() if not reservation.waits_for
    ]:
        reservation = state.reservations.pop(job)
        core_state.release_reserved(state, reservation)
        record = state.jobs[job]
        yield _start(
            state,
            record,
            reservation.placements,
            reservation.share,
            reservation.member_blocks,
            now_s=now_s,
        )


def _try_newly_queued(state: core_state.State, now_s: float) -> Iterator[model.Command]:
    jobs, state.newly_queued = state.newly_queued, []
    queue_pass = Pass(now_s, set(), may_improve=True)
    for job in jobs:
        if job in state.queues.ranks and job not in state.reservations:
            yield from _start_or_preempt(state, state.jobs[job], queue_pass)


def _scan_queue(state: core_state.State, now_s: float) -> Iterator[model.Command]:
    if not state.queues.ranks:
        return
    searched: set[ids.JobId] = set()
    may_improve = now_s - state.last_improvement_s >= SCAN_PERIOD_S
    if may_improve:
        state.last_improvement_s = now_s
    for urgencies, is_wanted in _passes(state):
        queue_pass = Pass(now_s, searched, may_improve)
        for job in ordering.scan(state.queues, urgencies, is_wanted):
            queue_pass.visits_left -= 1
            if not queue_pass.searches_left or not queue_pass.visits_left:
                break
            if job in searched or job in state.reservations:
                continue
            searched.add(job)
            yield from _start_or_preempt(state, state.jobs[job], queue_pass)


def _passes(
    state: core_state.State,
) -> Iterator[tuple[tuple[model.Urgency, ...], Callable[[ids.OrgId, ids.CallerId], bool]]]:
    """Yield the classes and the filter of callers of each pass.

    The order is: urgent work within its fair share, organisations with unused guarantees,
    classes below their floor, callers within their fair share, all others.
    """
    queues = state.queues

    def is_within_fair_share(org: ids.OrgId, caller: ids.CallerId) -> bool:
        usage = queues.callers[org, caller]
        is_caller_under = usage.held < ordering.caller_share(queues, org)
        return is_caller_under and queues.orgs[org].held < ordering.org_share(queues, org)

    def has_guarantee(org: ids.OrgId, _caller: ids.CallerId) -> bool:
        entry = state.ledger.orgs.get(org)
        return entry is not None and (any(entry.unbound) or bool(entry.spare_devices))

    all_classes = tuple(model.Urgency)
    yield (model.Urgency.URGENT,), is_within_fair_share
    yield all_classes, has_guarantee
    for urgency in all_classes:
        if _is_below_floor(state, urgency):
            yield (urgency,), lambda _org, _caller: True
    yield all_classes, is_within_fair_share
    yield all_classes, lambda _org, _caller: True


def _is_below_floor(state: core_state.State, urgency: model.Urgency) -> bool:
    usage = state.queues.classes[urgency]
    return bool(usage.waiting) and usage.held < state.rules.urgency_floors.get(urgency, 0.0)


def _start_or_preempt(
    state: core_state.State, record: model.JobRecord, queue_pass: Pass
) -> Iterator[model.Command]:
    """Start a job on free capacity, or else stop other gangs for it if it may preempt."""
    planned = _plan_on_free_room(state, record, queue_pass)
    if planned is not None:
        plan, share = planned
        placements = planning.placements_of(plan)
        member_blocks = planning.member_blocks_of(plan)
        yield _start(state, record, placements, share, member_blocks, now_s=queue_pass.now_s)
        return
    yield from _preempt(state, record, queue_pass)


def _plan_on_free_room(
    state: core_state.State, record: model.JobRecord, queue_pass: Pass
) -> tuple[search.GangPlan, model.Share] | None:
    for share, make_plan in _share_plans(state, record, placement.never_evict):
        key = (share, placement.need_of(record), _guarantee_holder(record, share))
        if state.failed_searches.get(key) == state.fleet.capacity_version:
            continue
        queue_pass.searches_left = max(0, queue_pass.searches_left - 1)
        plan = make_plan()
        if plan is not None and _bind_cells(state, record, share, plan):
            return plan, share
        if record.job not in state.health.failed_on:
            state.failed_searches[key] = state.fleet.capacity_version
    return None


def _guarantee_holder(record: model.JobRecord, share: model.Share) -> ids.OrgId | None:
    return record.spec.org if share is model.Share.GUARANTEED else None


def _share_plans(
    state: core_state.State, record: model.JobRecord, eviction_cost: placement.EvictionCost
) -> Iterator[tuple[model.Share, Callable[[], search.GangPlan | None]]]:
    """Yield the shares that a job may run on, each with a function that makes its plan.

    Reclaimable work borrows first, which leaves guarantees to work that cannot borrow.
    """
    rules = state.rules.orgs.get(record.spec.org)
    may_borrow = rules is not None and rules.may_borrow
    if may_borrow and record.spec.reclaimable:
        if eviction_cost is placement.never_evict:
            yield model.Share.BORROWED, functools.partial(planning.plan_borrowed, state, record)
        else:
            yield (
                model.Share.BORROWED,
                functools.partial(planning.plan_evicting, state, record, eviction_cost),
            )
    if planning.may_fit_guarantee(state, record):
        make_plan = functools.partial(planning.plan_guaranteed, state, record, eviction_cost)
        yield model.Share.GUARANTEED, make_plan
    if may_borrow and not record.spec.reclaimable:
        yield (
            model.Share.FIXED,
            functools.partial(planning.plan_fixed, state, record, eviction_cost),
        )


def _bind_cells(
    state: core_state.State, record: model.JobRecord, share: model.Share, plan: search.GangPlan
) -> bool:
    if share is model.Share.BORROWED:
        return True
    member_blocks = planning.member_blocks_of(plan)
    binding = guarantees.Binding(
        record.job, record.spec.org, share, member_blocks, guarantees.pinned_level(record.spec)
    )
    return guarantees.try_bind(state.ledger, state.fleet, binding)


class PreemptionReason(msgspec.Struct, frozen=True):
    """Reason for which other gangs may be stopped for a job.

    :param name: recorded in the history of the stopped jobs
    :param eviction_cost: which gangs may be stopped, and at what cost
    :param checkpoint_timeout_s: time that the stopped gangs have to checkpoint, in seconds
    :param max_cost: most work that may be lost for the start, in accelerator seconds
    """

    name: str
    eviction_cost: placement.EvictionCost
    checkpoint_timeout_s: float
    is_guarantee: bool = False
    max_cost: float = math.inf


def _preempt(
    state: core_state.State, record: model.JobRecord, queue_pass: Pass
) -> Iterator[model.Command]:
    for reason in _preemption_reasons(state, record, queue_pass):
        for share, make_plan in _share_plans(state, record, reason.eviction_cost):
            if reason.is_guarantee != (share is model.Share.GUARANTEED):
                continue
            key = _eviction_search_key(state, record, share, reason)
            if state.failed_searches.get(key) == state.fleet.capacity_version:
                continue
            if not reason.is_guarantee:
                if not queue_pass.eviction_searches_left:
                    return
                queue_pass.eviction_searches_left -= 1
            plan = make_plan()
            is_within_max_cost = plan is not None and plan.cost <= reason.max_cost
            if (
                plan is None
                or not is_within_max_cost
                or not _bind_cells(state, record, share, plan)
            ):
                state.failed_searches[key] = state.fleet.capacity_version
                continue
            yield from _reserve(state, record, share, plan, reason, now_s=queue_pass.now_s)
            return


def _eviction_search_key(
    state: core_state.State, record: model.JobRecord, share: model.Share, reason: PreemptionReason
) -> tuple[object, ...]:
    """Return the key under which a failed search for gangs to stop is recorded.

    Reasons other than a guarantee also depend on the time, so their searches are repeated every
    ``SCAN_PERIOD_S``.
    """
    need = placement.need_of(record)
    if reason.is_guarantee:
        return (reason.name, share, need, record.spec.org)
    period = int(state.now_s / SCAN_PERIOD_S)
    return (reason.name, share, need, record.spec.org, record.spec.caller, period)


def _preemption_reasons(
    state: core_state.State, record: model.JobRecord, queue_pass: Pass
) -> Iterator[PreemptionReason]:
    now_s = queue_pass.now_s
    timeout_s = preemption.CHECKPOINT_TIMEOUT_S
    is_urgent = record.spec.urgency is model.Urgency.URGENT
    if is_urgent:
        timeout_s = preemption.URGENT_CHECKPOINT_TIMEOUT_S
    yield PreemptionReason(
        "guarantee", preemption.cost_for_guarantee(state, now_s), timeout_s, is_guarantee=True
    )
    if len(state.reservations) >= MAX_RESERVATIONS:
        return
    dominant_share = core_state.dominant_share(state, placement.need_of(record))
    is_within_fair_share = ordering.fits_fair_share(state.queues, record.spec, dominant_share)
    if is_urgent:
        eviction_cost = preemption.cost_for_urgent_over_share(state, now_s, record)
        if is_within_fair_share:
            eviction_cost = preemption.cost_for_urgent(state, now_s)
        yield PreemptionReason("urgent", eviction_cost, timeout_s)
    if _is_below_floor(state, record.spec.urgency):
        eviction_cost = preemption.cost_for_floor(state, now_s, record.spec.urgency)
        yield PreemptionReason("floor", eviction_cost, timeout_s)
    if is_within_fair_share:
        yield PreemptionReason(
            "fair share", preemption.cost_for_fair_share(state, now_s), timeout_s
        )
    if queue_pass.may_improve:
        yield from _improving_reasons(state, record, now_s, timeout_s)


def _improving_reasons(
    state: core_state.State, record: model.JobRecord, now_s: float, timeout_s: float
) -> Iterator[PreemptionReason]:
    """Yield the reasons that merely improve the schedule; these cause the most searches."""
    if _count_reservations(state, "shorter work") < MAX_SHORTER_WORK_RESERVATIONS:
        eviction_cost = preemption.cost_for_shorter(state, now_s, record)
        yield PreemptionReason("shorter work", eviction_cost, timeout_s)
    if _count_reservations(
        state, "migration"
    ) < MAX_MIGRATION_RESERVATIONS and planning.fits_by_count(state, record):
        eviction_cost = preemption.cost_for_migration(state, now_s, record)
        yield PreemptionReason(
            "migration", eviction_cost, timeout_s, max_cost=preemption.value_of_start(state, record)
        )
    if is_aged(state, record, now_s) and _count_reservations(state, "aged") < MAX_AGED_RESERVATIONS:
        yield PreemptionReason("aged", preemption.cost_for_aged(state, now_s, record), timeout_s)


def is_aged(state: core_state.State, record: model.JobRecord, now_s: float) -> bool:
    """Return whether a waiting job is past its rank by more than ``AGED_AFTER_S``."""
    return now_s - state.queues.ranks[record.job] > AGED_AFTER_S


def _count_reservations(state: core_state.State, reason: str) -> int:
    return sum(reservation.reason == reason for reservation in state.reservations.values())


def _reserve(
    state: core_state.State,
    record: model.JobRecord,
    share: model.Share,
    plan: search.GangPlan,
    reason: PreemptionReason,
    *,
    now_s: float,
) -> Iterator[model.Command]:
    reservation = core_state.Reservation(
        record.job,
        planning.placements_of(plan),
        share,
        planning.member_blocks_of(plan),
        set(plan.victims),
        reason.name,
    )
    core_state.add_reservation(state, reservation)
    detail = f"for {record.job} of {record.spec.org}: {reason.name}"
    for victim in sorted(plan.victims):
        yield from preemption.reclaim(
            state, state.jobs[victim], reason.checkpoint_timeout_s, now_s, detail
        )


def _start(
    state: core_state.State,
    record: model.JobRecord,
    placements: tuple[model.Placement, ...],
    share: model.Share,
    member_blocks: tuple[guarantees.MemberBlock, ...],
    *,
    now_s: float,
) -> model.Command:
    core_state.dequeue(state, record)
    record.placements = placements
    record.attempt += 1
    core_state.allocate(state, record, share, member_blocks)
    code = codes.ResultCode.ACCEPTED
    core_state.transition(state, record, model.JobState.STARTING, code, now_s, detail=share.value)
    return model.StartGang(record.job, record.attempt, record.spec, placements)


__all__ = ["is_aged", "run"]
