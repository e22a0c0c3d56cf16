"""Explanation of why a job waits: what blocks it, the jobs ahead of it, when it can start."""

from __future__ import annotations

import msgspec

from bronzequay import ids
from bronzequay.policy import admission, model, ordering, placement, search
from bronzequay.policy import state as core_state


class Why(msgspec.Struct, frozen=True):
    """Explanation of what a job waits for.

    :param text: the explanation as one sentence
    :param held_by: the guarantee, rule or capacity that blocks the job, empty if none does
    :param ahead: number of waiting jobs that rank before it
    :param ahead_jobs: the first few of those
    :param estimate_s: seconds until the last checkpoint deadline among the stopping gangs, or None
    """

    text: str
    held_by: str = ""
    ahead: int = 0
    ahead_jobs: tuple[ids.JobId, ...] = ()
    estimate_s: float | None = None

    def __str__(self) -> str:
        """Return the explanation as one sentence."""
        return self.text


def why(state: core_state.State, job: ids.JobId) -> Why:
    """Explain what a job waits for.

    :param state: read only
    :param job: a job in the state
    :return: the reason; its estimate is None unless the job has a reservation
    """
    record = state.jobs[job]
    if record.state is model.JobState.INFEASIBLE:
        reason = admission.infeasible_reason(state, core_state.demand_of(record))
        return Why(
            f"the job can never run: {reason or 'judged before the last change'}", "infeasible"
        )
    if record.state is not model.JobState.ACCEPTED:
        return Why(f"the job is {record.state.value}{_last_detail(record)}")
    count, first_jobs = ordering.jobs_ahead(state.queues, job)
    held_by, estimate_s = _blocker(state, record)
    names = f" (first {', '.join(first_jobs)})" if first_jobs else ""
    estimate = "none" if estimate_s is None else f"within {estimate_s:.0f} s"
    text = f"waits for {held_by}; {count} jobs rank before it{names}; earliest start: {estimate}"
    return Why(text, held_by, count, first_jobs, estimate_s)


def _last_detail(record: model.JobRecord) -> str:
    detail = record.history[-1].detail if record.history else ""
    return f": {detail}" if detail else ""


def _blocker(state: core_state.State, record: model.JobRecord) -> tuple[str, float | None]:
    reservation = state.reservations.get(record.job)
    if reservation is not None:
        deadlines = [
            state.checkpoint_deadlines[victim]
            for victim in reservation.waits_for
            if victim in state.checkpoint_deadlines
        ]
        names = ", ".join(sorted(reservation.waits_for)[:3])
        estimate_s = max(deadlines) - state.now_s if deadlines else None
        return (
            f"{len(reservation.waits_for)} gangs to stop for its {reservation.reason} ({names})",
            estimate_s,
        )
    return _blocking_rule(state, record), None


def _blocking_rule(state: core_state.State, record: model.JobRecord) -> str:
    spec = record.spec
    rules = state.rules.orgs.get(spec.org)
    if rules is not None and not rules.may_borrow:
        return f"{spec.org}'s own guarantee, which is in use, as it may not borrow"
    if not spec.reclaimable:
        return "cells that no guarantee needs, as it is not reclaimable"
    need = placement.need_of(record)
    if not ordering.fits_fair_share(state.queues, spec, core_state.dominant_share(state, need)):
        return f"free capacity, as {spec.caller} of {spec.org} holds its fair share"
    place = "one data centre"
    if core_state.scope(state, need) is search.Scope.REGION:
        place = "the region"
    size = f"{need.members} members of {need.accelerators} accelerators"
    return f"{size} to come free in {place}"


__all__ = ["Why", "why"]
