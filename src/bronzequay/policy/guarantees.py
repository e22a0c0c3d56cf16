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
    """The cells of a gang that is not a borrower, one seat a member."""

    job: ids.JobId
    org: ids.OrgId
    share: model.Share
    seats: tuple[Seat, ...]


class OrgBook(msgspec.Struct):
    """One organisation's guarantee.

    :param total: cells by level
    :param unbound: cells by level that no gang uses
    :param bound: gangs and their parts by cell
    :param by_worker: bound cells by worker
    :param roomy: devices of bound cells that no gang of the organisation uses, by cell
    """

    total: list[int]
    unbound: list[int]
    bound: dict[cells.Cell, dict[ids.JobId, int]] = msgspec.field(default_factory=dict)
    by_worker: dict[ids.WorkerId, list[cells.Cell]] = msgspec.field(default_factory=dict)
    roomy: dict[cells.Cell, int] = msgspec.field(default_factory=dict)


class Book(msgspec.Struct):
    """All guarantees.

    :param need: cells by level that no gang uses, over all organisations
    :param seatings: cells by gang, for gangs that are not borrowers
    """

    orgs: dict[ids.OrgId, OrgBook] = msgspec.field(default_factory=dict)
    need: list[int] = msgspec.field(default_factory=lambda: [0] * cells.LEVELS)
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


def change(book: Book, orgs: Mapping[ids.OrgId, model.OrgRules]) -> tuple[ids.JobId, ...]:
    """Adopt other guarantees.

    :return: gangs whose cells are no longer guaranteed, to be taken out by ``leave``
    """
    for org in set(book.orgs) | set(orgs):
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


def enter(book: Book, flt: fleet.Fleet, seating: Seating) -> None:
    """Bind a gang's cells, without asking whether the rest still fits."""
    book.seatings[seating.job] = seating
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
    for cell in {seat.cell for seat in seating.seats}:
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
    _set_open(flt, cell, is_open=True)


def close(book: Book, flt: fleet.Fleet, job: ids.JobId) -> None:
    """Close a gang's cells again on a worker that has come back."""
    seating = book.seatings.get(job)
    for seat in seating.seats if seating else ():
        _set_open(flt, seat.cell, is_open=False)


def try_enter(book: Book, flt: fleet.Fleet, seating: Seating) -> bool:
    """Bind a gang's cells if every unused guarantee stays as reachable as before.

    :return: whether the cells were bound
    """
    before = short(book, flt)
    enter(book, flt, seating)
    is_within = all(count >= 0 for count in book.orgs[seating.org].unbound)
    if is_within and short(book, flt) <= before:
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
            part = min(left, max(0, book.orgs[org].unbound[at_level]))
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
    "leave",
    "levels_of",
    "new_book",
    "short",
    "try_enter",
    "unmet",
]
