"""Records of a job's progress as the store keeps them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import codec, ids
from bronzequay.core import lifecycle, model, occurrences, work
from bronzequay.core import state as states

if TYPE_CHECKING:
    from bronzequay.core.state import Job, State, StepRun
    from bronzequay.core.tasks import Task

NOT_PLACED = -1


class TaskRecord(msgspec.Struct, array_like=True):
    """A task that was started at least once.

    :param worker: index into ``JobRecord.workers``, -1 when the task is not placed
    :param is_settled: see ``Task``; later terms rely on it where they cannot reach the worker
    :param unsure_crashes: see ``Task``; a later term may reach these workers
    """

    index: codec.Count
    is_done: bool
    run: codec.Count
    worker: int = NOT_PLACED
    failures: int = 0
    checkpoint: str = ""
    crashes: int = 0
    fatal_starts: int = 0
    confirmed_crashes: int = 0
    is_settled: bool = False
    unsure_crashes: dict[ids.WorkerId, bool] = {}


class StepRecord(msgspec.Struct, array_like=True):
    """A step of a due occurrence that is done or was started."""

    occurrence: codec.Count
    step: codec.Count
    is_done: bool
    failures: int
    failed_run: int
    tasks: list[TaskRecord] = []
    crashes: int = 0
    crashed_run: int = 0


class JobRecord(msgspec.Struct, array_like=True):
    """Progress of a job; its specification is stored separately.

    :param next_occurrence: number of the first occurrence that was not due
    :param workers: incarnations of workers that tasks are placed on
    :param services: service of each of these
    :param begun_s: when the first task was started, in seconds since the Unix epoch
    """

    state: model.JobState
    next_occurrence: codec.Count
    workers: list[str]
    steps: list[StepRecord]
    begun_s: float = 0.0
    reason: str = ""
    services: list[str] = []


def encode(job: Job) -> bytes:
    """Encode the progress of a job."""
    workers: dict[tuple[ids.WorkerId, ids.ServiceId], int] = {}
    steps = [_encode_step(step, workers) for step in job.steps() if _has_progress(step)]
    record = JobRecord(
        job.state,
        job.next_occurrence,
        [worker for worker, _ in workers],
        steps,
        job.begun_s,
        job.reason,
        [service for _, service in workers],
    )
    return msgspec.msgpack.encode(record)


def _has_progress(step: StepRun) -> bool:
    return step.is_done or any(task.run for task in step.tasks)


def _encode_step(
    step: StepRun, workers: dict[tuple[ids.WorkerId, ids.ServiceId], int]
) -> StepRecord:
    tasks = [
        _encode_task(task, workers)
        for task in step.tasks
        if task.run and (not step.is_done or task.worker is not None)
    ]
    return StepRecord(
        step.occurrence,
        step.number,
        step.is_done,
        step.failures,
        step.failed_run,
        tasks,
        step.crashes,
        step.crashed_run,
    )


def _encode_task(task: Task, workers: dict[tuple[ids.WorkerId, ids.ServiceId], int]) -> TaskRecord:
    worker_index = NOT_PLACED
    if task.worker is not None:
        worker_index = workers.setdefault((task.worker, task.service), len(workers))
    is_done = task.phase is model.Phase.DONE
    return TaskRecord(
        task.key.number,
        is_done,
        task.run,
        worker_index,
        task.failures,
        task.checkpoint,
        task.crashes,
        task.fatal_starts,
        task.confirmed_crashes,
        task.is_settled,
        task.unsure_crashes,
    )


def is_final(value: bytes | None) -> bool:
    """Return whether a stored record says that its job has ended.

    :raises msgspec.MsgspecError: the record cannot be decoded
    """
    if value is None:
        return False
    return codec.from_msgpack(value, JobRecord).state in model.FINAL_STATES


def restore(state: State, spec: model.JobSpec, value: bytes | None) -> None:
    """Add a job from its specification and its progress record.

    :param value: the progress record, None when there is none yet
    :raises msgspec.DecodeError: when the record cannot be read or is not of this job; nothing is
        added then
    """
    if value is None:
        lifecycle.accept(state, spec)
        return
    record = codec.from_msgpack(value, JobRecord)
    job = states.Job(spec)
    _check(record, job)
    state.jobs[spec.job] = job
    state.stops.record_job(spec.queue, work.job_work(spec))
    job.state = record.state
    job.has_begun = record.begun_s > 0.0
    job.begun_s, job.reason = record.begun_s, record.reason
    job.next_occurrence = record.next_occurrence
    for number in range(record.next_occurrence):
        job.occurrences[number] = states.Occurrence(job, number)
    for step_record in record.steps:
        _restore_step(
            state,
            job.occurrences[step_record.occurrence].steps[step_record.step],
            step_record,
            record,
        )
    if job.is_final:
        lifecycle.retire(state, job)
        return
    for occurrence in job.occurrences.values():
        occurrences.open_ready_steps(state, occurrence)
    occurrences.open_due(state, job)


def _check(record: JobRecord, job: Job) -> None:
    """Check that a record refers to occurrences, steps, tasks and workers that exist.

    :raises msgspec.DecodeError: it does not
    """
    counts = [step.count for step in job.spec.steps]
    has_services = len(record.services) in (0, len(record.workers))
    is_valid = (
        has_services
        and record.next_occurrence <= job.occurrence_count
        and all(
            step.occurrence < record.next_occurrence
            and step.step < len(counts)
            and all(
                task.index < counts[step.step] and NOT_PLACED <= task.worker < len(record.workers)
                for task in step.tasks
            )
            for step in record.steps
        )
    )
    if not is_valid:
        raise msgspec.DecodeError("the record refers to what the job does not have")


def _restore_step(state: State, step: StepRun, record: StepRecord, job: JobRecord) -> None:
    step.is_done = record.is_done
    step.failures = record.failures
    step.failed_run = record.failed_run
    step.crashes, step.crashed_run = record.crashes, record.crashed_run
    if step.is_done:
        for task in step.tasks:
            task.phase = model.Phase.DONE
    for task_record in record.tasks:
        task = step.tasks[task_record.index]
        task.run = task_record.run
        task.failures = task_record.failures
        _restore_crashes(state, step, task, task_record)
        task.is_answered = task.is_settled = task_record.is_settled
        if task.failures:
            state.unjudged_steps.add(step.key)
        task.checkpoint = task_record.checkpoint
        task.phase_since_s = task.started_s = state.now_s
        if task_record.worker != NOT_PLACED:
            task.worker = ids.WorkerId(job.workers[task_record.worker])
            # Records of earlier versions have no services.
            if job.services:
                task.service = ids.ServiceId(job.services[task_record.worker])
            task.phase = model.Phase.STOPPING if step.job.is_final else model.Phase.RUNNING
            if step.spec.is_filler:
                task.speed_percent = None  # an earlier term may have throttled it
            state.orphaned_tasks.setdefault(task.worker, {})[task.key] = task
        elif task_record.is_done:
            task.phase = model.Phase.DONE


def _restore_crashes(state: State, step: StepRun, task: Task, record: TaskRecord) -> None:
    task.crashes, task.fatal_starts = record.crashes, record.fatal_starts
    task.confirmed_crashes = record.confirmed_crashes
    task.unsure_crashes = record.unsure_crashes
    for worker in task.unsure_crashes:
        state.lapsed_tasks.setdefault(worker, []).append(task)
    if task.fatal_starts:
        state.suspect_steps.add(step.key)


__all__ = ["JobRecord", "StepRecord", "TaskRecord", "encode", "restore"]
