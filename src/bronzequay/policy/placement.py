"""Functions that fill a worker with members of a gang: on free room, in cells, by eviction."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.policy import cells, fleet, guarantees, model, search

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    EvictionCost = Callable[[ids.JobId], float | None]
    """Work lost if a gang is stopped, in accelerator seconds; None if it must not be stopped."""
    Option = tuple[int, guarantees.MemberBlock | None]
    """Devices for one member, and its block within a cell."""
    Options = Callable[[fleet.Worker, search.GangPlan], Iterable[Option]]


class Eviction(msgspec.Struct, frozen=True):
    """Gangs to stop for one member, and the work that they lose, in accelerator seconds."""

    cost: float
    victims: set[ids.JobId]


def need_of(record: model.JobRecord) -> search.Need:
    """Return the resources of a job: as declared, or as observed where that is more."""
    spec = record.spec
    return search.Need(
        spec.members,
        spec.accelerators,
        max(spec.cpu, record.seen_cpu),
        max(spec.mem_gb, record.seen_mem_gb),
    )


def level_on(worker: fleet.Worker, need: search.Need) -> int:
    """Return the level of the smallest cell that covers a member's resources on a worker.

    A cell includes a proportional share of the worker's cores and memory. Otherwise members with
    few accelerators and much memory could make a guarantee unusable.
    """
    spec = worker.spec
    by_cpu = -(-need.cpu * spec.accelerators // spec.cpu) if spec.cpu else 0
    by_mem = -(-need.mem_gb * spec.accelerators // spec.mem_gb) if spec.mem_gb else 0
    return cells.level_for(max(need.accelerators, by_cpu, by_mem))


def never_evict(_job: ids.JobId) -> float | None:
    """Return None: no gang may be stopped."""
    return None


def fill_free(need: search.Need) -> search.Fill:
    """Return a function that places members on free devices only."""

    def fill(worker: fleet.Worker, room: int, plan: search.GangPlan) -> None:
        mask = fleet.usable_devices(worker)
        available = (mask.bit_count(), fleet.spare_cpu(worker), fleet.spare_mem_gb(worker))
        for _ in range(min(room, search.members_that_fit(available, need))):
            chosen = cells.pick_devices(mask, need.accelerators)
            mask &= ~chosen
            plan.picks.append(search.Pick(worker, chosen, None))

    return fill


def fill_evicting(need: search.Need, eviction_cost: EvictionCost) -> search.Fill:
    """Return a function that makes room anywhere on a worker by stopping gangs."""

    def options(worker: fleet.Worker, plan: search.GangPlan) -> list[tuple[int, None]]:
        planned = _planned_devices(worker, plan)
        mask = worker.all_devices & ~planned
        if not need.accelerators:
            return [(0, None)]
        blocks = list(cells.cells_within(mask, cells.level_for(need.accelerators)))
        if not blocks and mask.bit_count() >= need.accelerators:
            blocks = [mask]
        return [(_pick_devices(worker, block, need.accelerators), None) for block in blocks]

    return _cheapest_filler(need, eviction_cost, options)


def _cheapest_filler(
    need: search.Need,
    eviction_cost: EvictionCost,
    options: Options,
    entry: guarantees.OrgLedger | None = None,
) -> search.Fill:
    def fill(worker: fleet.Worker, room: int, plan: search.GangPlan) -> None:
        for _ in range(room):
            available = options(worker, plan)
            if not _add_cheapest(worker, need, eviction_cost, plan, options=available, entry=entry):
                return

    return fill


def _add_cheapest(
    worker: fleet.Worker,
    need: search.Need,
    eviction_cost: EvictionCost,
    plan: search.GangPlan,
    *,
    options: Iterable[Option],
    entry: guarantees.OrgLedger | None,
) -> bool:
    best: Eviction | None = None
    chosen: Option | None = None
    for option in options:
        eviction = _eviction_for(worker, option[0], plan, eviction_cost)
        if eviction is None or (best is not None and eviction.cost >= best.cost):
            continue
        best, chosen = eviction, option
        if not eviction.cost:
            break
    if best is None or chosen is None:
        return False
    best = _evict_for_cpu_and_memory(worker, need, plan, eviction_cost, best)
    if best is None:
        return False
    _add(worker, chosen, best, plan, entry)
    return True


def _add(
    worker: fleet.Worker,
    option: Option,
    eviction: Eviction,
    plan: search.GangPlan,
    entry: guarantees.OrgLedger | None,
) -> None:
    mask, member_block = option
    plan.victims |= eviction.victims
    plan.cost += eviction.cost
    plan.picks.append(search.Pick(worker, mask, member_block))
    if member_block is None:
        return
    if (
        entry is not None
        and member_block.cell not in entry.bound
        and member_block.cell not in plan.taken_parts
    ):
        plan.cell_budget[cells.level_for(member_block.cell.size)] -= 1
    plan.taken_parts[member_block.cell] = (
        plan.taken_parts.get(member_block.cell, 0) | member_block.part
    )


def _eviction_for(
    worker: fleet.Worker, mask: int, plan: search.GangPlan, eviction_cost: EvictionCost
) -> Eviction | None:
    if any(reservation.mask & mask for reservation in worker.reservations.values()):
        return None
    victims: set[ids.JobId] = set()
    cost = 0.0
    for job, allocation in worker.gangs.items():
        if not allocation.mask & mask or job in plan.victims:
            continue
        cost_of_job = eviction_cost(job)
        if cost_of_job is None:
            return None
        victims.add(job)
        cost += cost_of_job
    return Eviction(cost, victims)


def _evict_for_cpu_and_memory(
    worker: fleet.Worker,
    need: search.Need,
    plan: search.GangPlan,
    eviction_cost: EvictionCost,
    eviction: Eviction,
) -> Eviction | None:
    """Add gangs to an eviction, cheapest first, until a member's cores and memory are free as well.

    :return: the eviction, or None if the gangs that may be stopped do not free enough
    """
    victims = plan.victims | eviction.victims
    planned_members = _planned_members(worker, plan)
    cpu = fleet.spare_cpu(worker) - need.cpu * (planned_members + 1)
    mem_gb = fleet.spare_mem_gb(worker) - need.mem_gb * (planned_members + 1)
    for job in victims & worker.gangs.keys():
        cpu += worker.gangs[job].cpu
        mem_gb += worker.gangs[job].mem_gb
    if cpu >= 0 and mem_gb >= 0:
        return eviction
    added = set(eviction.victims)
    cost = eviction.cost
    for cost_of_job, job in _evictable(worker, eviction_cost, victims):
        allocation = worker.gangs[job]
        if (cpu >= 0 or not allocation.cpu) and (mem_gb >= 0 or not allocation.mem_gb):
            continue
        added.add(job)
        cost += cost_of_job
        cpu += allocation.cpu
        mem_gb += allocation.mem_gb
        if cpu >= 0 and mem_gb >= 0:
            return Eviction(cost, added)
    return None


def _evictable(
    worker: fleet.Worker, eviction_cost: EvictionCost, excluded: set[ids.JobId]
) -> list[tuple[float, ids.JobId]]:
    evictable: list[tuple[float, ids.JobId]] = []
    for job in worker.gangs:
        cost_of_job = None if job in excluded else eviction_cost(job)
        if cost_of_job is not None:
            evictable.append((cost_of_job, job))
    return sorted(evictable)


def fill_fixed(need: search.Need, eviction_cost: EvictionCost) -> search.Fill:
    """Return a function that places members in open cells, for gangs that cannot be reclaimed."""

    def options(
        worker: fleet.Worker, plan: search.GangPlan
    ) -> list[tuple[int, guarantees.MemberBlock | None]]:
        if not worker.all_devices:
            return [] if need.accelerators else [(0, None)]
        mask = worker.open_devices & ~_planned_cells(worker, plan)
        choices: list[tuple[int, guarantees.MemberBlock | None]] = []
        for part in _blocks_tightest_first(mask, level_on(worker, need)):
            member_block = guarantees.MemberBlock(cells.cell_of(worker.spec.worker, part), part)
            choices.append((_pick_devices(worker, part, need.accelerators), member_block))
        return choices

    return _cheapest_filler(need, eviction_cost, options)


def fill_guaranteed(
    need: search.Need, entry: guarantees.OrgLedger, eviction_cost: EvictionCost
) -> search.Fill:
    """Return a function that places members in an organisation's guarantee, bound cells first."""

    def options(
        worker: fleet.Worker, plan: search.GangPlan
    ) -> list[tuple[int, guarantees.MemberBlock]]:
        level = level_on(worker, need)
        member_blocks = _bound_blocks(worker, entry, plan, level)
        if not member_blocks:
            member_blocks = _unbound_blocks(worker, plan, level)
        return [
            (_pick_devices(worker, member_block.part, need.accelerators), member_block)
            for member_block in member_blocks
        ]

    return _cheapest_filler(need, eviction_cost, options, entry)


def _bound_blocks(
    worker: fleet.Worker, entry: guarantees.OrgLedger, plan: search.GangPlan, level: int
) -> list[guarantees.MemberBlock]:
    member_blocks: list[guarantees.MemberBlock] = []
    name = worker.spec.worker
    planned_cells = [cell for cell in plan.taken_parts if cell.worker == name]
    for cell in dict.fromkeys((*entry.by_worker.get(name, ()), *planned_cells)):
        mask = cells.mask_of(cell) & ~plan.taken_parts.get(cell, 0)
        for part in entry.bound.get(cell, {}).values():
            mask &= ~part
        member_blocks.extend(
            guarantees.MemberBlock(cell, part) for part in cells.cells_within(mask, level)
        )
    return member_blocks


def _unbound_blocks(
    worker: fleet.Worker, plan: search.GangPlan, level: int
) -> list[guarantees.MemberBlock]:
    cell_level = next(
        (
            upper_level
            for upper_level in range(level, cells.LEVELS)
            if plan.cell_budget[upper_level] > 0
        ),
        None,
    )
    if cell_level is None:
        return []
    member_blocks: list[guarantees.MemberBlock] = []
    for mask in _blocks_tightest_first(
        worker.open_devices & ~_planned_cells(worker, plan), cell_level
    ):
        cell = cells.cell_of(worker.spec.worker, mask)
        member_blocks.extend(
            guarantees.MemberBlock(cell, part) for part in cells.cells_within(mask, level)
        )
    return member_blocks


def _blocks_tightest_first(mask: int, level: int) -> list[int]:
    return [
        part
        for block_level, block in cells.largest_cells(mask)
        if block_level >= level
        for part in cells.cells_within(block, level)
    ]


def _planned_cells(worker: fleet.Worker, plan: search.GangPlan) -> int:
    mask = 0
    for cell in plan.taken_parts:
        if cell.worker == worker.spec.worker:
            mask |= cells.mask_of(cell)
    return mask


def _planned_members(worker: fleet.Worker, plan: search.GangPlan) -> int:
    count = 0
    for pick in reversed(plan.picks):
        if pick.worker is not worker:
            break
        count += 1
    return count


def _planned_devices(worker: fleet.Worker, plan: search.GangPlan) -> int:
    mask = 0
    for pick in reversed(plan.picks):
        if pick.worker is not worker:
            break
        mask |= pick.mask
    return mask


def _pick_devices(worker: fleet.Worker, part: int, count: int) -> int:
    free = fleet.usable_devices(worker) & part
    return cells.pick_devices(free if free.bit_count() >= count else part, count)


__all__ = [
    "fill_evicting",
    "fill_fixed",
    "fill_free",
    "fill_guaranteed",
    "level_on",
    "need_of",
    "never_evict",
]
