"""Health of workers: repeated failures and runs without progress lead to quarantine.

Tasks that fail wherever they run must not take the fleet from others: quarantines hold a share of a
service's workers at most, and a job that has failed on many machines says nothing about another.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import lifecycle, model, observations, tasks

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.core.state import Job, State, StepRun, Worker
    from bronzequay.core.tasks import Task

MAX_FAILED_JOBS = 2
"""Different jobs that fail on a worker, with no success between, before it is quarantined."""
FIRST_QUARANTINE_S = 5.0
"""Length of the first quarantine; it doubles with each further one until a run succeeds."""
MAX_QUARANTINE_S = 40.0
MAX_QUARANTINED_SHARE = 1 / 3
"""Largest share of a service's workers in quarantine at the same time; one worker is allowed."""
FAILS_EVERYWHERE_SHARE = 1 / 4
"""Share of a service's workers on whose machines a job has failed, with no success between, from
which its failures are put down to the job. More than the usual share of faulty workers."""
MIN_FAILED_MACHINES = 3
"""Least number of such machines."""
MIN_STALL_S = 2.0
"""Shortest time without progress that counts as a stall; workers report every second."""
STALL_ESTIMATE_SHARE = 0.1
"""Time without progress after which a run counts as stalled, as a share of its expected
run time."""
FINISHED_PERCENT = 99.0
"""Progress from which a run no longer counts as stalled."""


def record_end(state: State, worker: Worker, job: ids.JobId, end: model.End) -> None:
    """Update the failure records of a worker and of a job with the end of a run."""
    known_job = state.jobs.get(job)
    if end is model.End.DONE:
        worker.failed_jobs.clear()
        worker.quarantine_count = 0
        if known_job is not None:
            known_job.failed_machines.clear()
    elif end is model.End.FAILED:
        if known_job is not None:
            known_job.failed_machines.add(worker.spec.machine)
            if _fails_everywhere(state, known_job, worker.spec.service):
                return
        worker.failed_jobs.add(job)
        if len(worker.failed_jobs) >= MAX_FAILED_JOBS:
            _quarantine(state, worker, "failures")


def _fails_everywhere(state: State, job: Job, service: ids.ServiceId) -> bool:
    count = sum(worker.spec.service == service for worker in state.workers.values())
    limit = max(MIN_FAILED_MACHINES, FAILS_EVERYWHERE_SHARE * count)
    return len(job.failed_machines) > limit


def record_progress(state: State, task: Task, percent: float) -> None:
    """Record the progress that a worker reports for a run."""
    if task.last_sample is None or percent > task.last_sample[1]:
        task.progressed_s = state.now_s
    task.last_sample = (state.now_s, percent)
    if task.first_sample is None and _is_advancing(state, task):
        task.first_sample = task.last_sample
    observations.record_progress(state, task, percent)


def _is_advancing(state: State, task: Task) -> bool:
    """Return whether a run advances: the members of a gang wait for the last one to begin.

    A rate of progress that counts from an earlier report is too low.
    """
    step = state.step_of(task.key)
    if step is None or not step.spec.is_gang:
        return True
    return all(member.phase is model.Phase.RUNNING for member in step.tasks)


def stop_stalled_runs(state: State, worker: Worker) -> None:
    """Stop runs on a worker that make no progress, so that they restart elsewhere.

    The worker is quarantined, unless all members of a gang are stalled.
    """
    for task in list(worker.tasks.values()):
        step = state.step_of(task.key)
        if step is None or not _is_stalled(state, step, task):
            continue
        state.record_decision(
            "run_stalled", task.key.job, task=task.key[1:], worker=worker.spec.worker
        )
        if not _is_gang_stalled(state, step):
            _quarantine(state, worker, "stalled")
        for member in step.placed_tasks if step.spec.is_gang else [task]:
            lifecycle.stop(state, member)


def _is_stalled(state: State, step: StepRun, task: Task) -> bool:
    if task.phase is not model.Phase.RUNNING or step.spec.is_endless or task.last_sample is None:
        return False
    limit_s = max(MIN_STALL_S, STALL_ESTIMATE_SHARE * tasks.expected_s(step.spec, task))
    is_recent = state.now_s - task.last_sample[0] < MIN_STALL_S
    is_finished = task.last_sample[1] >= FINISHED_PERCENT
    return is_recent and not is_finished and state.now_s - task.progressed_s > limit_s


def _is_gang_stalled(state: State, step: StepRun) -> bool:
    """Return whether all members of a gang are stalled, so that no single worker is to blame."""
    return (
        step.spec.is_gang
        and step.spec.count > 1
        and all(_is_stalled(state, step, task) for task in step.placed_tasks)
    )


def _quarantine(state: State, worker: Worker, reason: str) -> None:
    if worker.quarantined_until_s > state.now_s:
        return
    mates = [mate for mate in state.workers.values() if mate.spec.service == worker.spec.service]
    quarantined = sum(mate.quarantined_until_s > state.now_s for mate in mates)
    if quarantined + 1 > max(1, MAX_QUARANTINED_SHARE * len(mates)):
        worker.failed_jobs.clear()
        state.record_decision(
            "worker_not_paused", None, worker=worker.spec.worker, why=reason, paused=quarantined
        )
        return
    pause_s = min(MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2**worker.quarantine_count)
    worker.quarantine_count += 1
    worker.failed_jobs.clear()
    worker.quarantined_until_s = state.now_s + pause_s
    state.record_decision(
        "worker_paused", None, worker=worker.spec.worker, why=reason, pause_s=pause_s
    )


__all__ = ["record_end", "record_progress", "stop_stalled_runs"]
