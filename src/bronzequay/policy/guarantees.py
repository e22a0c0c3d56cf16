"""Guarantees as cells: those bound to devices, and whether the others can be carved out.

A cell of a guarantee is bound to a block of one worker while guaranteed gangs of its
organisation run in it. Safety invariant: all cells that are not bound can be carved, together,
out of the open devices, which are free or allocated to borrowers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.policy import cells, fleet, model

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class MemberBlock(msgspec.Struct, frozen=True):
    """Block of devices that one member occupies within a cell.

    :param cell: a cell of the guarantee, or the block that a gang beyond its guarantee binds
    :param part: mask of the member's block within the cell
    """

    cell: cells.Cell
    part: int


class Binding(msgspec.Struct, frozen=True):
    """The cells that a gang which is not a borrower has bound.

    :param member_blocks: one block per member
    :param pinned_level: level of a member's accelerators, None if the gang can be reclaimed
    """

    job: ids.JobId
    org: ids.OrgId
    share: model.Share
    member_blocks: tuple[MemberBlock, ...]
    pinned_level: int | None


class OrgLedger(msgspec.Struct):
    """One organisation's guarantee.

    :param total: number of cells by level
    :param unbound: number of cells by level that no gang has bound, below 0 while gangs hold
        more cells than the guarantee has
    :param bound: mask of each gang by bound cell
    :param displaced: bound cells on workers that take no new gangs
    :param pinned_blocks: number of blocks by level of gangs that cannot be reclaimed
    :param pinned_remainder: number of cells by level that would be unused if only the gangs
        that cannot be reclaimed were left
    :param by_worker: bound cells by worker
    :param spare_devices: mask of the devices that no gang uses, by bound cell
    """

    total: list[int]
    unbound: list[int]
    bound: dict[cells.Cell, dict[ids.JobId, int]] = msgspec.field(default_factory=dict)
    displaced: set[cells.Cell] = msgspec.field(default_factory=set)
    pinned_blocks: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    pinned_remainder: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    by_worker: dict[ids.WorkerId, list[cells.Cell]] = msgspec.field(default_factory=dict)
    spare_devices: dict[cells.Cell, int] = msgspec.field(default_factory=dict)


class Ledger(msgspec.Struct):
    """The guarantees of all organisations.

    :param need: number of cells by level that must be carvable, over all organisations: the
        unbound ones and the bound ones on workers that take no new gangs
    :param pinned_need: the same if all gangs that can be reclaimed were stopped
    :param bindings: bound cells by gang, for gangs that are not borrowers
    """

    orgs: dict[ids.OrgId, OrgLedger] = msgspec.field(default_factory=dict)
    need: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    pinned_need: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    bindings: dict[ids.JobId, Binding] = msgspec.field(default_factory=dict)


class UnmetGuarantee(msgspec.Struct, frozen=True):
    """A guarantee that cannot be carved out.

    :param accelerators: accelerators per missing cell
    :param count: number of missing cells
    :param reason: the cause, in one sentence
    """

    org: ids.OrgId
    accelerators: int
    count: int
    reason: str


def cells_by_level(shapes: Iterable[model.Shape]) -> list[int]:
    """Return the number of cells of each level in a guarantee."""
    counts = [0] * cells.LEVELS
    for shape in shapes:
        counts[min(cells.level_for(shape.accelerators), cells.LEVELS - 1)] += shape.count
    return counts


def new_ledger(orgs: Mapping[ids.OrgId, model.OrgRules]) -> Ledger:
    """Return a ledger in which no cell is bound."""
    ledger = Ledger()
    for org, rules in orgs.items():
        _set_total(ledger, org, cells_by_level(rules.guarantee))
    return ledger


def _set_total(ledger: Ledger, org: ids.OrgId, total: list[int]) -> None:
    entry = ledger.orgs.setdefault(org, OrgLedger([0] * cells.LEVELS, [0] * cells.LEVELS))
    for level, count in enumerate(total):
        delta = count - entry.total[level]
        entry.unbound[level] += delta
        ledger.need[level] += delta
    entry.total = total
    _recount_pinned(ledger, entry)


def apply_rules(ledger: Ledger, orgs: Mapping[ids.OrgId, model.OrgRules]) -> tuple[ids.JobId, ...]:
    """Replace the guarantees.

    :return: gangs whose cells are no longer guaranteed, to be unbound by the caller
    """
    for org in sorted(set(ledger.orgs) | set(orgs)):
        rules = orgs.get(org)
        _set_total(ledger, org, cells_by_level(rules.guarantee if rules else ()))
    surplus_gangs: set[ids.JobId] = set()
    for entry in ledger.orgs.values():
        surplus_gangs.update(_surplus_gangs(entry))
    return tuple(sorted(surplus_gangs))


def _surplus_gangs(entry: OrgLedger) -> set[ids.JobId]:
    surplus_gangs: set[ids.JobId] = set()
    for level, count in enumerate(entry.unbound):
        bound = [cell for cell in entry.bound if cells.level_for(cell.size) == level]
        for cell in bound[: max(0, -count)]:
            surplus_gangs.update(entry.bound[cell])
    return surplus_gangs


def shortage(ledger: Ledger, flt: fleet.Fleet) -> int:
    """Return how many accelerators of unused guarantees cannot be carved out now."""
    missing = cells.shortfall(flt.open_cells, ledger.need)
    return sum(count << level for level, count in enumerate(missing))


def pinned_shortage(ledger: Ledger, flt: fleet.Fleet) -> int:
    """Return the shortage, in accelerators, if every gang that can be reclaimed were stopped."""
    missing = cells.shortfall(flt.unpinned_cells, ledger.pinned_need)
    return sum(count << level for level, count in enumerate(missing))


def _recount_pinned(ledger: Ledger, entry: OrgLedger) -> None:
    remainder = cells.remaining_cells(entry.total, entry.pinned_blocks)
    for level, count in enumerate(remainder):
        ledger.pinned_need[level] += count - entry.pinned_remainder[level]
    entry.pinned_remainder = remainder


def pinned_level(spec: model.JobSpec) -> int | None:
    """Return the level of a member's accelerators, or None if the gang can be reclaimed."""
    return None if spec.reclaimable else cells.level_for(spec.accelerators)


def _count_pinned(ledger: Ledger, flt: fleet.Fleet, binding: Binding, sign: int) -> None:
    if binding.pinned_level is None:
        return
    entry = ledger.orgs.setdefault(binding.org, OrgLedger([0] * cells.LEVELS, [0] * cells.LEVELS))
    for member_block in binding.member_blocks:
        entry.pinned_blocks[binding.pinned_level] += sign
        _mark_pinned(flt, member_block, binding.pinned_level, is_pinned=sign > 0)
    _recount_pinned(ledger, entry)


def _mark_pinned(
    flt: fleet.Fleet, member_block: MemberBlock, level: int, *, is_pinned: bool
) -> None:
    worker = flt.workers.get(member_block.cell.worker)
    if worker is None:
        return
    first = (member_block.part & -member_block.part).bit_length() - 1
    mask = cells.block(first, 1 << level) & member_block.part & worker.all_devices
    worker.pinned_devices = (
        worker.pinned_devices | mask if is_pinned else worker.pinned_devices & ~mask
    )
    fleet.update_indexes(flt, worker)


def bind(ledger: Ledger, flt: fleet.Fleet, binding: Binding) -> None:
    """Bind a gang's cells, without a check that the other guarantees can still be carved out."""
    ledger.bindings[binding.job] = binding
    _count_pinned(ledger, flt, binding, 1)
    for member_block in binding.member_blocks:
        if binding.share is model.Share.FIXED:
            _set_open(flt, member_block.cell, is_open=False)
        else:
            _bind_cell(ledger, flt, binding, member_block)


def _bind_cell(
    ledger: Ledger, flt: fleet.Fleet, binding: Binding, member_block: MemberBlock
) -> None:
    entry = ledger.orgs.setdefault(binding.org, OrgLedger([0] * cells.LEVELS, [0] * cells.LEVELS))
    if member_block.cell not in entry.bound:
        entry.bound[member_block.cell] = {}
        entry.by_worker.setdefault(member_block.cell.worker, []).append(member_block.cell)
        _count_unbound(ledger, entry, member_block.cell, -1)
        _set_open(flt, member_block.cell, is_open=False)
        _update_cell_displaced(ledger, flt, entry, member_block.cell)
    gang_masks = entry.bound[member_block.cell]
    gang_masks[binding.job] = gang_masks.get(binding.job, 0) | member_block.part
    _update_spare_devices(entry, member_block.cell)


def _update_spare_devices(entry: OrgLedger, cell: cells.Cell) -> None:
    used = 0
    for part in entry.bound[cell].values():
        used |= part
    unused = cells.mask_of(cell) & ~used
    if unused:
        entry.spare_devices[cell] = unused
    else:
        entry.spare_devices.pop(cell, None)


def _count_unbound(ledger: Ledger, entry: OrgLedger, cell: cells.Cell, sign: int) -> None:
    level = cells.level_for(cell.size)
    entry.unbound[level] += sign
    ledger.need[level] += sign


def update_displaced(ledger: Ledger, flt: fleet.Fleet, name: ids.WorkerId) -> None:
    """Update the displaced cells after a worker starts or stops taking new gangs."""
    for entry in ledger.orgs.values():
        for cell in entry.by_worker.get(name, ()):
            _update_cell_displaced(ledger, flt, entry, cell)


def _update_cell_displaced(
    ledger: Ledger, flt: fleet.Fleet, entry: OrgLedger, cell: cells.Cell
) -> None:
    worker = flt.workers.get(cell.worker)
    is_displaced = worker is None or not worker.is_schedulable
    if is_displaced == (cell in entry.displaced):
        return
    ledger.need[cells.level_for(cell.size)] += 1 if is_displaced else -1
    if is_displaced:
        entry.displaced.add(cell)
    else:
        entry.displaced.remove(cell)


def _set_open(flt: fleet.Fleet, cell: cells.Cell, *, is_open: bool) -> None:
    worker = flt.workers.get(cell.worker)
    if worker is None:
        return
    mask = cells.mask_of(cell) & worker.all_devices
    worker.open_devices = worker.open_devices | mask if is_open else worker.open_devices & ~mask
    fleet.update_indexes(flt, worker)


def unbind(ledger: Ledger, flt: fleet.Fleet, job: ids.JobId) -> None:
    """Unbind a gang's cells, if it has any."""
    binding = ledger.bindings.pop(job, None)
    if binding is None:
        return
    _count_pinned(ledger, flt, binding, -1)
    for cell in dict.fromkeys(member_block.cell for member_block in binding.member_blocks):
        if binding.share is model.Share.GUARANTEED:
            _unbind_cell(ledger, flt, binding, cell)
        else:
            _set_open(flt, cell, is_open=True)


def _unbind_cell(ledger: Ledger, flt: fleet.Fleet, binding: Binding, cell: cells.Cell) -> None:
    entry = ledger.orgs[binding.org]
    entry.bound[cell].pop(binding.job, None)
    if entry.bound[cell]:
        _update_spare_devices(entry, cell)
        return
    del entry.bound[cell]
    entry.spare_devices.pop(cell, None)
    entry.by_worker[cell.worker].remove(cell)
    _count_unbound(ledger, entry, cell, 1)
    if cell in entry.displaced:
        entry.displaced.remove(cell)
        ledger.need[cells.level_for(cell.size)] -= 1
    _set_open(flt, cell, is_open=True)


def close_cells(ledger: Ledger, flt: fleet.Fleet, job: ids.JobId) -> None:
    """Take a gang's cells out of the open devices of a worker that has rejoined."""
    binding = ledger.bindings.get(job)
    for member_block in binding.member_blocks if binding else ():
        _set_open(flt, member_block.cell, is_open=False)
        if binding is not None and binding.pinned_level is not None:
            _mark_pinned(flt, member_block, binding.pinned_level, is_pinned=True)


def try_bind(ledger: Ledger, flt: fleet.Fleet, binding: Binding) -> bool:
    """Bind a gang's cells if every unused guarantee can be carved out as before.

    :return: whether the cells were bound
    """
    before, pinned_before = shortage(ledger, flt), pinned_shortage(ledger, flt)
    bind(ledger, flt, binding)
    is_within_total = all(count >= 0 for count in ledger.orgs[binding.org].unbound)
    is_pinned_within = pinned_shortage(ledger, flt) <= pinned_before
    if is_within_total and is_pinned_within and shortage(ledger, flt) <= before:
        return True
    unbind(ledger, flt, binding.job)
    return False


def unmet_guarantees(ledger: Ledger, flt: fleet.Fleet) -> tuple[UnmetGuarantee, ...]:
    """Return the guarantees that cannot be carved out, with the reason.

    Missing cells of a level are attributed to organisations in the order of their names.
    """
    missing = cells.shortfall(flt.open_cells, ledger.need)
    shortfalls: list[UnmetGuarantee] = []
    for level, count in enumerate(missing):
        remaining = count
        for org in sorted(ledger.orgs):
            entry = ledger.orgs[org]
            displaced = sum(cells.level_for(cell.size) == level for cell in entry.displaced)
            part = min(remaining, max(0, entry.unbound[level]) + displaced)
            if part:
                shortfalls.append(UnmetGuarantee(org, 1 << level, part, _reason(flt, level)))
            remaining -= part
    return tuple(shortfalls)


def _reason(flt: fleet.Fleet, level: int) -> str:
    size = 1 << level
    closed = sum(1 for worker in flt.workers.values() if not worker.is_schedulable)
    usable = sum(count << upper_level for upper_level, count in enumerate(flt.open_cells[level:]))
    return (
        f"too few cells of {size} accelerators are free or reclaimable "
        f"({usable} before larger guarantees are served, {closed} workers leaving or quarantined)"
    )


__all__ = [
    "Binding",
    "Ledger",
    "MemberBlock",
    "OrgLedger",
    "UnmetGuarantee",
    "apply_rules",
    "bind",
    "cells_by_level",
    "close_cells",
    "new_ledger",
    "pinned_level",
    "pinned_shortage",
    "shortage",
    "try_bind",
    "unbind",
    "unmet_guarantees",
    "update_displaced",
]
