"""Generator of the worker faults of a run."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from bench import trace
from bronzequay import ids

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bronzequay.policy import model

LOSSES_PER_DAY = 4
LOSS_LENGTH_S = (600.0, 2_400.0)
FAILING_LENGTH_S = 3_600.0


class WorkerFault(msgspec.Struct, frozen=True):
    """A worker that is lost, or that fails every start, for some time.

    :param is_lost: True when the worker is lost, False when it fails every start
    """

    worker: ids.WorkerId
    from_s: float
    until_s: float
    is_lost: bool


def generate(
    *, seed: int, workers: Sequence[model.WorkerSpec], span_s: float
) -> tuple[WorkerFault, ...]:
    """Return four losses a day, at least one, and one worker that fails every start.

    :param seed: the same seed gives the same faults
    :param workers: the fleet
    :param span_s: length of the run, in seconds
    """
    rng = random.Random(f"faults-{seed}")
    count = max(1, round(LOSSES_PER_DAY * span_s / trace.DAY_S))
    faults: list[WorkerFault] = []
    for worker in rng.sample(range(len(workers)), count + 1):
        is_lost = len(faults) < count
        from_s = rng.uniform(0, span_s)
        length_s = rng.uniform(*LOSS_LENGTH_S) if is_lost else FAILING_LENGTH_S
        name = workers[worker].worker
        faults.append(WorkerFault(name, from_s, from_s + length_s, is_lost))
    return tuple(faults)


__all__ = ["WorkerFault", "generate"]
