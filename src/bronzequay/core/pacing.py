"""Throttling of filler tasks while serving tasks on the same worker miss their targets.

The percentage of full speed rises by a fixed step and falls by a factor, as in congestion control.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import model

if TYPE_CHECKING:
    from bronzequay.core.state import State, Worker
    from bronzequay.core.tasks import Task

MS_PER_S = 1000.0
INITIAL_PERCENT = 50
"""Speed of fillers beside serving tasks before their effect on these is known."""
BACKOFF_FACTOR = 0.4
"""Factor on the speed at each report while a target is missed; four reports, 0.5 s apart, lead from
full speed to a pause."""
MIN_PERCENT = 5
"""Lowest speed other than 0; below it the fillers are paused."""
INCREASE_PERCENT = 5
"""Increase of the speed at each report in which all serving tasks have headroom."""
HEADROOM_SHARE = 0.8
"""Share of a target below which a response time has headroom."""


def record_load(task: Task, load: float) -> None:
    """Record the load that a worker reports for a run.

    :param load: tail response time in ms of a serving task, else processor use
    """
    task.load = load


def has_fillers_beside_serving(state: State, worker: Worker) -> bool:
    """Return whether filler and serving tasks run side by side on a worker."""
    return bool(_running_fillers(state, worker)) and bool(_latency_ratios(state, worker))


def adjust_filler_speed(state: State, worker: Worker) -> None:
    """Adjust the throttle of a worker's filler tasks to the response times of its serving tasks."""
    fillers = _running_fillers(state, worker)
    if not fillers:
        return
    ratios = _latency_ratios(state, worker)
    if not ratios:
        percent = 100
    elif worker.filler_percent is None:
        percent = INITIAL_PERCENT
    else:
        percent = _next_percent(worker.filler_percent, max(ratios))
    worker.filler_percent = percent if ratios else None
    for task in fillers:
        if task.speed_percent != percent:
            task.speed_percent = percent
            state.commands.append(model.Pace(worker.spec.worker, task.key, task.run, percent))
            state.record_decision(
                "paced", task.key.job, task=task.key[1:], percent=percent, strains=ratios
            )


def _next_percent(percent: int, ratio: float) -> int:
    if ratio > 1.0:
        percent = round(percent * BACKOFF_FACTOR)
        return percent if percent >= MIN_PERCENT else 0
    return min(100, percent + INCREASE_PERCENT) if ratio < HEADROOM_SHARE else percent


def mark_speed_unknown(state: State, command: model.Pace) -> None:
    """Record that a pace order was not confirmed, so that the next adjustment repeats it."""
    task = state.task_of(command.key)
    if task is not None and (task.run, task.speed_percent) == (command.run, command.percent):
        task.speed_percent = None


def _running_fillers(state: State, worker: Worker) -> list[Task]:
    return [task for task in _running_tasks(worker) if _step_spec(state, task).is_filler]


def _latency_ratios(state: State, worker: Worker) -> list[float]:
    """Return the response times of the serving tasks as ratios of their targets."""
    return [
        task.load / MS_PER_S / _step_spec(state, task).target_s
        for task in _running_tasks(worker)
        if _step_spec(state, task).target_s > 0
    ]


def _running_tasks(worker: Worker) -> list[Task]:
    return [task for task in worker.tasks.values() if task.phase is model.Phase.RUNNING]


def _step_spec(state: State, task: Task) -> model.Step:
    step = state.step_of(task.key)
    return model.Step() if step is None else step.spec


__all__ = ["adjust_filler_speed", "has_fillers_beside_serving", "mark_speed_unknown", "record_load"]
