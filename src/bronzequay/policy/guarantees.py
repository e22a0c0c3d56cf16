"""Guarantees as cells: which are bound to a place, and whether the rest can be carved out.

A guarantee's cell is bound to a block of one worker while guaranteed gangs of its organisation
run inside it. The safety invariant: all cells that are not bound can be carved, together, out
of the open devices, which are free or held by borrowers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.policy import cells, fleet, model

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class Seat(msgspec.Struct, frozen=True):
    """Where one member sits inside a cell.

    :param cell: the guarantee's cell, or the block that a gang of its own holds
    :param part: mask of the member's own block within the cell
    """

    cell: cells.Cell
    part: int


class Seating(msgspec.Struct, frozen=True):
    """The cells of a gang that is not a borrower, one seat a member.

    :param firm_level: level of a member's accelerators, None if the gang can be reclaimed
    """

    job: ids.JobId
    org: ids.OrgId
    share: model.Share
    seats: tuple[Seat, ...]
    firm_level: int | None


class OrgBook(msgspec.Struct):
    """One organisation's guarantee.

    :param total: cells by level
    :param unbound: cells by level that no gang uses
    :param bound: gangs and their parts by cell
    :param displaced: bound cells on workers that take no new work
    :param firm: blocks by level that gangs hold which cannot be reclaimed
    :param firm_rest: cells by level that would be unused if all others were stopped
    :param by_worker: bound cells by worker
    :param roomy: devices of bound cells that no gang of the organisation uses, by cell
    """

    total: list[int]
    unbound: list[int]
    bound: dict[cells.Cell, dict[ids.JobId, int]] = msgspec.field(default_factory=dict)
    displaced: set[cells.Cell] = msgspec.field(default_factory=set)
    firm: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    firm_rest: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    by_worker: dict[ids.WorkerId, list[cells.Cell]] = msgspec.field(default_factory=dict)
    roomy: dict[cells.Cell, int] = msgspec.field(default_factory=dict)


class Book(msgspec.Struct):
    """All guarantees.

    :param need: cells by level to be carved out, over all organisations: those that no gang
        uses, and those in use on a worker that takes no new work
    :param firm_need: the same if all gangs that can be reclaimed were stopped
    :param seatings: cells by gang, for gangs that are not borrowers
    """

    orgs: dict[ids.OrgId, OrgBook] = msgspec.field(default_factory=dict)
    need: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    firm_need: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
    seatings: dict[ids.JobId, Seating] = msgspec.field(default_factory=dict)


class Unmet(msgspec.Struct, frozen=True):
    """A guarantee that cannot be carved out.

    :param accelerators: size of the missing cells
    :param count: how many are missing
    :param reason: one sentence
    """

    org: ids.OrgId
    accelerators: int
    count: int
    reason: str


def levels_of(shapes: Iterable[model.Shape]) -> list[int]:
    """Return how many cells of each level a guarantee has."""
    counts = [0] * cells.LEVELS
    for shape in shapes:
        counts[min(cells.level(shape.accelerators), cells.LEVELS - 1)] += shape.count
    return counts


def new_book(orgs: Mapping[ids.OrgId, model.OrgRules]) -> Book:
    """Return a book in which no cell is bound."""
    book = Book()
    for org, rules in orgs.items():
        _set_total(book, org, levels_of(rules.guarantee))
    return book


def _set_total(book: Book, org: ids.OrgId, total: list[int]) -> None:
    entry = book.orgs.setdefault(org, OrgBook([0] * cells.LEVELS, [0] * cells.LEVELS))
    for at_level, count in enumerate(total):
        change = count - entry.total[at_level]
        entry.unbound[at_level] += change
        book.need[at_level] += change
    entry.total = total
    _recount_firm(book, entry)


def change(book: Book, orgs: Mapping[ids.OrgId, model.OrgRules]) -> tuple[ids.JobId, ...]:
    """Adopt other guarantees.

    :return: gangs whose cells are no longer guaranteed, to be taken out by ``leave``
    """
    for org in sorted(set(book.orgs) | set(orgs)):
        rules = orgs.get(org)
        _set_total(book, org, levels_of(rules.guarantee if rules else ()))
    losers: set[ids.JobId] = set()
    for entry in book.orgs.values():
        losers.update(_surplus(entry))
    return tuple(sorted(losers))


def _surplus(entry: OrgBook) -> set[ids.JobId]:
    losers: set[ids.JobId] = set()
    for at_level, count in enumerate(entry.unbound):
        bound = [cell for cell in entry.bound if cells.level(cell.size) == at_level]
        for cell in bound[: max(0, -count)]:
            losers.update(entry.bound[cell])
    return losers


def short(book: Book, flt: fleet.Fleet) -> int:
    """Return how many accelerators of unused guarantees cannot be carved out."""
    missing = cells.shortfall(flt.open_cells, book.need)
    return sum(count << at_level for at_level, count in enumerate(missing))


def firm_short(book: Book, flt: fleet.Fleet) -> int:
    """Return what would be missing if every gang that can be reclaimed were stopped."""
    missing = cells.shortfall(flt.soft_cells, book.firm_need)
    return sum(count << at_level for at_level, count in enumerate(missing))


def _recount_firm(book: Book, entry: OrgBook) -> None:
    rest = cells.rest(entry.total, entry.firm)
    for at_level, count in enumerate(rest):
        book.firm_need[at_level] += count - entry.firm_rest[at_level]
    entry.firm_rest = rest


def firm_level(spec: model.JobSpec) -> int | None:
    """Return the level of a member's accelerators, or None if the gang can be reclaimed."""
    return None if spec.reclaimable else cells.level(spec.accelerators)


def _hold_firm(book: Book, flt: fleet.Fleet, seating: Seating, sign: int) -> None:
    if seating.firm_level is None:
        return
    entry = book.orgs.setdefault(seating.org, OrgBook([0] * cells.LEVELS, [0] * cells.LEVELS))
    for seat in seating.seats:
        entry.firm[seating.firm_level] += sign
        _mark_firm(flt, seat, seating.firm_level, is_firm=sign > 0)
    _recount_firm(book, entry)


def _mark_firm(flt: fleet.Fleet, seat: Seat, at_level: int, *, is_firm: bool) -> None:
    worker = flt.workers.get(seat.cell.worker)
    if worker is None:
        return
    first = (seat.part & -seat.part).bit_length() - 1
    mask = cells.block(first, 1 << at_level) & seat.part & worker.everything
    worker.firm = worker.firm | mask if is_firm else worker.firm & ~mask
    fleet.refresh(flt, worker)


def enter(book: Book, flt: fleet.Fleet, seating: Seating) -> None:
    """Bind a gang's cells, without asking whether the rest still fits."""
    book.seatings[seating.job] = seating
    _hold_firm(book, flt, seating, 1)
    for seat in seating.seats:
        if seating.share is model.Share.FIXED:
            _set_open(flt, seat.cell, is_open=False)
        else:
            _bind(book, flt, seating, seat)


def _bind(book: Book, flt: fleet.Fleet, seating: Seating, seat: Seat) -> None:
    entry = book.orgs.setdefault(seating.org, OrgBook([0] * cells.LEVELS, [0] * cells.LEVELS))
    if seat.cell not in entry.bound:
        entry.bound[seat.cell] = {}
        entry.by_worker.setdefault(seat.cell.worker, []).append(seat.cell)
        _count(book, entry, seat.cell, -1)
        _set_open(flt, seat.cell, is_open=False)
        _displace(book, flt, entry, seat.cell)
    users = entry.bound[seat.cell]
    users[seating.job] = users.get(seating.job, 0) | seat.part
    _note_room(entry, seat.cell)


def _note_room(entry: OrgBook, cell: cells.Cell) -> None:
    used = 0
    for part in entry.bound[cell].values():
        used |= part
    left = cells.mask_of(cell) & ~used
    if left:
        entry.roomy[cell] = left
    else:
        entry.roomy.pop(cell, None)


def _count(book: Book, entry: OrgBook, cell: cells.Cell, sign: int) -> None:
    at_level = cells.level(cell.size)
    entry.unbound[at_level] += sign
    book.need[at_level] += sign


def follow(book: Book, flt: fleet.Fleet, name: ids.WorkerId) -> None:
    """Take in whether a worker takes new work, for the cells that are bound there."""
    for entry in book.orgs.values():
        for cell in entry.by_worker.get(name, ()):
            _displace(book, flt, entry, cell)


def _displace(book: Book, flt: fleet.Fleet, entry: OrgBook, cell: cells.Cell) -> None:
    worker = flt.workers.get(cell.worker)
    is_displaced = worker is None or not worker.is_open
    if is_displaced == (cell in entry.displaced):
        return
    book.need[cells.level(cell.size)] += 1 if is_displaced else -1
    if is_displaced:
        entry.displaced.add(cell)
    else:
        entry.displaced.remove(cell)


def _set_open(flt: fleet.Fleet, cell: cells.Cell, *, is_open: bool) -> None:
    worker = flt.workers.get(cell.worker)
    if worker is None:
        return
    mask = cells.mask_of(cell) & worker.everything
    worker.open = worker.open | mask if is_open else worker.open & ~mask
    fleet.refresh(flt, worker)


def leave(book: Book, flt: fleet.Fleet, job: ids.JobId) -> None:
    """Unbind the cells of a gang, if it has any."""
    seating = book.seatings.pop(job, None)
    if seating is None:
        return
    _hold_firm(book, flt, seating, -1)
    for cell in dict.fromkeys(seat.cell for seat in seating.seats):
        if seating.share is model.Share.GUARANTEED:
            _unbind(book, flt, seating, cell)
        else:
            _set_open(flt, cell, is_open=True)


def _unbind(book: Book, flt: fleet.Fleet, seating: Seating, cell: cells.Cell) -> None:
    entry = book.orgs[seating.org]
    entry.bound[cell].pop(seating.job, None)
    if entry.bound[cell]:
        _note_room(entry, cell)
        return
    del entry.bound[cell]
    entry.roomy.pop(cell, None)
    entry.by_worker[cell.worker].remove(cell)
    _count(book, entry, cell, 1)
    if cell in entry.displaced:
        entry.displaced.remove(cell)
        book.need[cells.level(cell.size)] -= 1
    _set_open(flt, cell, is_open=True)


def close(book: Book, flt: fleet.Fleet, job: ids.JobId) -> None:
    """Close a gang's cells again on a worker that has come back."""
    seating = book.seatings.get(job)
    for seat in seating.seats if seating else ():
        _set_open(flt, seat.cell, is_open=False)
        if seating is not None and seating.firm_level is not None:
            _mark_firm(flt, seat, seating.firm_level, is_firm=True)


def try_enter(book: Book, flt: fleet.Fleet, seating: Seating) -> bool:
    """Bind a gang's cells if every unused guarantee stays as reachable as before.

    :return: whether the cells were bound
    """
    before, firm_before = short(book, flt), firm_short(book, flt)
    enter(book, flt, seating)
    is_within = all(count >= 0 for count in book.orgs[seating.org].unbound)
    is_firm_within = firm_short(book, flt) <= firm_before
    if is_within and is_firm_within and short(book, flt) <= before:
        return True
    leave(book, flt, seating.job)
    return False


def unmet(book: Book, flt: fleet.Fleet) -> tuple[Unmet, ...]:
    """Name the guarantees that cannot be carved out, and why.

    The missing cells of a level are attributed to organisations in the order of their names.
    """
    missing = cells.shortfall(flt.open_cells, book.need)
    found: list[Unmet] = []
    for at_level, count in enumerate(missing):
        left = count
        for org in sorted(book.orgs):
            entry = book.orgs[org]
            displaced = sum(cells.level(cell.size) == at_level for cell in entry.displaced)
            part = min(left, max(0, entry.unbound[at_level]) + displaced)
            if part:
                found.append(Unmet(org, 1 << at_level, part, _reason(flt, at_level)))
            left -= part
    return tuple(found)


def _reason(flt: fleet.Fleet, at_level: int) -> str:
    size = 1 << at_level
    out = sum(1 for worker in flt.workers.values() if not worker.is_open)
    there = sum(count << above for above, count in enumerate(flt.open_cells[at_level:]))
    return (
        f"too few cells of {size} accelerators are free or reclaimable "
        f"({there} before larger guarantees are served, {out} workers leaving or quarantined)"
    )


__all__ = [
    "Book",
    "OrgBook",
    "Seat",
    "Seating",
    "Unmet",
    "change",
    "close",
    "enter",
    "firm_level",
    "firm_short",
    "follow",
    "leave",
    "levels_of",
    "new_book",
    "short",
    "try_enter",
    "unmet",
]
