"""A pass over the open steps: who is started next, and who is stopped for whom."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import advice, lifecycle, order, place, preempt, reserve, upkeep
from bronzequay.core import state as states

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.core.state import State, StepRun

LOSS_FACTORS = {
    order.Tier.GUARANTEED: float("inf"),
    order.Tier.URGENT: 5.0,
    order.Tier.URGENT_LATE: 0.7,
}
"""Work of others that may be lost for a step, as a multiple of its own."""
EXPECT_S = 1.0
"""Time for which guaranteed work waits for others to end by themselves; a stop takes 0.9 s more
and ``reclaimMs`` is 3.4 s."""
NO_CLAIM_S = 0.1
"""Pause after a search for room that found none; searches cost most of a pass."""
MAX_AWAITED = 3
"""Gangs that keep room free at once; each keeps accelerators idle for a while."""


def run(state: State) -> None:
    """Start whatever can be started now."""
    state.is_changed = False
    for job in list(state.jobs.values()):
        if job.next_occurrence < job.times and not job.is_final:
            lifecycle.open_due(state, job)
    lifecycle.stop_partial(state)
    upkeep.run(state)
    guaranteed = order.guaranteed_jobs(state)
    ranks = {key: order.rank(state, step, guaranteed) for key, step in state.open.items()}
    view = place.View(state)
    claims, state.claims = state.claims, {}
    for key in sorted(ranks, key=lambda key: (key not in claims, ranks[key])):
        step = state.open[key]
        placement = place.find(state, step, view)
        if placement:
            lifecycle.start(state, step, placement)
        if not step.waiting:
            del state.open[key]
            continue
        queue = state.queue_of(step.job)
        if queue is not None and queue.has_advice:
            advice.ask(state, step, view.fitting(step))
        claim = claims.get(key)
        if claim is None or not _may_wait(state, step, view, claim, ranks[key][0]):
            claim = _claim(state, step, ranks[key], view, guaranteed)
        if claim is not None:
            state.claims[key] = claim
            for name, count in claim.slots.items():
                view.reserve(name, states.need_of(step.spec), count, claim.from_s)


def _may_wait(
    state: State, step: StepRun, view: place.View, claim: reserve.Claim, tier: order.Tier
) -> bool:
    """Return whether a step goes on waiting for the room that it claimed."""
    if not reserve.is_valid(state, step, view, claim):
        return False
    is_pressed = tier is order.Tier.GUARANTEED and _has_waited(state, step, EXPECT_S)
    return claim.is_certain or not is_pressed


def _has_waited(state: State, step: StepRun, time_s: float) -> bool:
    return step.ready_s is not None and state.now_s - step.ready_s > time_s


def _claim(
    state: State,
    step: StepRun,
    rank: order.Rank,
    view: place.View,
    guaranteed: set[ids.JobId],
) -> reserve.Claim | None:
    """Have others stopped for a step if that is worth it, or let it wait for room."""
    tier = rank[0]
    if state.now_s < step.no_claim_until_s:
        return None

    def may_stop(other: StepRun) -> bool:
        if other.job.spec.job in guaranteed:
            return False
        if other.spec.is_endless and tier is not order.Tier.GUARANTEED:
            return False
        return tier is order.Tier.GUARANTEED or not order.is_urgent(state, other.job)

    if tier in LOSS_FACTORS:
        most = LOSS_FACTORS[tier] * preempt.work(step)
        is_certain = tier is order.Tier.GUARANTEED and _has_waited(state, step, EXPECT_S)
        claim = preempt.claim(state, step, view, may_stop, most=most, is_certain=is_certain)
        if claim is not None:
            return claim
    awaited = sum(not claim.is_freed for claim in state.claims.values())
    if step.spec.is_gang and tier < order.Tier.HOPELESS and awaited < MAX_AWAITED:
        claim = reserve.await_room(state, step, view)
        if claim is not None:
            return claim
    step.no_claim_until_s = state.now_s + NO_CLAIM_S
    return None


__all__ = ["run"]
