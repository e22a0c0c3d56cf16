"""Filling tasks are slowed down while serving tasks beside them answer too slowly."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import model

if TYPE_CHECKING:
    from bronzequay.core.state import State, Task, Worker

MS_PER_S = 1000.0
FIRST_PERCENT = 50
"""Share at which filling tasks begin beside serving tasks whose reaction is not known."""
BACK_OFF = 0.4
"""Factor while a target is missed; four listings of 0.5 s lead from full speed to a stop."""
LEAST_PERCENT = 5
"""A smaller share is a stop."""
RISE_PERCENT = 5
"""Rise of the share with each listing on which all targets are met with room to spare."""
SPARE = 0.8
"""Share of a target up to which there is room to spare."""


def note_load(task: Task, load: float) -> None:
    """Note the load that a worker lists for a run.

    :param load: tail of response times in ms of a serving task, else cpu in use
    """
    task.load = load


def is_shared(state: State, worker: Worker) -> bool:
    """Return whether filling and serving tasks work side by side on a worker."""
    return bool(_fillers(state, worker)) and bool(_strains(state, worker))


def steer(state: State, worker: Worker) -> None:
    """Set the share of speed of a worker's filling tasks by how its serving tasks fare."""
    fillers = _fillers(state, worker)
    if not fillers:
        return
    strains = _strains(state, worker)
    if not strains:
        percent = 100
    elif worker.fill_percent is None:
        percent = FIRST_PERCENT
    else:
        percent = _next(worker.fill_percent, max(strains))
    worker.fill_percent = percent if strains else None
    for task in fillers:
        if task.percent != percent:
            task.percent = percent
            state.commands.append(model.Pace(worker.spec.worker, task.key, task.run, percent))
            state.note("paced", task.key.job, task=task.key[1:], percent=percent, strains=strains)


def _next(percent: int, strain: float) -> int:
    if strain > 1.0:
        percent = round(percent * BACK_OFF)
        return percent if percent >= LEAST_PERCENT else 0
    return min(100, percent + RISE_PERCENT) if strain < SPARE else percent


def note_unpaced(state: State, command: model.Pace) -> None:
    """Have an order sent again that was not answered."""
    task = state.task_of(command.key)
    if task is not None and (task.run, task.percent) == (command.run, command.percent):
        task.percent = None


def _fillers(state: State, worker: Worker) -> list[Task]:
    return [task for task in _running(worker) if _spec(state, task).is_filler]


def _strains(state: State, worker: Worker) -> list[float]:
    """Return the serving tasks' tails of response times as shares of their targets."""
    return [
        task.load / MS_PER_S / _spec(state, task).target_s
        for task in _running(worker)
        if _spec(state, task).target_s > 0
    ]


def _running(worker: Worker) -> list[Task]:
    return [task for task in worker.tasks.values() if task.phase is model.Phase.RUNNING]


def _spec(state: State, task: Task) -> model.Step:
    step = state.step_of(task.key)
    return model.Step() if step is None else step.spec


__all__ = ["is_shared", "note_load", "note_unpaced", "steer"]
