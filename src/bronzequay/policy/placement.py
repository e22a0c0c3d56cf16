"""Ways to fill a worker with members of a gang: free room, cells, and room made by stopping."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.policy import cells, fleet, guarantees, model, search

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    Price = Callable[[ids.JobId], float | None]
    """Lost work if a gang is stopped, in accelerator seconds; None when it must not be."""
    Option = tuple[int, guarantees.Seat | None]
    """Devices for one member, and its seat in a cell."""
    Options = Callable[[fleet.Worker, search.Draft], Iterable[Option]]


class Eviction(msgspec.Struct, frozen=True):
    """Gangs to stop for one member, and the work that is lost, in accelerator seconds."""

    cost: float
    victims: set[ids.JobId]


def need_of(record: model.JobRecord) -> search.Need:
    """Return what a job takes: its declaration, or more when it was seen to use more."""
    spec = record.spec
    return search.Need(
        spec.members,
        spec.accelerators,
        max(spec.cpu, record.seen_cpu),
        max(spec.mem_gb, record.seen_mem_gb),
    )


def level_on(worker: fleet.Worker, need: search.Need) -> int:
    """Return the level of the cell whose share of the worker covers a member.

    A cell stands for its share of the worker's cores and memory as well, so that a guarantee
    is not emptied by members that take few accelerators and all of the memory.
    """
    spec = worker.spec
    by_cpu = -(-need.cpu * spec.accelerators // spec.cpu) if spec.cpu else 0
    by_mem = -(-need.mem_gb * spec.accelerators // spec.mem_gb) if spec.mem_gb else 0
    return cells.level(max(need.accelerators, by_cpu, by_mem))


def never(_job: ids.JobId) -> float | None:
    """Return None: no gang may be stopped."""
    return None


def fill_free(need: search.Need) -> search.Fill:
    """Return a function that uses free room only."""

    def fill(worker: fleet.Worker, room: int, draft: search.Draft) -> None:
        mask = fleet.usable(worker)
        there = (mask.bit_count(), fleet.spare_cpu(worker), fleet.spare_mem_gb(worker))
        for _ in range(min(room, search.members_on(there, need))):
            chosen = cells.pick(mask, need.accelerators)
            mask &= ~chosen
            draft.picks.append(search.Pick(worker, chosen, None))

    return fill


def fill_evicting(need: search.Need, price: Price) -> search.Fill:
    """Return a function that makes room by stopping gangs, wherever they are."""

    def options(worker: fleet.Worker, draft: search.Draft) -> list[tuple[int, None]]:
        taken = _drafted(worker, draft)
        mask = worker.everything & ~taken
        if not need.accelerators:
            return [(0, None)]
        blocks = list(cells.inside(mask, cells.level(need.accelerators)))
        if not blocks and mask.bit_count() >= need.accelerators:
            blocks = [mask]
        return [(_chosen(worker, block, need.accelerators), None) for block in blocks]

    return _filler(need, price, options)


def _filler(
    need: search.Need, price: Price, options: Options, entry: guarantees.OrgBook | None = None
) -> search.Fill:
    def fill(worker: fleet.Worker, room: int, draft: search.Draft) -> None:
        for _ in range(room):
            there = options(worker, draft)
            if not _add_cheapest(worker, need, price, draft, options=there, entry=entry):
                return

    return fill


def _add_cheapest(
    worker: fleet.Worker,
    need: search.Need,
    price: Price,
    draft: search.Draft,
    *,
    options: Iterable[Option],
    entry: guarantees.OrgBook | None,
) -> bool:
    best: Eviction | None = None
    chosen: Option | None = None
    for option in options:
        eviction = _evict(worker, option[0], draft, price)
        if eviction is None or (best is not None and eviction.cost >= best.cost):
            continue
        best, chosen = eviction, option
        if not eviction.cost:
            break
    if best is None or chosen is None:
        return False
    best = _with_room(worker, need, draft, price, best)
    if best is None:
        return False
    _add(worker, chosen, best, draft, entry)
    return True


def _add(
    worker: fleet.Worker,
    option: Option,
    eviction: Eviction,
    draft: search.Draft,
    entry: guarantees.OrgBook | None,
) -> None:
    mask, seat = option
    draft.victims |= eviction.victims
    draft.cost += eviction.cost
    draft.picks.append(search.Pick(worker, mask, seat))
    if seat is None:
        return
    if entry is not None and seat.cell not in entry.bound and seat.cell not in draft.opened:
        draft.budget[cells.level(seat.cell.size)] -= 1
    draft.opened[seat.cell] = draft.opened.get(seat.cell, 0) | seat.part


def _evict(worker: fleet.Worker, mask: int, draft: search.Draft, price: Price) -> Eviction | None:
    if any(claim.mask & mask for claim in worker.claims.values()):
        return None
    victims: set[ids.JobId] = set()
    cost = 0.0
    for job, hold in worker.gangs.items():
        if not hold.mask & mask or job in draft.victims:
            continue
        loss = price(job)
        if loss is None:
            return None
        victims.add(job)
        cost += loss
    return Eviction(cost, victims)


def _with_room(
    worker: fleet.Worker, need: search.Need, draft: search.Draft, price: Price, eviction: Eviction
) -> Eviction | None:
    """Add gangs to stop until a member's cores and memory are free as well."""
    victims = draft.victims | eviction.victims
    drafted = _drafted_members(worker, draft)
    cpu = fleet.spare_cpu(worker) - need.cpu * (drafted + 1)
    mem_gb = fleet.spare_mem_gb(worker) - need.mem_gb * (drafted + 1)
    for job in victims & worker.gangs.keys():
        cpu += worker.gangs[job].cpu
        mem_gb += worker.gangs[job].mem_gb
    if cpu >= 0 and mem_gb >= 0:
        return eviction
    added = set(eviction.victims)
    cost = eviction.cost
    for loss, job in _priced(worker, price, victims):
        hold = worker.gangs[job]
        if (cpu >= 0 or not hold.cpu) and (mem_gb >= 0 or not hold.mem_gb):
            continue
        added.add(job)
        cost += loss
        cpu += hold.cpu
        mem_gb += hold.mem_gb
        if cpu >= 0 and mem_gb >= 0:
            return Eviction(cost, added)
    return None


def _priced(
    worker: fleet.Worker, price: Price, known: set[ids.JobId]
) -> list[tuple[float, ids.JobId]]:
    found: list[tuple[float, ids.JobId]] = []
    for job in worker.gangs:
        loss = None if job in known else price(job)
        if loss is not None:
            found.append((loss, job))
    return sorted(found)


def fill_fixed(need: search.Need, price: Price) -> search.Fill:
    """Return a function that takes open cells for good, for gangs that cannot be reclaimed."""

    def options(
        worker: fleet.Worker, draft: search.Draft
    ) -> list[tuple[int, guarantees.Seat | None]]:
        if not worker.everything:
            return [] if need.accelerators else [(0, None)]
        mask = worker.open & ~_seated(worker, draft)
        found: list[tuple[int, guarantees.Seat | None]] = []
        for part in _tight_first(mask, level_on(worker, need)):
            seat = guarantees.Seat(cells.cell_of(worker.spec.worker, part), part)
            found.append((_chosen(worker, part, need.accelerators), seat))
        return found

    return _filler(need, price, options)


def fill_guaranteed(need: search.Need, entry: guarantees.OrgBook, price: Price) -> search.Fill:
    """Return a function that uses an organisation's guarantee: bound cells first."""

    def options(worker: fleet.Worker, draft: search.Draft) -> list[tuple[int, guarantees.Seat]]:
        at_level = level_on(worker, need)
        seats = _bound_seats(worker, entry, draft, at_level)
        if not seats:
            seats = _new_seats(worker, draft, at_level)
        return [(_chosen(worker, seat.part, need.accelerators), seat) for seat in seats]

    return _filler(need, price, options, entry)


def _bound_seats(
    worker: fleet.Worker, entry: guarantees.OrgBook, draft: search.Draft, at_level: int
) -> list[guarantees.Seat]:
    found: list[guarantees.Seat] = []
    name = worker.spec.worker
    opened = [cell for cell in draft.opened if cell.worker == name]
    for cell in dict.fromkeys((*entry.by_worker.get(name, ()), *opened)):
        mask = cells.mask_of(cell) & ~draft.opened.get(cell, 0)
        for part in entry.bound.get(cell, {}).values():
            mask &= ~part
        found.extend(guarantees.Seat(cell, part) for part in cells.inside(mask, at_level))
    return found


def _new_seats(worker: fleet.Worker, draft: search.Draft, at_level: int) -> list[guarantees.Seat]:
    grade = next((up for up in range(at_level, cells.LEVELS) if draft.budget[up] > 0), None)
    if grade is None:
        return []
    found: list[guarantees.Seat] = []
    for mask in _tight_first(worker.open & ~_seated(worker, draft), grade):
        cell = cells.cell_of(worker.spec.worker, mask)
        found.extend(guarantees.Seat(cell, part) for part in cells.inside(mask, at_level))
    return found


def _tight_first(mask: int, at_level: int) -> list[int]:
    return [
        part
        for above, block in cells.maximal(mask)
        if above >= at_level
        for part in cells.inside(block, at_level)
    ]


def _seated(worker: fleet.Worker, draft: search.Draft) -> int:
    mask = 0
    for cell in draft.opened:
        if cell.worker == worker.spec.worker:
            mask |= cells.mask_of(cell)
    return mask


def _drafted_members(worker: fleet.Worker, draft: search.Draft) -> int:
    count = 0
    for pick in reversed(draft.picks):
        if pick.worker is not worker:
            break
        count += 1
    return count


def _drafted(worker: fleet.Worker, draft: search.Draft) -> int:
    mask = 0
    for pick in reversed(draft.picks):
        if pick.worker is not worker:
            break
        mask |= pick.mask
    return mask


def _chosen(worker: fleet.Worker, part: int, count: int) -> int:
    free = fleet.usable(worker) & part
    return cells.pick(free if free.bit_count() >= count else part, count)


__all__ = [
    "fill_evicting",
    "fill_fixed",
    "fill_free",
    "fill_guaranteed",
    "level_on",
    "need_of",
    "never",
]
