"""Handlers of a gang's events: held, member failed, finished, stopped, outcome unknown."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes
from bronzequay.policy import admission, cells, fleet, guarantees, health, model, predict
from bronzequay.policy import state as core_state

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bronzequay import ids

_ACTIVE_STATES = frozenset({model.JobState.STARTING, model.JobState.RUNNING})
_FAULT_CODES: Mapping[model.MemberFault, codes.ResultCode] = {
    model.MemberFault.START_FAILED: codes.ResultCode.TASK_FAILED,
    model.MemberFault.TASK_FAILED: codes.ResultCode.TASK_FAILED,
    model.MemberFault.WORKER_LOST: codes.ResultCode.WORKER_LOST,
    model.MemberFault.OVER_DECLARED: codes.ResultCode.TASK_FAILED,
}


def current_record(state: core_state.State, job: ids.JobId, attempt: int) -> model.JobRecord | None:
    """Return the record of a job if the given attempt is current and placed, or else None."""
    record = state.jobs.get(job)
    if record is None or record.attempt != attempt or record.state not in model.PLACED_STATES:
        return None
    return record


def was_released(record: model.JobRecord) -> bool:
    """Return whether the current attempt was released, so that its payload may have run."""
    for entry in reversed(record.history):
        if entry.attempt != record.attempt:
            return False
        if entry.state is model.JobState.RUNNING:
            return True
    return False


def on_held(
    state: core_state.State, event: model.GangHeld, now_s: float
) -> tuple[model.Command, ...]:
    """Release a gang once every member is held."""
    record = current_record(state, event.job, event.attempt)
    if record is None:
        return ()
    if record.state is model.JobState.IN_DOUBT and not was_released(record):
        return (core_state.request_stop(state, record, model.StopMode.STOP),)
    if record.state is not model.JobState.STARTING:
        return ()
    record.started_s = now_s
    core_state.transition(state, record, model.JobState.RUNNING, codes.ResultCode.ACCEPTED, now_s)
    _record_success(state, record, now_s)
    return (model.ReleaseGang(record.job, record.attempt, record.placements),)


def _record_success(state: core_state.State, record: model.JobRecord, now_s: float) -> None:
    names = frozenset(place.worker for place in record.placements)
    for name in health.record_success(state.health, record.job, names):
        set_quarantine(state, name, now_s)
    for name in sorted(names):
        worker = state.fleet.workers.get(name)
        if worker is not None and worker.is_probing:
            fleet.set_quarantined(state.fleet, worker, is_quarantined=False)


def set_quarantine(state: core_state.State, name: ids.WorkerId, now_s: float) -> None:
    """Quarantine a worker and drop the reservations that this makes unsafe."""
    worker = state.fleet.workers.get(name)
    if worker is not None and not worker.is_quarantined:
        health.quarantine(state.health, name, now_s)
        fleet.set_quarantined(state.fleet, worker, is_quarantined=True)
        guarantees.update_displaced(state.ledger, state.fleet, name)
        drop_reservations_on(state, worker)
        drop_unsafe_reservations(state)


def drop_reservations_on(state: core_state.State, worker: fleet.Worker) -> None:
    """Drop the reservations on a worker."""
    for job in tuple(worker.reservations):
        core_state.drop_reservation(state, job)


def drop_unsafe_reservations(state: core_state.State) -> None:
    """Drop the reservations that bind cells if some guarantee can no longer be carved out.

    They may have been made before workers were lost.
    """
    ledger, flt = state.ledger, state.fleet
    if not guarantees.shortage(ledger, flt) and not guarantees.pinned_shortage(ledger, flt):
        return
    for job in tuple(state.reservations):
        if state.reservations[job].share is not model.Share.BORROWED:
            core_state.drop_reservation(state, job)


def on_member_failed(
    state: core_state.State, event: model.MemberFailed, now_s: float
) -> tuple[model.Command, ...]:
    """Stop a gang after a member failed, and count the failure for the worker and the job."""
    record = current_record(state, event.job, event.attempt)
    if record is None:
        return ()
    _record_worker_failure(state, event, now_s)
    if record.state is model.JobState.CANCELLING:
        return ()
    if record.fault is None:
        record.fault = event.fault
        record.failures += event.fault is not model.MemberFault.WORKER_LOST
    if record.state in _ACTIVE_STATES:
        code = _FAULT_CODES[event.fault]
        core_state.unbind(state, record)
        new = model.JobState.RECLAIMING
        core_state.transition(state, record, new, code, now_s, detail=event.fault.value)
    return (core_state.request_stop(state, record, model.StopMode.STOP),)


def _record_worker_failure(
    state: core_state.State, event: model.MemberFailed, now_s: float
) -> None:
    verdict = health.record_failure(state.health, event.worker, event.job, event.fault)
    if verdict is health.Verdict.QUARANTINE:
        set_quarantine(state, event.worker, now_s)
    for name in health.exonerated_workers(state.health, event.job):
        health.release(state.health, name)
        if name in state.fleet.workers:
            worker = state.fleet.workers[name]
            fleet.set_quarantined(state.fleet, worker, is_quarantined=False)
            guarantees.update_displaced(state.ledger, state.fleet, name)


def on_finished(
    state: core_state.State, event: model.GangFinished, now_s: float
) -> tuple[model.Command, ...]:
    """Finish a job whose members all ended without error."""
    record = current_record(state, event.job, event.attempt)
    if record is None or model.JobState.FINISHED not in model.TRANSITIONS[record.state]:
        return ()
    if record.started_s is not None:
        ran_s = record.attained_s + now_s - record.started_s
        predict.add_finished(state.queues.history, record.spec, ran_s)
    core_state.transition(state, record, model.JobState.FINISHED, codes.ResultCode.OK, now_s)
    return ()


def on_stopped(
    state: core_state.State, event: model.GangStopped, now_s: float
) -> tuple[model.Command, ...]:
    """Cancel, fail or requeue a job whose members are all known to be stopped."""
    record = current_record(state, event.job, event.attempt)
    if record is None:
        return ()
    _add_checkpoints(record, event)
    if record.state in _ACTIVE_STATES:
        record.fault = record.fault or model.MemberFault.WORKER_LOST
        code = codes.ResultCode.WORKER_LOST
        core_state.transition(state, record, model.JobState.RECLAIMING, code, now_s)
    if record.state is model.JobState.CANCELLING or record.is_cancel_asked:
        code = codes.ResultCode.CANCELLED
        if record.state is not model.JobState.CANCELLING:
            _enter_cancelling_if_required(state, record, now_s)
        core_state.transition(state, record, model.JobState.CANCELLED, code, now_s)
        return ()
    failure = _failure_code(state, record, is_kept=event.is_kept or event.kept_s > 0)
    if failure is not None:
        core_state.transition(state, record, model.JobState.FAILED, failure, now_s)
        return ()
    _requeue(state, record, now_s)
    return ()


def attained_by(record: model.JobRecord, member: int) -> float:
    """Return the run time of a member that checkpoints preserve, in seconds."""
    return record.attained_s + record.ahead_s.get(member, 0.0)


def _add_checkpoints(record: model.JobRecord, event: model.GangStopped) -> None:
    """Add the run time that the checkpoints of an attempt preserve.

    Members are released and stopped at slightly different times, so each resumes from its own.
    """
    totals_s = [
        record.ahead_s.get(member, 0.0) + event.ahead_s.get(member, 0.0)
        for member in range(record.spec.members)
    ]
    common_s = min(totals_s)
    record.attained_s += event.kept_s + common_s
    record.ahead_s = {
        member: total_s - common_s for member, total_s in enumerate(totals_s) if total_s > common_s
    }


def _enter_cancelling_if_required(
    state: core_state.State, record: model.JobRecord, now_s: float
) -> None:
    if model.JobState.CANCELLED not in model.TRANSITIONS[record.state]:
        code = codes.ResultCode.CANCELLED
        core_state.transition(state, record, model.JobState.CANCELLING, code, now_s)


def _failure_code(
    state: core_state.State, record: model.JobRecord, *, is_kept: bool
) -> codes.ResultCode | None:
    """Return the code with which a stopped job fails, or None if it may start again."""
    fault = record.fault
    if not was_released(record):
        has_exhausted_starts = fault in health.COUNTED_FAULTS and health.has_exhausted_starts(
            state.health, record
        )
        return codes.ResultCode.RETRIES_EXHAUSTED if has_exhausted_starts else None
    if fault is None:
        stop_code = codes.ResultCode.RECLAIMED if record.stop else codes.ResultCode.WORKER_LOST
        return None if is_kept or record.spec.idempotent else stop_code
    if not record.spec.idempotent:
        return _FAULT_CODES[fault]
    is_task_fault = fault is not model.MemberFault.WORKER_LOST
    is_exhausted = is_task_fault and record.failures >= health.MAX_TASK_FAILURES
    return codes.ResultCode.RETRIES_EXHAUSTED if is_exhausted else None


def _requeue(state: core_state.State, record: model.JobRecord, now_s: float) -> None:
    core_state.transition(state, record, model.JobState.ACCEPTED, codes.ResultCode.RECLAIMED, now_s)
    record.placements = ()
    record.cells = ()
    record.share = model.Share.BORROWED
    record.stop = None
    record.fault = None
    admission.queue_or_set_infeasible(state, record, now_s)


def on_unknown(
    state: core_state.State, event: model.GangUnknown, now_s: float
) -> tuple[model.Command, ...]:
    """Set a job in doubt and bind its cells, as they cannot be reclaimed within a bounded time."""
    record = current_record(state, event.job, event.attempt)
    if record is None or model.JobState.IN_DOUBT not in model.TRANSITIONS[record.state]:
        return ()
    record.is_cancel_asked |= record.state is model.JobState.CANCELLING
    state.checkpoint_deadlines.pop(record.job, None)
    core_state.transition(state, record, model.JobState.IN_DOUBT, codes.ResultCode.IN_DOUBT, now_s)
    bind_as_fixed(state, record)
    return ()


def bind_as_fixed(state: core_state.State, record: model.JobRecord) -> None:
    """Bind the open devices of a gang in doubt, so that no guarantee counts on them."""
    if record.job in state.ledger.bindings:
        return
    member_blocks: list[guarantees.MemberBlock] = []
    for name in dict.fromkeys(place.worker for place in record.placements):
        worker = state.fleet.workers.get(name)
        mask = worker.gangs[record.job].mask & worker.open_devices if worker else 0
        for _level, block in cells.largest_cells(mask):
            member_blocks.append(guarantees.MemberBlock(cells.cell_of(name, block), block))
    if member_blocks:
        binding = guarantees.Binding(
            record.job,
            record.spec.org,
            model.Share.FIXED,
            tuple(member_blocks),
            guarantees.pinned_level(record.spec),
        )
        guarantees.bind(state.ledger, state.fleet, binding)


__all__ = [
    "attained_by",
    "bind_as_fixed",
    "current_record",
    "drop_reservations_on",
    "drop_unsafe_reservations",
    "on_finished",
    "on_held",
    "on_member_failed",
    "on_stopped",
    "on_unknown",
    "set_quarantine",
    "was_released",
]
