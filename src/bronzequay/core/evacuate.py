"""Work that is moved before its worker leaves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import lifecycle, model
from bronzequay.core import state as states

if TYPE_CHECKING:
    from bronzequay.core.state import State, Worker

LINGER_S = 1.0
"""A draining worker usually stays a little longer than it says."""


def leave(state: State, worker: Worker) -> None:
    """Stop what a draining worker will not finish, so that it goes on elsewhere at once."""
    if not worker.is_draining or worker.leaves_s is None:
        return
    left_s = worker.leaves_s - state.now_s + LINGER_S
    for task in list(worker.tasks.values()):
        step = state.step_of(task.key)
        if step is None or task.phase is not model.Phase.RUNNING:
            continue
        if step.spec.is_endless or states.rest_s(step, task, state.now_s) > left_s:
            state.note("moving", task.key.job, task=task.key[1:], worker=task.worker, left_s=left_s)
            for each in step.placed if step.spec.is_gang else [task]:
                lifecycle.stop(state, each)


__all__ = ["leave"]
