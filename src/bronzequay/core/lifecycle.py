"""Lifecycle of jobs and tasks: acceptance, starts, ends, failures, cancellation, retirement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import attempts, health, model, observations, occurrences, work
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from collections.abc import Set as AbstractSet

    from bronzequay import ids
    from bronzequay.core.state import Job, State, StepRun, Worker
    from bronzequay.core.tasks import Task

PARTIAL_GANG_S = 1.0
"""Time in which the other members of a gang should end without a stop after one has ended."""
FULLY_SERVING_PERCENT = 100.0
"""Progress that a worker reports for a task of a service that is serving."""
_UNREPORTED_ENDS = frozenset({model.End.LOST, model.End.NEVER_RAN})
"""Ends that the workers of the other gang members do not learn of, so the scheduler stops those
members."""


def accept(state: State, spec: model.JobSpec) -> None:
    """Add an accepted job; does nothing if the job is known or was retired in this term."""
    if spec.job in state.jobs or spec.job in state.ended_jobs:
        return
    state.considered_job = spec.job
    job = states.Job(spec)
    state.jobs[spec.job] = job
    state.stops.record_job(spec.queue, work.job_work(spec))
    state.record_decision(
        "job_taken_up",
        spec.job,
        queue=spec.queue,
        tasks=[step.count for step in spec.steps],
        estimates_s=[round(step.estimate_s, 2) for step in spec.steps],
    )
    occurrences.open_due(state, job)


def give_up(state: State, spec: model.JobSpec, reason: str) -> None:
    """Fail a job without reading its progress; what still runs of it is stopped as stray."""
    job = states.Job(spec)
    state.jobs[spec.job] = job
    end_job(state, job, model.JobState.FAILED, reason)


def cancel(state: State, job_id: ids.JobId) -> None:
    """Cancel a job; does nothing if it is unknown or final."""
    job = state.jobs.get(job_id)
    if job is not None and not job.is_final:
        end_job(state, job, model.JobState.CANCELLED, "cancelled by its caller")


def start(state: State, step: StepRun, placement: Sequence[tuple[Task, Worker]]) -> None:
    """Place tasks and order their starts; the members of a gang share one run number."""
    gang_run = 1 + max(task.run for task in step.tasks) if step.spec.is_gang else 0
    checkpoint = states.gang_checkpoint(step) if step.spec.is_gang else ""
    observations.expect(state, step, placement)
    for task, worker in placement:
        task.run = gang_run or task.run + 1
        if step.spec.is_gang:
            task.checkpoint = checkpoint
        task.phase = model.Phase.STARTING
        task.worker, task.service = worker.spec.worker, worker.spec.service
        task.is_confirmed = task.is_answered = task.is_settled = False
        task.is_whole = not task.checkpoint
        task.first_sample = task.last_sample = None
        task.load, task.speed_percent = 0.0, 100
        task.phase_since_s = task.started_s = state.now_s
        allocate(worker, step, task)
        state.commands.append(_start_command(step, task, worker))
    job = step.job
    state.record_decision(
        "started",
        job.spec.job,
        occurrence=step.occurrence,
        step=step.number,
        run=placement[0][0].run,
        workers=sorted(f"{task.key.number}:{worker.spec.worker}" for task, worker in placement),
    )
    state.dirty_jobs.add(job.spec.job)


def _record_begin(state: State, job: Job) -> None:
    """Record that a worker has begun a task of a job; an order alone does not show it."""
    if job.has_begun or job.is_final:
        return
    job.has_begun, job.begun_s = True, state.wall_s
    job.state = model.JobState.RUNNING
    state.dirty_jobs.add(job.spec.job)


def _start_command(step: StepRun, task: Task, worker: Worker) -> model.Start:
    ticket = step.tickets.get(worker.spec.worker)
    token = "" if ticket is None else ticket.token
    return model.Start(worker.spec.worker, task.key, task.run, task.checkpoint, token)


def allocate(worker: Worker, step: StepRun, task: Task) -> None:
    """Place a task on a worker and deduct its allocation from the free room."""
    need = states.allocation_of(step.spec)
    worker.free_cpu -= need.cpu
    worker.free_mem_mb -= need.mem_mb
    worker.free_gpu -= need.gpu
    worker.tasks[task.key] = task


def _release(worker: Worker, step: StepRun, task: Task) -> None:
    if worker.tasks.pop(task.key, None) is None:
        return
    need = states.allocation_of(step.spec)
    worker.free_cpu += need.cpu
    worker.free_mem_mb += need.mem_mb
    worker.free_gpu += need.gpu


def stop(state: State, task: Task) -> None:
    """Order the stop of a placed task; its room stays allocated until its end is known."""
    if task.phase is model.Phase.STOPPING or task.worker is None:
        return
    task.phase = model.Phase.STOPPING
    task.phase_since_s = state.now_s
    state.commands.append(model.Stop(task.worker, task.key, task.run))


def may_stop_another(step: StepRun, planned_stops: int = 0) -> bool:
    """Return whether the scheduler may stop one more task of a step.

    :param planned_stops: tasks of the step that are chosen for a stop but not stopped yet
    """
    if not step.spec.is_endless:
        return True
    down_count = sum(not _is_serving(task) for task in step.tasks)
    return not step.spec.may_miss or down_count + planned_stops < step.spec.may_miss


def _is_serving(task: Task) -> bool:
    return (
        task.phase is model.Phase.RUNNING
        and task.last_sample is not None
        and task.last_sample[1] >= FULLY_SERVING_PERCENT
    )


def abandon_start(state: State, command: model.Start) -> None:
    """Stop a run whose start went unanswered, with the other members of its gang."""
    task, step = state.task_of(command.key), state.step_of(command.key)
    if task is None or step is None or task.run != command.run or task.worker != command.worker:
        return
    for member in step.placed_tasks if step.spec.is_gang else [task]:
        stop(state, member)


def stop_partial_gangs(state: State) -> None:
    """Stop the other members of a gang ``PARTIAL_GANG_S`` after it has last lost one."""
    for step in state.open_steps.values():
        if not step.spec.is_gang or len(step.waiting_tasks) in (0, step.spec.count):
            continue
        if min(state.now_s - task.phase_since_s for task in step.waiting_tasks) > PARTIAL_GANG_S:
            for task in step.placed_tasks:
                stop(state, task)


def confirm(state: State, worker: ids.WorkerId, key: model.TaskKey, run: int) -> None:
    """Record that a worker has acknowledged a run, which starts its run time."""
    task = state.task_of(key)
    if task is None or task.run != run or task.worker != worker or task.is_confirmed:
        return
    task.is_confirmed = True
    _record_begin(state, state.jobs[key.job])
    if task.phase is model.Phase.STARTING:
        task.phase = model.Phase.RUNNING
        task.phase_since_s = task.progressed_s = state.now_s


def end_run(  # noqa: PLR0917  # the fields of a reported end
    state: State,
    worker: ids.WorkerId,
    key: model.TaskKey,
    run: int,
    end: model.End,
    checkpoint: str = "",
) -> None:
    """Apply the end of a run: free its room, update its worker's health, reopen or finish its step.

    Ends of earlier runs of the task are ignored.
    """
    state.considered_job = key.job
    known_worker = state.workers.get(worker)
    if known_worker is not None:
        known_worker.stray_runs.discard((key, run))
    step, task = state.step_of(key), state.task_of(key)
    if step is None or task is None or task.run != run or task.worker != worker:
        return
    if known_worker is not None:
        observations.record_end(state, step, task, end)
        _release(known_worker, step, task)
        health.record_end(state, known_worker, key.job, end)
        if end is model.End.FAILED:
            step.failed_machines.add(known_worker.spec.machine)
    _drop_orphan(state, worker, key)
    state.is_changed = True
    task.worker = None
    task.phase = model.Phase.WAITING
    task.phase_since_s = state.now_s
    if checkpoint:
        task.checkpoint = checkpoint
    state.dirty_jobs.add(step.job.spec.job)
    if end not in _UNREPORTED_ENDS:
        _record_begin(state, step.job)
    _handle_end(state, step, task, end, worker)
    retire(state, step.job)


def _drop_orphan(state: State, worker: ids.WorkerId, key: model.TaskKey) -> None:
    tasks = state.orphaned_tasks.get(worker)
    if tasks is not None:
        tasks.pop(key, None)
        if not tasks:
            del state.orphaned_tasks[worker]


def _handle_end(
    state: State, step: StepRun, task: Task, end: model.End, worker: ids.WorkerId
) -> None:
    if end is not model.End.DONE:
        state.record_decision(
            "run_ended",
            task.key.job,
            task=task.key[1:],
            run=task.run,
            how=end.value,
            worker=worker,
        )
    if end is model.End.DONE and not step.spec.is_endless:
        task.phase = model.Phase.DONE
        if step.spec.is_gang or all(member.phase is model.Phase.DONE for member in step.tasks):
            _complete_step(state, step)
        return
    if step.is_done or step.job.is_final:
        return
    if end is model.End.FAILED:
        attempts.record_failure(state, step, task, worker)
    if step.spec.is_gang and end in _UNREPORTED_ENDS:
        for other in step.placed_tasks:
            stop(state, other)
    if not step.job.is_final:
        occurrences.open_step(state, step)


def _complete_step(state: State, step: StepRun) -> None:
    step.is_done = True
    job = step.job
    state.open_steps.pop(step.key, None)
    for task in step.tasks:
        if task.phase is model.Phase.WAITING:
            task.phase = model.Phase.DONE
    occurrence = job.occurrences[step.occurrence]
    if job.is_final:
        return
    if not occurrence.is_done:
        occurrences.open_ready_steps(state, occurrence)
    elif _is_complete(job):
        end_job(state, job, model.JobState.COMPLETED)


def _is_complete(job: Job) -> bool:
    return job.next_occurrence >= job.occurrence_count and all(
        occurrence.is_done for occurrence in job.occurrences.values()
    )


def end_job(state: State, job: Job, outcome: model.JobState, reason: str = "") -> None:
    """End a job and stop its tasks."""
    job.state = outcome
    job.reason = reason
    state.record_decision("job_ended", job.spec.job, outcome=outcome.value, reason=reason)
    state.dirty_jobs.add(job.spec.job)
    for step in job.steps():
        state.open_steps.pop(step.key, None)
        if outcome is not model.JobState.COMPLETED:
            for task in step.placed_tasks:
                stop(state, task)
    retire(state, job)


def retire(state: State, job: Job) -> None:
    """Remove a final job once none of its tasks is placed."""
    if not job.is_final or job.spec.job not in state.jobs:
        return
    if any(step.placed_tasks for step in job.steps()):
        return
    del state.jobs[job.spec.job]
    state.dirty_jobs.discard(job.spec.job)
    state.ended_jobs[job.spec.job] = state.now_s
    state.retired_jobs.append(job)


def add_worker(state: State, spec: model.WorkerSpec) -> Worker:
    """Add an incarnation of a worker, with the tasks that earlier terms placed on it."""
    worker = states.Worker(spec)
    worker.joined_s = worker.heard_s = state.now_s
    state.workers[spec.worker] = worker
    for task in state.orphaned_tasks.pop(spec.worker, {}).values():
        step = state.step_of(task.key)
        if step is not None:
            allocate(worker, step, task)
    return worker


def end_lost_runs(
    state: State,
    worker: ids.WorkerId,
    excluded_runs: AbstractSet[tuple[model.TaskKey, int]] = frozenset(),
) -> None:
    """End all runs on a worker that has ended or whose lease has lapsed.

    :param excluded_runs: runs that the caller ends separately
    """
    known_worker = state.workers.get(worker)
    tasks = state.orphaned_tasks.get(worker, {}) if known_worker is None else known_worker.tasks
    for task in list(tasks.values()):
        if (task.key, task.run) not in excluded_runs:
            end_run(state, worker, task.key, task.run, model.End.LOST)
    if known_worker is not None:
        known_worker.stray_runs.clear()
        known_worker.is_ready = False


def remove_worker(
    state: State,
    worker: ids.WorkerId,
    excluded_runs: AbstractSet[tuple[model.TaskKey, int]] = frozenset(),
) -> None:
    """Remove an incarnation of a worker that has ended, and end its runs.

    :param excluded_runs: runs that end once the next incarnation has answered
    """
    end_lost_runs(state, worker, excluded_runs)
    state.workers.pop(worker, None)


def stop_stray_runs(
    state: State, worker: Worker, reported: Iterable[tuple[model.TaskKey, int]]
) -> None:
    """Order stops of reported runs that belong to no task placed on their worker."""
    for key, run in reported:
        task = worker.tasks.get(key)
        if task is not None and task.run == run:
            continue
        if (key, run) not in worker.stray_runs:
            worker.stray_runs.add((key, run))
            state.commands.append(model.Stop(worker.spec.worker, key, run))


__all__ = [
    "abandon_start",
    "accept",
    "add_worker",
    "allocate",
    "cancel",
    "confirm",
    "end_job",
    "end_lost_runs",
    "end_run",
    "give_up",
    "may_stop_another",
    "remove_worker",
    "retire",
    "start",
    "stop",
    "stop_partial_gangs",
    "stop_stray_runs",
]
