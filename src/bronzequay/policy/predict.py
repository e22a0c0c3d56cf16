"""Predicted run times, from the declared time and the run times of finished jobs.

In logarithms, a run time is the declaration plus an error. The mean error is estimated for
each caller. The corrected declaration and the mean run time are averaged with the weights
that are optimal if run times and errors are normally distributed: the weight of the
declaration is the variance of run times over the sum of both variances.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids

if TYPE_CHECKING:
    from bronzequay.policy import model

CallerKey = tuple[ids.OrgId, ids.CallerId]

PRIOR_SAMPLES = 5.0
"""Weight of the prior that declarations are correct, in finished jobs."""
MAX_SAMPLES = 200.0
"""Finished jobs over which means are taken; older jobs decay."""
MAX_ERROR = math.log(20.0)
"""Bound on the absolute error that one job contributes, as a logarithm."""


class MovingStats(msgspec.Struct):
    """Mean and variance of a series, in which older samples decay exponentially."""

    samples: float = 0.0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, value: float) -> None:
        """Add a sample."""
        self.samples = min(MAX_SAMPLES, self.samples + 1)
        deviation = value - self.mean
        self.mean += deviation / self.samples
        self.variance += (deviation * (value - self.mean) - self.variance) / self.samples


class History(msgspec.Struct):
    """Statistics of finished jobs.

    :param run: logarithms of run times
    :param error: logarithms of run times over declared times
    :param callers: the same errors by caller
    """

    run: MovingStats = msgspec.field(default_factory=MovingStats)
    error: MovingStats = msgspec.field(default_factory=MovingStats)
    callers: dict[CallerKey, MovingStats] = msgspec.field(default_factory=dict)


def add_finished(history: History, spec: model.JobSpec, ran_s: float) -> None:
    """Add the run time of a finished job, in seconds."""
    if spec.declared_s <= 0 or ran_s <= 0:
        return
    error = max(-MAX_ERROR, min(MAX_ERROR, math.log(ran_s / spec.declared_s)))
    history.run.add(math.log(ran_s))
    history.error.add(error)
    history.callers.setdefault((spec.org, spec.caller), MovingStats()).add(error)


def run_time_s(history: History, spec: model.JobSpec) -> float:
    """Return the predicted total run time of a job, in seconds."""
    if spec.declared_s <= 0:
        return math.exp(history.run.mean)
    caller = history.callers.get((spec.org, spec.caller), MovingStats())
    caller_weight = caller.samples / (caller.samples + PRIOR_SAMPLES)
    corrected = math.log(spec.declared_s) + caller_weight * caller.mean
    total_variance = history.run.variance + history.error.variance
    declared_weight = history.run.variance / total_variance if total_variance else 1.0
    prior_weight = PRIOR_SAMPLES / (history.run.samples + PRIOR_SAMPLES)
    declared_weight = prior_weight + (1.0 - prior_weight) * declared_weight
    return math.exp(declared_weight * corrected + (1.0 - declared_weight) * history.run.mean)


__all__ = ["History", "MovingStats", "add_finished", "run_time_s"]
