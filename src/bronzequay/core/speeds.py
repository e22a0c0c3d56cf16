"""Speeds of machines, learned from runs of the same step on different machines.

Baselines of steps, the groups of machines (``speed_groups``) and the membership of each machine
(``speed_model``) are estimated in turn.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from bronzequay.core import model, speed_groups, speed_model

if TYPE_CHECKING:
    from collections.abc import Generator, Sequence

    from bronzequay import ids
    from bronzequay.core.speed_model import Machine, Pool

MIN_SPEED, MAX_SPEED = 0.1, 10.0
MAX_MACHINES = 10_000
"""Machines that are remembered in each service; the largest fleet has 3,000 workers."""
MAX_BASELINES = 120
"""Latest steps whose baselines are kept up to date; 176 busy workers run 40 at a time."""
MAX_RUNS = 256
"""Runs of one step that are kept."""
MAX_GANGS = 60
"""Latest gangs that count as evidence."""
UPDATES_PER_REFRESH = 2
"""Baselines that are estimated at once, 0.5 ms each; the next pass may wait for them."""
MAX_SLOWNESS = 10.0
"""Bound on the absolute slowness of a run; one that takes e^10 times its estimate says nothing."""
REFRESH_S = 0.1
"""Time between two updates, so that they take 2% of a core at most."""
MIN_CHANGE = 0.04
"""Change of a run's slowness that matters: its progress is reported in whole percents."""
GROUPING_S = 2.0
"""Time between two searches for groups while the samples are few."""
SETTLED_GROUPING_S = 10.0
"""The same once most machines have several samples, since groups hardly change then."""
SETTLED_SAMPLES = 3
"""Mean number of samples of a machine from which that holds."""
MAX_GROUPED = 64
"""Machines of which the groups are found; further ones do not make them much more certain."""
GROUPED_SAMPLES = 5
"""Latest samples of each that are used; four contrary runs outweigh the earlier ones."""
GANG_SPREAD = 0.25
"""Usual error of an estimate of a gang, 20%, together with the spread of run times."""
MIN_SPREAD, MAX_SPREAD = 0.1, 0.25
"""Bounds on the measured spread of runs on one machine. A smaller one makes groups of noise."""
MIN_PAIRS = 24
"""Pairs of runs on the same machine from which the spread is measured."""
MIN_PAIR_WEIGHT = 0.6
"""Weight of a step's baseline from which its runs are used for that."""
DEVIATION = 1.4826 / math.sqrt(2.0)
"""Standard deviation over the median absolute difference of two normally distributed samples."""
MIN_EXPLAINED = 0.6
"""Share of the variance of the machines' slowness that a trait must explain to be used."""
TRAITS = ("kind", "rack", "data_centre")


class WorkerTraits(NamedTuple):
    """What explains the speed of a worker besides the machine itself."""

    machine: ids.MachineId
    service: ids.ServiceId
    kind: str
    rack: str
    data_centre: ids.DataCentreId


def traits_of(spec: model.WorkerSpec) -> WorkerTraits:
    """Return the traits of a worker."""
    kind = spec.labels[0] if spec.labels else ""
    return WorkerTraits(spec.machine, spec.service, kind, spec.rack, spec.data_centre)


class Speeds:
    """Learned speeds of the machines of all services.

    :ivar pools: what is known of the machines, by service
    """

    def __init__(self) -> None:
        self.pools: dict[ids.ServiceId, Pool] = {}
        self._speeds: dict[tuple[ids.ServiceId, ids.MachineId], float] = {}
        self._changed_gangs: dict[tuple[ids.ServiceId, model.StepKey, int], None] = {}
        self._refreshed_s = -math.inf

    def speed(self, worker: WorkerTraits) -> float:
        """Return the speed of a worker, 1 for the usual one or while nothing is known."""
        key = (worker.service, worker.machine)
        known = self._speeds.get(key)
        if known is None:
            known = self._speeds[key] = self._estimate(worker)
        return known

    def speed_of(self, spec: model.WorkerSpec) -> float:
        """Return the speed of a worker, without building its traits for each call."""
        known = self._speeds.get((spec.service, spec.machine))
        return self.speed(traits_of(spec)) if known is None else known

    def groups(self, service: ids.ServiceId) -> tuple[float, ...]:
        """Return the speeds of the groups of a service's machines, fastest first."""
        pool = self.pools.get(service)
        if pool is None or len(pool.groups.centres) == 1:
            return (1.0,)
        return tuple(_speed(centre) for centre in pool.groups.centres)

    def is_even(self, service: ids.ServiceId) -> bool:
        """Return whether the machines of a service form no groups of different speed."""
        pool = self.pools.get(service)
        return pool is None or len(pool.groups.centres) == 1

    def _estimate(self, worker: WorkerTraits) -> float:
        pool = self.pools.get(worker.service)
        if pool is None:
            return 1.0
        machine = pool.machines.get(worker.machine)
        if machine is not None and (machine.samples or machine.gangs):
            speed_model.estimate_slowness(pool, machine)
            return _speed(machine.slowness)
        if pool.trait:
            return _speed(pool.trait_slowness.get(getattr(worker, pool.trait), 0.0))
        return 1.0

    def record_run(
        self, worker: WorkerTraits, key: model.TaskKey, run: int, slowness: float
    ) -> None:
        """Record how slow a run of a single task is, or replace what was recorded of it.

        :param slowness: logarithm of its run time over the estimate
        """
        if not abs(slowness) <= MAX_SLOWNESS:
            return
        pool = self.pool(worker.service)
        machine = _machine(pool, worker)
        step = model.StepKey(key.job, key.occurrence, key.step)
        baseline = pool.baselines.get(step)
        if baseline is None:
            baseline = pool.baselines[step] = speed_model.Baseline()
            while len(pool.baselines) > MAX_BASELINES:
                del pool.baselines[next(iter(pool.baselines))]
        known = baseline.runs.get((key.number, run))
        if known is not None and abs(known[1] - slowness) < MIN_CHANGE:
            return
        baseline.runs[key.number, run] = (worker.machine, slowness)
        if len(baseline.runs) > MAX_RUNS:
            del baseline.runs[next(iter(baseline.runs))]
        pool.is_changed = True
        pool.changed_baselines[step] = None
        machine.samples[step, key.number, run] = (baseline, slowness)
        while len(machine.samples) > speed_model.SAMPLES_PER_MACHINE:
            del machine.samples[next(iter(machine.samples))]

    def record_gang(
        self, workers: Sequence[WorkerTraits], step: model.StepKey, run: int, slowness: float
    ) -> None:
        """Record how slow a gang is, or replace what was recorded of it.

        :param workers: workers of all its members
        """
        if not workers or not abs(slowness) <= MAX_SLOWNESS:
            return
        service = workers[0].service
        pool = self.pool(service)
        names = tuple(dict.fromkeys(worker.machine for worker in workers))
        for worker in workers:
            _machine(pool, worker)
        known = pool.gangs.get((step, run))
        if known is not None and abs(known[1] - slowness) < MIN_CHANGE:
            return
        pool.gangs[step, run] = (names, slowness)
        while len(pool.gangs) > MAX_GANGS:
            del pool.gangs[next(iter(pool.gangs))]
        self._changed_gangs[service, step, run] = None

    def pool(self, service: ids.ServiceId) -> Pool:
        """Return the pool of a service, an empty one if it has none yet."""
        pool = self.pools.get(service)
        if pool is None:
            pool = self.pools[service] = speed_model.Pool()
        return pool

    def baseline(self, service: ids.ServiceId, step: model.StepKey) -> tuple[float, int] | None:
        """Return the error of a step's estimate, as a logarithm, and the runs that show it."""
        pool = self.pools.get(service)
        baseline = None if pool is None else pool.baselines.get(step)
        return None if baseline is None else (baseline.error, len(baseline.runs))

    def refresh(self, now_s: float) -> None:
        """Bring the speeds up to date with what has been recorded, a part at a time.

        :param now_s: the runtime's clock
        """
        if now_s - self._refreshed_s < REFRESH_S:
            return
        self._refreshed_s = now_s
        for service, pool in self.pools.items():
            self._update_baselines(service, pool)
            if pool.search is not None:
                self._continue_search(service, pool)
                continue
            interval_s = SETTLED_GROUPING_S if _is_settled(pool) else GROUPING_S
            if pool.is_changed and now_s - pool.grouped_s >= interval_s:
                pool.grouped_s = now_s
                pool.is_changed = False
                pool.search = _begin_search(pool)
        if self._changed_gangs:
            key = next(iter(self._changed_gangs))
            del self._changed_gangs[key]
            self._update_gang(*key)

    def forget_estimates(self) -> None:
        """Estimate the speeds anew at their next use, since the pools have been changed."""
        self._speeds.clear()

    def _update_baselines(self, service: ids.ServiceId, pool: Pool) -> None:
        for step in list(pool.changed_baselines)[:UPDATES_PER_REFRESH]:
            del pool.changed_baselines[step]
            baseline = pool.baselines.get(step)
            if baseline is None:
                continue
            speed_model.estimate_baseline(pool, baseline)
            for name, _ in baseline.runs.values():
                self._speeds.pop((service, name), None)

    def _update_gang(self, service: ids.ServiceId, step: model.StepKey, run: int) -> None:
        pool = self.pools[service]
        if (step, run) not in pool.gangs or self.is_even(service):
            return
        speed_model.update_gang(pool, (step, run))
        for name in pool.gangs[step, run][0]:
            self._speeds.pop((service, name), None)

    def _continue_search(self, service: ids.ServiceId, pool: Pool) -> None:
        try:
            if pool.search is not None:
                next(pool.search)
        except StopIteration as end:
            pool.search = None
            self._use_groups(service, pool, end.value)

    def _use_groups(self, service: ids.ServiceId, pool: Pool, found: speed_groups.Groups) -> None:
        """Use groups after scaling them: the mean of the machines' run times is 1."""
        if not any(machine.samples for machine in pool.machines.values()):
            return
        pool.groups = found
        pool.tables = speed_groups.tables_of(found.centres, found.spread)
        for machine in pool.machines.values():
            machine.gangs.clear()
        # The search has seen some of the machines; the shares follow from all.
        members = [
            speed_model.membership(pool, machine)
            for machine in pool.machines.values()
            if machine.samples
        ]
        shares = tuple(sum(column) / len(members) for column in zip(*members, strict=True))
        parts = zip(shares, found.centres, strict=True)
        shift = math.log(sum(share * math.exp(centre) for share, centre in parts))
        # Rounding must not give an even fleet another speed than 1.
        is_even = len(found.centres) == 1
        centres = (0.0,) if is_even else tuple(centre - shift for centre in found.centres)
        pool.groups = speed_groups.Groups(centres, shares, found.spread)
        pool.tables = speed_groups.tables_of(centres, found.spread)
        pool.gang_tables = speed_groups.tables_of(centres, GANG_SPREAD)
        # Machines also hold samples of steps that are no longer kept up to date.
        baselines = {
            id(baseline): baseline
            for machine in pool.machines.values()
            for baseline, _ in machine.samples.values()
        }
        baselines |= {id(baseline): baseline for baseline in pool.baselines.values()}
        for baseline in baselines.values():
            baseline.error += shift
        pool.changed_baselines.update(dict.fromkeys(pool.baselines))
        for step, run in pool.gangs:
            self._changed_gangs[service, step, run] = None
        self._speeds = {key: value for key, value in self._speeds.items() if key[0] != service}
        for machine in pool.machines.values():
            speed_model.estimate_slowness(pool, machine)
        _explain(pool)


def _machine(pool: Pool, worker: WorkerTraits) -> Machine:
    machine = pool.machines.get(worker.machine)
    if machine is None:
        machine = pool.machines[worker.machine] = speed_model.Machine(worker)
        if len(pool.machines) > MAX_MACHINES:
            _forget(pool, next(iter(pool.machines)))
    machine.traits = worker
    return machine


def _forget(pool: Pool, name: ids.MachineId) -> None:
    del pool.machines[name]
    for baseline in pool.baselines.values():
        baseline.runs = {key: run for key, run in baseline.runs.items() if run[0] != name}
    pool.gangs = {key: gang for key, gang in pool.gangs.items() if name not in gang[0]}


def _begin_search(pool: Pool) -> Generator[None, None, speed_groups.Groups]:
    sampled = [machine for machine in pool.machines.values() if machine.samples]
    stride = 1 + len(sampled) // MAX_GROUPED
    samples = [
        speed_model.weighted_samples(machine)[:GROUPED_SAMPLES] for machine in sampled[::stride]
    ]
    return speed_groups.search(samples, _measured_spread(sampled) or pool.groups.spread)


def _is_settled(pool: Pool) -> bool:
    count = sum(len(machine.samples) for machine in pool.machines.values())
    return count >= SETTLED_SAMPLES * len(pool.machines)


def _measured_spread(machines: Sequence[Machine]) -> float | None:
    """Return the spread of runs on one machine, None while too few machines have several runs.

    Groups do not matter for it, since only runs on the same machine are compared.
    """
    differences: list[float] = []
    for machine in machines:
        values = [
            (baseline, slowness - baseline.error)
            for baseline, slowness in machine.samples.values()
            if baseline.weight >= MIN_PAIR_WEIGHT
        ]
        differences += [
            abs(after - before)
            for (earlier, before), (later, after) in itertools.pairwise(values)
            if earlier is not later
        ]
    if len(differences) < MIN_PAIRS:
        return None
    differences.sort()
    return min(MAX_SPREAD, max(MIN_SPREAD, DEVIATION * differences[len(differences) // 2]))


def _explain(pool: Pool) -> None:
    """Find the trait that explains the speeds of machines, for machines without samples."""
    pool.trait, pool.trait_slowness = "", {}
    sampled = [machine for machine in pool.machines.values() if machine.samples]
    if len(pool.groups.centres) == 1 or not sampled:
        return
    mean = sum(machine.slowness for machine in sampled) / len(sampled)
    total = sum((machine.slowness - mean) ** 2 for machine in sampled)
    best = MIN_EXPLAINED
    for trait in TRAITS:
        classes: dict[str, list[float]] = {}
        for machine in sampled:
            classes.setdefault(getattr(machine.traits, trait), []).append(machine.slowness)
        # One machine in each class would explain everything.
        degrees = len(sampled) - len(classes)
        if len(classes) == 1 or degrees <= 0 or not total:
            continue
        means = {value: sum(members) / len(members) for value, members in classes.items()}
        rest = sum((v - means[name]) ** 2 for name, members in classes.items() for v in members)
        explained = 1.0 - rest / total * (len(sampled) - 1) / degrees
        if explained > best:
            best, pool.trait = explained, trait
            pool.trait_slowness = means


def _speed(slowness: float) -> float:
    return min(MAX_SPEED, max(MIN_SPEED, math.exp(-slowness)))


__all__ = ["MAX_SPEED", "MIN_SPEED", "Speeds", "WorkerTraits", "traits_of"]
