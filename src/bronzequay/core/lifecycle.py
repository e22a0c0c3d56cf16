"""What happens to jobs and tasks: acceptance, starts, ends, failures, cancellation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import health, model
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from collections.abc import Set as AbstractSet

    from bronzequay import ids
    from bronzequay.core.state import Job, State, StepRun, Task, Worker

PARTIAL_S = 1.0
"""Time in which the members of a gang end by themselves after one of them has."""
WHOLE_PERCENT = 100.0
"""Listed progress of a task without an end that is at work."""
_CAUSES_OF_STOP = frozenset({model.End.LOST, model.End.NEVER_RAN})
"""Ends that the other members' workers do not learn of."""


def accept(state: State, spec: model.JobSpec) -> None:
    """Take up a job that callers were told of; a known or ended one is left as it is."""
    if spec.job in state.jobs or spec.job in state.ended:
        return
    job = states.Job(spec)
    state.jobs[spec.job] = job
    state.note("job_taken_up", spec.job, queue=spec.queue, tasks=[s.count for s in spec.steps])
    open_due(state, job)


def open_due(state: State, job: Job) -> None:
    """Open the occurrences whose time has come."""
    while job.next_occurrence < job.times and job.due_s(job.next_occurrence) <= state.wall_s:
        number = job.next_occurrence
        job.next_occurrence += 1
        job.occurrences[number] = states.Occurrence(job, number)
        open_steps(state, job.occurrences[number])


def open_steps(state: State, occurrence: states.Occurrence) -> None:
    """Open the steps whose turn has come."""
    for step in occurrence.steps:
        earlier = (occurrence.steps[number] for number in step.spec.after)
        if not step.is_done and all(other.is_done for other in earlier):
            if step.ready_s is None:
                step.ready_s = state.now_s
            _reopen(state, step)


def _reopen(state: State, step: StepRun) -> None:
    state.open[step.key] = step
    state.is_changed = True


def cancel(state: State, job_id: ids.JobId) -> None:
    """Cancel a job; one that has ended is left as it is."""
    job = state.jobs.get(job_id)
    if job is not None and not job.is_final:
        _finish(state, job, model.JobState.CANCELLED, "cancelled by its caller")


def start(state: State, step: StepRun, placement: Sequence[tuple[Task, Worker]]) -> None:
    """Place tasks and ask for their starts; members of a gang share the run's number."""
    shared = 1 + max(task.run for task in step.tasks) if step.spec.is_gang else 0
    checkpoint = _gang_checkpoint(step) if step.spec.is_gang else ""
    for task, worker in placement:
        task.run = shared or task.run + 1
        if step.spec.is_gang:
            task.checkpoint = checkpoint
        task.phase = model.Phase.STARTING
        task.worker = worker.spec.worker
        task.is_confirmed = False
        task.first_seen = task.last_seen = None
        task.load, task.percent = 0.0, 100
        task.since_s = state.now_s
        hold(worker, step, task)
        state.commands.append(_start_command(step, task, worker))
    job = step.job
    if not job.has_begun:
        job.has_begun, job.begun_s = True, state.wall_s
    state.note(
        "started",
        job.spec.job,
        occurrence=step.occurrence,
        step=step.number,
        run=placement[0][0].run,
        workers=sorted(f"{task.key.number}:{worker.spec.worker}" for task, worker in placement),
    )
    if job.state is model.JobState.QUEUED:
        job.state = model.JobState.RUNNING
    state.dirty.add(job.spec.job)


def _start_command(step: StepRun, task: Task, worker: Worker) -> model.Start:
    ticket = step.tickets.get(worker.spec.worker)
    text = "" if ticket is None else ticket.text
    return model.Start(worker.spec.worker, task.key, task.run, task.checkpoint, text)


def _gang_checkpoint(step: StepRun) -> str:
    """Return the newest checkpoint of any member; it is valid for all."""
    return max((task.checkpoint for task in step.tasks), key=lambda text: (len(text), text))


def hold(worker: Worker, step: StepRun, task: Task) -> None:
    """Count a task against its worker's room."""
    need = states.need_of(step.spec)
    worker.cpu -= need.cpu
    worker.mem_mb -= need.mem_mb
    worker.gpu -= need.gpu
    worker.tasks[task.key] = task


def _free(worker: Worker, step: StepRun, task: Task) -> None:
    if worker.tasks.pop(task.key, None) is None:
        return
    need = states.need_of(step.spec)
    worker.cpu += need.cpu
    worker.mem_mb += need.mem_mb
    worker.gpu += need.gpu


def stop(state: State, task: Task) -> None:
    """Ask for the stop of a placed task; its room stays taken until its end is known."""
    if task.phase is model.Phase.STOPPING or task.worker is None:
        return
    task.phase = model.Phase.STOPPING
    task.since_s = state.now_s
    state.commands.append(model.Stop(task.worker, task.key, task.run))


def may_miss_more(step: StepRun, missing: int = 0) -> bool:
    """Return whether one more task at work may be stopped.

    :param missing: tasks that are about to be stopped already
    """
    if not step.spec.is_endless:
        return True
    away = sum(not _is_at_work(task) for task in step.tasks)
    return not step.spec.may_miss or away + missing < step.spec.may_miss


def _is_at_work(task: Task) -> bool:
    return (
        task.phase is model.Phase.RUNNING
        and task.last_seen is not None
        and task.last_seen[1] >= WHOLE_PERCENT
    )


def give_up(state: State, command: model.Start) -> None:
    """Stop a run whose start was not answered, with the other members of its gang."""
    task, step = state.task_of(command.key), state.step_of(command.key)
    if task is None or step is None or task.run != command.run or task.worker != command.worker:
        return
    for each in step.placed if step.spec.is_gang else [task]:
        stop(state, each)


def stop_partial(state: State) -> None:
    """Stop the rest of gangs that have lost a member a while ago."""
    for step in state.open.values():
        if not step.spec.is_gang or len(step.waiting) in (0, step.spec.count):
            continue
        if min(state.now_s - task.since_s for task in step.waiting) > PARTIAL_S:
            for task in step.placed:
                stop(state, task)


def confirm(state: State, worker: ids.WorkerId, key: model.TaskKey, run: int) -> None:
    """Note that a worker has a run."""
    task = state.task_of(key)
    if task is None or task.run != run or task.worker != worker or task.is_confirmed:
        return
    task.is_confirmed = True
    if task.phase is model.Phase.STARTING:
        task.phase = model.Phase.RUNNING
        task.since_s = task.moved_s = state.now_s


def end(  # noqa: PLR0917  # the parts of one listed end
    state: State,
    worker: ids.WorkerId,
    key: model.TaskKey,
    run: int,
    how: model.End,
    checkpoint: str = "",
) -> None:
    """Note that a run has ended, or certainly never began."""
    known = state.workers.get(worker)
    if known is not None:
        known.strays.discard((key, run))
    step, task = state.step_of(key), state.task_of(key)
    if step is None or task is None or task.run != run or task.worker != worker:
        return
    if known is not None:
        _free(known, step, task)
        health.note_end(state, known, key.job, how)
        if how is model.End.FAILED:
            step.failed_on.add(known.spec.machine)
    _drop_absent(state, worker, key)
    state.is_changed = True
    task.worker = None
    task.phase = model.Phase.WAITING
    task.since_s = state.now_s
    if checkpoint:
        task.checkpoint = checkpoint
    state.dirty.add(step.job.spec.job)
    _note_end(state, step, task, how, worker)
    retire(state, step.job)


def _drop_absent(state: State, worker: ids.WorkerId, key: model.TaskKey) -> None:
    tasks = state.absent.get(worker)
    if tasks is not None:
        tasks.pop(key, None)
        if not tasks:
            del state.absent[worker]


def _note_end(
    state: State, step: StepRun, task: Task, how: model.End, worker: ids.WorkerId
) -> None:
    if how is not model.End.DONE:
        state.note(
            "run_ended",
            task.key.job,
            task=task.key[1:],
            run=task.run,
            how=how.value,
            worker=worker,
        )
    if how is model.End.DONE and not step.spec.is_endless:
        task.phase = model.Phase.DONE
        if step.spec.is_gang or all(each.phase is model.Phase.DONE for each in step.tasks):
            _finish_step(state, step)
        return
    if step.is_done or step.job.is_final:
        return
    if how is model.End.FAILED:
        _note_failure(state, step, task, worker)
    if step.spec.is_gang and how in _CAUSES_OF_STOP:
        for other in step.placed:
            stop(state, other)
    if not step.job.is_final:
        _reopen(state, step)


def _note_failure(state: State, step: StepRun, task: Task, worker: ids.WorkerId) -> None:
    task.failures += 1
    if step.spec.is_gang and step.failed_run != task.run:
        step.failed_run = task.run
        step.failures += 1
    queue = state.queue_of(step.job)
    if queue is None or step.spec.is_endless:
        return
    failures = step.failures if step.spec.is_gang else task.failures
    if failures >= queue.attempts:
        what = "the gang" if step.spec.is_gang else f"task {task.key.number}"
        reason = f"{what} of step {step.number} failed {failures} times, last on {worker}"
        _finish(state, step.job, model.JobState.FAILED, reason)


def _finish_step(state: State, step: StepRun) -> None:
    step.is_done = True
    job = step.job
    state.open.pop(step.key, None)
    for task in step.tasks:
        if task.phase is model.Phase.WAITING:
            task.phase = model.Phase.DONE
    occurrence = job.occurrences[step.occurrence]
    if job.is_final:
        return
    if not occurrence.is_done:
        open_steps(state, occurrence)
    elif _is_complete(job):
        _finish(state, job, model.JobState.COMPLETED)


def _is_complete(job: Job) -> bool:
    return job.next_occurrence >= job.times and all(
        each.is_done for each in job.occurrences.values()
    )


def _finish(state: State, job: Job, outcome: model.JobState, reason: str = "") -> None:
    job.state = outcome
    job.reason = reason
    state.note("job_ended", job.spec.job, outcome=outcome.value, reason=reason)
    state.dirty.add(job.spec.job)
    for step in job.steps():
        state.open.pop(step.key, None)
        if outcome is not model.JobState.COMPLETED:
            for task in step.placed:
                stop(state, task)
    retire(state, job)


def retire(state: State, job: Job) -> None:
    """Let go of a job that has ended and has nothing placed any more."""
    if not job.is_final or job.spec.job not in state.jobs:
        return
    if any(step.placed for step in job.steps()):
        return
    del state.jobs[job.spec.job]
    state.dirty.discard(job.spec.job)
    state.ended[job.spec.job] = state.now_s
    state.retired.append(job)


def add_worker(state: State, spec: model.WorkerSpec) -> Worker:
    """Take up a life of a worker with the tasks that were placed on it."""
    worker = states.Worker(spec)
    state.workers[spec.worker] = worker
    for task in state.absent.pop(spec.worker, {}).values():
        step = state.step_of(task.key)
        if step is not None:
            hold(worker, step, task)
    return worker


def lose(
    state: State, worker: ids.WorkerId, barred: AbstractSet[tuple[model.TaskKey, int]] = frozenset()
) -> None:
    """Note that nothing runs any more on a life of a worker.

    :param barred: runs that are ended separately
    """
    known = state.workers.get(worker)
    tasks = state.absent.get(worker, {}) if known is None else known.tasks
    for task in list(tasks.values()):
        if (task.key, task.run) not in barred:
            end(state, worker, task.key, task.run, model.End.LOST)
    if known is not None:
        known.strays.clear()
        known.is_ready = False


def remove_worker(
    state: State, worker: ids.WorkerId, barred: AbstractSet[tuple[model.TaskKey, int]] = frozenset()
) -> None:
    """Drop a life of a worker that has ended.

    :param barred: runs that a later life under the same id has to bar first
    """
    lose(state, worker, barred)
    state.workers.pop(worker, None)


def stop_strays(state: State, worker: Worker, running: Iterable[tuple[model.TaskKey, int]]) -> None:
    """Ask for the stop of listed runs that no task accounts for."""
    for key, run in running:
        task = worker.tasks.get(key)
        if task is not None and task.run == run:
            continue
        if (key, run) not in worker.strays:
            worker.strays.add((key, run))
            state.commands.append(model.Stop(worker.spec.worker, key, run))


__all__ = [
    "accept",
    "add_worker",
    "cancel",
    "confirm",
    "end",
    "give_up",
    "hold",
    "lose",
    "may_miss_more",
    "open_due",
    "remove_worker",
    "retire",
    "start",
    "stop",
    "stop_partial",
    "stop_strays",
]
