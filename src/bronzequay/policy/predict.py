"""Predicted run times: a blend of the declared time and of what finished jobs have shown.

In logarithms, a declaration is the run time plus an error. The mean error is learnt for each
caller; the weight of the declaration against the usual run time is the one that is best when
both are normally distributed: the variance of run times over its sum with that of errors.
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
"""Weight of the assumption that declarations are right, in finished jobs."""
MAX_SAMPLES = 200.0
"""Finished jobs over which a mean is taken; older ones fade."""
MAX_ERROR = math.log(20.0)
"""Largest error, either way, that one job counts for, as a logarithm."""


class Spread(msgspec.Struct):
    """Mean and variance of a number, with older samples fading."""

    samples: float = 0.0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, value: float) -> None:
        """Take in one sample."""
        self.samples = min(MAX_SAMPLES, self.samples + 1)
        change = value - self.mean
        self.mean += change / self.samples
        self.variance += (change * (value - self.mean) - self.variance) / self.samples


class History(msgspec.Struct):
    """What finished jobs have shown.

    :param run: logarithms of run times
    :param error: logarithms of run times over declared times
    :param callers: the same errors by caller
    """

    run: Spread = msgspec.field(default_factory=Spread)
    error: Spread = msgspec.field(default_factory=Spread)
    callers: dict[CallerKey, Spread] = msgspec.field(default_factory=dict)


def learn(history: History, spec: model.JobSpec, ran_s: float) -> None:
    """Take in the run time of a finished job."""
    if spec.declared_s <= 0 or ran_s <= 0:
        return
    error = max(-MAX_ERROR, min(MAX_ERROR, math.log(ran_s / spec.declared_s)))
    history.run.add(math.log(ran_s))
    history.error.add(error)
    history.callers.setdefault((spec.org, spec.caller), Spread()).add(error)


def whole_s(history: History, spec: model.JobSpec) -> float:
    """Return the predicted run time of a job from its start to its end, in seconds."""
    if spec.declared_s <= 0:
        return math.exp(history.run.mean)
    caller = history.callers.get((spec.org, spec.caller), Spread())
    known = caller.samples / (caller.samples + PRIOR_SAMPLES)
    corrected = math.log(spec.declared_s) + known * caller.mean
    total = history.run.variance + history.error.variance
    trust = history.run.variance / total if total else 1.0
    prior = PRIOR_SAMPLES / (history.run.samples + PRIOR_SAMPLES)
    trust = prior + (1.0 - prior) * trust
    return math.exp(trust * corrected + (1.0 - trust) * history.run.mean)


__all__ = ["History", "Spread", "learn", "whole_s"]
