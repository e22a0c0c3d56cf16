"""Free and reclaimable capacity of the fleet, indexed by rack and data centre.

Every change of a worker updates the sums by rack and data centre and the sorted lists of
racks, so that no decision scans the whole fleet.
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
Capacity = tuple[int, int, int]
"""Accelerators, cores and memory in GB, of a worker or of its free part."""

FREE_METRIC = 0
"""First metric of free accelerators: for each level, their number divided by the cell size."""
OPEN_METRIC = cells.LEVELS
"""First metric of open devices: the number of cells of each level that lie within them."""
CPU_ONLY_METRIC = 2 * cells.LEVELS
"""Metric of free cores on workers without accelerators."""
CPU_METRIC = CPU_ONLY_METRIC + 1
"""Metric of free cores on all workers."""
METRIC_COUNT = CPU_METRIC + 1

_ZERO_METRICS = (0,) * METRIC_COUNT
_NO_CELLS = (0,) * cells.LEVELS


class Allocation(msgspec.Struct, frozen=True):
    """Devices, cores and memory of one worker that are allocated to one gang."""

    mask: int
    cpu: int
    mem_gb: int


class Worker(msgspec.Struct, eq=False):
    """Capacity of a worker and the gangs that it is allocated to; devices are given as masks.

    :param all_devices: all devices
    :param free_devices: devices that are allocated to no gang
    :param open_devices: devices outside the cells that gangs have bound
    :param pinned_devices: devices of gangs that cannot be reclaimed
    :param cpu: free cores, below 0 if gangs use more than they declared
    :param mem_gb: free memory, in GB, below 0 likewise
    :param is_probing: whether the worker is on probation after a quarantine: it gets one gang
        at a time
    :param reservations: capacity reserved for gangs that wait until others have stopped
    :param metrics: sizes by which racks are ordered, from ``FREE_METRIC`` to ``CPU_METRIC``
    :param open_cells: largest cells by level within the open devices
    :param unpinned_cells: largest cells by level outside the pinned devices
    """

    spec: model.WorkerSpec
    all_devices: int
    free_devices: int
    open_devices: int
    cpu: int
    mem_gb: int
    pinned_devices: int = 0
    is_leaving: bool = False
    is_quarantined: bool = False
    is_probing: bool = False
    gangs: dict[ids.JobId, Allocation] = msgspec.field(default_factory=dict)
    reservations: dict[ids.JobId, Allocation] = msgspec.field(default_factory=dict)
    metrics: tuple[int, ...] = _ZERO_METRICS
    open_cells: tuple[int, ...] = _NO_CELLS
    unpinned_cells: tuple[int, ...] = _NO_CELLS

    @property
    def is_schedulable(self) -> bool:
        """Whether the worker is neither leaving nor quarantined."""
        return not (self.is_leaving or self.is_quarantined)

    @property
    def is_placeable(self) -> bool:
        """Whether a gang may be placed here now; a worker on probation must be empty."""
        return self.is_schedulable and not (self.is_probing and (self.gangs or self.reservations))

    @property
    def rack(self) -> RackKey:
        """Key of the worker's rack, unique in the region."""
        return (self.spec.data_centre, self.spec.rack)


class RackIndex(msgspec.Struct):
    """Metrics of the racks of a data centre or of the region.

    :param sums: sum over all racks, by metric
    :param racks_by_sum: ``(sum, rack)`` in ascending order, by metric
    """

    sums: list[int] = msgspec.field(default_factory=lambda: [0] * METRIC_COUNT)
    racks_by_sum: list[list[tuple[int, RackKey]]] = msgspec.field(
        default_factory=lambda: [[] for _ in range(METRIC_COUNT)]
    )


class Rack(msgspec.Struct):
    """Workers of a rack and the sums of their metrics."""

    workers: dict[ids.WorkerId, Worker] = msgspec.field(default_factory=dict)
    sums: list[int] = msgspec.field(default_factory=lambda: [0] * METRIC_COUNT)


class Fleet(msgspec.Struct):
    """All workers of the region.

    :param open_cells: largest open cells by level, over all schedulable workers
    :param unpinned_cells: largest cells by level outside pinned devices, over all workers that
        are not leaving
    :param all_cells: largest cells by level of all workers that are not leaving
    :param capacity_counts: number of workers that are not leaving, by data centre and capacity
    :param accelerators: accelerators of all workers that are not leaving; likewise ``cpu`` and
        ``mem_gb``
    :param membership_version: incremented when the set of workers that are not leaving changes
    :param capacity_version: incremented by each change after which a waiting gang may fit
    """

    workers: dict[ids.WorkerId, Worker] = msgspec.field(default_factory=dict)
    racks: dict[RackKey, Rack] = msgspec.field(default_factory=dict)
    centres: dict[ids.DataCentreId, RackIndex] = msgspec.field(default_factory=dict)
    region: RackIndex = msgspec.field(default_factory=RackIndex)
    open_cells: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    unpinned_cells: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    all_cells: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    capacity_counts: dict[ids.DataCentreId, collections.Counter[Capacity]] = msgspec.field(
        default_factory=dict
    )
    accelerators: int = 0
    cpu: int = 0
    mem_gb: int = 0
    membership_version: int = 0
    capacity_version: int = 0


def capacity(spec: model.WorkerSpec) -> Capacity:
    """Return the capacity of an empty worker."""
    return (spec.accelerators, spec.cpu, spec.mem_gb)


def add(fleet: Fleet, spec: model.WorkerSpec) -> Worker:
    """Add an empty worker."""
    all_devices = (1 << spec.accelerators) - 1
    worker = Worker(spec, all_devices, all_devices, all_devices, spec.cpu, spec.mem_gb)
    fleet.workers[spec.worker] = worker
    if worker.rack not in fleet.racks:
        _add_rack(fleet, worker.rack)
    fleet.racks[worker.rack].workers[spec.worker] = worker
    _count_capacity(fleet, worker, 1)
    update_indexes(fleet, worker)
    fleet.capacity_version += 1
    return worker


def remove(fleet: Fleet, worker: Worker) -> None:
    """Remove a worker together with the allocations on it."""
    set_leaving(fleet, worker, is_leaving=True)
    del fleet.workers[worker.spec.worker]
    rack = fleet.racks[worker.rack]
    del rack.workers[worker.spec.worker]
    if not rack.workers:
        _remove_rack(fleet, worker.rack)


def set_leaving(fleet: Fleet, worker: Worker, *, is_leaving: bool) -> None:
    """Set whether a worker is leaving and takes no new gangs."""
    if worker.is_leaving == is_leaving:
        return
    worker.is_leaving = is_leaving
    _count_capacity(fleet, worker, -1 if is_leaving else 1)
    update_indexes(fleet, worker)
    fleet.capacity_version += 1


def set_quarantined(
    fleet: Fleet, worker: Worker, *, is_quarantined: bool, is_probing: bool = False
) -> None:
    """Put a worker into quarantine or take it out, on probation or not."""
    worker.is_quarantined = is_quarantined
    worker.is_probing = is_probing
    update_indexes(fleet, worker)
    fleet.capacity_version += 1


def _add_rack(fleet: Fleet, key: RackKey) -> None:
    fleet.racks[key] = Rack()
    centre = fleet.centres.setdefault(key[0], RackIndex())
    for group in (centre, fleet.region):
        for racks_by_sum in group.racks_by_sum:
            bisect.insort(racks_by_sum, (0, key))


def _remove_rack(fleet: Fleet, key: RackKey) -> None:
    rack = fleet.racks.pop(key)
    for group in (fleet.centres[key[0]], fleet.region):
        for metric, racks_by_sum in enumerate(group.racks_by_sum):
            racks_by_sum.pop(bisect.bisect_left(racks_by_sum, (rack.sums[metric], key)))


def _count_capacity(fleet: Fleet, worker: Worker, sign: int) -> None:
    spec = worker.spec
    fleet.membership_version += 1
    fleet.accelerators += sign * spec.accelerators
    fleet.cpu += sign * spec.cpu
    fleet.mem_gb += sign * spec.mem_gb
    counts = fleet.capacity_counts.setdefault(spec.data_centre, collections.Counter())
    counts[capacity(spec)] += sign
    if not counts[capacity(spec)]:
        del counts[capacity(spec)]
    for level, number in enumerate(cells.histogram(worker.all_devices)):
        fleet.all_cells[level] += sign * number


def update_indexes(fleet: Fleet, worker: Worker) -> None:
    """Update the indexes after a change of a worker."""
    new = _metrics_of(worker)
    old = worker.metrics
    if new != old:
        worker.metrics = new
        _update_rack(fleet, worker.rack, old, new)
    open_cells = cells.histogram(worker.open_devices) if worker.is_schedulable else _NO_CELLS
    for level, number in enumerate(open_cells):
        fleet.open_cells[level] += number - worker.open_cells[level]
    worker.open_cells = open_cells
    unpinned_cells = (
        _NO_CELLS
        if worker.is_leaving
        else cells.histogram(worker.all_devices & ~worker.pinned_devices)
    )
    for level, number in enumerate(unpinned_cells):
        fleet.unpinned_cells[level] += number - worker.unpinned_cells[level]
    worker.unpinned_cells = unpinned_cells


def usable_devices(worker: Worker) -> int:
    """Return the mask of the devices that are free and not reserved."""
    mask = worker.free_devices
    for allocation in worker.reservations.values():
        mask &= ~allocation.mask
    return mask


def spare_cpu(worker: Worker) -> int:
    """Return the number of cores that are free and not reserved."""
    return worker.cpu - sum(allocation.cpu for allocation in worker.reservations.values())


def spare_mem_gb(worker: Worker) -> int:
    """Return the memory that is free and not reserved, in GB."""
    return worker.mem_gb - sum(allocation.mem_gb for allocation in worker.reservations.values())


def _metrics_of(worker: Worker) -> tuple[int, ...]:
    if not worker.is_placeable:
        return _ZERO_METRICS
    count = usable_devices(worker).bit_count()
    free_counts = [count >> level for level in range(cells.LEVELS)]
    open_counts = [
        len(cells.cells_within(worker.open_devices, level)) for level in range(cells.LEVELS)
    ]
    spare_cores = max(0, spare_cpu(worker))
    cpu_only = 0 if worker.all_devices else spare_cores
    return (*free_counts, *open_counts, cpu_only, spare_cores)


def _update_rack(fleet: Fleet, key: RackKey, old: tuple[int, ...], new: tuple[int, ...]) -> None:
    sums = fleet.racks[key].sums
    centre = fleet.centres[key[0]]
    for metric, value in enumerate(new):
        delta = value - old[metric]
        if not delta:
            continue
        before = (sums[metric], key)
        sums[metric] += delta
        for group in (centre, fleet.region):
            group.sums[metric] += delta
            racks_by_sum = group.racks_by_sum[metric]
            racks_by_sum.pop(bisect.bisect_left(racks_by_sum, before))
            bisect.insort(racks_by_sum, (sums[metric], key))


def allocate(
    fleet: Fleet, job: ids.JobId, allocations: Iterable[tuple[ids.WorkerId, Allocation]]
) -> None:
    """Allocate devices, cores and memory to a gang."""
    for name, allocation in allocations:
        worker = fleet.workers.get(name)
        if worker is None:
            continue
        worker.gangs[job] = allocation
        worker.free_devices &= ~allocation.mask
        worker.cpu -= allocation.cpu
        worker.mem_gb -= allocation.mem_gb
        update_indexes(fleet, worker)


def resize(
    fleet: Fleet, job: ids.JobId, allocations: Iterable[tuple[ids.WorkerId, Allocation]]
) -> None:
    """Change the cores and memory allocated to a gang, even beyond what is free."""
    for name, allocation in allocations:
        worker = fleet.workers.get(name)
        old = worker.gangs.get(job) if worker else None
        if worker is None or old is None:
            continue
        worker.gangs[job] = allocation
        worker.cpu += old.cpu - allocation.cpu
        worker.mem_gb += old.mem_gb - allocation.mem_gb
        update_indexes(fleet, worker)


def release(fleet: Fleet, job: ids.JobId, names: Iterable[ids.WorkerId]) -> None:
    """Release the allocations of a gang."""
    for name in names:
        worker = fleet.workers.get(name)
        allocation = worker.gangs.pop(job, None) if worker else None
        if worker is None or allocation is None:
            continue
        worker.free_devices |= allocation.mask
        worker.cpu += allocation.cpu
        worker.mem_gb += allocation.mem_gb
        update_indexes(fleet, worker)
    fleet.capacity_version += 1


def reserve(
    fleet: Fleet, job: ids.JobId, allocations: Iterable[tuple[ids.WorkerId, Allocation]]
) -> None:
    """Reserve devices, cores and memory for a gang that waits until others have stopped."""
    for name, allocation in allocations:
        worker = fleet.workers[name]
        worker.reservations[job] = allocation
        update_indexes(fleet, worker)


def unreserve(fleet: Fleet, job: ids.JobId, names: Iterable[ids.WorkerId]) -> None:
    """Release what is reserved for a gang."""
    for name in names:
        worker = fleet.workers.get(name)
        if worker is not None and job in worker.reservations:
            del worker.reservations[job]
            update_indexes(fleet, worker)
    fleet.capacity_version += 1


__all__ = [
    "CPU_METRIC",
    "CPU_ONLY_METRIC",
    "FREE_METRIC",
    "OPEN_METRIC",
    "Allocation",
    "Capacity",
    "Fleet",
    "Rack",
    "RackIndex",
    "RackKey",
    "Worker",
    "add",
    "allocate",
    "capacity",
    "release",
    "remove",
    "reserve",
    "resize",
    "set_leaving",
    "set_quarantined",
    "spare_cpu",
    "spare_mem_gb",
    "unreserve",
    "update_indexes",
    "usable_devices",
]
