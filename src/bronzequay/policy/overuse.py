"""Lagging usage that shows a declaration to be wrong: the offender goes, not its neighbours."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.policy import fleet, lifecycle, model, placement, preemption
from bronzequay.policy import state as states

if TYPE_CHECKING:
    from bronzequay import ids


def on_usage(
    state: states.State, event: model.UsageReported, now_s: float
) -> tuple[model.Command, ...]:
    """Count what members use beyond their declaration, and stop offenders on a full worker."""
    worker = state.fleet.workers.get(event.worker)
    if worker is None:
        return ()
    for usage in event.tasks:
        _count(state, worker, usage)
    commands: list[model.Command] = []
    for job in _offenders(state, worker):
        detail = f"uses more than declared on {event.worker}"
        bound_s = preemption.URGENT_BOUND_S
        commands.extend(_stop(state, state.jobs[job], bound_s, now_s, detail))
    return tuple(commands)


def _count(state: states.State, worker: fleet.Worker, usage: model.TaskUsage) -> None:
    record = lifecycle.current(state, usage.job, usage.attempt)
    if record is None or record.job not in worker.gangs:
        return
    need = placement.need_of(record)
    record.seen_cpu = max(record.seen_cpu, usage.cpu if usage.cpu > need.cpu else 0)
    record.seen_mem_gb = max(record.seen_mem_gb, usage.mem_gb if usage.mem_gb > need.mem_gb else 0)
    if placement.need_of(record) == need:
        return
    state.dirty.add(record.job)
    parts = states.holds(placement.need_of(record), record.placements)
    fleet.resize(state.fleet, record.job, parts.items())


def _offenders(state: states.State, worker: fleet.Worker) -> list[ids.JobId]:
    """Return the gangs to stop, the largest excess first, until the rest fits."""
    excess = [
        (_excess(state.jobs[job], worker, hold), job)
        for job, hold in worker.gangs.items()
        if state.jobs[job].seen_cpu or state.jobs[job].seen_mem_gb
    ]
    cpu, mem_gb = worker.cpu, worker.mem_gb
    found: list[ids.JobId] = []
    for _size, job in sorted(excess, reverse=True):
        if cpu >= 0 and mem_gb >= 0:
            break
        found.append(job)
        cpu += worker.gangs[job].cpu
        mem_gb += worker.gangs[job].mem_gb
    return found


def _excess(record: model.JobRecord, worker: fleet.Worker, hold: fleet.Hold) -> float:
    """Return the undeclared use of a worker, as the larger share of cores or memory."""
    members = sum(place.worker == worker.spec.worker for place in record.placements)
    cpu = hold.cpu - members * record.spec.cpu
    mem_gb = hold.mem_gb - members * record.spec.mem_gb
    return max(cpu / max(1, worker.spec.cpu), mem_gb / max(1, worker.spec.mem_gb))


def _stop(
    state: states.State, record: model.JobRecord, bound_s: float, now_s: float, detail: str
) -> tuple[model.Command, ...]:
    if model.JobState.RECLAIMING not in model.TRANSITIONS[record.state]:
        return ()
    return preemption.reclaim(state, record, bound_s, now_s, detail)


__all__ = ["on_usage"]
