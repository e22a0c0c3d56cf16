"""Evidence of the speeds of one service's machines, and the estimates that follow from it.

The slowness of a run is the logarithm of its run time over its estimate. The runs of one step
share the error of the estimate, so each step has a baseline that its runs are compared with.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from bronzequay.core import speed_groups

if TYPE_CHECKING:
    from collections.abc import Generator

    from bronzequay import ids
    from bronzequay.core import model
    from bronzequay.core.speeds import WorkerTraits

SAMPLES_PER_MACHINE = 8
"""Latest runs of a machine that count; memory and time of an estimate grow with it."""
DECAY = 0.85
"""Weight of a run relative to the next later one: after four contrary runs the later ones outweigh
the earlier."""
GANGS_PER_MACHINE = 4
"""Latest gangs of a machine that count; each is weaker evidence than a single run."""
RUNS_PER_BASELINE = 24
"""Latest runs of a step that its baseline is estimated from, in 0.3 ms."""
BASELINE_MARKS = (0.15, 0.4, 0.75)
"""Quantiles of the runs of a step, one of which is near the centre of a group."""
BASELINE_SPREAD = 0.35
"""Usual error of an estimate, as a logarithm: 20 to 50%. Larger errors are possible."""
RUN_SPREAD = 0.18
"""Assumed spread of run times on one machine until it has been measured; 0.1 to 0.2 was seen."""
OWN_SAMPLES = 3
"""Samples that agree before a machine gets a speed of its own, outside all groups."""
OWN_GAP = 0.5
"""Distance from all groups from which it does; three times the spread of runs."""
MIN_PROBABILITY = 1e-6
"""Least probability of a group; nothing is certain."""


class Baseline:
    """The common error of the runs of one step.

    :ivar error: logarithm of the usual run time over the estimate
    :ivar runs: machine and slowness of each run, by task and run number
    """

    __slots__ = ("error", "runs")

    def __init__(self) -> None:
        self.error = 0.0
        self.runs: dict[tuple[int, int], tuple[ids.MachineId, float]] = {}

    @property
    def weight(self) -> float:
        """Return how well the runs can be compared: not at all if there is only one."""
        return (len(self.runs) - 1) / (len(self.runs) + 1) if self.runs else 1.0


class Machine:
    """Evidence of one machine.

    :ivar samples: baseline and slowness of its latest runs, by step, task and run
    :ivar gangs: log-likelihood of each group by gang
    :ivar members: probability of each group
    :ivar slowness: expected slowness
    """

    __slots__ = ("gangs", "members", "samples", "slowness", "traits")

    def __init__(self, traits: WorkerTraits) -> None:
        self.traits = traits
        self.samples: dict[tuple[model.StepKey, int, int], tuple[Baseline, float]] = {}
        self.gangs: dict[tuple[model.StepKey, int], tuple[float, ...]] = {}
        self.members: tuple[float, ...] = (1.0,)
        self.slowness = 0.0


class Pool:
    """Machines of one service and the groups that they form.

    :ivar restored: baseline of the samples of an earlier term; it has no runs
    :ivar changed_baselines: steps whose baselines are to be estimated, in that order
    :ivar gangs: machines and slowness of gangs, by step and run
    :ivar trait: trait that explains the speeds of machines, empty if none does
    :ivar trait_slowness: slowness by value of that trait
    :ivar is_changed: whether there are samples since the last search for groups
    :ivar grouped_s: when that was
    :ivar search: the search that is in progress, None if there is none
    """

    def __init__(self) -> None:
        self.machines: dict[ids.MachineId, Machine] = {}
        self.groups = speed_groups.Groups((0.0,), (1.0,), RUN_SPREAD)
        self.tables = self.gang_tables = speed_groups.tables_of(self.groups.centres, RUN_SPREAD)
        self.restored = Baseline()
        self.baselines: dict[model.StepKey, Baseline] = {}
        self.changed_baselines: dict[model.StepKey, None] = {}
        self.gangs: dict[tuple[model.StepKey, int], tuple[tuple[ids.MachineId, ...], float]] = {}
        self.trait = ""
        self.trait_slowness: dict[str, float] = {}
        self.is_changed = False
        self.grouped_s = -math.inf
        self.search: Generator[None, None, speed_groups.Groups] | None = None


def weighted_samples(
    machine: Machine, without: Baseline | None = None
) -> list[speed_groups.Sample]:
    """Return the samples of a machine, the latest with the weight 1.

    :param without: baseline whose runs are left out, so that they do not confirm themselves
    """
    weight = 1.0
    result: list[speed_groups.Sample] = []
    for baseline, slowness in reversed(machine.samples.values()):
        if baseline is not without:
            number = speed_groups.bin_of(slowness - baseline.error)
            result.append((number, weight * baseline.weight))
            weight *= DECAY
    return result


def membership(
    pool: Pool,
    machine: Machine,
    *,
    without: Baseline | None = None,
    without_gang: tuple[model.StepKey, int] | None = None,
) -> tuple[float, ...]:
    """Return the probability of each group for a machine.

    :param without: baseline whose runs are left out
    :param without_gang: gang whose evidence is left out
    """
    shares = pool.groups.shares
    if len(shares) == 1:
        return shares
    evidence = speed_groups.log_likelihoods(weighted_samples(machine, without), pool.tables)
    for gang, message in machine.gangs.items():
        if gang != without_gang and len(message) == len(shares):
            evidence = tuple(a + b for a, b in zip(evidence, message, strict=True))
    return speed_groups.posterior(evidence, shares)


def estimate_slowness(pool: Pool, machine: Machine) -> None:
    """Estimate the slowness of a machine from its groups, or its own if it fits none of them."""
    members = membership(pool, machine)
    centres = pool.groups.centres
    factor = sum(part * math.exp(value) for part, value in zip(members, centres, strict=True))
    machine.slowness = math.log(factor) if len(centres) > 1 else centres[0]
    own = sorted(slowness - baseline.error for baseline, slowness in machine.samples.values())
    if len(own) >= OWN_SAMPLES:
        median = own[len(own) // 2]
        if min(abs(median - centre) for centre in centres) > OWN_GAP:
            machine.slowness = median


def update_gang(pool: Pool, key: tuple[model.StepKey, int]) -> None:
    """Update what a gang, which is as slow as its slowest member, says of each of its machines.

    A fast gang shows that all are fast. A slow one says little, unless all others are known to be
    fast.
    """
    names, slowness = pool.gangs[key]
    machines = [pool.machines[name] for name in names]
    number = speed_groups.bin_of(slowness)
    densities = [row[number] for row in pool.gang_tables.densities]
    groups = range(len(densities))
    cumulated: list[list[float]] = []
    for machine in machines:
        members = membership(pool, machine, without_gang=key)
        cumulated.append([max(MIN_PROBABILITY, sum(members[: group + 1])) for group in groups])
    whole = [math.prod(row[group] for row in cumulated) for group in groups]
    for machine, row in zip(machines, cumulated, strict=True):
        others = [whole[group] / row[group] for group in groups]
        message: list[float] = []
        for group in groups:
            # The slowest is of this group if all others are at most as slow, else of a slower one.
            total = others[group] * densities[group]
            for slower in groups[group + 1 :]:
                total += (others[slower] - others[slower - 1]) * densities[slower]
            message.append(math.log(max(MIN_PROBABILITY, total)))
        machine.gangs[key] = tuple(message)
        while len(machine.gangs) > GANGS_PER_MACHINE:
            del machine.gangs[next(iter(machine.gangs))]


def estimate_baseline(pool: Pool, baseline: Baseline) -> None:
    """Estimate the error of a step's estimate from its runs and what is known of their machines."""
    centres, tables = pool.groups.centres, pool.tables
    runs = list(baseline.runs.values())[-RUNS_PER_BASELINE:]
    known = [
        (membership(pool, pool.machines[machine], without=baseline), slowness)
        for machine, slowness in runs
    ]
    if not known:
        return
    values = sorted(slowness for _, slowness in known)
    marks = {values[int(share * len(values))] for share in BASELINE_MARKS}
    candidates = {mark - centre for mark in marks for centre in centres} | {baseline.error}

    def score(error: float) -> float:
        total = -math.log1p((error / BASELINE_SPREAD) ** 2)
        for members, slowness in known:
            number = speed_groups.bin_of(slowness - error)
            total += math.log(
                sum(
                    share * row[number]
                    for share, row in zip(members, tables.densities, strict=True)
                )
            )
        return total

    error = max(candidates, key=score)
    for _ in range(2):
        total, weights = 0.0, (pool.groups.spread / BASELINE_SPREAD) ** 2
        for members, slowness in known:
            number = speed_groups.bin_of(slowness - error)
            parts = [
                share * row[number] for share, row in zip(members, tables.densities, strict=True)
            ]
            whole = sum(parts)
            for group, part in enumerate(parts):
                weight = part / whole * tables.inlier_shares[group][number]
                total += weight * (slowness - centres[group])
                weights += weight
        error = total / weights
    baseline.error = error


__all__ = [
    "Baseline",
    "Machine",
    "Pool",
    "estimate_baseline",
    "estimate_slowness",
    "membership",
    "update_gang",
    "weighted_samples",
]
