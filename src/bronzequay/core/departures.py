"""Stops of work on workers that are about to leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import lifecycle, model
from bronzequay.core import state as states

if TYPE_CHECKING:
    from bronzequay.core.state import State, Worker

DEPARTURE_GRACE_S = 1.0
"""Draining workers usually stay this much longer than announced."""


def stop_unfinishable_runs(state: State, worker: Worker) -> None:
    """Stop runs that would not end before their worker leaves, so that they restart elsewhere.

    A gang is stopped as a whole, also its members on other workers.
    """
    if not worker.is_draining or worker.departure_s is None:
        return
    left_s = worker.departure_s - state.now_s + DEPARTURE_GRACE_S
    for task in list(worker.tasks.values()):
        step = state.step_of(task.key)
        if step is None or task.phase is not model.Phase.RUNNING:
            continue
        if step.spec.is_endless or states.remaining_s(step, task, state.now_s) > left_s:
            state.record_decision(
                "moving", task.key.job, task=task.key[1:], worker=task.worker, left_s=left_s
            )
            for member in step.placed_tasks if step.spec.is_gang else [task]:
                lifecycle.stop(state, member)


__all__ = ["stop_unfinishable_runs"]
