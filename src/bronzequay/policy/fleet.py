"""The fleet's free and reclaimable capacity, indexed by rack and data centre.

Every change of a worker updates sums by rack and data centre and the sorted lists of racks,
so that no decision reads the whole fleet.
"""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.policy import cells, model

if TYPE_CHECKING:
    from collections.abc import Iterable

RackKey = tuple[ids.DataCentreId, ids.RackId]
Kind = tuple[int, int, int]
"""Accelerators, cores and memory in GB of a worker."""

FREE = 0
"""First metric of free accelerators: how many cells of each level they could make up."""
OPEN = cells.LEVELS
"""First metric of cells outside every guarantee in use: whole cells of each level."""
CPU_PLAIN = 2 * cells.LEVELS
"""Metric of free cores on workers without accelerators."""
CPU_ANY = CPU_PLAIN + 1
"""Metric of free cores on all workers."""
METRICS = CPU_ANY + 1

_NOTHING = (0,) * METRICS
_NO_CELLS = (0,) * cells.LEVELS


class Hold(msgspec.Struct, frozen=True):
    """What one gang holds on one worker; ``mask`` names devices."""

    mask: int
    cpu: int
    mem_gb: int


class Worker(msgspec.Struct, eq=False):
    """Capacity of a worker and who holds it.

    :param everything: all devices
    :param free: devices that no gang holds
    :param open: devices outside the cells bound to guarantees or held for good
    :param firm: devices held for good by gangs that cannot be reclaimed
    :param cpu: free cores, below 0 when usage proved a declaration wrong
    :param mem_gb: free memory, in GB
    :param is_probing: whether one gang at a time may try the worker after its quarantine
    :param claims: what is kept for gangs that wait until others have stopped
    """

    spec: model.WorkerSpec
    everything: int
    free: int
    open: int
    cpu: int
    mem_gb: int
    firm: int = 0
    is_leaving: bool = False
    is_quarantined: bool = False
    is_probing: bool = False
    gangs: dict[ids.JobId, Hold] = msgspec.field(default_factory=dict)
    claims: dict[ids.JobId, Hold] = msgspec.field(default_factory=dict)
    metrics: tuple[int, ...] = _NOTHING
    open_cells: tuple[int, ...] = _NO_CELLS
    soft_cells: tuple[int, ...] = _NO_CELLS

    @property
    def is_open(self) -> bool:
        """Whether new gangs may start here."""
        return not (self.is_leaving or self.is_quarantined)

    @property
    def has_turn(self) -> bool:
        """Whether a gang may be placed here now."""
        return self.is_open and not (self.is_probing and (self.gangs or self.claims))

    @property
    def rack(self) -> RackKey:
        """The worker's rack, unique in the region."""
        return (self.spec.data_centre, self.spec.rack)


class Group(msgspec.Struct):
    """Sums over the racks of a data centre or of the region.

    :param sums: by metric
    :param order: by metric, ``(sum, rack)`` in ascending order
    """

    sums: list[int] = msgspec.field(default_factory=lambda: [0] * METRICS)
    order: list[list[tuple[int, RackKey]]] = msgspec.field(
        default_factory=lambda: [[] for _ in range(METRICS)]
    )


class Rack(msgspec.Struct):
    """Workers of a rack and their sums by metric."""

    workers: dict[ids.WorkerId, Worker] = msgspec.field(default_factory=dict)
    sums: list[int] = msgspec.field(default_factory=lambda: [0] * METRICS)


class Fleet(msgspec.Struct):
    """All workers of the region.

    :param open_cells: largest open cells by level, over all workers that take new work
    :param kinds: how many workers of each kind each data centre has that are not leaving
    :param soft_cells: largest cells by level that no gang holds for good
    :param all_cells: largest cells by level of all workers that are not leaving
    :param version: changes with the set of workers that are not leaving
    :param freed: counts the changes that may let a waiting gang start
    """

    workers: dict[ids.WorkerId, Worker] = msgspec.field(default_factory=dict)
    racks: dict[RackKey, Rack] = msgspec.field(default_factory=dict)
    centres: dict[ids.DataCentreId, Group] = msgspec.field(default_factory=dict)
    region: Group = msgspec.field(default_factory=Group)
    open_cells: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    soft_cells: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    all_cells: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    kinds: dict[ids.DataCentreId, collections.Counter[Kind]] = msgspec.field(default_factory=dict)
    accelerators: int = 0
    cpu: int = 0
    mem_gb: int = 0
    version: int = 0
    freed: int = 0


def kind(spec: model.WorkerSpec) -> Kind:
    """Return a worker's capacity."""
    return (spec.accelerators, spec.cpu, spec.mem_gb)


def add(fleet: Fleet, spec: model.WorkerSpec) -> Worker:
    """Add an empty worker."""
    everything = (1 << spec.accelerators) - 1
    worker = Worker(spec, everything, everything, everything, spec.cpu, spec.mem_gb)
    fleet.workers[spec.worker] = worker
    if worker.rack not in fleet.racks:
        _add_rack(fleet, worker.rack)
    fleet.racks[worker.rack].workers[spec.worker] = worker
    _count(fleet, worker, 1)
    refresh(fleet, worker)
    fleet.freed += 1
    return worker


def remove(fleet: Fleet, worker: Worker) -> None:
    """Remove a worker; what gangs hold on it is gone."""
    set_leaving(fleet, worker, is_leaving=True)
    del fleet.workers[worker.spec.worker]
    rack = fleet.racks[worker.rack]
    del rack.workers[worker.spec.worker]
    if not rack.workers:
        _drop_rack(fleet, worker.rack)


def set_leaving(fleet: Fleet, worker: Worker, *, is_leaving: bool) -> None:
    """Stop or resume giving new work to a worker."""
    if worker.is_leaving == is_leaving:
        return
    worker.is_leaving = is_leaving
    _count(fleet, worker, -1 if is_leaving else 1)
    refresh(fleet, worker)
    fleet.freed += 1


def set_quarantined(
    fleet: Fleet, worker: Worker, *, is_quarantined: bool, is_probing: bool = False
) -> None:
    """Put a worker into quarantine or take it out."""
    worker.is_quarantined = is_quarantined
    worker.is_probing = is_probing
    refresh(fleet, worker)
    fleet.freed += 1


def _add_rack(fleet: Fleet, key: RackKey) -> None:
    fleet.racks[key] = Rack()
    centre = fleet.centres.setdefault(key[0], Group())
    for group in (centre, fleet.region):
        for order in group.order:
            bisect.insort(order, (0, key))


def _drop_rack(fleet: Fleet, key: RackKey) -> None:
    rack = fleet.racks.pop(key)
    for group in (fleet.centres[key[0]], fleet.region):
        for metric, order in enumerate(group.order):
            order.pop(bisect.bisect_left(order, (rack.sums[metric], key)))


def _count(fleet: Fleet, worker: Worker, sign: int) -> None:
    spec = worker.spec
    fleet.version += 1
    fleet.accelerators += sign * spec.accelerators
    fleet.cpu += sign * spec.cpu
    fleet.mem_gb += sign * spec.mem_gb
    counts = fleet.kinds.setdefault(spec.data_centre, collections.Counter())
    counts[kind(spec)] += sign
    if not counts[kind(spec)]:
        del counts[kind(spec)]
    for at_level, number in enumerate(cells.histogram(worker.everything)):
        fleet.all_cells[at_level] += sign * number


def refresh(fleet: Fleet, worker: Worker) -> None:
    """Bring the indexes up to date after a change of a worker."""
    new = _measure(worker)
    old = worker.metrics
    if new != old:
        worker.metrics = new
        _update_rack(fleet, worker.rack, old, new)
    open_cells = cells.histogram(worker.open) if worker.is_open else _NO_CELLS
    for at_level, number in enumerate(open_cells):
        fleet.open_cells[at_level] += number - worker.open_cells[at_level]
    worker.open_cells = open_cells
    soft_cells = (
        _NO_CELLS if worker.is_leaving else cells.histogram(worker.everything & ~worker.firm)
    )
    for at_level, number in enumerate(soft_cells):
        fleet.soft_cells[at_level] += number - worker.soft_cells[at_level]
    worker.soft_cells = soft_cells


def usable(worker: Worker) -> int:
    """Return the devices that are free and kept for nobody."""
    mask = worker.free
    for hold in worker.claims.values():
        mask &= ~hold.mask
    return mask


def spare_cpu(worker: Worker) -> int:
    """Return the cores that are free and kept for nobody."""
    return worker.cpu - sum(hold.cpu for hold in worker.claims.values())


def spare_mem_gb(worker: Worker) -> int:
    """Return the memory that is free and kept for nobody, in GB."""
    return worker.mem_gb - sum(hold.mem_gb for hold in worker.claims.values())


def _measure(worker: Worker) -> tuple[int, ...]:
    if not worker.has_turn:
        return _NOTHING
    count = usable(worker).bit_count()
    free = [count >> at_level for at_level in range(cells.LEVELS)]
    whole = [len(cells.inside(worker.open, at_level)) for at_level in range(cells.LEVELS)]
    spare = max(0, spare_cpu(worker))
    plain = 0 if worker.everything else spare
    return (*free, *whole, plain, spare)


def _update_rack(fleet: Fleet, key: RackKey, old: tuple[int, ...], new: tuple[int, ...]) -> None:
    sums = fleet.racks[key].sums
    centre = fleet.centres[key[0]]
    for metric, value in enumerate(new):
        change = value - old[metric]
        if not change:
            continue
        before = (sums[metric], key)
        sums[metric] += change
        for group in (centre, fleet.region):
            group.sums[metric] += change
            order = group.order[metric]
            order.pop(bisect.bisect_left(order, before))
            bisect.insort(order, (sums[metric], key))


def hold(fleet: Fleet, job: ids.JobId, parts: Iterable[tuple[ids.WorkerId, Hold]]) -> None:
    """Give a gang its devices, cores and memory."""
    for name, part in parts:
        worker = fleet.workers.get(name)
        if worker is None:
            continue
        worker.gangs[job] = part
        worker.free &= ~part.mask
        worker.cpu -= part.cpu
        worker.mem_gb -= part.mem_gb
        refresh(fleet, worker)


def resize(fleet: Fleet, job: ids.JobId, parts: Iterable[tuple[ids.WorkerId, Hold]]) -> None:
    """Change the cores and memory that a gang holds, even beyond what is free."""
    for name, part in parts:
        worker = fleet.workers.get(name)
        old = worker.gangs.get(job) if worker else None
        if worker is None or old is None:
            continue
        worker.gangs[job] = part
        worker.cpu += old.cpu - part.cpu
        worker.mem_gb += old.mem_gb - part.mem_gb
        refresh(fleet, worker)


def release(fleet: Fleet, job: ids.JobId, names: Iterable[ids.WorkerId]) -> None:
    """Take back what a gang holds."""
    for name in names:
        worker = fleet.workers.get(name)
        part = worker.gangs.pop(job, None) if worker else None
        if worker is None or part is None:
            continue
        worker.free |= part.mask
        worker.cpu += part.cpu
        worker.mem_gb += part.mem_gb
        refresh(fleet, worker)
    fleet.freed += 1


def claim(fleet: Fleet, job: ids.JobId, parts: Iterable[tuple[ids.WorkerId, Hold]]) -> None:
    """Keep devices, cores and memory for a gang that waits until others have stopped."""
    for name, part in parts:
        worker = fleet.workers[name]
        worker.claims[job] = part
        refresh(fleet, worker)


def unclaim(fleet: Fleet, job: ids.JobId, names: Iterable[ids.WorkerId]) -> None:
    """Give up what was kept for a gang."""
    for name in names:
        worker = fleet.workers.get(name)
        if worker is not None and job in worker.claims:
            del worker.claims[job]
            refresh(fleet, worker)
    fleet.freed += 1


__all__ = [
    "CPU_ANY",
    "CPU_PLAIN",
    "FREE",
    "OPEN",
    "Fleet",
    "Group",
    "Hold",
    "Kind",
    "Rack",
    "RackKey",
    "Worker",
    "add",
    "claim",
    "hold",
    "kind",
    "refresh",
    "release",
    "remove",
    "resize",
    "set_leaving",
    "set_quarantined",
    "spare_cpu",
    "spare_mem_gb",
    "unclaim",
    "usable",
]
