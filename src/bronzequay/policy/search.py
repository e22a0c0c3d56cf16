"""Search for workers for a gang: one rack, then one data centre, then the region.

How a worker is filled is the caller's function; this module chooses the order of racks from
the sorted lists of ``fleet``, so that a search reads about as many workers as it places members.
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
"""Racks tried from the tightest fit upwards."""
MAX_ROOMY_RACKS = 2
"""Racks tried from the emptiest downwards."""
MAX_RACKS_BEYOND_MEMBERS = 8
"""Racks of a larger place that are read, beyond one for each member."""


class Scope(enum.Enum):
    """Widest place that a gang may spread over."""

    CENTRE = "data centre"
    REGION = "region"
    NOWHERE = "nowhere"


class Need(msgspec.Struct, frozen=True):
    """What each member of a gang takes."""

    members: int
    accelerators: int
    cpu: int
    mem_gb: int


class Pick(msgspec.Struct, frozen=True):
    """Place of one member; ``seat`` is None for a borrower."""

    worker: fleet.Worker
    mask: int
    seat: guarantees.Seat | None


class Draft(msgspec.Struct):
    """A plan in the making.

    :param victims: gangs to be stopped first
    :param cost: lost work of the victims, in accelerator seconds
    :param budget: cells by level that may still be bound
    :param opened: parts taken by this plan, by cell
    """

    picks: list[Pick] = msgspec.field(default_factory=list)
    victims: set[ids.JobId] = msgspec.field(default_factory=set)
    cost: float = 0.0
    budget: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    opened: dict[cells.Cell, int] = msgspec.field(default_factory=dict)


if TYPE_CHECKING:
    Fill = Callable[[fleet.Worker, int, Draft], None]
    """Adds up to a number of members on a worker to a draft."""


def kinds_hold(kinds: Iterable[tuple[fleet.Kind, int]], need: Need) -> int:
    """Return how many members empty workers of the given kinds and numbers hold."""
    return sum(number * members_on(kind, need) for kind, number in kinds)


def members_on(kind: fleet.Kind, need: Need) -> int:
    """Return how many members an empty worker of a kind holds."""
    limits = [
        has // takes
        for has, takes in zip(kind, (need.accelerators, need.cpu, need.mem_gb), strict=True)
        if takes
    ]
    return min(limits, default=need.members)


def scope(flt: fleet.Fleet, need: Need) -> Scope:
    """Return how far a gang may spread, from what empty workers hold."""
    total = 0
    for kinds in flt.kinds.values():
        there = kinds_hold(kinds.items(), need)
        if there >= need.members:
            return Scope.CENTRE
        total += there
    return Scope.REGION if total >= need.members else Scope.NOWHERE


def find(
    flt: fleet.Fleet,
    need: Need,
    *,
    metric: int,
    widest: Scope,
    fill: Fill,
    new_draft: Callable[[], Draft],
    first: Iterable[fleet.RackKey] = (),
    is_bound: bool = True,
) -> Draft | None:
    """Search for places for all members.

    :param metric: the index by which racks are ordered
    :param fill: adds members on one worker
    :param new_draft: starts a plan
    :param first: racks to try before those of the index
    :param is_bound: whether no place has room for more than the metric says
    :return: the cheapest plan of the narrowest place that has one
    """
    preferred = tuple(first)
    want = need.members * need.cpu if metric >= fleet.CPU_PLAIN else need.members
    if is_bound and flt.region.sums[metric] < want:
        return None
    racks = (*preferred, *_near(flt.region.order[metric], want, is_bound=is_bound))
    places = [(key,) for key in racks]
    found = _cheapest(flt, need, places, fill, new_draft)
    if found is not None or need.members == 1:
        return found
    wide = [
        _descending(group.order[metric], [key for key in preferred if key[0] == centre])
        for centre, group in sorted(flt.centres.items())
        if not is_bound or group.sums[metric] >= want
    ]
    found = _cheapest(flt, need, wide, fill, new_draft)
    if found is not None or widest is not Scope.REGION:
        return found
    whole = _descending(flt.region.order[metric], preferred)
    return _cheapest(flt, need, [whole], fill, new_draft)


def _near(
    order: list[tuple[int, fleet.RackKey]], want: int, *, is_bound: bool
) -> Iterator[fleet.RackKey]:
    start = bisect.bisect_left(order, (want,))
    if is_bound and start == len(order):
        return
    tight = order[start : start + MAX_TIGHT_RACKS]
    roomy = order[max(start + MAX_TIGHT_RACKS, len(order) - MAX_ROOMY_RACKS) :]
    for _sum, key in (*tight, *roomy):
        yield key


def _descending(
    order: list[tuple[int, fleet.RackKey]], first: Iterable[fleet.RackKey]
) -> Iterator[fleet.RackKey]:
    seen = set(first)
    yield from sorted(seen)
    for total, key in reversed(order):
        if not total:
            return
        if key not in seen:
            yield key


def _cheapest(
    flt: fleet.Fleet,
    need: Need,
    places: Iterable[Iterable[fleet.RackKey]],
    fill: Fill,
    new_draft: Callable[[], Draft],
) -> Draft | None:
    best: Draft | None = None
    for place in places:
        draft = new_draft()
        _fill_racks(flt, need, place, fill, draft)
        if len(draft.picks) < need.members:
            continue
        if best is None or draft.cost < best.cost:
            best = draft
        if not best.victims:
            return best
    return best


def _fill_racks(
    flt: fleet.Fleet, need: Need, place: Iterable[fleet.RackKey], fill: Fill, draft: Draft
) -> None:
    for key in itertools.islice(place, MAX_RACKS_BEYOND_MEMBERS + need.members):
        for worker in _ordered(flt.racks[key], need):
            fill(worker, need.members - len(draft.picks), draft)
            if len(draft.picks) == need.members:
                return


def _ordered(rack: fleet.Rack, need: Need) -> list[fleet.Worker]:
    wanted = need.accelerators
    open_workers = [
        worker
        for worker in rack.workers.values()
        if worker.spec.accelerators >= wanted and worker.has_turn
    ]
    is_gang = need.members > 1

    def key(worker: fleet.Worker) -> tuple[int, int]:
        free = worker.free.bit_count()
        size = worker.everything.bit_count()
        return (-free, size) if is_gang else (free, size)

    return sorted(open_workers, key=key)


__all__ = ["Draft", "Need", "Pick", "Scope", "find", "kinds_hold", "members_on", "scope"]
