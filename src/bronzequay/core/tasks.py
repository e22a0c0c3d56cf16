"""A task of a step: its phase, its current run and the progress that its worker reports."""

from __future__ import annotations

from bronzequay import ids
from bronzequay.core import model

ProgressSample = tuple[float, float]
"""When progress was reported, on the runtime's clock, and the percentage done."""
MIN_RATE_WINDOW_S = 0.5
"""Shortest time between two samples from which a progress rate is computed."""


class Task:
    """One task of a step.

    :ivar run: number of the last run, 0 before the first
    :ivar service: service of the worker that the task is or was last placed on
    :ivar is_confirmed: whether the worker has acknowledged the run
    :ivar is_answered: whether all starts of the run that were sent have been answered
    :ivar is_settled: whether its worker was settled, see ``Worker``, after all had been answered
    :ivar is_whole: whether the run was ordered in this term and without a checkpoint
    :ivar expected_s: run time that was expected at the start of the run, 0 if an earlier term
        ordered it
    :ivar phase_since_s: when the phase began
    :ivar first_sample: first progress report of the current run
    :ivar last_sample: latest progress report of the current run
    :ivar crashes: workers that crashed while the task was on them, or may have
    :ivar confirmed_crashes: those that have certainly crashed and had acknowledged the run
    :ivar fatal_starts: those that crashed as the task started; 0 once a worker has survived a start
    :ivar unsure_crashes: those that may only be unreachable, and whether each is a fatal start
    :ivar progressed_s: when the progress of the current run last increased
    :ivar started_s: when the start of the current run was ordered; the beginning of the term if an
        earlier term ordered it
    :ivar load: tail response time in ms of a serving task, else processor use
    :ivar speed_percent: throttle ordered for the run, None while the worker may not know it
    """

    __slots__ = (
        "checkpoint",
        "confirmed_crashes",
        "crashes",
        "expected_s",
        "failures",
        "fatal_starts",
        "first_sample",
        "is_answered",
        "is_confirmed",
        "is_settled",
        "is_whole",
        "key",
        "last_sample",
        "load",
        "phase",
        "phase_since_s",
        "progressed_s",
        "run",
        "service",
        "speed_percent",
        "started_s",
        "unsure_crashes",
        "worker",
    )

    def __init__(self, key: model.TaskKey) -> None:
        self.key = key
        self.phase = model.Phase.WAITING
        self.run = 0
        self.worker: ids.WorkerId | None = None
        self.service = ids.ServiceId("")
        self.checkpoint = ""
        self.failures = 0
        self.crashes = self.confirmed_crashes = 0
        self.fatal_starts = 0
        self.unsure_crashes: dict[ids.WorkerId, bool] = {}
        self.is_confirmed = self.is_answered = self.is_settled = False
        self.is_whole = False
        self.expected_s = 0.0
        self.phase_since_s = 0.0
        self.first_sample: ProgressSample | None = None
        self.last_sample: ProgressSample | None = None
        self.progressed_s = 0.0
        self.started_s = 0.0
        self.load = 0.0
        self.speed_percent: int | None = 100


def expected_s(step: model.Step, task: Task) -> float:
    """Return the expected run time of a task's run, in seconds; its estimate if none was made."""
    return task.expected_s or step.estimate_s


def progress_rate(task: Task) -> float | None:
    """Return the progress of a run in percent per second, None while there is too little data."""
    first, last = task.first_sample, task.last_sample
    if first is None or last is None or last[0] - first[0] < MIN_RATE_WINDOW_S:
        return None
    return (last[1] - first[1]) / (last[0] - first[0])


__all__ = ["MIN_RATE_WINDOW_S", "ProgressSample", "Task", "expected_s", "progress_rate"]
