"""Run times at speed 1, learned by organisation, queue and size of the work.

All statistics are of logarithms. Two values are combined, as ``policy.predict`` does it: the
declared estimate, corrected by its learned error, and the usual run time of such work. Each has the
weight that is optimal if errors and run times are normally distributed. Without samples the
prediction is the declared estimate.
"""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bronzequay import ids
    from bronzequay.core import model

PRIOR_STEPS = 5.0
"""Weight of a coarser class, in steps, when a finer one is corrected by it."""
PRIOR_ERROR = 0.25
"""Assumed standard deviation of a declaration's error, as a logarithm; 20 to 50% was seen."""
MIN_CLASS_STEPS = 4.0
"""Steps from which a finer class corrects the coarser ones: before, both know the same."""
MAX_STEPS = 100.0
"""Steps over which means are taken; older ones decay. The busiest queues have 3 in a second."""
MAX_DEVIATION = 1.0
"""Bound on the deviation that one step contributes: 3 of 100 runs take 7 times as long."""
MAX_ERROR = math.log(1000.0)
"""Bound on the absolute error of a declaration that is believed."""
MIN_VARIANCE = 0.01
"""Least variance: run times of equal tasks differ by a tenth."""
MAX_RATIO_STEPS = 80.0
"""Steps over which distributions are taken; predictions improve fast while speeds are learned."""
MIN_RUN_STEPS = 8.0
"""Steps of a class from which its usual run time is used: a few are often those of one caller."""
MAX_CLASSES = 4_000
"""Classes that are kept, the latest used ones; each takes about 0.5 KB."""
BUCKET_WIDTH = 0.08
"""Width of a bucket of a distribution, in the logarithm: the error of a quantile is 4%."""
MAX_RATIO = 3.0
"""Bound on the logarithm of actual over predicted run time in a distribution; a factor of 20."""
MIN_DISTRIBUTION = 15.0
"""Steps from which the distribution of a class is used in place of that of a coarser one."""
RUN_SPREAD = 0.2
"""Standard deviation of the run times of equal tasks on one machine, with that of its speed."""
SIZE_FACTOR = 4.0
"""Factor between two classes of size, in cores of all tasks of a step."""
CORES_PER_GPU = 8.0
"""Weight of an accelerator, in cores."""

Class = tuple[str, ...]
"""Queue, then organisation, then size, as far as they are distinguished."""


class Moving(msgspec.Struct, array_like=True):
    """Weighted mean and variance of a series in which older values decay."""

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, value: float, weight: float) -> None:
        """Add a value, or as much of it as the bound on deviations allows."""
        self.weight = min(MAX_STEPS, self.weight + weight)
        share = weight / self.weight
        deviation = value - self.mean
        if share < 1.0:
            deviation = max(-MAX_DEVIATION, min(MAX_DEVIATION, deviation))
        self.mean += share * deviation
        self.variance += share * (deviation * deviation * (1.0 - share) - self.variance)


class Distribution(msgspec.Struct, array_like=True):
    """Distribution of actual over predicted run times; older values decay.

    :param buckets: weight by number of the bucket
    """

    total: float = 0.0
    buckets: dict[int, float] = msgspec.field(default_factory=dict)

    def add(self, ratio: float, weight: float) -> None:
        """Add the logarithm of a ratio."""
        number = round(max(-MAX_RATIO, min(MAX_RATIO, ratio)) / BUCKET_WIDTH)
        self.buckets[number] = self.buckets.get(number, 0.0) + weight
        self.total += weight
        if self.total > MAX_RATIO_STEPS:
            self.buckets = {key: value / 2.0 for key, value in self.buckets.items()}
            self.total /= 2.0

    def quantile(self, share: float) -> float:
        """Return the logarithm of the ratio that a share of the values does not exceed."""
        rest = share * self.total
        for number in sorted(self.buckets):
            weight = self.buckets[number]
            if rest <= weight:
                return (number - 0.5 + rest / weight) * BUCKET_WIDTH
            rest -= weight
        return (max(self.buckets, default=0) + 0.5) * BUCKET_WIDTH

    def share_below(self, ratio: float) -> float:
        """Return the share of the values below the logarithm of a ratio."""
        number = ratio / BUCKET_WIDTH
        below = sum(weight for key, weight in self.buckets.items() if key < number)
        return below / self.total if self.total else 0.5


class History(msgspec.Struct):
    """What is kept of one class.

    :param errors: logarithms of run times over declared estimates
    :param runs: logarithms of run times
    :param ratios: run times over their predictions at the start
    """

    errors: Moving = msgspec.field(default_factory=Moving)
    runs: Moving = msgspec.field(default_factory=Moving)
    ratios: Distribution = msgspec.field(default_factory=Distribution)


class Prediction(NamedTuple):
    """Expected logarithm of a run time, and its variance."""

    mean: float
    variance: float


class RunTimes:
    """Learned run times of all classes."""

    def __init__(self) -> None:
        self.histories: dict[Class, History] = {}

    def predict(self, org: ids.OrgId, queue: ids.QueueId, step: model.Step) -> Prediction | None:
        """Return the run time at speed 1; None without an estimate and without samples."""
        error_mean, error_variance = 0.0, PRIOR_ERROR**2
        run = Moving()
        for name in classes_of(org, queue, step):
            history = self.histories.get(name)
            if history is None or (len(name) > 1 and history.runs.weight < MIN_CLASS_STEPS):
                break
            errors, runs = history.errors, history.runs
            share = errors.weight / (errors.weight + PRIOR_STEPS)
            error_mean += share * (errors.mean - error_mean)
            error_variance += share * (errors.variance - error_variance)
            if runs.weight >= MIN_RUN_STEPS:
                share = runs.weight / (runs.weight + PRIOR_STEPS) if run.weight else 1.0
                run.mean += share * (runs.mean - run.mean)
                run.variance += share * (runs.variance - run.variance)
                run.weight = runs.weight
        error_variance = max(MIN_VARIANCE, error_variance)
        if step.estimate_s <= 0.0:
            return Prediction(run.mean, run.variance) if run.weight else None
        declared = math.log(step.estimate_s) + error_mean
        if not run.weight:
            return Prediction(declared, error_variance)
        # The variance of the mean counts too, so that few samples change little.
        run_variance = max(MIN_VARIANCE, run.variance) * (1.0 + PRIOR_STEPS / run.weight)
        weight = run_variance / (run_variance + error_variance)
        mean = weight * declared + (1.0 - weight) * run.mean
        return Prediction(mean, weight * error_variance)

    def record(
        self, org: ids.OrgId, queue: ids.QueueId, step: model.Step, work_s: float, ratio: float
    ) -> None:
        """Add a run.

        The runs of a step together have the weight of one gang, since they share the error of their
        estimate.

        :param work_s: its run time at speed 1, in seconds
        :param ratio: logarithm of its run time over the prediction at its start
        """
        weight = 1.0 if step.is_gang else 1.0 / step.count
        for name in classes_of(org, queue, step):
            history = self._history(name)
            history.runs.add(math.log(work_s), weight)
            if step.estimate_s > 0.0:
                error = math.log(work_s / step.estimate_s)
                history.errors.add(max(-MAX_ERROR, min(MAX_ERROR, error)), weight)
            history.ratios.add(ratio, weight)

    def quantile(self, org: ids.OrgId, queue: ids.QueueId, step: model.Step, share: float) -> float:
        """Return the factor on a prediction that a share of the runs does not exceed.

        While no distribution is known it follows from the usual error of the estimates.
        """
        known = self.distribution(org, queue, step)
        if known is None:
            prediction = self.predict(org, queue, step)
            variance = PRIOR_ERROR**2 if prediction is None else prediction.variance
            return math.exp(math.sqrt(variance + RUN_SPREAD**2) * _normal_quantile(share))
        return math.exp(known.quantile(share))

    def distribution(
        self, org: ids.OrgId, queue: ids.QueueId, step: model.Step
    ) -> Distribution | None:
        """Return the distribution of the finest class with enough steps, None if there is none."""
        for name in reversed(list(classes_of(org, queue, step))):
            history = self.histories.get(name)
            if history is not None and history.ratios.total >= MIN_DISTRIBUTION:
                return history.ratios
        return None

    def _history(self, name: Class) -> History:
        history = self.histories.pop(name, None) or History()
        # The latest used class is the last one.
        self.histories[name] = history
        if len(self.histories) > MAX_CLASSES:
            del self.histories[next(iter(self.histories))]
        return history


def classes_of(org: ids.OrgId, queue: ids.QueueId, step: model.Step) -> Iterator[Class]:
    """Yield the classes that a step belongs to, the coarsest first."""
    yield (queue,)
    yield (queue, org)
    cores = step.count * (step.need.cpu / 1000 + CORES_PER_GPU * step.need.gpu)
    yield (queue, org, str(round(math.log(max(1.0, cores), SIZE_FACTOR))))


def _normal_quantile(share: float) -> float:
    return _STANDARD.inv_cdf(min(0.999, max(0.001, share)))


_STANDARD = statistics.NormalDist()


__all__ = ["Class", "Distribution", "History", "Moving", "Prediction", "RunTimes", "classes_of"]
