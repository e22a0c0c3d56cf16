"""Plans for one gang: where its members go, what they are held against, who stops for it."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from bronzequay.policy import cells, fleet, guarantees, model, placement, search
from bronzequay.policy import state as states

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bronzequay import ids

MAX_BOUND_RACKS = 8
"""Racks with room in an organisation's bound cells that are tried before the others."""


def borrowed(state: states.State, record: model.JobRecord) -> search.Draft | None:
    """Plan a borrower on free room."""
    need = placement.need_of(record)
    fill = placement.fill_free(need)
    if not need.accelerators:
        plain = _find(state, record, need, fleet.CPU_PLAIN, _on_plain(fill))
        return plain or _find(state, record, need, fleet.CPU_ANY, fill)
    metric = fleet.FREE + min(need.accelerators.bit_length(), cells.LEVELS) - 1
    return _find(state, record, need, metric, fill)


def _on_plain(fill: search.Fill) -> search.Fill:
    """Keep to workers without accelerators."""

    def fill_plain(worker: fleet.Worker, room: int, draft: search.Draft) -> None:
        if not worker.everything:
            fill(worker, room, draft)

    return fill_plain


def evicting(
    state: states.State, record: model.JobRecord, price: placement.Price
) -> search.Draft | None:
    """Plan a borrower where others are stopped for it."""
    need = placement.need_of(record)
    fill = placement.fill_evicting(need, price)
    return _find(state, record, need, _open_metric(need), fill, is_bound=False)


def fixed(
    state: states.State, record: model.JobRecord, price: placement.Price
) -> search.Draft | None:
    """Plan a gang beyond its guarantee that cannot be reclaimed."""
    need = placement.need_of(record)
    fill = placement.fill_fixed(need, price)
    if need.accelerators:
        return _find(state, record, need, _open_metric(need), fill)
    plain = _find(state, record, need, fleet.CPU_PLAIN, _on_plain(fill))
    return plain or _find(state, record, need, fleet.CPU_ANY, fill)


def guaranteed(
    state: states.State, record: model.JobRecord, price: placement.Price
) -> search.Draft | None:
    """Plan a gang inside its organisation's guarantee."""
    need = placement.need_of(record)
    entry = state.book.orgs.get(record.spec.org)
    if entry is None or not may_be_guaranteed(state, record):
        return None
    fill = placement.fill_guaranteed(need, entry, price)
    budget = [max(0, count) for count in entry.unbound]
    roomy = itertools.islice(entry.roomy, MAX_BOUND_RACKS)
    racks = [
        state.fleet.workers[cell.worker].rack
        for cell in roomy
        if cell.worker in state.fleet.workers
    ]
    return _find(
        state,
        record,
        need,
        _open_metric(need),
        fill,
        new_draft=lambda: search.Draft(budget=list(budget)),
        first=dict.fromkeys(racks),
        is_bound=not racks,
    )


def may_be_guaranteed(state: states.State, record: model.JobRecord) -> bool:
    """Return whether an organisation's unused guarantee could hold a gang, by count."""
    need = placement.need_of(record)
    entry = state.book.orgs.get(record.spec.org)
    if entry is None or not need.accelerators:
        return False
    at_level = cells.level(need.accelerators)
    rooms = (max(0, count) << up >> at_level for up, count in enumerate(entry.unbound))
    room = sum(rooms)
    for mask in entry.roomy.values():
        if room >= need.members:
            break
        room += len(cells.inside(mask, at_level))
    return room >= need.members


def fits_by_count(state: states.State, record: model.JobRecord) -> bool:
    """Return whether as many accelerators are free as a gang takes, wherever they are."""
    need = placement.need_of(record)
    free = state.fleet.region.sums[fleet.FREE]
    return 0 < need.members * need.accelerators <= free


def _open_metric(need: search.Need) -> int:
    if not need.accelerators:
        return fleet.CPU_ANY
    return fleet.OPEN + min(cells.level(need.accelerators), cells.LEVELS - 1)


def _find(
    state: states.State,
    record: model.JobRecord,
    need: search.Need,
    metric: int,
    fill: search.Fill,
    *,
    new_draft: Callable[[], search.Draft] = search.Draft,
    first: Iterable[fleet.RackKey] = (),
    is_bound: bool = True,
) -> search.Draft | None:
    avoided = avoid(state, record, need)

    def fill_others(worker: fleet.Worker, room: int, draft: search.Draft) -> None:
        if worker.spec.worker not in avoided:
            fill(worker, room, draft)

    return search.find(
        state.fleet,
        need,
        metric=metric,
        widest=states.scope(state, need),
        fill=fill_others if avoided else fill,
        new_draft=new_draft,
        first=first,
        is_bound=is_bound,
    )


def avoid(
    state: states.State, record: model.JobRecord, need: search.Need
) -> frozenset[ids.WorkerId]:
    """Return the workers on which a job has failed, if the others can hold it."""
    failed = state.health.failed_on.get(record.job)
    if not failed:
        return frozenset()
    workers = [state.fleet.workers[name] for name in failed if name in state.fleet.workers]
    lost = sum(search.members_on(fleet.kind(worker.spec), need) for worker in workers)
    whole = sum(search.kinds_hold(kinds.items(), need) for kinds in state.fleet.kinds.values())
    return frozenset(failed) if whole - lost >= need.members else frozenset()


def seats_of(draft: search.Draft) -> tuple[guarantees.Seat, ...]:
    """Return the seats of a plan's members that have one."""
    return tuple(pick.seat for pick in draft.picks if pick.seat is not None)


def placements_of(draft: search.Draft) -> tuple[model.Placement, ...]:
    """Return a plan as placements."""
    return tuple(
        model.Placement(member, pick.worker.spec.worker, cells.devices(pick.mask))
        for member, pick in enumerate(draft.picks)
    )


__all__ = [
    "avoid",
    "borrowed",
    "evicting",
    "fits_by_count",
    "fixed",
    "guaranteed",
    "may_be_guaranteed",
    "placements_of",
    "seats_of",
]
