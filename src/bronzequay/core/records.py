"""Durable form of a job's progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.core import lifecycle, model
from bronzequay.core import state as states

if TYPE_CHECKING:
    from bronzequay.core.state import Job, State, StepRun, Task

NO_WORKER = -1


class TaskRecord(msgspec.Struct, array_like=True):
    """A task that has been started at least once.

    :param worker: index into the job's workers, -1 when it is not placed
    """

    index: int
    is_done: bool
    run: int
    worker: int = NO_WORKER
    failures: int = 0
    checkpoint: str = ""


class StepRecord(msgspec.Struct, array_like=True):
    """A step of an open occurrence on which something has happened."""

    occurrence: int
    step: int
    is_done: bool
    failures: int
    failed_run: int
    tasks: list[TaskRecord] = []


class JobRecord(msgspec.Struct, array_like=True):
    """A job's progress; the job itself is kept as it was accepted.

    :param next_occurrence: number of the first that was not due
    :param workers: lives of workers that tasks are placed on
    :param begun_s: when its first task was started, in seconds since the Unix epoch
    """

    state: str
    next_occurrence: int
    workers: list[str]
    steps: list[StepRecord]
    begun_s: float = 0.0
    reason: str = ""


def encode(job: Job) -> bytes:
    """Encode a job's progress."""
    workers: dict[str, int] = {}
    steps = [_step(step, workers) for step in job.steps() if _is_touched(step)]
    record = JobRecord(
        job.state.value, job.next_occurrence, list(workers), steps, job.begun_s, job.reason
    )
    return msgspec.msgpack.encode(record)


def _is_touched(step: StepRun) -> bool:
    return step.is_done or any(task.run for task in step.tasks)


def _step(step: StepRun, workers: dict[str, int]) -> StepRecord:
    tasks = [
        _task(task, workers)
        for task in step.tasks
        if task.run and (not step.is_done or task.worker is not None)
    ]
    return StepRecord(
        step.occurrence, step.number, step.is_done, step.failures, step.failed_run, tasks
    )


def _task(task: Task, workers: dict[str, int]) -> TaskRecord:
    number = NO_WORKER
    if task.worker is not None:
        number = workers.setdefault(task.worker, len(workers))
    is_done = task.phase is model.Phase.DONE
    return TaskRecord(task.key.number, is_done, task.run, number, task.failures, task.checkpoint)


def restore(state: State, spec: model.JobSpec, value: bytes | None) -> None:
    """Take up a job from its durable form.

    :param value: its progress, None when there is none yet
    :raises msgspec.MsgspecError: when the record cannot be read
    """
    if value is None:
        lifecycle.accept(state, spec)
        return
    record = msgspec.msgpack.decode(value, type=JobRecord)
    job = states.Job(spec)
    state.jobs[spec.job] = job
    job.state = model.JobState(record.state)
    job.has_begun = bool(record.steps)
    job.begun_s, job.reason = record.begun_s, record.reason
    job.next_occurrence = record.next_occurrence
    for number in range(record.next_occurrence):
        job.occurrences[number] = states.Occurrence(job, number)
    for each in record.steps:
        _restore_step(state, job.occurrences[each.occurrence].steps[each.step], each, record)
    if job.is_final:
        lifecycle.retire(state, job)
        return
    for occurrence in job.occurrences.values():
        lifecycle.open_steps(state, occurrence)
    lifecycle.open_due(state, job)


def _restore_step(state: State, step: StepRun, record: StepRecord, job: JobRecord) -> None:
    step.is_done = record.is_done
    step.failures = record.failures
    step.failed_run = record.failed_run
    if step.is_done:
        for task in step.tasks:
            task.phase = model.Phase.DONE
    for each in record.tasks:
        task = step.tasks[each.index]
        task.run = each.run
        task.failures = each.failures
        task.checkpoint = each.checkpoint
        task.since_s = state.now_s
        if each.worker != NO_WORKER:
            task.worker = ids.WorkerId(job.workers[each.worker])
            task.phase = model.Phase.STOPPING if step.job.is_final else model.Phase.RUNNING
            state.absent.setdefault(task.worker, {})[task.key] = task
        elif each.is_done:
            task.phase = model.Phase.DONE


__all__ = ["JobRecord", "StepRecord", "TaskRecord", "encode", "restore"]
