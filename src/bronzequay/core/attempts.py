"""Attempts: failed runs of a task, or of a gang, after which its job fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import lifecycle, model

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.core.state import State, StepRun
    from bronzequay.core.tasks import Task


def record_failure(state: State, step: StepRun, task: Task, worker: ids.WorkerId) -> None:
    """Count a failed run, once for a gang, and fail the job after its last attempt.

    A job whose queue the configuration does not name is judged once the queue is back.
    """
    task.failures += 1
    if step.spec.is_gang and step.failed_run != task.run:
        step.failed_run = task.run
        step.failures += 1
    if state.queue_of(step.job) is None:
        state.unjudged_steps.add(step.key)
    subject = "the gang" if step.spec.is_gang else f"task {task.key.number}"
    failures = step.failures if step.spec.is_gang else task.failures
    _fail_if_exhausted(state, step, failures, f"{subject} of step {step.number}", worker)


def judge(state: State) -> None:
    """Fail the jobs whose last attempts failed while their queues were removed."""
    for key in list(state.unjudged_steps):
        step = state.step_of(key)
        if step is not None and state.queue_of(step.job) is None:
            continue
        state.unjudged_steps.discard(key)
        if step is None or step.is_done or step.job.is_final:
            continue
        failures = max([step.failures] if step.spec.is_gang else [t.failures for t in step.tasks])
        _fail_if_exhausted(state, step, failures, f"step {step.number}", None)


def _fail_if_exhausted(
    state: State, step: StepRun, failures: int, subject: str, worker: ids.WorkerId | None
) -> None:
    queue = state.queue_of(step.job)
    if queue is None or step.spec.is_endless or failures < queue.attempts:
        return
    last = "" if worker is None else f", last on {worker}"
    reason = f"{subject} failed {failures} times{last}"
    lifecycle.end_job(state, step.job, model.JobState.FAILED, reason)


__all__ = ["judge", "record_failure"]
