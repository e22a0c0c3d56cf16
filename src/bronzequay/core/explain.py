"""Why a job is where it is, in one sentence for people."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import advice, order, place
from bronzequay.core import state as states

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.core.state import Job, State, StepRun


def why(state: State, name: ids.JobId) -> str | None:
    """Tell what a job waits for or does; None when it is not open."""
    job = state.jobs.get(name)
    if job is None:
        return None
    if job.is_final:
        return f"{job.state.value}: {job.reason or 'done'}; its last tasks are being stopped"
    waiting = [step for step in state.open.values() if step.job is job and step.waiting]
    if waiting:
        return _why_waiting(state, waiting[0])
    placed = sum(len(step.placed) for step in job.steps())
    if placed:
        return f"{placed} tasks are at work"
    return f"occurrence {job.next_occurrence} is not due yet"


def _why_waiting(state: State, step: StepRun) -> str:
    job = step.job
    queue = state.queue_of(job)
    if queue is None:
        return f"queue {job.spec.queue} is not in the configuration (version {state.rules.version})"
    view = place.View(state)
    need = states.need_of(step.spec)
    fitting = view.fitting(step)
    allowed = [
        worker for worker in fitting if not queue.has_advice or advice.may_run(state, step, worker)
    ]
    free = sum(
        view.room(worker, float("inf")).fits(need, place.most_on(worker, step))
        for worker in allowed
    )
    wanted = f"{need.gpu} accelerators, {need.cpu / 1000:g} cores and {need.mem_mb} MB each"
    parts = [
        f"step {step.number}: {len(step.waiting)} of {step.spec.count} tasks wait for {wanted}",
        f"{free} such places are free on {len(allowed)} workers",
    ]
    if step.spec.is_gang:
        parts.append("all have to start at once")
    if step.failures or any(task.failures for task in step.tasks):
        parts.append(f"{failures(job)} runs have failed")
    claim = state.claims.get(step.key)
    if claim is not None:
        how = "is being freed" if claim.is_freed else "is expected to become free"
        parts.append(f"room on {len(claim.slots)} workers {how}")
    parts.append(f"{_ahead(state, step)} steps come before it")
    return "; ".join(parts)


def _ahead(state: State, step: StepRun) -> int:
    guaranteed = order.guaranteed_jobs(state)
    own = order.rank(state, step, guaranteed)
    return sum(order.rank(state, other, guaranteed) < own for other in state.open.values())


def failures(job: Job) -> int:
    """Return how many runs of a job have ended as failed."""
    return sum(
        step.failures if step.spec.is_gang else sum(task.failures for task in step.tasks)
        for step in job.steps()
    )


__all__ = ["failures", "why"]
