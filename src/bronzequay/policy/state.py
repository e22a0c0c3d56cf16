"""The state on which decisions are taken, and its bookkeeping when a record moves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import codes, ids
from bronzequay.policy import cells, fleet, guarantees, health, model, ordering, placement, search

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


Workers = dict[ids.WorkerId, fleet.Worker]


class Demand(msgspec.Struct, frozen=True):
    """What decides whether a job can ever run."""

    need: search.Need
    org: ids.OrgId
    is_reclaimable: bool


class Claim(msgspec.Struct):
    """Places kept for a gang until others have stopped.

    :param waits: gangs that still hold some of the places
    :param right: the reason for which the others were stopped
    """

    job: ids.JobId
    placements: tuple[model.Placement, ...]
    share: model.Share
    seats: tuple[guarantees.Seat, ...]
    waits: set[ids.JobId]
    right: str


class State(msgspec.Struct):
    """All that decisions depend on; ``step`` changes it in place.

    :param dirty: jobs whose records changed since ``take_dirty``
    :param claims: places kept for gangs whose turn it is
    :param claimants: jobs that wait for a gang to stop, by that gang
    :param stopping: gangs told to checkpoint, with the time by which they are told to stop
    :param infeasible: jobs that no fleet or bundle seen since could run
    :param demands: waiting and infeasible jobs by what they take
    :param scopes: how far gangs may spread, for the fleet of ``scopes_version``
    :param absent: gangs placed on workers that are not there, by worker
    :param fresh: jobs that were queued since the queue was last walked
    :param blocked: what found no room, with the value of ``fleet.freed`` at that time
    :param seen_freed: value of ``fleet.freed`` when the queue was last walked
    :param walked_s: when the whole queue was last walked
    :param improved_s: when gangs were last stopped for a better schedule alone
    :param now_s: time of the last event
    """

    rules: model.Rules
    fleet: fleet.Fleet
    book: guarantees.Book
    jobs: dict[ids.JobId, model.JobRecord] = msgspec.field(default_factory=dict)
    dirty: set[ids.JobId] = msgspec.field(default_factory=set)
    queues: ordering.Queues = msgspec.field(default_factory=ordering.Queues)
    health: health.Health = msgspec.field(default_factory=health.Health)
    claims: dict[ids.JobId, Claim] = msgspec.field(default_factory=dict)
    claimants: dict[ids.JobId, set[ids.JobId]] = msgspec.field(default_factory=dict)
    stopping: dict[ids.JobId, float] = msgspec.field(default_factory=dict)
    infeasible: set[ids.JobId] = msgspec.field(default_factory=set)
    demands: dict[Demand, set[ids.JobId]] = msgspec.field(default_factory=dict)
    scopes: dict[search.Need, search.Scope] = msgspec.field(default_factory=dict)
    scopes_version: int = -1
    absent: dict[ids.WorkerId, set[ids.JobId]] = msgspec.field(default_factory=dict)
    fresh: list[ids.JobId] = msgspec.field(default_factory=list)
    blocked: dict[tuple[object, ...], int] = msgspec.field(default_factory=dict)
    seen_freed: int = -1
    walked_s: float = 0.0
    improved_s: float = 0.0
    now_s: float = 0.0

    @property
    def workers(self) -> Workers:
        """The workers by name."""
        return self.fleet.workers


def size(state: State, need: search.Need) -> float:
    """Return the share of the fleet that a gang takes, by the scarcest resource."""
    flt = state.fleet
    whole = (flt.accelerators, flt.cpu, flt.mem_gb)
    takes = (need.accelerators, need.cpu, need.mem_gb)
    shares = [part / total for part, total in zip(takes, whole, strict=True) if total]
    return need.members * max(shares, default=0.0)


def holds(
    need: search.Need, placements: Iterable[model.Placement]
) -> dict[ids.WorkerId, fleet.Hold]:
    """Return what a gang holds on each worker."""
    found: dict[ids.WorkerId, fleet.Hold] = {}
    for place in placements:
        mask = cells.mask_of_devices(place.devices)
        before = found.get(place.worker, fleet.Hold(0, 0, 0))
        found[place.worker] = fleet.Hold(
            before.mask | mask, before.cpu + need.cpu, before.mem_gb + need.mem_gb
        )
    return found


def scope(state: State, need: search.Need) -> search.Scope:
    """Return how far a gang may spread over the fleet as it is."""
    if state.scopes_version != state.fleet.version:
        state.scopes.clear()
        state.scopes_version = state.fleet.version
    if need not in state.scopes:
        state.scopes[need] = search.scope(state.fleet, need)
    return state.scopes[need]


def move(
    state: State,
    record: model.JobRecord,
    new: model.JobState,
    code: codes.ResultCode,
    now_s: float,
    *,
    detail: str = "",
) -> None:
    """Move a record to another state, give up what it no longer holds, and note it."""
    if new not in model.TRANSITIONS[record.state]:
        raise AssertionError(f"{record.job}: {record.state.value} to {new.value}")
    old = record.state
    record.state = new
    record.code = code
    note(state, record, now_s, detail)
    if old in model.PLACED_STATES and new not in model.PLACED_STATES:
        vacate(state, record)
    if new in model.FINAL_STATES:
        record.ended_s = now_s
        state.health.forget_job(record.job)


def note(state: State, record: model.JobRecord, now_s: float, detail: str = "") -> None:
    """Append a record's state to its history."""
    entry = model.HistoryEntry(
        at_s=now_s,
        state=record.state,
        code=record.code,
        attempt=record.attempt,
        bundle=state.rules.version,
        workers=tuple(dict.fromkeys(place.worker for place in record.placements)),
        detail=detail,
    )
    record.history.append(entry)
    state.dirty.add(record.job)


def demand_of(record: model.JobRecord) -> Demand:
    """Return what decides whether a job can ever run."""
    return Demand(placement.need_of(record), record.spec.org, record.spec.reclaimable)


def set_infeasible(state: State, record: model.JobRecord) -> None:
    """Keep a job aside until the fleet or the bundle changes."""
    state.infeasible.add(record.job)
    state.demands.setdefault(demand_of(record), set()).add(record.job)


def enqueue(state: State, record: model.JobRecord) -> None:
    """Put an accepted job into the queue."""
    need = placement.need_of(record)
    ordering.add(state.queues, record, size(state, need))
    state.demands.setdefault(demand_of(record), set()).add(record.job)
    state.fresh.append(record.job)


def dequeue(state: State, record: model.JobRecord) -> None:
    """Take a job out of the queue or from among the infeasible ones."""
    ordering.remove(state.queues, record)
    state.infeasible.discard(record.job)
    demand = demand_of(record)
    jobs = state.demands.get(demand, set())
    jobs.discard(record.job)
    if not jobs:
        state.demands.pop(demand, None)
    drop_claim(state, record.job)


def occupy(
    state: State,
    record: model.JobRecord,
    share: model.Share,
    seats: Sequence[guarantees.Seat],
) -> None:
    """Count a gang's placements as held; its cells are bound already."""
    need = placement.need_of(record)
    parts = holds(need, record.placements)
    fleet.hold(state.fleet, record.job, parts.items())
    ordering.hold(state.queues, record, size(state, need))
    record.share = share
    record.cells = tuple(seat.cell for seat in seats)


def vacate(state: State, record: model.JobRecord) -> None:
    """Give up what a gang holds and tell those that wait for it."""
    guarantees.leave(state.book, state.fleet, record.job)
    names = {place.worker for place in record.placements}
    fleet.release(state.fleet, record.job, sorted(names))
    ordering.release(state.queues, record)
    state.stopping.pop(record.job, None)
    for name in sorted(names & state.absent.keys()):
        state.absent[name].discard(record.job)
    for job in state.claimants.pop(record.job, ()):
        if job in state.claims:
            state.claims[job].waits.discard(record.job)


def unbind(state: State, record: model.JobRecord) -> None:
    """Give up the cells of a gang that is being stopped; it holds its devices until then."""
    guarantees.leave(state.book, state.fleet, record.job)


def stop(state: State, record: model.JobRecord, mode: model.StopMode) -> model.StopGang:
    """Note how a gang is told to stop.

    :return: the command
    """
    record.stop = mode
    state.dirty.add(record.job)
    if mode is model.StopMode.STOP:
        state.stopping.pop(record.job, None)
    return model.StopGang(record.job, record.attempt, record.placements, mode)


def add_claim(state: State, claim: Claim) -> None:
    """Keep places for a gang."""
    record = state.jobs[claim.job]
    parts = holds(placement.need_of(record), claim.placements)
    state.claims[claim.job] = claim
    fleet.claim(state.fleet, claim.job, parts.items())
    for victim in claim.waits:
        state.claimants.setdefault(victim, set()).add(claim.job)


def drop_claim(state: State, job: ids.JobId) -> None:
    """Give up the places kept for a gang, and the cells bound for it."""
    claim = state.claims.pop(job, None)
    if claim is None:
        return
    guarantees.leave(state.book, state.fleet, job)
    free_claim(state, claim)


def free_claim(state: State, claim: Claim) -> None:
    """Give up the places of a claim but not its cells."""
    names = sorted({place.worker for place in claim.placements})
    fleet.unclaim(state.fleet, claim.job, names)
    for victim in claim.waits:
        waiting = state.claimants.get(victim, set())
        waiting.discard(claim.job)
        if not waiting:
            state.claimants.pop(victim, None)


__all__ = [
    "Claim",
    "Demand",
    "State",
    "add_claim",
    "demand_of",
    "dequeue",
    "drop_claim",
    "enqueue",
    "free_claim",
    "holds",
    "move",
    "note",
    "occupy",
    "scope",
    "set_infeasible",
    "size",
    "stop",
    "unbind",
    "vacate",
]
