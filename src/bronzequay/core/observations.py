"""What the forecast learns from the tasks of the state, and what it predicts for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import figures
from bronzequay.core import forecast, speeds

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bronzequay.core import model
    from bronzequay.core.state import State, StepRun, Worker
    from bronzequay.core.tasks import Task


def expect(state: State, step: StepRun, placement: Sequence[tuple[Task, Worker]]) -> None:
    """Set the expected run times of tasks that are about to start on some workers."""
    org, queue = step.job.spec.org, step.job.spec.queue
    teams = [placement] if step.spec.is_gang else [[entry] for entry in placement]
    for team in teams:
        workers = [speeds.traits_of(worker.spec) for _, worker in team]
        racks = {worker.rack for worker in workers}
        slow_down = forecast.slow_down_of(step.spec, racks, state.remote_factor)
        run_time_s = state.forecast.run_time_s(org, queue, step.spec, workers, step.key)
        for task, _ in team:
            task.expected_s = slow_down * run_time_s


def record_progress(state: State, task: Task, percent: float) -> None:
    """Record the progress of a task's run."""
    step = state.step_of(task.key)
    run = None if step is None else _observed_run(state, step, task)
    if run is not None:
        _learn(state, lambda: state.forecast.record_progress(run, state.now_s, percent))


def record_end(state: State, step: StepRun, task: Task, end: model.End) -> None:
    """Record the end of a task's run, while it still counts as placed."""
    run = None if step.is_done else _observed_run(state, step, task)
    if run is not None:
        ended = forecast.EndedRun(run, end, state.now_s)
        _learn(state, lambda: state.forecast.record_end(ended))


def refresh(state: State) -> None:
    """Bring the predictions up to date with what has been recorded."""
    _learn(state, lambda: state.forecast.refresh(state.now_s))


def _learn(state: State, record: Callable[[], None]) -> None:
    """Let the forecast learn; after an unexpected error it starts anew.

    Only the quality of decisions depends on it, so it must not end a term.
    """
    try:
        record()
    except Exception as exc:  # noqa: BLE001
        figures.count("learning_failures")
        state.record_decision("learning_failed", None, error=repr(exc))
        state.forecast = forecast.Forecast()


def _observed_run(state: State, step: StepRun, task: Task) -> forecast.Run | None:
    """Return the run that a task belongs to, with all its members if it is a gang's.

    A gang is observed at its first member alone, since its members run in lockstep.
    """
    if step.spec.is_gang and task.key.number:
        return None
    members = [
        (member, state.workers[member.worker].spec)
        for member in (step.placed_tasks if step.spec.is_gang else (task,))
        if member.worker in state.workers
    ]
    return forecast.run_of(step.job.spec, step.spec, members, state.remote_factor)


__all__ = ["expect", "record_end", "record_progress", "refresh"]
