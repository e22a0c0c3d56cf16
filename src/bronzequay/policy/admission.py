"""Admission: which jobs are refused on submission, and which are infeasible."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes
from bronzequay.policy import cells, guarantees, model, search
from bronzequay.policy import state as core_state

if TYPE_CHECKING:
    from bronzequay import ids


def refusal_code(state: core_state.State, spec: model.JobSpec) -> codes.ResultCode | None:
    """Return the code with which a job is refused, or None if it may be queued."""
    rules = state.rules.orgs.get(spec.org)
    if rules is None:
        return codes.ResultCode.UNKNOWN_ORG
    org = state.queues.orgs.get(spec.org)
    if org is not None and org.waiting >= rules.max_queued:
        return codes.ResultCode.QUEUE_FULL
    caller = state.queues.callers.get((spec.org, spec.caller))
    if caller is not None and caller.waiting >= rules.max_caller_queued:
        return codes.ResultCode.OVER_SHARE
    return None


def infeasible_reason(state: core_state.State, demand: core_state.Demand) -> str:
    """Return why a job can never run on this fleet under these rules, or an empty string.

    While the fleet is empty, its workers are not known yet, so no job is infeasible.
    """
    if not state.fleet.capacity_counts or not any(state.fleet.capacity_counts.values()):
        return ""
    if core_state.scope(state, demand.need) is search.Scope.NOWHERE:
        return "no data centre and no region is large enough for the gang"
    rules = state.rules.orgs.get(demand.org)
    may_borrow = rules is not None and rules.may_borrow
    if (demand.is_reclaimable and may_borrow) or _fits_guarantee(rules, demand.need):
        return ""
    if not may_borrow:
        return "the gang is larger than the guarantee and the organisation may not borrow"
    if _fits_beside_guarantees(state, demand.need):
        return ""
    return "the gang is not reclaimable and would stand in the way of guarantees"


def _fits_guarantee(rules: model.OrgRules | None, need: search.Need) -> bool:
    if rules is None or not need.accelerators:
        return False
    level = cells.level_for(need.accelerators)
    total = guarantees.cells_by_level(rules.guarantee)
    room = sum(
        count << cell_level >> level
        for cell_level, count in enumerate(total)
        if cell_level >= level
    )
    return room >= need.members


def _fits_beside_guarantees(state: core_state.State, need: search.Need) -> bool:
    total = [0] * cells.LEVELS
    for entry in state.ledger.orgs.values():
        for level, count in enumerate(entry.total):
            total[level] += count
    before = cells.shortfall(state.fleet.all_cells, total)
    if not need.accelerators and _fits_cpu_workers(state, need):
        return True
    total[cells.level_for(need.accelerators)] += need.members
    return cells.shortfall(state.fleet.all_cells, total) == before


def _fits_cpu_workers(state: core_state.State, need: search.Need) -> bool:
    rooms = [
        search.members_on_empty(
            [(capacity, count) for capacity, count in capacity_counts.items() if not capacity[0]],
            need,
        )
        for capacity_counts in state.fleet.capacity_counts.values()
    ]
    return sum(rooms) >= need.members


def submit(state: core_state.State, event: model.JobSubmitted, now_s: float) -> None:
    """Queue a submitted job, refuse it, or set it infeasible."""
    if event.job in state.jobs:
        return
    record = model.JobRecord(
        job=event.job,
        spec=event.spec,
        state=model.JobState.ACCEPTED,
        code=codes.ResultCode.ACCEPTED,
        accepted_s=now_s,
        key=event.key,
    )
    state.jobs[event.job] = record
    code = refusal_code(state, event.spec)
    if code is not None:
        record.state = model.JobState.REFUSED
        record.code = code
        record.ended_s = now_s
        core_state.append_history(state, record, now_s)
        return
    queue_or_set_infeasible(state, record, now_s)


def queue_or_set_infeasible(state: core_state.State, record: model.JobRecord, now_s: float) -> None:
    """Queue an accepted job, or set it infeasible if it can never run."""
    reason = infeasible_reason(state, core_state.demand_of(record))
    if not reason:
        if not record.history:
            core_state.append_history(state, record, now_s)
        core_state.enqueue(state, record)
        return
    record.state = model.JobState.INFEASIBLE
    record.code = codes.ResultCode.INFEASIBLE
    core_state.append_history(state, record, now_s, reason)
    core_state.set_infeasible(state, record)


def reexamine(state: core_state.State, now_s: float) -> None:
    """Recheck all waiting and infeasible jobs after a change of the fleet or the rules."""
    for demand in tuple(state.demands):
        reason = infeasible_reason(state, demand)
        for job in sorted(state.demands.get(demand, ())):
            _reassess(state, state.jobs[job], reason, now_s)


def _reassess(state: core_state.State, record: model.JobRecord, reason: str, now_s: float) -> None:
    is_infeasible = record.job in state.infeasible
    if record.spec.org not in state.rules.orgs and not is_infeasible:
        core_state.dequeue(state, record)
        core_state.transition(
            state, record, model.JobState.REFUSED, codes.ResultCode.UNKNOWN_ORG, now_s
        )
    elif reason and not is_infeasible:
        core_state.dequeue(state, record)
        code = codes.ResultCode.INFEASIBLE
        core_state.transition(state, record, model.JobState.INFEASIBLE, code, now_s, detail=reason)
        core_state.set_infeasible(state, record)
    elif is_infeasible and not reason:
        core_state.dequeue(state, record)
        core_state.transition(
            state, record, model.JobState.ACCEPTED, codes.ResultCode.ACCEPTED, now_s
        )
        core_state.enqueue(state, record)


def cancel(state: core_state.State, job: ids.JobId, now_s: float) -> tuple[model.Command, ...]:
    """Cancel a job in any state; the cost depends on the job's size, not on the queue's length."""
    record = state.jobs.get(job)
    if record is None or record.state in model.FINAL_STATES:
        return ()
    code = codes.ResultCode.CANCELLED
    if record.state in _WAITING_STATES:
        core_state.dequeue(state, record)
        core_state.transition(state, record, model.JobState.CANCELLED, code, now_s)
        return ()
    if record.state is model.JobState.CANCELLING:
        return ()
    if record.state is model.JobState.IN_DOUBT:
        record.is_cancel_asked = True
        state.dirty.add(job)
    else:
        core_state.unbind(state, record)
        core_state.transition(state, record, model.JobState.CANCELLING, code, now_s)
    return (core_state.request_stop(state, record, model.StopMode.STOP),)


_WAITING_STATES = frozenset({model.JobState.ACCEPTED, model.JobState.INFEASIBLE})

__all__ = [
    "cancel",
    "infeasible_reason",
    "queue_or_set_infeasible",
    "reexamine",
    "refusal_code",
    "submit",
]
