"""Why a job waits: what holds it, who is ahead, and the earliest start that can be vouched for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.policy import admission, model, ordering, placement, search
from bronzequay.policy import state as states

if TYPE_CHECKING:
    from bronzequay import ids


def why(state: states.State, job: ids.JobId) -> model.Why:
    """Explain what a job waits for.

    :param state: read only
    :param job: a job in the state
    :return: the reason; the estimate is None when nothing can be vouched for
    """
    record = state.jobs[job]
    if record.state is model.JobState.INFEASIBLE:
        reason = admission.obstacle(state, states.demand_of(record))
        return model.Why(
            f"the job can never run: {reason or 'judged before the last change'}", "infeasible"
        )
    if record.state is not model.JobState.ACCEPTED:
        return model.Why(f"the job is {record.state.value}{_last_detail(record)}")
    count, first = ordering.ahead(state.queues, job)
    held_by, estimate_s = _holder(state, record)
    names = f" (first {', '.join(first)})" if first else ""
    known = "none" if estimate_s is None else f"within {estimate_s:.0f} s"
    text = f"waits for {held_by}; {count} jobs rank before it{names}; earliest start: {known}"
    return model.Why(text, held_by, count, first, estimate_s)


def _last_detail(record: model.JobRecord) -> str:
    detail = record.history[-1].detail if record.history else ""
    return f": {detail}" if detail else ""


def _holder(state: states.State, record: model.JobRecord) -> tuple[str, float | None]:
    claim = state.claims.get(record.job)
    if claim is not None:
        due = [state.stopping[victim] for victim in claim.waits if victim in state.stopping]
        names = ", ".join(sorted(claim.waits)[:3])
        bound_s = max(due) - state.now_s if due else None
        return f"{len(claim.waits)} gangs to stop for its {claim.right} ({names})", bound_s
    return _holding_rule(state, record), None


def _holding_rule(state: states.State, record: model.JobRecord) -> str:
    spec = record.spec
    rules = state.rules.orgs.get(spec.org)
    if rules is not None and not rules.may_borrow:
        return f"{spec.org}'s own guarantee, which is in use, as it may not borrow"
    if not spec.reclaimable:
        return "cells that no guarantee needs, as it is not reclaimable"
    need = placement.need_of(record)
    if not ordering.is_under(state.queues, spec, states.size(state, need)):
        return f"free capacity, as {spec.caller} of {spec.org} holds its fair share"
    place = "one data centre"
    if states.scope(state, need) is search.Scope.REGION:
        place = "the region"
    size = f"{need.members} members of {need.accelerators} accelerators"
    return f"{size} to come free in {place}"


__all__ = ["why"]
