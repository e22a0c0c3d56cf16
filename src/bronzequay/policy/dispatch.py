"""Which waiting jobs start now: the passes over the queue, and what each may do for a job."""

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
from bronzequay.policy import state as states

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MAX_TRIES = 20
"""Jobs that a pass searches places for."""
MAX_EVICTING_TRIES = 3
"""Jobs that a pass searches gangs to stop for."""
MAX_SKIPS = 300
"""Jobs that a pass looks at in all."""
MAX_CLAIMS = 64
"""Gangs beyond their guarantees for which others are being stopped at once."""
MAX_AGED_CLAIMS = 2
"""The same for gangs that have waited too long."""
AGED_S = 2 * 3_600.0
"""Waiting time beyond its rank's delay that makes a job aged, in seconds."""
MAX_SHORTER_CLAIMS = 4
"""Gangs for which longer work is being stopped at once."""
MAX_MIGRATIONS = 4
"""Gangs for which others are being moved at once."""
WALK_PERIOD_S = 15.0
"""Shortest time between two walks that only time has given a reason for, and between two that
stop gangs for a better schedule alone, in seconds."""


class Pass(msgspec.Struct):
    """What a pass over the queue has done.

    :param tried: jobs that an earlier pass found no place for
    :param tries: searches for free places left
    :param may_improve: whether gangs may be stopped for a better schedule alone
    :param evicting_tries: searches for gangs to stop left, those for guarantees not counted
    """

    now_s: float
    tried: set[ids.JobId]
    may_improve: bool
    tries: int = MAX_TRIES
    evicting_tries: int = MAX_EVICTING_TRIES
    skips: int = MAX_SKIPS


def run(state: states.State, now_s: float, *, is_tick: bool) -> tuple[model.Command, ...]:
    """Start what can start.

    :param is_tick: whether time alone may have changed what a job is entitled to
    """
    commands = list(_complete_claims(state, now_s))
    has_room = state.fleet.freed != state.seen_freed
    if has_room or (is_tick and now_s - state.walked_s >= WALK_PERIOD_S):
        state.fresh.clear()
        if has_room:
            state.blocked.clear()
        commands.extend(_walk_all(state, now_s))
        state.seen_freed = state.fleet.freed
        state.walked_s = now_s
    else:
        commands.extend(_try_fresh(state, now_s))
    return tuple(commands)


def _complete_claims(state: states.State, now_s: float) -> Iterator[model.Command]:
    for job in [job for job, claim in state.claims.items() if not claim.waits]:
        claim = state.claims.pop(job)
        states.free_claim(state, claim)
        record = state.jobs[job]
        yield _start(state, record, claim.placements, claim.share, claim.seats, now_s=now_s)


def _try_fresh(state: states.State, now_s: float) -> Iterator[model.Command]:
    fresh, state.fresh = state.fresh, []
    one = Pass(now_s, set(), may_improve=True)
    for job in fresh:
        if job in state.queues.ranks and job not in state.claims:
            yield from _try(state, state.jobs[job], one)


def _walk_all(state: states.State, now_s: float) -> Iterator[model.Command]:
    if not state.queues.ranks:
        return
    tried: set[ids.JobId] = set()
    may_improve = now_s - state.improved_s >= WALK_PERIOD_S
    if may_improve:
        state.improved_s = now_s
    for urgencies, is_wanted in _passes(state):
        one = Pass(now_s, tried, may_improve)
        for job in ordering.walk(state.queues, urgencies, is_wanted):
            one.skips -= 1
            if not one.tries or not one.skips:
                break
            if job in tried or job in state.claims:
                continue
            tried.add(job)
            yield from _try(state, state.jobs[job], one)


def _passes(
    state: states.State,
) -> Iterator[tuple[tuple[model.Urgency, ...], Callable[[ids.OrgId, ids.CallerId], bool]]]:
    """Yield the passes: urgent within its due, guarantees, floors, callers within, the rest."""
    queues = state.queues

    def is_under(org: ids.OrgId, caller: ids.CallerId) -> bool:
        usage = queues.callers[org, caller]
        is_caller_under = usage.held < ordering.caller_share(queues, org)
        return is_caller_under and queues.orgs[org].held < ordering.org_share(queues, org)

    def has_guarantee(org: ids.OrgId, _caller: ids.CallerId) -> bool:
        entry = state.book.orgs.get(org)
        return entry is not None and (any(entry.unbound) or bool(entry.roomy))

    every = tuple(model.Urgency)
    yield (model.Urgency.URGENT,), is_under
    yield every, has_guarantee
    for urgency in every:
        if _is_below_floor(state, urgency):
            yield (urgency,), lambda _org, _caller: True
    yield every, is_under
    yield every, lambda _org, _caller: True


def _is_below_floor(state: states.State, urgency: model.Urgency) -> bool:
    usage = state.queues.classes[urgency]
    return bool(usage.waiting) and usage.held < state.rules.urgency_floors.get(urgency, 0.0)


def _try(state: states.State, record: model.JobRecord, one: Pass) -> Iterator[model.Command]:
    """Start a job on free room, or else stop others for it if it is entitled to that."""
    found = _on_free_room(state, record, one)
    if found is not None:
        draft, share = found
        places = planning.placements_of(draft)
        seats = planning.seats_of(draft)
        yield _start(state, record, places, share, seats, now_s=one.now_s)
        return
    yield from _by_evicting(state, record, one)


def _on_free_room(
    state: states.State, record: model.JobRecord, one: Pass
) -> tuple[search.Draft, model.Share] | None:
    for share, plan in _ways(state, record, placement.never):
        key = (share, placement.need_of(record), _scope_of(record, share))
        if state.blocked.get(key) == state.fleet.freed:
            continue
        one.tries = max(0, one.tries - 1)
        draft = plan()
        if draft is not None and _enter(state, record, share, draft):
            return draft, share
        if record.job not in state.health.failed_on:
            state.blocked[key] = state.fleet.freed
    return None


def _scope_of(record: model.JobRecord, share: model.Share) -> ids.OrgId | None:
    return record.spec.org if share is model.Share.GUARANTEED else None


def _ways(
    state: states.State, record: model.JobRecord, price: placement.Price
) -> Iterator[tuple[model.Share, Callable[[], search.Draft | None]]]:
    """Yield the ways in which a job may run.

    Work that can be reclaimed borrows first, which leaves guarantees to work that cannot.
    """
    rules = state.rules.orgs.get(record.spec.org)
    may_borrow = rules is not None and rules.may_borrow
    if may_borrow and record.spec.reclaimable:
        if price is placement.never:
            yield model.Share.BORROWED, functools.partial(planning.borrowed, state, record)
        else:
            yield model.Share.BORROWED, functools.partial(planning.evicting, state, record, price)
    if planning.may_be_guaranteed(state, record):
        plan = functools.partial(planning.guaranteed, state, record, price)
        yield model.Share.GUARANTEED, plan
    if may_borrow and not record.spec.reclaimable:
        yield model.Share.FIXED, functools.partial(planning.fixed, state, record, price)


def _enter(
    state: states.State, record: model.JobRecord, share: model.Share, draft: search.Draft
) -> bool:
    if share is model.Share.BORROWED:
        return True
    seats = planning.seats_of(draft)
    seating = guarantees.Seating(
        record.job, record.spec.org, share, seats, guarantees.firm_level(record.spec)
    )
    return guarantees.try_enter(state.book, state.fleet, seating)


class Right(msgspec.Struct, frozen=True):
    """A reason for which a job may have others stopped.

    :param bound_s: time that those have to keep their progress
    :param max_cost: lost work that the start is worth, in accelerator seconds
    """

    name: str
    price: placement.Price
    bound_s: float
    is_guarantee: bool = False
    max_cost: float = math.inf


def _by_evicting(
    state: states.State, record: model.JobRecord, one: Pass
) -> Iterator[model.Command]:
    for right in _rights(state, record, one):
        for share, plan in _ways(state, record, right.price):
            if right.is_guarantee != (share is model.Share.GUARANTEED):
                continue
            key = _evicting_key(state, record, share, right)
            if state.blocked.get(key) == state.fleet.freed:
                continue
            if not right.is_guarantee:
                if not one.evicting_tries:
                    return
                one.evicting_tries -= 1
            draft = plan()
            is_worth = draft is not None and draft.cost <= right.max_cost
            if draft is None or not is_worth or not _enter(state, record, share, draft):
                state.blocked[key] = state.fleet.freed
                continue
            yield from _claim(state, record, share, draft, right, now_s=one.now_s)
            return


def _evicting_key(
    state: states.State, record: model.JobRecord, share: model.Share, right: Right
) -> tuple[object, ...]:
    """Return what decides whether a search for gangs to stop is in vain until room comes free.

    Rights other than a guarantee depend on the time as well; they are asked again every period.
    """
    need = placement.need_of(record)
    if right.is_guarantee:
        return (right.name, share, need, record.spec.org)
    period = int(state.now_s / WALK_PERIOD_S)
    return (right.name, share, need, record.spec.org, record.spec.caller, period)


def _rights(state: states.State, record: model.JobRecord, one: Pass) -> Iterator[Right]:
    now_s = one.now_s
    bound_s = preemption.CHECKPOINT_BOUND_S
    is_urgent = record.spec.urgency is model.Urgency.URGENT
    if is_urgent:
        bound_s = preemption.URGENT_BOUND_S
    yield Right("guarantee", preemption.for_guarantee(state, now_s), bound_s, is_guarantee=True)
    if len(state.claims) >= MAX_CLAIMS:
        return
    size = states.size(state, placement.need_of(record))
    is_under = ordering.is_under(state.queues, record.spec, size)
    if is_urgent:
        price = preemption.for_urgent_of(state, now_s, record)
        if is_under:
            price = preemption.for_urgent(state, now_s)
        yield Right("urgent", price, bound_s)
    if _is_below_floor(state, record.spec.urgency):
        price = preemption.for_floor(state, now_s, record.spec.urgency)
        yield Right("floor", price, bound_s)
    if is_under:
        yield Right("fair share", preemption.for_due(state, now_s), bound_s)
    if one.may_improve:
        yield from _improving_rights(state, record, now_s, bound_s)


def _improving_rights(
    state: states.State, record: model.JobRecord, now_s: float, bound_s: float
) -> Iterator[Right]:
    """Yield the rights that only make the schedule better, which cost the most searches."""
    if _claims_by(state, "shorter work") < MAX_SHORTER_CLAIMS:
        price = preemption.for_shorter(state, now_s, record)
        yield Right("shorter work", price, bound_s)
    if _claims_by(state, "migration") < MAX_MIGRATIONS and planning.fits_by_count(state, record):
        price = preemption.for_migration(state, now_s, record)
        yield Right("migration", price, bound_s, max_cost=preemption.worth(state, record))
    if is_aged(state, record, now_s) and _claims_by(state, "aged") < MAX_AGED_CLAIMS:
        yield Right("aged", preemption.for_aged(state, now_s, record), bound_s)


def is_aged(state: states.State, record: model.JobRecord, now_s: float) -> bool:
    """Return whether a waiting job has waited too long for what it asks."""
    return now_s - state.queues.ranks[record.job] > AGED_S


def _claims_by(state: states.State, right: str) -> int:
    return sum(claim.right == right for claim in state.claims.values())


def _claim(
    state: states.State,
    record: model.JobRecord,
    share: model.Share,
    draft: search.Draft,
    right: Right,
    *,
    now_s: float,
) -> Iterator[model.Command]:
    claim = states.Claim(
        record.job,
        planning.placements_of(draft),
        share,
        planning.seats_of(draft),
        set(draft.victims),
        right.name,
    )
    states.add_claim(state, claim)
    detail = f"for {record.job} of {record.spec.org}: {right.name}"
    for victim in sorted(draft.victims):
        yield from preemption.reclaim(state, state.jobs[victim], right.bound_s, now_s, detail)


def _start(
    state: states.State,
    record: model.JobRecord,
    placements: tuple[model.Placement, ...],
    share: model.Share,
    seats: tuple[guarantees.Seat, ...],
    *,
    now_s: float,
) -> model.Command:
    states.dequeue(state, record)
    record.placements = placements
    record.attempt += 1
    states.occupy(state, record, share, seats)
    code = codes.ResultCode.ACCEPTED
    states.move(state, record, model.JobState.STARTING, code, now_s, detail=share.value)
    return model.StartGang(record.job, record.attempt, record.spec, placements)


__all__ = ["is_aged", "run"]
