"""Baseline core: first come, first served, and first fit, with backfilling.

A frozen copy of the project's first core, with the interface of ``bronzequay.policy.core``.
The queue is scanned in order of arrival; jobs that do not fit are skipped. The copy differs from
the original in two points. A job is started again until it has failed ``MAX_FAILURES`` times,
as a job that always fails would otherwise never end. A placement is not attempted when it cannot
succeed, because no capacity was freed since the last scan or an equal request failed in the
same scan.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import codes, ids
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


MAX_FAILURES = 3


class WorkerState(msgspec.Struct):
    """Free capacity of a worker."""

    spec: model.WorkerSpec
    free_devices: set[int]
    free_cpu: int
    free_mem_gb: int
    is_leaving: bool = False


class State(msgspec.Struct):
    """State of the core; ``step`` changes it in place.

    :param dirty: jobs whose records changed since ``pop_dirty``
    :param scanned_length: number of jobs at the head of the queue that did not fit in the last
        scan and are skipped until capacity is freed
    """

    rules: model.Rules
    workers: dict[ids.WorkerId, WorkerState]
    jobs: dict[ids.JobId, model.JobRecord]
    queue: list[ids.JobId]
    dirty: set[ids.JobId]
    scanned_length: int = 0


def new_state(
    *,
    rules: model.Rules,
    workers: Iterable[model.WorkerSpec] = (),
    jobs: Iterable[model.JobRecord] = (),
) -> State:
    """Build a state, after a takeover from the records in the journal.

    :param rules: the rules of the bundle in force
    :param workers: the workers known to be available
    :param jobs: the records of all jobs that are not archived
    :return: a state for ``step``
    """
    state = State(rules=rules, workers={}, jobs={}, queue=[], dirty=set())
    for spec in workers:
        _add_worker(state, spec)
    for record in jobs:
        state.jobs[record.job] = record
        if record.state is model.JobState.ACCEPTED:
            state.queue.append(record.job)
        if record.state in model.PLACED_STATES:
            _adjust_capacity(state, record, sign=-1)
    return state


def step(state: State, event: model.Event, *, now_s: float) -> tuple[model.Command, ...]:
    """Apply one event.

    :param state: changed in place
    :param event: the event
    :param now_s: seconds since the Unix epoch, read by the caller
    :return: commands to execute once the changed records are durable
    """
    handler = _HANDLERS[type(event)]
    commands = handler(state, event, now_s)
    return (*commands, *_place_waiting(state, now_s))


def pop_dirty(state: State) -> tuple[model.JobRecord, ...]:
    """Return the records changed since the last call and clear their marks.

    :param state: changed in place
    :return: the records to make durable
    """
    records = tuple(state.jobs[job] for job in sorted(state.dirty))
    state.dirty.clear()
    return records


def forget(state: State, job: ids.JobId) -> None:
    """Remove a job in a final state after it was archived.

    :param state: changed in place
    :param job: the archived job
    """
    state.jobs.pop(job, None)


def why(state: State, job: ids.JobId) -> str:
    """Return one sentence on what a job waits for.

    :param state: not changed
    :param job: a job in the state
    :return: the reason
    """
    record = state.jobs[job]
    if record.state is not model.JobState.ACCEPTED:
        return f"the job is {record.state.value}"
    return f"{state.queue.index(job)} jobs are ahead in the queue"


def _add_worker(state: State, spec: model.WorkerSpec) -> None:
    devices = set(range(spec.accelerators))
    state.workers[spec.worker] = WorkerState(spec, devices, spec.cpu, spec.mem_gb)
    state.scanned_length = 0


def _adjust_capacity(state: State, record: model.JobRecord, *, sign: int) -> None:
    if sign > 0:
        state.scanned_length = 0
    for place in record.placements:
        worker = state.workers.get(place.worker)
        if worker is None:
            continue
        worker.free_cpu += sign * record.spec.cpu
        worker.free_mem_gb += sign * record.spec.mem_gb
        if sign < 0:
            worker.free_devices.difference_update(place.devices)
        else:
            worker.free_devices.update(place.devices)


def _transition(
    state: State,
    record: model.JobRecord,
    target: model.JobState,
    code: codes.ResultCode,
    now_s: float,
    *,
    detail: str = "",
) -> None:
    if target not in model.TRANSITIONS[record.state]:
        raise AssertionError(
            f"{record.job}: illegal transition {record.state.value} to {target.value}"
        )
    if record.state in model.PLACED_STATES and target not in model.PLACED_STATES:
        _adjust_capacity(state, record, sign=1)
    record.state = target
    record.code = code
    _append_history(state, record, now_s, detail)
    if target in model.FINAL_STATES:
        record.ended_s = now_s


def _append_history(state: State, record: model.JobRecord, now_s: float, detail: str = "") -> None:
    entry = model.HistoryEntry(
        at_s=now_s,
        state=record.state,
        code=record.code,
        attempt=record.attempt,
        bundle=state.rules.version,
        workers=tuple(place.worker for place in record.placements),
        detail=detail,
    )
    record.history.append(entry)
    state.dirty.add(record.job)


def _on_submitted(
    state: State, event: model.JobSubmitted, now_s: float
) -> tuple[model.Command, ...]:
    record = model.JobRecord(
        job=event.job,
        spec=event.spec,
        state=model.JobState.ACCEPTED,
        code=codes.ResultCode.ACCEPTED,
        accepted_s=now_s,
        key=event.key,
    )
    state.jobs[event.job] = record
    state.queue.append(event.job)
    _append_history(state, record, now_s)
    return ()


def _on_cancelled(
    state: State, event: model.JobCancelled, now_s: float
) -> tuple[model.Command, ...]:
    record = state.jobs[event.job]
    if record.state is model.JobState.ACCEPTED:
        state.queue.remove(event.job)
        state.scanned_length = 0
        _transition(state, record, model.JobState.CANCELLED, codes.ResultCode.CANCELLED, now_s)
        return ()
    if model.JobState.CANCELLING not in model.TRANSITIONS[record.state]:
        return ()
    _transition(state, record, model.JobState.CANCELLING, codes.ResultCode.CANCELLED, now_s)
    return (_stop_command(record, model.StopMode.STOP),)


def _stop_command(record: model.JobRecord, mode: model.StopMode) -> model.StopGang:
    return model.StopGang(record.job, record.attempt, record.placements, mode)


def _on_held(state: State, event: model.GangHeld, now_s: float) -> tuple[model.Command, ...]:
    record = _record_of_attempt(state, event.job, event.attempt)
    if record is None or record.state is not model.JobState.STARTING:
        return ()
    record.started_s = now_s
    _transition(state, record, model.JobState.RUNNING, codes.ResultCode.ACCEPTED, now_s)
    return (model.ReleaseGang(record.job, record.attempt, record.placements),)


def _record_of_attempt(state: State, job: ids.JobId, attempt: int) -> model.JobRecord | None:
    record = state.jobs.get(job)
    if record is None or record.attempt != attempt:
        return None
    return record


def _on_member_failed(
    state: State, event: model.MemberFailed, now_s: float
) -> tuple[model.Command, ...]:
    record = _record_of_attempt(state, event.job, event.attempt)
    if record is None or model.JobState.RECLAIMING not in model.TRANSITIONS[record.state]:
        return ()
    record.failures += 1
    code = codes.ResultCode.TASK_FAILED
    _transition(state, record, model.JobState.RECLAIMING, code, now_s, detail=event.fault.value)
    return (_stop_command(record, model.StopMode.STOP),)


def _on_finished(
    state: State, event: model.GangFinished, now_s: float
) -> tuple[model.Command, ...]:
    record = _record_of_attempt(state, event.job, event.attempt)
    if record is None or model.JobState.FINISHED not in model.TRANSITIONS[record.state]:
        return ()
    _transition(state, record, model.JobState.FINISHED, codes.ResultCode.OK, now_s)
    return ()


def _on_stopped(state: State, event: model.GangStopped, now_s: float) -> tuple[model.Command, ...]:
    record = _record_of_attempt(state, event.job, event.attempt)
    if record is None:
        return ()
    record.attained_s += event.kept_s
    if record.state is model.JobState.CANCELLING:
        _transition(state, record, model.JobState.CANCELLED, codes.ResultCode.CANCELLED, now_s)
    elif record.state is model.JobState.RECLAIMING and _may_retry(record):
        _transition(state, record, model.JobState.ACCEPTED, codes.ResultCode.RECLAIMED, now_s)
        state.queue.append(record.job)
    elif record.state is model.JobState.RECLAIMING:
        _transition(state, record, model.JobState.FAILED, codes.ResultCode.TASK_FAILED, now_s)
    return ()


def _may_retry(record: model.JobRecord) -> bool:
    return record.spec.idempotent and record.failures < MAX_FAILURES


def _on_unknown(state: State, event: model.GangUnknown, now_s: float) -> tuple[model.Command, ...]:
    record = _record_of_attempt(state, event.job, event.attempt)
    if record is not None and model.JobState.IN_DOUBT in model.TRANSITIONS[record.state]:
        _transition(state, record, model.JobState.IN_DOUBT, codes.ResultCode.IN_DOUBT, now_s)
    return ()


def _on_worker_joined(
    state: State, event: model.WorkerJoined, _now_s: float
) -> tuple[model.Command, ...]:
    if event.spec.worker not in state.workers:
        _add_worker(state, event.spec)
    return ()


def _on_worker_leaving(
    state: State, event: model.WorkerLeaving, _now_s: float
) -> tuple[model.Command, ...]:
    state.workers[event.worker].is_leaving = True
    return ()


def _on_worker_lost(
    state: State, event: model.WorkerLost, now_s: float
) -> tuple[model.Command, ...]:
    state.workers.pop(event.worker, None)
    commands: list[model.Command] = []
    for record in list(state.jobs.values()):
        if record.state not in model.PLACED_STATES:
            continue
        if all(place.worker != event.worker for place in record.placements):
            continue
        fault = model.MemberFailed(
            record.job, record.attempt, event.worker, model.MemberFault.WORKER_LOST
        )
        commands.extend(_on_member_failed(state, fault, now_s))
    return tuple(commands)


def _on_rules(state: State, event: model.RulesChanged, _now_s: float) -> tuple[model.Command, ...]:
    state.rules = event.rules
    return ()


def _on_tick(_state: State, _event: model.Tick, _now_s: float) -> tuple[model.Command, ...]:
    return ()


_HANDLERS: dict[type[model.Event], Callable[..., tuple[model.Command, ...]]] = {
    model.JobSubmitted: _on_submitted,
    model.JobCancelled: _on_cancelled,
    model.GangHeld: _on_held,
    model.MemberFailed: _on_member_failed,
    model.GangFinished: _on_finished,
    model.GangStopped: _on_stopped,
    model.GangUnknown: _on_unknown,
    model.WorkerJoined: _on_worker_joined,
    model.WorkerLeaving: _on_worker_leaving,
    model.WorkerLost: _on_worker_lost,
    model.RulesChanged: _on_rules,
    model.Tick: _on_tick,
}


def _place_waiting(state: State, now_s: float) -> tuple[model.Command, ...]:
    commands: list[model.Command] = []
    waiting = state.queue[: state.scanned_length]
    unplaceable: set[tuple[int, int, int, int]] = set()
    for job in state.queue[state.scanned_length :]:
        record = state.jobs[job]
        spec = record.spec
        request = (spec.members, spec.accelerators, spec.cpu, spec.mem_gb)
        placements = None if request in unplaceable else _first_fit(state, spec)
        if placements is None:
            unplaceable.add(request)
            waiting.append(job)
            continue
        record.placements = placements
        record.attempt += 1
        _transition(state, record, model.JobState.STARTING, codes.ResultCode.ACCEPTED, now_s)
        _adjust_capacity(state, record, sign=-1)
        commands.append(model.StartGang(job, record.attempt, record.spec, placements))
    state.queue = waiting
    state.scanned_length = len(waiting)
    return tuple(commands)


def _first_fit(state: State, spec: model.JobSpec) -> tuple[model.Placement, ...] | None:
    placements: list[model.Placement] = []
    for worker in state.workers.values():
        if worker.is_leaving:
            continue
        devices = sorted(worker.free_devices)
        cpu, mem_gb = worker.free_cpu, worker.free_mem_gb
        while len(placements) < spec.members and _fits(spec, len(devices), cpu, mem_gb):
            chosen, devices = devices[: spec.accelerators], devices[spec.accelerators :]
            cpu -= spec.cpu
            mem_gb -= spec.mem_gb
            placements.append(model.Placement(len(placements), worker.spec.worker, tuple(chosen)))
        if len(placements) == spec.members:
            return tuple(placements)
    return None


def _fits(spec: model.JobSpec, devices: int, cpu: int, mem_gb: int) -> bool:
    return spec.accelerators <= devices and spec.cpu <= cpu and spec.mem_gb <= mem_gb


__all__ = ["State", "WorkerState", "forget", "new_state", "pop_dirty", "step", "why"]
