"""Entry points of the scheduling core: apply an event, get changed records and commands."""

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
from bronzequay.policy import state as core_state

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bronzequay import ids

State = core_state.State
WorkerState = fleet.Worker
why = explain.why

_BINDING_STATES = frozenset(
    {model.JobState.STARTING, model.JobState.RUNNING, model.JobState.IN_DOUBT}
)


def new_state(
    *,
    rules: model.Rules,
    workers: Iterable[model.WorkerSpec] = (),
    jobs: Iterable[model.JobRecord] = (),
) -> State:
    """Build a state, after a takeover from the records in the journal.

    :param rules: the rules of the bundle in force
    :param workers: the workers known to be available
    :param jobs: the records of all jobs that are not archived
    :return: a state for ``step``
    """
    state = State(rules, fleet.Fleet(), guarantees.new_ledger(rules.orgs))
    for spec in workers:
        fleet.add(state.fleet, spec)
    _update_guaranteed_shares(state)
    for record in jobs:
        state.jobs[record.job] = record
        _restore(state, record)
    state.newly_queued.clear()
    return state


def _restore(state: State, record: model.JobRecord) -> None:
    if record.state in model.PLACED_STATES:
        _restore_placed(state, record)
    elif record.state is model.JobState.ACCEPTED:
        core_state.enqueue(state, record)
    elif record.state is model.JobState.INFEASIBLE:
        core_state.set_infeasible(state, record)
    elif record.state is model.JobState.FINISHED and record.started_s is not None:
        ran_s = record.attained_s + (record.ended_s or record.started_s) - record.started_s
        predict.add_finished(state.queues.history, record.spec, ran_s)


def _restore_placed(state: State, record: model.JobRecord) -> None:
    member_blocks = _restored_blocks(state, record)
    if record.state in _BINDING_STATES and member_blocks:
        binding = guarantees.Binding(
            record.job,
            record.spec.org,
            record.share,
            member_blocks,
            guarantees.pinned_level(record.spec),
        )
        guarantees.bind(state.ledger, state.fleet, binding)
    recorded_cells = record.cells
    core_state.allocate(state, record, record.share, ())
    record.cells = recorded_cells
    for place in record.placements:
        if place.worker not in state.fleet.workers:
            state.absent_gangs.setdefault(place.worker, set()).add(record.job)
    if record.state is model.JobState.IN_DOUBT:
        lifecycle.bind_as_fixed(state, record)
    is_checkpointing = record.stop is model.StopMode.CHECKPOINT
    if record.state is model.JobState.RECLAIMING and is_checkpointing and record.history:
        deadline_s = record.history[-1].at_s + preemption.CHECKPOINT_TIMEOUT_S
        state.checkpoint_deadlines[record.job] = deadline_s


def _restored_blocks(state: State, record: model.JobRecord) -> tuple[guarantees.MemberBlock, ...]:
    if record.share is not model.Share.GUARANTEED:
        return tuple(guarantees.MemberBlock(cell, cells.mask_of(cell)) for cell in record.cells)
    need = placement.need_of(record)
    member_blocks: list[guarantees.MemberBlock] = []
    for place, cell in zip(record.placements, record.cells, strict=False):
        worker = state.fleet.workers.get(place.worker)
        level = placement.level_on(worker, need) if worker else cells.level_for(need.accelerators)
        part = cells.enclosing_block(place.devices[0], level) & cells.mask_of(cell)
        member_blocks.append(guarantees.MemberBlock(cell, part))
    return tuple(member_blocks)


def step(state: State, event: model.Event, *, now_s: float) -> tuple[model.Command, ...]:
    """Apply one event.

    :param state: changed in place
    :param event: the event
    :param now_s: current time, in seconds since the Unix epoch
    :return: commands to carry out once the dirty records are durable
    """
    state.now_s = now_s
    commands = _HANDLERS[type(event)](state, event, now_s)
    is_tick = isinstance(event, model.Tick)
    return (*commands, *dispatch.run(state, now_s, is_tick=is_tick))


def pop_dirty(state: State) -> tuple[model.JobRecord, ...]:
    """Return the records changed since the last call, and clear the set of changed ones.

    :param state: changed in place
    :return: the records to make durable
    """
    records = tuple(state.jobs[job] for job in sorted(state.dirty))
    state.dirty.clear()
    return records


def forget(state: State, job: ids.JobId) -> None:
    """Drop a job in a final state after it has been archived.

    :param state: changed in place
    :param job: the archived job
    """
    state.jobs.pop(job, None)


def unmet_guarantees(state: State) -> tuple[guarantees.UnmetGuarantee, ...]:
    """Return the guarantees that cannot be carved out now, with the reason.

    :param state: read only
    :return: empty while the safety invariant of ``guarantees`` holds
    """
    return guarantees.unmet_guarantees(state.ledger, state.fleet)


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
    existing = state.fleet.workers.get(name)
    commands: tuple[model.Command, ...] = ()
    if existing is not None and existing.spec == event.spec:
        fleet.set_leaving(state.fleet, existing, is_leaving=False)
        guarantees.update_displaced(state.ledger, state.fleet, name)
    else:
        if existing is not None:
            commands = _remove_lost_worker(state, existing, now_s)
        worker = fleet.add(state.fleet, event.spec)
        _restore_allocations(state, worker)
        guarantees.update_displaced(state.ledger, state.fleet, name)
    _apply_capacity_change(state, now_s)
    return commands


def _restore_allocations(state: State, worker: fleet.Worker) -> None:
    """Allocate the gangs that were placed on a worker before it joined."""
    name = worker.spec.worker
    for job in sorted(state.absent_gangs.pop(name, ())):
        record = state.jobs.get(job)
        if record is None or record.state not in model.PLACED_STATES:
            continue
        allocations = core_state.allocations_of(placement.need_of(record), record.placements)
        if name in allocations:
            fleet.allocate(state.fleet, job, [(name, allocations[name])])
            guarantees.close_cells(state.ledger, state.fleet, job)


def _on_leaving(
    state: State, event: model.WorkerLeaving, now_s: float
) -> tuple[model.Command, ...]:
    worker = state.fleet.workers.get(event.worker)
    if worker is not None:
        fleet.set_leaving(state.fleet, worker, is_leaving=True)
        guarantees.update_displaced(state.ledger, state.fleet, event.worker)
        lifecycle.drop_reservations_on(state, worker)
        _apply_capacity_change(state, now_s)
    return ()


def _on_lost(state: State, event: model.WorkerLost, now_s: float) -> tuple[model.Command, ...]:
    worker = state.fleet.workers.get(event.worker)
    if worker is None:
        return ()
    commands = _remove_lost_worker(state, worker, now_s)
    _apply_capacity_change(state, now_s)
    return commands


def _remove_lost_worker(
    state: State, worker: fleet.Worker, now_s: float
) -> tuple[model.Command, ...]:
    name = worker.spec.worker
    lifecycle.drop_reservations_on(state, worker)
    jobs = sorted(worker.gangs)
    fleet.remove(state.fleet, worker)
    guarantees.update_displaced(state.ledger, state.fleet, name)
    health.forget_worker(state.health, name)
    commands: list[model.Command] = []
    for job in jobs:
        state.absent_gangs.setdefault(name, set()).add(job)
        fault = model.MemberFault.WORKER_LOST
        event = model.MemberFailed(job, state.jobs[job].attempt, name, fault)
        commands.extend(lifecycle.on_member_failed(state, event, now_s))
    return tuple(commands)


def _apply_capacity_change(state: State, now_s: float) -> None:
    _update_guaranteed_shares(state)
    lifecycle.drop_unsafe_reservations(state)
    admission.reexamine(state, now_s)


def _update_guaranteed_shares(state: State) -> None:
    total_accelerators = max(1, state.fleet.accelerators)
    shares = {
        org: sum(count << level for level, count in enumerate(entry.total)) / total_accelerators
        for org, entry in state.ledger.orgs.items()
    }
    ordering.set_guaranteed_shares(state.queues, shares)


def _on_rules(state: State, event: model.RulesChanged, now_s: float) -> tuple[model.Command, ...]:
    old_orgs = state.rules.orgs
    state.rules = event.rules
    if old_orgs == event.rules.orgs:
        return ()
    for job in guarantees.apply_rules(state.ledger, event.rules.orgs):
        _withdraw_guarantee(state, job)
    state.fleet.capacity_version += 1
    _apply_capacity_change(state, now_s)
    return ()


def _withdraw_guarantee(state: State, job: ids.JobId) -> None:
    """Charge a gang whose guarantee was withdrawn to borrowed capacity, or to fixed cells.

    Only a reclaimable gang that is not in doubt can become a borrower.
    """
    record = state.jobs[job]
    if job in state.reservations:
        core_state.drop_reservation(state, job)
        return
    binding = state.ledger.bindings[job]
    guarantees.unbind(state.ledger, state.fleet, job)
    state.dirty.add(job)
    record.share = model.Share.BORROWED
    record.cells = ()
    if record.spec.reclaimable and record.state is not model.JobState.IN_DOUBT:
        return
    record.share = model.Share.FIXED
    member_blocks = tuple(
        guarantees.MemberBlock(_cell_of_part(member_block), member_block.part)
        for member_block in binding.member_blocks
    )
    record.cells = tuple(member_block.cell for member_block in member_blocks)
    fixed_binding = guarantees.Binding(
        job, record.spec.org, model.Share.FIXED, member_blocks, guarantees.pinned_level(record.spec)
    )
    guarantees.bind(state.ledger, state.fleet, fixed_binding)


def _cell_of_part(member_block: guarantees.MemberBlock) -> cells.Cell:
    return cells.cell_of(member_block.cell.worker, member_block.part)


def _on_tick(state: State, _event: model.Tick, now_s: float) -> tuple[model.Command, ...]:
    for name in health.due_probes(state.health, now_s):
        health.start_probe(state.health, name)
        worker = state.fleet.workers[name]
        fleet.set_quarantined(state.fleet, worker, is_quarantined=False, is_probing=True)
        guarantees.update_displaced(state.ledger, state.fleet, name)
    return preemption.stop_overdue(state, now_s)


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
    model.WorkerLost: _on_lost,
    model.RulesChanged: _on_rules,
    model.UsageReported: overuse.on_usage,
    model.Tick: _on_tick,
}


__all__ = [
    "State",
    "WorkerState",
    "forget",
    "new_state",
    "pop_dirty",
    "step",
    "unmet_guarantees",
    "why",
]
