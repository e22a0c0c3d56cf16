"""State of the scheduling core, and its updates when a job changes state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import codes, ids
from bronzequay.policy import cells, fleet, guarantees, health, model, ordering, placement, search

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


Workers = dict[ids.WorkerId, fleet.Worker]


class Demand(msgspec.Struct, frozen=True):
    """The properties of a job that decide whether it can ever run."""

    need: search.Need
    org: ids.OrgId
    is_reclaimable: bool


class Reservation(msgspec.Struct):
    """Capacity reserved for a gang until other gangs have stopped.

    :param waits_for: gangs that still hold some of the capacity
    :param reason: name of the reason for which the others are being stopped
    """

    job: ids.JobId
    placements: tuple[model.Placement, ...]
    share: model.Share
    member_blocks: tuple[guarantees.MemberBlock, ...]
    waits_for: set[ids.JobId]
    reason: str


class State(msgspec.Struct):
    """All data that decisions depend on; ``core.step`` changes it in place.

    :param dirty: jobs whose records changed since ``pop_dirty``
    :param reservations: capacity reserved for gangs that wait until others have stopped
    :param waiting_on: jobs with a reservation that waits for a gang to stop, by that gang
    :param checkpoint_deadlines: gangs told to checkpoint, with the time after which they are
        stopped without a checkpoint, in seconds since the Unix epoch
    :param infeasible: jobs that can never run on the current fleet under the current rules
    :param demands: waiting and infeasible jobs by demand
    :param scopes: how far gangs may spread, for the fleet at ``scopes_version``
    :param scopes_version: ``fleet.membership_version`` at which ``scopes`` is valid
    :param absent_gangs: gangs placed on workers that are not in the fleet, by worker
    :param newly_queued: jobs queued since the last scan of the queue
    :param failed_searches: searches that found no room, with ``fleet.capacity_version`` at that
        time; they are not repeated while it is unchanged
    :param scanned_capacity_version: ``fleet.capacity_version`` at the last scan of the queue
    :param last_scan_s: time of the last scan of the queue
    :param last_improvement_s: time of the last scan in which gangs could be stopped merely to
        improve the schedule
    :param now_s: time of the last event; all times are in seconds since the Unix epoch
    """

    rules: model.Rules
    fleet: fleet.Fleet
    ledger: guarantees.Ledger
    jobs: dict[ids.JobId, model.JobRecord] = msgspec.field(default_factory=dict)
    dirty: set[ids.JobId] = msgspec.field(default_factory=set)
    queues: ordering.Queues = msgspec.field(default_factory=ordering.Queues)
    health: health.Health = msgspec.field(default_factory=health.Health)
    reservations: dict[ids.JobId, Reservation] = msgspec.field(default_factory=dict)
    waiting_on: dict[ids.JobId, set[ids.JobId]] = msgspec.field(default_factory=dict)
    checkpoint_deadlines: dict[ids.JobId, float] = msgspec.field(default_factory=dict)
    infeasible: set[ids.JobId] = msgspec.field(default_factory=set)
    demands: dict[Demand, set[ids.JobId]] = msgspec.field(default_factory=dict)
    scopes: dict[search.Need, search.Scope] = msgspec.field(default_factory=dict)
    scopes_version: int = -1
    absent_gangs: dict[ids.WorkerId, set[ids.JobId]] = msgspec.field(default_factory=dict)
    newly_queued: list[ids.JobId] = msgspec.field(default_factory=list)
    failed_searches: dict[tuple[object, ...], int] = msgspec.field(default_factory=dict)
    scanned_capacity_version: int = -1
    last_scan_s: float = 0.0
    last_improvement_s: float = 0.0
    now_s: float = 0.0

    @property
    def workers(self) -> Workers:
        """The workers by name."""
        return self.fleet.workers


def dominant_share(state: State, need: search.Need) -> float:
    """Return a gang's largest share of the fleet's accelerators, cores or memory."""
    flt = state.fleet
    fleet_total = (flt.accelerators, flt.cpu, flt.mem_gb)
    needed = (need.accelerators, need.cpu, need.mem_gb)
    shares = [amount / total for amount, total in zip(needed, fleet_total, strict=True) if total]
    return need.members * max(shares, default=0.0)


def allocations_of(
    need: search.Need, placements: Iterable[model.Placement]
) -> dict[ids.WorkerId, fleet.Allocation]:
    """Return the allocation of a gang on each worker."""
    allocations: dict[ids.WorkerId, fleet.Allocation] = {}
    for place in placements:
        mask = cells.mask_of_devices(place.devices)
        earlier = allocations.get(place.worker, fleet.Allocation(0, 0, 0))
        allocations[place.worker] = fleet.Allocation(
            earlier.mask | mask, earlier.cpu + need.cpu, earlier.mem_gb + need.mem_gb
        )
    return allocations


def scope(state: State, need: search.Need) -> search.Scope:
    """Return how far a gang may spread over the current fleet."""
    if state.scopes_version != state.fleet.membership_version:
        state.scopes.clear()
        state.scopes_version = state.fleet.membership_version
    if need not in state.scopes:
        state.scopes[need] = search.scope(state.fleet, need)
    return state.scopes[need]


def transition(
    state: State,
    record: model.JobRecord,
    new: model.JobState,
    code: codes.ResultCode,
    now_s: float,
    *,
    detail: str = "",
) -> None:
    """Change a job's state, append it to the history, and release what the job no longer holds.

    :raises AssertionError: if the transition is not allowed
    """
    if new not in model.TRANSITIONS[record.state]:
        raise AssertionError(
            f"{record.job}: transition not allowed: {record.state.value} to {new.value}"
        )
    old = record.state
    record.state = new
    record.code = code
    append_history(state, record, now_s, detail)
    if old in model.PLACED_STATES and new not in model.PLACED_STATES:
        release(state, record)
    if new in model.FINAL_STATES:
        record.ended_s = now_s
        state.health.forget_job(record.job)


def append_history(state: State, record: model.JobRecord, now_s: float, detail: str = "") -> None:
    """Append the current state of a job to its history and mark the record dirty."""
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
    """Return the properties of a job that decide whether it can ever run."""
    return Demand(placement.need_of(record), record.spec.org, record.spec.reclaimable)


def set_infeasible(state: State, record: model.JobRecord) -> None:
    """Add a job to the infeasible ones, which wait for a change of the fleet or the bundle."""
    state.infeasible.add(record.job)
    state.demands.setdefault(demand_of(record), set()).add(record.job)


def enqueue(state: State, record: model.JobRecord) -> None:
    """Add an accepted job to the queue."""
    need = placement.need_of(record)
    ordering.add(state.queues, record, dominant_share(state, need))
    state.demands.setdefault(demand_of(record), set()).add(record.job)
    state.newly_queued.append(record.job)


def dequeue(state: State, record: model.JobRecord) -> None:
    """Remove a job from the queue or from the infeasible ones, and drop its reservation."""
    ordering.remove(state.queues, record)
    state.infeasible.discard(record.job)
    demand = demand_of(record)
    jobs = state.demands.get(demand, set())
    jobs.discard(record.job)
    if not jobs:
        state.demands.pop(demand, None)
    drop_reservation(state, record.job)


def allocate(
    state: State,
    record: model.JobRecord,
    share: model.Share,
    member_blocks: Sequence[guarantees.MemberBlock],
) -> None:
    """Allocate a gang's placements; its cells are already bound."""
    need = placement.need_of(record)
    allocations = allocations_of(need, record.placements)
    fleet.allocate(state.fleet, record.job, allocations.items())
    ordering.add_placed(state.queues, record, dominant_share(state, need))
    record.share = share
    record.cells = tuple(member_block.cell for member_block in member_blocks)


def release(state: State, record: model.JobRecord) -> None:
    """Release a gang's cells and placements, and update the reservations that wait for it."""
    guarantees.unbind(state.ledger, state.fleet, record.job)
    names = {place.worker for place in record.placements}
    fleet.release(state.fleet, record.job, sorted(names))
    ordering.remove_placed(state.queues, record)
    state.checkpoint_deadlines.pop(record.job, None)
    for name in sorted(names & state.absent_gangs.keys()):
        state.absent_gangs[name].discard(record.job)
    for job in state.waiting_on.pop(record.job, ()):
        if job in state.reservations:
            state.reservations[job].waits_for.discard(record.job)


def unbind(state: State, record: model.JobRecord) -> None:
    """Unbind the cells of a gang that is being stopped; it keeps its devices until it stops."""
    guarantees.unbind(state.ledger, state.fleet, record.job)


def request_stop(state: State, record: model.JobRecord, mode: model.StopMode) -> model.StopGang:
    """Record how a gang is told to stop.

    :return: the command that stops it
    """
    record.stop = mode
    state.dirty.add(record.job)
    if mode is model.StopMode.STOP:
        state.checkpoint_deadlines.pop(record.job, None)
    return model.StopGang(record.job, record.attempt, record.placements, mode)


def add_reservation(state: State, reservation: Reservation) -> None:
    """Reserve capacity for a gang."""
    record = state.jobs[reservation.job]
    allocations = allocations_of(placement.need_of(record), reservation.placements)
    state.reservations[reservation.job] = reservation
    fleet.reserve(state.fleet, reservation.job, allocations.items())
    for victim in reservation.waits_for:
        state.waiting_on.setdefault(victim, set()).add(reservation.job)


def drop_reservation(state: State, job: ids.JobId) -> None:
    """Release a gang's reservation, if it has one, and unbind its cells."""
    reservation = state.reservations.pop(job, None)
    if reservation is None:
        return
    guarantees.unbind(state.ledger, state.fleet, job)
    release_reserved(state, reservation)


def release_reserved(state: State, reservation: Reservation) -> None:
    """Release the capacity of a reservation but keep its cells bound."""
    names = sorted({place.worker for place in reservation.placements})
    fleet.unreserve(state.fleet, reservation.job, names)
    for victim in reservation.waits_for:
        jobs = state.waiting_on.get(victim, set())
        jobs.discard(reservation.job)
        if not jobs:
            state.waiting_on.pop(victim, None)


__all__ = [
    "Demand",
    "Reservation",
    "State",
    "add_reservation",
    "allocate",
    "allocations_of",
    "append_history",
    "demand_of",
    "dequeue",
    "dominant_share",
    "drop_reservation",
    "enqueue",
    "release",
    "release_reserved",
    "request_stop",
    "scope",
    "set_infeasible",
    "transition",
    "unbind",
]
