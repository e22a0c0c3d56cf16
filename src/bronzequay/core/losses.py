"""Losses of workers: why a worker is gone, and which runs were on it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from bronzequay import figures

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay.core.state import State, Task, Worker

SILENCE_S = 2.0
"""Time since its last listing after which a worker counts as silent; a sound one sends a listing
every 1.6 s at most."""
MAX_LOGGED_RUNS = 10


class Loss(enum.Enum):
    """Why the runs on a worker are lost.

    CRASHED workers have been replaced by another incarnation without notice, LEFT workers after a
    drain and those in UPKEEP by order. The run leases on LAPSED workers have expired, and ABSENT
    workers have not been reached in this term.
    """

    CRASHED = "crashed"
    LEFT = "left"
    UPKEEP = "upkeep"
    LAPSED = "lapsed"
    ABSENT = "absent"


def record(state: State, worker: Worker, loss: Loss) -> None:
    """Log and count the loss of a worker with the runs on it."""
    mates, silent = _rack_mates(state, worker)
    _log_loss(
        state,
        worker.tasks.values(),
        worker=worker.spec.worker,
        why=loss.value,
        silent_s=round(state.now_s - worker.heard_s, 2),
        rack=worker.spec.rack,
        rack_silent=f"{silent} of {mates}",
    )


def record_absent(state: State, worker: str, tasks: Iterable[Task]) -> None:
    """Log and count the loss of a worker that has not joined in this term."""
    _log_loss(state, tasks, worker=worker, why=Loss.ABSENT.value)


def _log_loss(state: State, tasks: Iterable[Task], *, why: str, **inputs: object) -> None:
    runs = [_describe(state, task) for task in tasks]
    figures.count(f'workers_lost{{why="{why}"}}')
    figures.count(f'runs_lost{{why="{why}"}}', len(runs))
    state.record_decision(
        "worker_lost", None, why=why, **inputs, count=len(runs), runs=runs[:MAX_LOGGED_RUNS]
    )


def _describe(state: State, task: Task) -> str:
    """Return a run's task, number, age, and whether its worker had acknowledged and listed it."""
    key = task.key
    age_s = state.now_s - task.started_s
    known = "listed" if task.first_sample else "confirmed" if task.is_confirmed else "unconfirmed"
    return f"{key.job}.{key.occurrence}.{key.step}.{key.number}/{task.run} {age_s:.1f} s {known}"


def _rack_mates(state: State, worker: Worker) -> tuple[int, int]:
    """Return how many other workers its rack has, and how many of these are silent."""
    mates = [
        mate
        for mate in state.workers.values()
        if mate is not worker and mate.spec.rack == worker.spec.rack
    ]
    return len(mates), sum(state.now_s - mate.heard_s > SILENCE_S for mate in mates)


__all__ = ["Loss", "record", "record_absent"]
