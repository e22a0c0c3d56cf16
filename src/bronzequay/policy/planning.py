"""Plans for one gang: the workers of its members, their cells, and the gangs to stop for it."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from bronzequay.policy import cells, fleet, guarantees, model, placement, search
from bronzequay.policy import state as core_state

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bronzequay import ids

MAX_PREFERRED_CELLS = 8
"""Bound cells with spare devices whose racks are searched before the others."""


def plan_borrowed(state: core_state.State, record: model.JobRecord) -> search.GangPlan | None:
    """Plan a borrower on free devices."""
    need = placement.need_of(record)
    fill = placement.fill_free(need)
    if not need.accelerators:
        on_cpu_workers = _find(state, record, need, fleet.CPU_ONLY_METRIC, _on_cpu_workers(fill))
        return on_cpu_workers or _find(state, record, need, fleet.CPU_METRIC, fill)
    metric = fleet.FREE_METRIC + min(need.accelerators.bit_length(), cells.LEVELS) - 1
    return _find(state, record, need, metric, fill)


def _on_cpu_workers(fill: search.Fill) -> search.Fill:
    """Restrict a fill function to workers without accelerators."""

    def fill_cpu_workers(worker: fleet.Worker, room: int, plan: search.GangPlan) -> None:
        if not worker.all_devices:
            fill(worker, room, plan)

    return fill_cpu_workers


def plan_evicting(
    state: core_state.State, record: model.JobRecord, eviction_cost: placement.EvictionCost
) -> search.GangPlan | None:
    """Plan a borrower for which other gangs may be stopped."""
    need = placement.need_of(record)
    fill = placement.fill_evicting(need, eviction_cost)
    return _find(state, record, need, _open_metric(need), fill, is_upper_bound=False)


def plan_fixed(
    state: core_state.State, record: model.JobRecord, eviction_cost: placement.EvictionCost
) -> search.GangPlan | None:
    """Plan a gang beyond its guarantee that cannot be reclaimed."""
    need = placement.need_of(record)
    fill = placement.fill_fixed(need, eviction_cost)
    if need.accelerators:
        return _find(state, record, need, _open_metric(need), fill)
    on_cpu_workers = _find(state, record, need, fleet.CPU_ONLY_METRIC, _on_cpu_workers(fill))
    return on_cpu_workers or _find(state, record, need, fleet.CPU_METRIC, fill)


def plan_guaranteed(
    state: core_state.State, record: model.JobRecord, eviction_cost: placement.EvictionCost
) -> search.GangPlan | None:
    """Plan a gang within its organisation's guarantee."""
    need = placement.need_of(record)
    entry = state.ledger.orgs.get(record.spec.org)
    if entry is None or not may_fit_guarantee(state, record):
        return None
    fill = placement.fill_guaranteed(need, entry, eviction_cost)
    cell_budget = [max(0, count) for count in entry.unbound]
    spare_cells = itertools.islice(entry.spare_devices, MAX_PREFERRED_CELLS)
    racks = [
        state.fleet.workers[cell.worker].rack
        for cell in spare_cells
        if cell.worker in state.fleet.workers
    ]
    return _find(
        state,
        record,
        need,
        _open_metric(need),
        fill,
        new_plan=lambda: search.GangPlan(cell_budget=list(cell_budget)),
        preferred_racks=dict.fromkeys(racks),
        is_upper_bound=not racks,
    )


def may_fit_guarantee(state: core_state.State, record: model.JobRecord) -> bool:
    """Return whether a gang fits into the unused part of its organisation's guarantee, by count."""
    need = placement.need_of(record)
    entry = state.ledger.orgs.get(record.spec.org)
    if entry is None or not need.accelerators:
        return False
    level = cells.level_for(need.accelerators)
    rooms = (max(0, count) << cell_level >> level for cell_level, count in enumerate(entry.unbound))
    room = sum(rooms)
    for mask in entry.spare_devices.values():
        if room >= need.members:
            break
        room += len(cells.cells_within(mask, level))
    return room >= need.members


def fits_by_count(state: core_state.State, record: model.JobRecord) -> bool:
    """Return whether enough accelerators for a gang are free, regardless of where they are."""
    need = placement.need_of(record)
    free = state.fleet.region.sums[fleet.FREE_METRIC]
    return 0 < need.members * need.accelerators <= free


def _open_metric(need: search.Need) -> int:
    if not need.accelerators:
        return fleet.CPU_METRIC
    return fleet.OPEN_METRIC + min(cells.level_for(need.accelerators), cells.LEVELS - 1)


def _find(
    state: core_state.State,
    record: model.JobRecord,
    need: search.Need,
    metric: int,
    fill: search.Fill,
    *,
    new_plan: Callable[[], search.GangPlan] = search.GangPlan,
    preferred_racks: Iterable[fleet.RackKey] = (),
    is_upper_bound: bool = True,
) -> search.GangPlan | None:
    avoided = avoided_workers(state, record, need)

    def fill_others(worker: fleet.Worker, room: int, plan: search.GangPlan) -> None:
        if worker.spec.worker not in avoided:
            fill(worker, room, plan)

    return search.find(
        state.fleet,
        need,
        metric=metric,
        widest_scope=core_state.scope(state, need),
        fill=fill_others if avoided else fill,
        new_plan=new_plan,
        preferred_racks=preferred_racks,
        is_upper_bound=is_upper_bound,
    )


def avoided_workers(
    state: core_state.State, record: model.JobRecord, need: search.Need
) -> frozenset[ids.WorkerId]:
    """Return the workers on which a job has failed, provided that the others are large enough."""
    failed = state.health.failed_on.get(record.job)
    if not failed:
        return frozenset()
    workers = [state.fleet.workers[name] for name in failed if name in state.fleet.workers]
    avoided_members = sum(
        search.members_that_fit(fleet.capacity(worker.spec), need) for worker in workers
    )
    all_members = sum(
        search.members_on_empty(capacity_counts.items(), need)
        for capacity_counts in state.fleet.capacity_counts.values()
    )
    return frozenset(failed) if all_members - avoided_members >= need.members else frozenset()


def member_blocks_of(plan: search.GangPlan) -> tuple[guarantees.MemberBlock, ...]:
    """Return the blocks of those members of a plan that have one."""
    return tuple(pick.member_block for pick in plan.picks if pick.member_block is not None)


def placements_of(plan: search.GangPlan) -> tuple[model.Placement, ...]:
    """Return the placements of a plan's members."""
    return tuple(
        model.Placement(member, pick.worker.spec.worker, cells.devices(pick.mask))
        for member, pick in enumerate(plan.picks)
    )


__all__ = [
    "avoided_workers",
    "fits_by_count",
    "may_fit_guarantee",
    "member_blocks_of",
    "placements_of",
    "plan_borrowed",
    "plan_evicting",
    "plan_fixed",
    "plan_guaranteed",
]
