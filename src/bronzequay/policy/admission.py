"""Which jobs are refused on arrival, and which can never run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes
from bronzequay.policy import cells, guarantees, model, search
from bronzequay.policy import state as states

if TYPE_CHECKING:
    from bronzequay import ids


def refusal(state: states.State, spec: model.JobSpec) -> codes.ResultCode | None:
    """Return why a job is not taken into the queue, or None."""
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


def obstacle(state: states.State, demand: states.Demand) -> str:
    """Return why a job can never run on this fleet under these rules, or an empty string.

    An empty fleet is an unknown one: nothing is called infeasible on it.
    """
    if not state.fleet.kinds or not any(state.fleet.kinds.values()):
        return ""
    if states.scope(state, demand.need) is search.Scope.NOWHERE:
        return "no data centre and no region is large enough for the gang"
    rules = state.rules.orgs.get(demand.org)
    may_borrow = rules is not None and rules.may_borrow
    if (demand.is_reclaimable and may_borrow) or _is_within_guarantee(rules, demand.need):
        return ""
    if not may_borrow:
        return "the gang is larger than the guarantee and the organisation may not borrow"
    if _is_beside_guarantees(state, demand.need):
        return ""
    return "the gang is not reclaimable and would stand in the way of guarantees"


def _is_within_guarantee(rules: model.OrgRules | None, need: search.Need) -> bool:
    if rules is None or not need.accelerators:
        return False
    at_level = cells.level(need.accelerators)
    total = guarantees.levels_of(rules.guarantee)
    room = sum(count << up >> at_level for up, count in enumerate(total) if up >= at_level)
    return room >= need.members


def _is_beside_guarantees(state: states.State, need: search.Need) -> bool:
    total = [0] * cells.LEVELS
    for entry in state.book.orgs.values():
        for at_level, count in enumerate(entry.total):
            total[at_level] += count
    before = cells.shortfall(state.fleet.all_cells, total)
    if not need.accelerators and _plain_room(state, need):
        return True
    total[cells.level(need.accelerators)] += need.members
    return cells.shortfall(state.fleet.all_cells, total) == before


def _plain_room(state: states.State, need: search.Need) -> bool:
    rooms = [
        search.kinds_hold([(kind, count) for kind, count in kinds.items() if not kind[0]], need)
        for kinds in state.fleet.kinds.values()
    ]
    return sum(rooms) >= need.members


def submit(state: states.State, event: model.JobSubmitted, now_s: float) -> None:
    """Take a job into the queue, refuse it, or say that it can never run."""
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
    code = refusal(state, event.spec)
    if code is not None:
        record.state = model.JobState.REFUSED
        record.code = code
        record.ended_s = now_s
        states.note(state, record, now_s)
        return
    queue(state, record, now_s)


def queue(state: states.State, record: model.JobRecord, now_s: float) -> None:
    """Queue an accepted job, or set it aside as infeasible."""
    reason = obstacle(state, states.demand_of(record))
    if not reason:
        if not record.history:
            states.note(state, record, now_s)
        states.enqueue(state, record)
        return
    record.state = model.JobState.INFEASIBLE
    record.code = codes.ResultCode.INFEASIBLE
    states.note(state, record, now_s, reason)
    states.set_infeasible(state, record)


def reexamine(state: states.State, now_s: float) -> None:
    """Judge all waiting and infeasible jobs anew, after the fleet or the rules changed."""
    for demand in tuple(state.demands):
        reason = obstacle(state, demand)
        for job in sorted(state.demands.get(demand, ())):
            _judge(state, state.jobs[job], reason, now_s)


def _judge(state: states.State, record: model.JobRecord, reason: str, now_s: float) -> None:
    is_aside = record.job in state.infeasible
    if record.spec.org not in state.rules.orgs and not is_aside:
        states.dequeue(state, record)
        states.move(state, record, model.JobState.REFUSED, codes.ResultCode.UNKNOWN_ORG, now_s)
    elif reason and not is_aside:
        states.dequeue(state, record)
        code = codes.ResultCode.INFEASIBLE
        states.move(state, record, model.JobState.INFEASIBLE, code, now_s, detail=reason)
        states.set_infeasible(state, record)
    elif is_aside and not reason:
        states.dequeue(state, record)
        states.move(state, record, model.JobState.ACCEPTED, codes.ResultCode.ACCEPTED, now_s)
        states.enqueue(state, record)


def cancel(state: states.State, job: ids.JobId, now_s: float) -> tuple[model.Command, ...]:
    """Cancel a job at whatever stage it is; the work is proportional to the job."""
    record = state.jobs.get(job)
    if record is None or record.state in model.FINAL_STATES:
        return ()
    code = codes.ResultCode.CANCELLED
    if record.state in _WAITING:
        states.dequeue(state, record)
        states.move(state, record, model.JobState.CANCELLED, code, now_s)
        return ()
    if record.state is model.JobState.CANCELLING:
        return ()
    if record.state is model.JobState.IN_DOUBT:
        record.is_cancel_asked = True
        state.dirty.add(job)
    else:
        states.unbind(state, record)
        states.move(state, record, model.JobState.CANCELLING, code, now_s)
    return (states.stop(state, record, model.StopMode.STOP),)


_WAITING = frozenset({model.JobState.ACCEPTED, model.JobState.INFEASIBLE})

__all__ = ["cancel", "obstacle", "queue", "reexamine", "refusal", "submit"]
