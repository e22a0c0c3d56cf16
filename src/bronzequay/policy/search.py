"""Search for workers for a gang: in one rack, then in one data centre, then in the region.

The caller supplies the function that fills a worker with members. This module chooses the order
of racks from the sorted lists of ``fleet``, so that a search reads about as many workers as it
places members.
"""

from __future__ import annotations

import bisect
import enum
import itertools
from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.policy import cells, fleet, guarantees

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

MAX_TIGHT_RACKS = 6
"""Racks tried in ascending order of room, from the first that is large enough."""
MAX_EMPTIEST_RACKS = 2
"""Racks with the most room, tried after the tight ones."""
MAX_RACKS_BEYOND_MEMBERS = 8
"""Racks read in a search of a data centre or the region, beyond one per member."""


class Scope(enum.Enum):
    """Widest domain that a gang may spread over."""

    CENTRE = "data centre"
    REGION = "region"
    NOWHERE = "nowhere"


class Need(msgspec.Struct, frozen=True):
    """Number of members of a gang and the resources that each of them takes."""

    members: int
    accelerators: int
    cpu: int
    mem_gb: int


class Pick(msgspec.Struct, frozen=True):
    """Devices of one member on a worker; ``member_block`` is None for a borrower."""

    worker: fleet.Worker
    mask: int
    member_block: guarantees.MemberBlock | None


class GangPlan(msgspec.Struct):
    """Placement of a gang, filled member by member.

    :param picks: devices of the members placed so far
    :param victims: gangs to be stopped first
    :param cost: work that the victims lose, in accelerator seconds
    :param cell_budget: number of cells by level that may still be bound
    :param taken_parts: mask of the parts that this plan uses, by cell
    """

    picks: list[Pick] = msgspec.field(default_factory=list)
    victims: set[ids.JobId] = msgspec.field(default_factory=set)
    cost: float = 0.0
    cell_budget: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    taken_parts: dict[cells.Cell, int] = msgspec.field(default_factory=dict)


if TYPE_CHECKING:
    Fill = Callable[[fleet.Worker, int, GangPlan], None]
    """Adds up to the given number of members on a worker to a plan."""


def members_on_empty(capacity_counts: Iterable[tuple[fleet.Capacity, int]], need: Need) -> int:
    """Return how many members fit on empty workers of the given capacities and numbers."""
    return sum(number * members_that_fit(capacity, need) for capacity, number in capacity_counts)


def members_that_fit(capacity: fleet.Capacity, need: Need) -> int:
    """Return how many members fit into a capacity."""
    limits = [
        available // needed
        for available, needed in zip(
            capacity, (need.accelerators, need.cpu, need.mem_gb), strict=True
        )
        if needed
    ]
    return min(limits, default=need.members)


def scope(flt: fleet.Fleet, need: Need) -> Scope:
    """Return the narrowest scope in which a gang would fit if all workers were empty."""
    total = 0
    for capacity_counts in flt.capacity_counts.values():
        members = members_on_empty(capacity_counts.items(), need)
        if members >= need.members:
            return Scope.CENTRE
        total += members
    return Scope.REGION if total >= need.members else Scope.NOWHERE


def find(
    flt: fleet.Fleet,
    need: Need,
    *,
    metric: int,
    widest_scope: Scope,
    fill: Fill,
    new_plan: Callable[[], GangPlan],
    preferred_racks: Iterable[fleet.RackKey] = (),
    is_upper_bound: bool = True,
) -> GangPlan | None:
    """Search for workers for all members of a gang.

    :param metric: the metric by which racks are ordered
    :param widest_scope: whether the gang may spread over the region
    :param fill: adds members on one worker
    :param new_plan: returns an empty plan
    :param preferred_racks: racks to try before those ordered by the metric
    :param is_upper_bound: whether the metric limits how many members fit; racks and data
        centres below the required sum are then skipped
    :return: the cheapest plan in the narrowest domain that has one, or None
    """
    preferred = tuple(preferred_racks)
    wanted_sum = need.members * need.cpu if metric >= fleet.CPU_ONLY_METRIC else need.members
    if is_upper_bound and flt.region.sums[metric] < wanted_sum:
        return None
    racks = (
        *preferred,
        *_tightest_and_emptiest(
            flt.region.racks_by_sum[metric], wanted_sum, is_upper_bound=is_upper_bound
        ),
    )
    rack_sequences = [(key,) for key in racks]
    found_plan = _cheapest_plan(flt, need, rack_sequences, fill, new_plan)
    if found_plan is not None or need.members == 1:
        return found_plan
    centre_racks = [
        _racks_by_descending_sum(
            group.racks_by_sum[metric], [key for key in preferred if key[0] == centre]
        )
        for centre, group in sorted(flt.centres.items())
        if not is_upper_bound or group.sums[metric] >= wanted_sum
    ]
    found_plan = _cheapest_plan(flt, need, centre_racks, fill, new_plan)
    if found_plan is not None or widest_scope is not Scope.REGION:
        return found_plan
    region_racks = _racks_by_descending_sum(flt.region.racks_by_sum[metric], preferred)
    return _cheapest_plan(flt, need, [region_racks], fill, new_plan)


def _tightest_and_emptiest(
    racks_by_sum: list[tuple[int, fleet.RackKey]], wanted_sum: int, *, is_upper_bound: bool
) -> Iterator[fleet.RackKey]:
    start = bisect.bisect_left(racks_by_sum, (wanted_sum,))
    if is_upper_bound and start == len(racks_by_sum):
        return
    tight = racks_by_sum[start : start + MAX_TIGHT_RACKS]
    emptiest = racks_by_sum[max(start + MAX_TIGHT_RACKS, len(racks_by_sum) - MAX_EMPTIEST_RACKS) :]
    for _sum, key in (*tight, *emptiest):
        yield key


def _racks_by_descending_sum(
    racks_by_sum: list[tuple[int, fleet.RackKey]], preferred_racks: Iterable[fleet.RackKey]
) -> Iterator[fleet.RackKey]:
    seen = set(preferred_racks)
    yield from sorted(seen)
    for total, key in reversed(racks_by_sum):
        if not total:
            return
        if key not in seen:
            yield key


def _cheapest_plan(
    flt: fleet.Fleet,
    need: Need,
    rack_sequences: Iterable[Iterable[fleet.RackKey]],
    fill: Fill,
    new_plan: Callable[[], GangPlan],
) -> GangPlan | None:
    best: GangPlan | None = None
    for racks in rack_sequences:
        plan = new_plan()
        _fill_racks(flt, need, racks, fill, plan)
        if len(plan.picks) < need.members:
            continue
        if best is None or plan.cost < best.cost:
            best = plan
        if not best.victims:
            return best
    return best


def _fill_racks(
    flt: fleet.Fleet, need: Need, racks: Iterable[fleet.RackKey], fill: Fill, plan: GangPlan
) -> None:
    for key in itertools.islice(racks, MAX_RACKS_BEYOND_MEMBERS + need.members):
        for worker in _candidate_workers(flt.racks[key], need):
            fill(worker, need.members - len(plan.picks), plan)
            if len(plan.picks) == need.members:
                return


def _candidate_workers(rack: fleet.Rack, need: Need) -> list[fleet.Worker]:
    min_accelerators = need.accelerators
    placeable_workers = [
        worker
        for worker in rack.workers.values()
        if worker.spec.accelerators >= min_accelerators and worker.is_placeable
    ]
    is_gang = need.members > 1

    def key(worker: fleet.Worker) -> tuple[int, int]:
        free = worker.free_devices.bit_count()
        size = worker.all_devices.bit_count()
        return (-free, size) if is_gang else (free, size)

    return sorted(placeable_workers, key=key)


__all__ = [
    "GangPlan",
    "Need",
    "Pick",
    "Scope",
    "find",
    "members_on_empty",
    "members_that_fit",
    "scope",
]
