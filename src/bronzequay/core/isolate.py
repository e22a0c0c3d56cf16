"""Starts of suspects, tasks whose workers crashed as they started, apart from other tasks.

While a suspect starts, no task of another step starts on its worker, so that a crash can only be
due to the suspect's step. A step has its suspects started on one worker at a time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import model

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay.core.state import State, StepRun, Worker
    from bronzequay.core.tasks import Task

START_S = 1.0
"""Run time from which a crash of the worker is no longer put down to the start of a task."""
MAX_WAIT_S = 1.5
"""Longest time for which a task waits for a worker on which it can start apart."""
_STARTABLE_PHASES = frozenset({model.Phase.STARTING, model.Phase.RUNNING})


def is_past_start(task: Task) -> bool:
    """Return whether its worker has listed a run after it had run for a while."""
    return task.last_sample is not None and task.last_sample[0] - task.started_s >= START_S


def has_suspects(state: State, step: StepRun) -> bool:
    """Return whether a step has tasks that are suspects and not done."""
    return step.key in state.suspect_steps


def may_start_on(worker: Worker, step: StepRun, *, is_suspect: bool) -> bool:
    """Return whether a task can start on a worker with no suspect among other starting tasks.

    :param is_suspect: whether the task is a suspect, or belongs to a gang that has one
    """
    own = step.key
    for task in worker.tasks.values():
        if task.phase not in _STARTABLE_PHASES or is_past_start(task):
            continue
        is_own = task.key[:3] == own
        if task.fatal_starts and not (is_suspect and is_own):
            return False
        if is_suspect and not is_own:
            return False
    return True


def is_suspect_starting(step: StepRun) -> bool:
    """Return whether a suspect of a step has been placed and is not past its start."""
    return any(
        task.fatal_starts and task.phase in _STARTABLE_PHASES and not is_past_start(task)
        for task in step.tasks
    )


def may_wait(state: State, step: StepRun, task: Task) -> bool:
    """Return whether a task has not waited too long for a start apart from others."""
    since_s = max(task.phase_since_s, step.ready_s or 0.0)
    return state.now_s - since_s < MAX_WAIT_S


def must_start_apart(state: State, step: StepRun, tasks: Iterable[Task]) -> bool:
    """Return whether tasks of a step may start only on workers that ``may_start_on`` allows."""
    return bool(state.suspect_steps) and any(may_wait(state, step, task) for task in tasks)


def waits_apart(state: State, step: StepRun) -> bool:
    """Return whether a step with suspects waits for workers of their own; it reserves no room."""
    return has_suspects(state, step) and any(
        may_wait(state, step, task) for task in step.waiting_tasks
    )


def drop_cleared_steps(state: State) -> None:
    """Drop the steps that no longer have suspects."""
    for key in list(state.suspect_steps):
        step = state.step_of(key)
        if (
            step is None
            or step.is_done
            or step.job.is_final
            or not any(
                task.fatal_starts and task.phase is not model.Phase.DONE for task in step.tasks
            )
        ):
            state.suspect_steps.discard(key)


__all__ = [
    "drop_cleared_steps",
    "has_suspects",
    "is_past_start",
    "is_suspect_starting",
    "may_start_on",
    "may_wait",
    "must_start_apart",
    "waits_apart",
]
