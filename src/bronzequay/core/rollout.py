"""Roll-outs: while the workers of a service are replaced in turn, the older ones leave next.

Long work that starts there is stopped when its worker drains, and a gang with every one of its
members; so it goes to workers that started after the roll-out began first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzequay.core.state import State, StepRun, Worker

MAX_PAUSE_S = 15.0
"""Longest time between two drains of one roll-out; it counts as ended after it."""
MIN_LONG_STEP_S = 4.0
"""Expected run time from which a step is long; shorter ones usually end while their worker
drains."""
START_MARGIN_S = 5.0
"""A new worker starts this long, at most, before the worker that it replaces drains."""


class Rollout:
    """A series of drains of one service's workers.

    :ivar began_s: Unix time of the first drain
    :ivar drained_s: Unix time of the latest drain
    """

    def __init__(self, began_s: float) -> None:
        self.began_s = self.drained_s = began_s


def record_drain(state: State, worker: Worker) -> None:
    """Record that a worker has begun to drain."""
    current = state.rollouts.get(worker.spec.service)
    if current is None or state.wall_s - current.drained_s > MAX_PAUSE_S:
        current = state.rollouts[worker.spec.service] = Rollout(state.wall_s)
    current.drained_s = state.wall_s


def is_leaving_soon(state: State, worker: Worker, step: StepRun) -> bool:
    """Return whether a worker is likely to drain before a step ends on it.

    In a fleet that only shrinks all workers are alike, so that none is preferred.
    """
    current = state.rollouts.get(worker.spec.service)
    if current is None or state.work_s(step) < MIN_LONG_STEP_S:
        return False
    is_over = state.wall_s - current.drained_s > MAX_PAUSE_S
    return not is_over and worker.spec.started_s < current.began_s - START_MARGIN_S


__all__ = ["Rollout", "is_leaving_soon", "record_drain"]
