"""What a gang's events do to its record: held, failed, finished, stopped, unknown."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes
from bronzequay.policy import admission, cells, fleet, guarantees, health, model, predict
from bronzequay.policy import state as states

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bronzequay import ids

_ACTIVE = frozenset({model.JobState.STARTING, model.JobState.RUNNING})
_FAULT_CODES: Mapping[model.MemberFault, codes.ResultCode] = {
    model.MemberFault.START_FAILED: codes.ResultCode.TASK_FAILED,
    model.MemberFault.TASK_FAILED: codes.ResultCode.TASK_FAILED,
    model.MemberFault.WORKER_LOST: codes.ResultCode.WORKER_LOST,
    model.MemberFault.OVER_DECLARED: codes.ResultCode.TASK_FAILED,
}


def current(state: states.State, job: ids.JobId, attempt: int) -> model.JobRecord | None:
    """Return the record that an event about an attempt still concerns."""
    record = state.jobs.get(job)
    if record is None or record.attempt != attempt or record.state not in model.PLACED_STATES:
        return None
    return record


def was_released(record: model.JobRecord) -> bool:
    """Return whether the payload of the current attempt may have run."""
    for entry in reversed(record.history):
        if entry.attempt != record.attempt:
            return False
        if entry.state is model.JobState.RUNNING:
            return True
    return False


def on_held(state: states.State, event: model.GangHeld, now_s: float) -> tuple[model.Command, ...]:
    """Release a gang of which every member is held."""
    record = current(state, event.job, event.attempt)
    if record is None:
        return ()
    if record.state is model.JobState.IN_DOUBT and not was_released(record):
        return (states.stop(state, record, model.StopMode.STOP),)
    if record.state is not model.JobState.STARTING:
        return ()
    record.started_s = now_s
    states.move(state, record, model.JobState.RUNNING, codes.ResultCode.ACCEPTED, now_s)
    _note_success(state, record, now_s)
    return (model.ReleaseGang(record.job, record.attempt, record.placements),)


def _note_success(state: states.State, record: model.JobRecord, now_s: float) -> None:
    names = frozenset(place.worker for place in record.placements)
    for name in health.ran(state.health, record.job, names):
        set_quarantine(state, name, now_s)
    for name in sorted(names):
        worker = state.fleet.workers.get(name)
        if worker is not None and worker.is_probing:
            fleet.set_quarantined(state.fleet, worker, is_quarantined=False)


def set_quarantine(state: states.State, name: ids.WorkerId, now_s: float) -> None:
    """Give a worker no new work for a while."""
    worker = state.fleet.workers.get(name)
    if worker is not None and not worker.is_quarantined:
        health.quarantine(state.health, name, now_s)
        fleet.set_quarantined(state.fleet, worker, is_quarantined=True)
        guarantees.follow(state.book, state.fleet, name)
        drop_claims_on(state, worker)
        drop_shaken_claims(state)


def drop_claims_on(state: states.State, worker: fleet.Worker) -> None:
    """Give up the plans that use a worker."""
    for job in tuple(worker.claims):
        states.drop_claim(state, job)


def drop_shaken_claims(state: states.State) -> None:
    """Give up plans made before workers were lost, when guarantees have become short."""
    book, flt = state.book, state.fleet
    if not guarantees.short(book, flt) and not guarantees.firm_short(book, flt):
        return
    for job in tuple(state.claims):
        if state.claims[job].share is not model.Share.BORROWED:
            states.drop_claim(state, job)


def on_member_failed(
    state: states.State, event: model.MemberFailed, now_s: float
) -> tuple[model.Command, ...]:
    """Stop a gang that lost a member, and judge the worker and the job."""
    record = current(state, event.job, event.attempt)
    if record is None:
        return ()
    _judge_worker(state, event, now_s)
    if record.state is model.JobState.CANCELLING:
        return ()
    if record.fault is None:
        record.fault = event.fault
        record.failures += event.fault is not model.MemberFault.WORKER_LOST
    if record.state in _ACTIVE:
        code = _FAULT_CODES[event.fault]
        states.unbind(state, record)
        new = model.JobState.RECLAIMING
        states.move(state, record, new, code, now_s, detail=event.fault.value)
    return (states.stop(state, record, model.StopMode.STOP),)


def _judge_worker(state: states.State, event: model.MemberFailed, now_s: float) -> None:
    verdict = health.failed(state.health, event.worker, event.job, event.fault)
    if verdict is health.Verdict.QUARANTINE:
        set_quarantine(state, event.worker, now_s)
    for name in health.cleared(state.health, event.job):
        health.release(state.health, name)
        if name in state.fleet.workers:
            worker = state.fleet.workers[name]
            fleet.set_quarantined(state.fleet, worker, is_quarantined=False)
            guarantees.follow(state.book, state.fleet, name)


def on_finished(
    state: states.State, event: model.GangFinished, now_s: float
) -> tuple[model.Command, ...]:
    """End a gang whose members all ended without error."""
    record = current(state, event.job, event.attempt)
    if record is None or model.JobState.FINISHED not in model.TRANSITIONS[record.state]:
        return ()
    if record.started_s is not None:
        ran_s = record.attained_s + now_s - record.started_s
        predict.learn(state.queues.history, record.spec, ran_s)
    states.move(state, record, model.JobState.FINISHED, codes.ResultCode.OK, now_s)
    return ()


def on_stopped(
    state: states.State, event: model.GangStopped, now_s: float
) -> tuple[model.Command, ...]:
    """Decide what becomes of a gang that is known to be stopped."""
    record = current(state, event.job, event.attempt)
    if record is None:
        return ()
    record.attained_s += event.kept_s
    if record.state in _ACTIVE:
        record.fault = record.fault or model.MemberFault.WORKER_LOST
        code = codes.ResultCode.WORKER_LOST
        states.move(state, record, model.JobState.RECLAIMING, code, now_s)
    if record.state is model.JobState.CANCELLING or record.is_cancel_asked:
        code = codes.ResultCode.CANCELLED
        if record.state is not model.JobState.CANCELLING:
            _via_cancelling(state, record, now_s)
        states.move(state, record, model.JobState.CANCELLED, code, now_s)
        return ()
    failure = _end_code(state, record, is_kept=event.is_kept or event.kept_s > 0)
    if failure is not None:
        states.move(state, record, model.JobState.FAILED, failure, now_s)
        return ()
    _requeue(state, record, now_s)
    return ()


def _via_cancelling(state: states.State, record: model.JobRecord, now_s: float) -> None:
    if model.JobState.CANCELLED not in model.TRANSITIONS[record.state]:
        code = codes.ResultCode.CANCELLED
        states.move(state, record, model.JobState.CANCELLING, code, now_s)


def _end_code(
    state: states.State, record: model.JobRecord, *, is_kept: bool
) -> codes.ResultCode | None:
    """Return the code with which a stopped gang has failed, or None if it may start again."""
    fault = record.fault
    if not was_released(record):
        is_bad = fault in health.COUNTED and health.is_job_bad(state.health, record)
        return codes.ResultCode.RETRIES_EXHAUSTED if is_bad else None
    if fault is None:
        lost = codes.ResultCode.RECLAIMED if record.stop else codes.ResultCode.WORKER_LOST
        return None if is_kept or record.spec.idempotent else lost
    if not record.spec.idempotent:
        return _FAULT_CODES[fault]
    is_task = fault is not model.MemberFault.WORKER_LOST
    is_spent = is_task and record.failures >= health.MAX_TASK_FAILURES
    return codes.ResultCode.RETRIES_EXHAUSTED if is_spent else None


def _requeue(state: states.State, record: model.JobRecord, now_s: float) -> None:
    states.move(state, record, model.JobState.ACCEPTED, codes.ResultCode.RECLAIMED, now_s)
    record.placements = ()
    record.cells = ()
    record.share = model.Share.BORROWED
    record.stop = None
    record.fault = None
    admission.queue(state, record, now_s)


def on_unknown(
    state: states.State, event: model.GangUnknown, now_s: float
) -> tuple[model.Command, ...]:
    """Set a gang in doubt; what it holds can then not be reclaimed in a bounded time."""
    record = current(state, event.job, event.attempt)
    if record is None or model.JobState.IN_DOUBT not in model.TRANSITIONS[record.state]:
        return ()
    record.is_cancel_asked |= record.state is model.JobState.CANCELLING
    state.stopping.pop(record.job, None)
    states.move(state, record, model.JobState.IN_DOUBT, codes.ResultCode.IN_DOUBT, now_s)
    hold_for_good(state, record)
    return ()


def hold_for_good(state: states.State, record: model.JobRecord) -> None:
    """Close the cells under a gang in doubt to all guarantees."""
    if record.job in state.book.seatings:
        return
    seats: list[guarantees.Seat] = []
    for name in dict.fromkeys(place.worker for place in record.placements):
        worker = state.fleet.workers.get(name)
        mask = worker.gangs[record.job].mask & worker.open if worker else 0
        for _level, block in cells.maximal(mask):
            seats.append(guarantees.Seat(cells.cell_of(name, block), block))
    if seats:
        seating = guarantees.Seating(
            record.job,
            record.spec.org,
            model.Share.FIXED,
            tuple(seats),
            guarantees.firm_level(record.spec),
        )
        guarantees.enter(state.book, state.fleet, seating)


__all__ = [
    "current",
    "drop_claims_on",
    "drop_shaken_claims",
    "hold_for_good",
    "on_finished",
    "on_held",
    "on_member_failed",
    "on_stopped",
    "on_unknown",
    "set_quarantine",
    "was_released",
]
