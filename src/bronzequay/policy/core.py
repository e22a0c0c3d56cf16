"""The scheduling core: one event in, durable record changes and commands out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.policy import (
    admission,
    cells,
    dispatch,
    explain,
    fleet,
    guarantees,
    health,
    lifecycle,
    model,
    ordering,
    overuse,
    placement,
    predict,
    preemption,
)
from bronzequay.policy import state as states

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bronzequay import ids

State = states.State
WorkerState = fleet.Worker
why = explain.why

_BOUND = frozenset({model.JobState.STARTING, model.JobState.RUNNING, model.JobState.IN_DOUBT})


def new_state(
    *,
    rules: model.Rules,
    workers: Iterable[model.WorkerSpec] = (),
    jobs: Iterable[model.JobRecord] = (),
) -> State:
    """Build a state, from the journal's records after a takeover.

    :param rules: the bundle in force
    :param workers: the workers known to be available
    :param jobs: the records of every job that is not archived
    :return: a state on which ``step`` can go on
    """
    state = State(rules, fleet.Fleet(), guarantees.new_book(rules.orgs))
    for spec in workers:
        fleet.add(state.fleet, spec)
    _share_out(state)
    for record in jobs:
        state.jobs[record.job] = record
        _restore(state, record)
    state.fresh.clear()
    return state


def _restore(state: State, record: model.JobRecord) -> None:
    if record.state in model.PLACED_STATES:
        _restore_placed(state, record)
    elif record.state is model.JobState.ACCEPTED:
        states.enqueue(state, record)
    elif record.state is model.JobState.INFEASIBLE:
        states.set_infeasible(state, record)
    elif record.state is model.JobState.FINISHED and record.started_s is not None:
        ran_s = record.attained_s + (record.ended_s or record.started_s) - record.started_s
        predict.learn(state.queues.history, record.spec, ran_s)


def _restore_placed(state: State, record: model.JobRecord) -> None:
    seats = _seats(state, record)
    if record.state in _BOUND and seats:
        seating = guarantees.Seating(
            record.job, record.spec.org, record.share, seats, guarantees.firm_level(record.spec)
        )
        guarantees.enter(state.book, state.fleet, seating)
    kept = record.cells
    states.occupy(state, record, record.share, ())
    record.cells = kept
    for place in record.placements:
        if place.worker not in state.fleet.workers:
            state.absent.setdefault(place.worker, set()).add(record.job)
    if record.state is model.JobState.IN_DOUBT:
        lifecycle.hold_for_good(state, record)
    is_keeping = record.stop is model.StopMode.CHECKPOINT
    if record.state is model.JobState.RECLAIMING and is_keeping and record.history:
        due_s = record.history[-1].at_s + preemption.CHECKPOINT_BOUND_S
        state.stopping[record.job] = due_s


def _seats(state: State, record: model.JobRecord) -> tuple[guarantees.Seat, ...]:
    if record.share is not model.Share.GUARANTEED:
        return tuple(guarantees.Seat(cell, cells.mask_of(cell)) for cell in record.cells)
    need = placement.need_of(record)
    seats: list[guarantees.Seat] = []
    for place, cell in zip(record.placements, record.cells, strict=False):
        worker = state.fleet.workers.get(place.worker)
        at_level = placement.level_on(worker, need) if worker else cells.level(need.accelerators)
        part = cells.around(place.devices[0], at_level) & cells.mask_of(cell)
        seats.append(guarantees.Seat(cell, part))
    return tuple(seats)


def step(state: State, event: model.Event, *, now_s: float) -> tuple[model.Command, ...]:
    """Apply one event.

    :param state: changed in place
    :param event: what happened
    :param now_s: seconds since the Unix epoch, read by the shell
    :return: commands to carry out once the dirty records are durable
    """
    state.now_s = now_s
    commands = _HANDLERS[type(event)](state, event, now_s)
    is_tick = isinstance(event, model.Tick)
    return (*commands, *dispatch.run(state, now_s, is_tick=is_tick))


def take_dirty(state: State) -> tuple[model.JobRecord, ...]:
    """Return the records changed since the last call and forget them.

    :param state: changed in place
    :return: the records to make durable
    """
    records = tuple(state.jobs[job] for job in sorted(state.dirty))
    state.dirty.clear()
    return records


def forget(state: State, job: ids.JobId) -> None:
    """Drop a job in a final state after it was archived.

    :param state: changed in place
    :param job: the archived job
    """
    state.jobs.pop(job, None)


def unmet(state: State) -> tuple[guarantees.Unmet, ...]:
    """Name the guarantees that cannot be carved out now, and why.

    :param state: read only
    :return: nothing while the safety invariant holds
    """
    return guarantees.unmet(state.book, state.fleet)


def _on_submitted(
    state: State, event: model.JobSubmitted, now_s: float
) -> tuple[model.Command, ...]:
    admission.submit(state, event, now_s)
    return ()


def _on_cancelled(
    state: State, event: model.JobCancelled, now_s: float
) -> tuple[model.Command, ...]:
    return admission.cancel(state, event.job, now_s)


def _on_joined(state: State, event: model.WorkerJoined, now_s: float) -> tuple[model.Command, ...]:
    name = event.spec.worker
    known = state.fleet.workers.get(name)
    commands: tuple[model.Command, ...] = ()
    if known is not None and known.spec == event.spec:
        fleet.set_leaving(state.fleet, known, is_leaving=False)
        guarantees.follow(state.book, state.fleet, name)
    else:
        if known is not None:
            commands = _lose(state, known, now_s)
        worker = fleet.add(state.fleet, event.spec)
        _hold_again(state, worker)
        guarantees.follow(state.book, state.fleet, name)
    _refit(state, now_s)
    return commands


def _hold_again(state: State, worker: fleet.Worker) -> None:
    """Count the gangs that were placed on a worker before it was there."""
    name = worker.spec.worker
    for job in sorted(state.absent.pop(name, ())):
        record = state.jobs.get(job)
        if record is None or record.state not in model.PLACED_STATES:
            continue
        parts = states.holds(placement.need_of(record), record.placements)
        if name in parts:
            fleet.hold(state.fleet, job, [(name, parts[name])])
            guarantees.close(state.book, state.fleet, job)


def _on_leaving(
    state: State, event: model.WorkerLeaving, now_s: float
) -> tuple[model.Command, ...]:
    worker = state.fleet.workers.get(event.worker)
    if worker is not None:
        fleet.set_leaving(state.fleet, worker, is_leaving=True)
        guarantees.follow(state.book, state.fleet, event.worker)
        lifecycle.drop_claims_on(state, worker)
        _refit(state, now_s)
    return ()


def _on_gone(state: State, event: model.WorkerGone, now_s: float) -> tuple[model.Command, ...]:
    worker = state.fleet.workers.get(event.worker)
    if worker is None:
        return ()
    commands = _lose(state, worker, now_s)
    _refit(state, now_s)
    return commands


def _lose(state: State, worker: fleet.Worker, now_s: float) -> tuple[model.Command, ...]:
    name = worker.spec.worker
    lifecycle.drop_claims_on(state, worker)
    jobs = sorted(worker.gangs)
    fleet.remove(state.fleet, worker)
    guarantees.follow(state.book, state.fleet, name)
    health.forget_worker(state.health, name)
    commands: list[model.Command] = []
    for job in jobs:
        state.absent.setdefault(name, set()).add(job)
        fault = model.MemberFault.WORKER_LOST
        event = model.MemberFailed(job, state.jobs[job].attempt, name, fault)
        commands.extend(lifecycle.on_member_failed(state, event, now_s))
    return tuple(commands)


def _refit(state: State, now_s: float) -> None:
    _share_out(state)
    lifecycle.drop_shaken_claims(state)
    admission.reexamine(state, now_s)


def _share_out(state: State) -> None:
    whole = max(1, state.fleet.accelerators)
    shares = {
        org: sum(count << up for up, count in enumerate(entry.total)) / whole
        for org, entry in state.book.orgs.items()
    }
    ordering.set_guaranteed(state.queues, shares)


def _on_rules(state: State, event: model.RulesChanged, now_s: float) -> tuple[model.Command, ...]:
    before = state.rules.orgs
    state.rules = event.rules
    if before == event.rules.orgs:
        return ()
    for job in guarantees.change(state.book, event.rules.orgs):
        _lose_guarantee(state, job)
    state.fleet.freed += 1
    _refit(state, now_s)
    return ()


def _lose_guarantee(state: State, job: ids.JobId) -> None:
    """Turn a gang whose guarantee was withdrawn into a borrower, or hold its cells for good."""
    record = state.jobs[job]
    if job in state.claims:
        states.drop_claim(state, job)
        return
    seating = state.book.seatings[job]
    guarantees.leave(state.book, state.fleet, job)
    state.dirty.add(job)
    record.share = model.Share.BORROWED
    record.cells = ()
    if record.spec.reclaimable and record.state is not model.JobState.IN_DOUBT:
        return
    record.share = model.Share.FIXED
    seats = tuple(guarantees.Seat(_part_cell(seat), seat.part) for seat in seating.seats)
    record.cells = tuple(seat.cell for seat in seats)
    kept = guarantees.Seating(
        job, record.spec.org, model.Share.FIXED, seats, guarantees.firm_level(record.spec)
    )
    guarantees.enter(state.book, state.fleet, kept)


def _part_cell(seat: guarantees.Seat) -> cells.Cell:
    return cells.cell_of(seat.cell.worker, seat.part)


def _on_tick(state: State, _event: model.Tick, now_s: float) -> tuple[model.Command, ...]:
    for name in health.due_probes(state.health, now_s):
        health.probe(state.health, name)
        worker = state.fleet.workers[name]
        fleet.set_quarantined(state.fleet, worker, is_quarantined=False, is_probing=True)
        guarantees.follow(state.book, state.fleet, name)
    return preemption.overdue(state, now_s)


_HANDLERS: dict[type[model.Event], Callable[..., tuple[model.Command, ...]]] = {
    model.JobSubmitted: _on_submitted,
    model.JobCancelled: _on_cancelled,
    model.GangHeld: lifecycle.on_held,
    model.MemberFailed: lifecycle.on_member_failed,
    model.GangFinished: lifecycle.on_finished,
    model.GangStopped: lifecycle.on_stopped,
    model.GangUnknown: lifecycle.on_unknown,
    model.WorkerJoined: _on_joined,
    model.WorkerLeaving: _on_leaving,
    model.WorkerGone: _on_gone,
    model.RulesChanged: _on_rules,
    model.UsageReported: overuse.on_usage,
    model.Tick: _on_tick,
}


__all__ = ["State", "WorkerState", "forget", "new_state", "step", "take_dirty", "unmet", "why"]
