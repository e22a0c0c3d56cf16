"""Admission control: how long a job submitted now waits, and whether it can still end in time.

The prediction assumes that work of higher priority keeps the room that it uses now, and that the
work that waits at the same or a higher priority comes first.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from bronzequay import ids
    from bronzequay.core import model

OVERLOAD_SHARE = 0.8
"""Share of a service's cores or accelerators in use from which work waits for capacity. Below it,
work waits for other reasons, such as a rack or a label, which say nothing about other jobs."""
USABLE_SHARE = 0.8
"""Share of the capacity that running work uses on a crowded fleet; the rest is lost to gaps."""
MIN_FREE_SHARE = 0.1
"""Smallest share of the capacity assumed for a queue, however much work of higher priority runs; it
bounds the predicted wait."""
MIN_WAIT_S = 1.0
"""Shortest predicted wait of an overloaded queue; a shorter one makes hardly any job late."""
PUBLISH_S = 1.0
"""Time between two publications of the predicted waits."""
VALID_S = 3.0
"""Time for which instances act on published waits; two lost publications do not interrupt it."""
MAX_RETRY_AFTER_S = 600
"""Largest ``Retry-After``; a prediction over a longer time means little."""


class Amount(NamedTuple):
    """Cores and accelerators, or their use over time in seconds."""

    cores: float
    gpus: float


class QueueLoad(NamedTuple):
    """Load of the jobs of one queue.

    :param waiting: work of its waiting tasks, in core-seconds and accelerator-seconds
    :param in_use: room that its running tasks take
    """

    queue: model.Queue
    waiting: Amount
    in_use: Amount


def predicted_waits(loads: Sequence[QueueLoad], capacity: Amount) -> dict[ids.QueueId, float]:
    """Return the predicted waits of jobs submitted now, in seconds, for the overloaded queues.

    :param loads: loads of the queues of one service
    :param capacity: capacity of the workers of the service
    """
    waits = {}
    for load in loads:
        wait_s = max(
            _wait_s(load.queue.priority, loads, dimension, total)
            for dimension, total in enumerate(capacity)
        )
        if wait_s >= MIN_WAIT_S:
            waits[load.queue.queue] = wait_s
    return waits


def _wait_s(priority: int, loads: Iterable[QueueLoad], dimension: int, capacity: float) -> float:
    """Return the wait by one of the amounts: cores or accelerators."""
    in_use = sum(load.in_use[dimension] for load in loads)
    if capacity <= 0 or in_use < OVERLOAD_SHARE * capacity:
        return 0.0
    ahead = sum(load.waiting[dimension] for load in loads if load.queue.priority <= priority)
    used_before = sum(load.in_use[dimension] for load in loads if load.queue.priority < priority)
    free = max(MIN_FREE_SHARE * capacity, USABLE_SHARE * capacity - used_before)
    return ahead / free


def is_guaranteed(spec: model.JobSpec, queue: model.Queue, rules: model.Rules) -> bool:
    """Return whether a job may be under the guarantee of its organisation.

    Whether it is depends on the other urgent jobs of the organisation, which instances do not know.
    """
    largest = max(step.count * step.need.gpu for step in spec.steps)
    return queue.priority == 0 and 0 < largest <= rules.guaranteed_gpus.get(spec.org, 0)


def retry_after_s(wait_s: float, run_s: float, late_limit_s: float) -> int | None:
    """Return after how many seconds to submit a job again, None if it can still end in time.

    :param wait_s: predicted wait for its first start
    :param run_s: longest path through its steps
    :param late_limit_s: time after its submission from which it has no value
    """
    if wait_s + run_s <= late_limit_s:
        return None
    return max(1, math.ceil(min(MAX_RETRY_AFTER_S, wait_s)))


__all__ = [
    "PUBLISH_S",
    "VALID_S",
    "Amount",
    "QueueLoad",
    "is_guaranteed",
    "predicted_waits",
    "retry_after_s",
]
