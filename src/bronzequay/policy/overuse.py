"""Usage beyond a job's declaration: the gang that exceeds it is stopped, not its neighbours."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.policy import fleet, lifecycle, model, placement, preemption
from bronzequay.policy import state as core_state

if TYPE_CHECKING:
    from bronzequay import ids


def on_usage(
    state: core_state.State, event: model.UsageReported, now_s: float
) -> tuple[model.Command, ...]:
    """Record usage beyond declarations; stop gangs that exceed them on an overcommitted worker."""
    worker = state.fleet.workers.get(event.worker)
    if worker is None:
        return ()
    for usage in event.tasks:
        _record_usage(state, worker, usage)
    commands: list[model.Command] = []
    for job in _jobs_to_stop(state, worker):
        detail = f"uses more than declared on {event.worker}"
        checkpoint_timeout_s = preemption.URGENT_CHECKPOINT_TIMEOUT_S
        commands.extend(_stop(state, state.jobs[job], checkpoint_timeout_s, now_s, detail))
    return tuple(commands)


def _record_usage(state: core_state.State, worker: fleet.Worker, usage: model.TaskUsage) -> None:
    record = lifecycle.current_record(state, usage.job, usage.attempt)
    if record is None or record.job not in worker.gangs:
        return
    need = placement.need_of(record)
    record.seen_cpu = max(record.seen_cpu, usage.cpu if usage.cpu > need.cpu else 0)
    record.seen_mem_gb = max(record.seen_mem_gb, usage.mem_gb if usage.mem_gb > need.mem_gb else 0)
    if placement.need_of(record) == need:
        return
    state.dirty.add(record.job)
    allocations = core_state.allocations_of(placement.need_of(record), record.placements)
    fleet.resize(state.fleet, record.job, allocations.items())


def _jobs_to_stop(state: core_state.State, worker: fleet.Worker) -> list[ids.JobId]:
    """Return the gangs to stop, largest excess first, until the others fit on the worker."""
    excess = [
        (_excess(state.jobs[job], worker, allocation), job)
        for job, allocation in worker.gangs.items()
        if state.jobs[job].seen_cpu or state.jobs[job].seen_mem_gb
    ]
    cpu, mem_gb = worker.cpu, worker.mem_gb
    to_stop: list[ids.JobId] = []
    for _size, job in sorted(excess, reverse=True):
        if cpu >= 0 and mem_gb >= 0:
            break
        to_stop.append(job)
        cpu += worker.gangs[job].cpu
        mem_gb += worker.gangs[job].mem_gb
    return to_stop


def _excess(record: model.JobRecord, worker: fleet.Worker, allocation: fleet.Allocation) -> float:
    """Return a gang's undeclared usage, as the larger share of the worker's cores or memory."""
    members = sum(place.worker == worker.spec.worker for place in record.placements)
    cpu = allocation.cpu - members * record.spec.cpu
    mem_gb = allocation.mem_gb - members * record.spec.mem_gb
    return max(cpu / max(1, worker.spec.cpu), mem_gb / max(1, worker.spec.mem_gb))


def _stop(
    state: core_state.State,
    record: model.JobRecord,
    checkpoint_timeout_s: float,
    now_s: float,
    detail: str,
) -> tuple[model.Command, ...]:
    if model.JobState.RECLAIMING not in model.TRANSITIONS[record.state]:
        return ()
    return preemption.reclaim(state, record, checkpoint_timeout_s, now_s, detail)


__all__ = ["on_usage"]
