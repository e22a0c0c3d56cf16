"""Groups of machines of similar speed, found in samples of their slowness.

Slowness is the logarithm of a machine's run time over the usual one, 0 for the usual machine. The
samples of a machine follow a mixture of one normal distribution per group and a broad one for
outliers: runs with a long tail, and machines that are faulty for a while. All samples of a machine
belong to the same group, so noise that does not stay with a machine forms no group.
"""

from __future__ import annotations

import itertools
import math
import operator
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Sequence

LIMIT = 2.4
"""Bound on the absolute slowness; just above that of speeds 0.1 and 10."""
BIN_WIDTH = 0.04
"""Resolution of a sample; well below the spread of run times on one machine, 0.1 to 0.2."""
BINS = 2 * round(LIMIT / BIN_WIDTH) + 1
MIDDLES = tuple(number * BIN_WIDTH - LIMIT for number in range(BINS))
"""Slowness in the middle of each bin."""
OUTLIER_SHARE = 0.08
"""Share of samples that say nothing: 3 of 100 runs take 7 times as long, some machines are
faulty."""
OUTLIER_DENSITY = OUTLIER_SHARE / (2 * LIMIT)
MAX_GROUPS = 3
MIN_MACHINES = 8
"""Machines with samples from which groups are sought."""
MIN_GROUP_MACHINES = 3
MIN_GROUP_SHARE = 0.1
"""Least share of the machines in a group; fewer are single slow machines."""
MIN_GAP = 0.15
"""Least distance of neighbouring groups. Closer ones gain little and are often noise."""
EVEN_FACTOR = 1.2
"""Factor between the fastest and the slowest group below which a fleet is even."""
MIN_EVIDENCE = 6.0
"""Gain of the log-likelihood that each further group needs, beside that of the usual criterion
(BIC): a wrong group changes the placement of all work."""
MIN_SHARE = 0.02
STARTS = ((0.2, 0.8), (0.4, 0.95), (0.05, 0.6), (0.15, 0.5, 0.85), (0.1, 0.4, 0.9))
"""Quantiles of the machines' samples at which the search for groups begins; groups of a tenth to a
half of the machines hold one of them."""
ITERATIONS = 6
"""Most steps of expectation maximisation; it has nearly converged
after 5."""
ITERATIONS_AT_ONCE = 2
"""Steps between two pauses; each takes 0.5 ms with 64 machines."""
CONVERGED = 0.05
"""Gain of the log-likelihood below which it ends; far below ``MIN_EVIDENCE``."""

Sample = tuple[int, float]
"""Bin of a sample and its weight."""


class Groups(NamedTuple):
    """Groups of machines, in order of slowness.

    :param centres: slowness of each group
    :param shares: share of the machines in each group
    :param spread: standard deviation of the samples of one machine
    """

    centres: tuple[float, ...]
    shares: tuple[float, ...]
    spread: float


class Tables(NamedTuple):
    """Densities of samples by group and bin, and the share of the group's density in them."""

    densities: tuple[tuple[float, ...], ...]
    log_densities: tuple[tuple[float, ...], ...]
    inlier_shares: tuple[tuple[float, ...], ...]


def bin_of(slowness: float) -> int:
    """Return the bin of a slowness; values beyond the bounds fall into the outermost bins."""
    return round((max(-LIMIT, min(LIMIT, slowness)) + LIMIT) / BIN_WIDTH)


def tables_of(centres: Sequence[float], spread: float) -> Tables:
    """Return the densities of all bins under groups with the given centres."""
    peak = (1.0 - OUTLIER_SHARE) / (spread * math.sqrt(2.0 * math.pi))
    normal = [
        [peak * math.exp(-0.5 * ((middle - centre) / spread) ** 2) for middle in MIDDLES]
        for centre in centres
    ]
    densities = tuple(tuple(value + OUTLIER_DENSITY for value in row) for row in normal)
    return Tables(
        densities,
        tuple(tuple(math.log(value) for value in row) for row in densities),
        tuple(tuple(value / (value + OUTLIER_DENSITY) for value in row) for row in normal),
    )


def posterior(log_likelihoods: Sequence[float], shares: Sequence[float]) -> tuple[float, ...]:
    """Return the probabilities of the groups, given the evidence for each and their shares."""
    top = max(log_likelihoods)
    weights = [
        share * math.exp(value - top) for share, value in zip(shares, log_likelihoods, strict=True)
    ]
    total = sum(weights)
    return tuple(weight / total for weight in weights)


def search(machines: Sequence[Sequence[Sample]], spread: float) -> Generator[None, None, Groups]:
    """Find the groups that explain the samples of some machines best.

    It pauses after each 1 ms of work with 64 machines, since other work waits.

    :param machines: samples of each machine; machines without samples are left out
    :param spread: standard deviation of the samples of one machine
    """
    medians = sorted(_median(samples) for samples in machines if samples)
    if not medians:
        return Groups((0.0,), (1.0,), spread)
    prepared = [_prepare(samples) for samples in machines if samples]
    best, best_score = yield from _fit(prepared, (medians[len(medians) // 2],), spread)
    if len(medians) < MIN_MACHINES:
        return best
    for starts in STARTS:
        if len(starts) > len(best.centres) + 1:
            break
        centres = tuple(medians[int(share * len(medians))] for share in starts)
        groups, likelihood = yield from _fit(prepared, centres, spread)
        further = len(starts) - 1
        score = likelihood - further * (math.log(len(medians)) + MIN_EVIDENCE)
        if score > best_score and is_plausible(groups, len(medians)):
            best, best_score = groups, score
    return best


def is_plausible(groups: Groups, machine_count: int) -> bool:
    """Return whether groups are large enough and far enough apart to matter."""
    least = max(MIN_GROUP_MACHINES / machine_count, MIN_GROUP_SHARE)
    centres = groups.centres
    gaps = [after - before for before, after in itertools.pairwise(centres)]
    is_uneven = centres[-1] - centres[0] >= math.log(EVEN_FACTOR)
    return is_uneven and min(gaps) >= MIN_GAP and min(groups.shares) >= least


def _median(samples: Sequence[Sample]) -> float:
    numbers = sorted(number for number, _ in samples)
    return MIDDLES[numbers[(len(numbers) - 1) // 2]]


class _Machine(NamedTuple):
    """Samples of a machine in a form that is quick to add up over the bins of a table."""

    pick: Callable[[Sequence[float]], tuple[float, ...]]
    weights: tuple[float, ...]


def _prepare(samples: Sequence[Sample]) -> _Machine:
    numbers = [number for number, _ in samples]
    weights = tuple(weight for _, weight in samples)
    # One bin more than weights, since a single one would not be returned as a tuple.
    return _Machine(operator.itemgetter(*numbers, numbers[0]), weights)


def _evidence(machine: _Machine, rows: Sequence[Sequence[float]]) -> tuple[float, ...]:
    return tuple(sum(map(operator.mul, machine.weights, machine.pick(row))) for row in rows)


def _fit(
    machines: Sequence[_Machine], centres: Sequence[float], spread: float
) -> Generator[None, None, tuple[Groups, float]]:
    """Fit groups by expectation maximisation.

    :param centres: centres to begin with
    :return: the groups and the logarithm of their likelihood
    """
    count = len(centres)
    shares = (1.0 / count,) * count
    likelihood = -math.inf
    for iteration in range(ITERATIONS):
        if iteration % ITERATIONS_AT_ONCE == 0:
            yield
        tables = tables_of(centres, spread)
        evidence = [_evidence(machine, tables.log_densities) for machine in machines]
        members = [posterior(values, shares) for values in evidence]
        before, likelihood = likelihood, sum(_log_mean(values, shares) for values in evidence)
        if likelihood - before < CONVERGED:
            break
        shares = _shares(members)
        centres = _centres(machines, members, tables, centres)
    order = sorted(range(count), key=lambda group: centres[group])
    ordered = Groups(tuple(centres[g] for g in order), tuple(shares[g] for g in order), spread)
    return ordered, likelihood


def log_likelihoods(samples: Sequence[Sample], tables: Tables) -> tuple[float, ...]:
    """Return, for each group, the log-likelihood of a machine's samples."""
    return tuple(
        sum(weight * row[number] for number, weight in samples) for row in tables.log_densities
    )


def _log_mean(values: Sequence[float], shares: Sequence[float]) -> float:
    top = max(values)
    return top + math.log(
        sum(share * math.exp(value - top) for share, value in zip(shares, values, strict=True))
    )


def _shares(members: Sequence[Sequence[float]]) -> tuple[float, ...]:
    raw = [max(MIN_SHARE, sum(column) / len(members)) for column in zip(*members, strict=True)]
    return tuple(share / sum(raw) for share in raw)


def _centres(
    machines: Sequence[_Machine],
    members: Sequence[Sequence[float]],
    tables: Tables,
    centres: Sequence[float],
) -> tuple[float, ...]:
    moved: list[float] = []
    for group, inlier_shares in enumerate(tables.inlier_shares):
        products = [share * middle for share, middle in zip(inlier_shares, MIDDLES, strict=True)]
        total = weights = 0.0
        for machine, probabilities in zip(machines, members, strict=True):
            moment, weight = _evidence(machine, (products, inlier_shares))
            total += probabilities[group] * moment
            weights += probabilities[group] * weight
        moved.append(total / weights if weights > MIN_SHARE else centres[group])
    return tuple(moved)


__all__ = [
    "EVEN_FACTOR",
    "LIMIT",
    "Groups",
    "Sample",
    "Tables",
    "bin_of",
    "is_plausible",
    "log_likelihoods",
    "posterior",
    "search",
    "tables_of",
]
