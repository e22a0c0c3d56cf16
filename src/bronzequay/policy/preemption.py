"""Which gangs may be stopped for another, what is lost by it, and how long they are given."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes
from bronzequay.policy import model, ordering, placement
from bronzequay.policy import state as states

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids

CHECKPOINT_BOUND_S = 30.0
"""Time that a gang has to keep its progress before it is stopped without, in seconds."""
URGENT_BOUND_S = 5.5
"""The same when urgent work waits for it."""
RESTART_COST_S = 60.0
"""Run time lost by a checkpoint and the later restart, in seconds."""
CHECKPOINT_RISK = 0.05
"""Share of the run time since the start that counts as lost, for checkpoints that fail."""
NON_IDEMPOTENT_FACTOR = 4.0
"""How much dearer it is to stop a gang that can not be run again without its checkpoint."""
STOPPING_COST = 1e-3
"""Cost of waiting for a gang that stops anyway."""
MIN_RUN_S = 60.0
"""Run time before a gang is stopped for the sake of fair shares or aging, in seconds."""

SHORTER_FACTOR = 4.0
"""How much more work a gang must have left to be stopped for a shorter one."""
MAX_WORTH_S = 600.0
"""Longest wait that the gangs moved for a start are weighed against, in seconds."""

_STOPPING = frozenset({model.JobState.RECLAIMING, model.JobState.CANCELLING})
_ACTIVE = frozenset({model.JobState.STARTING, model.JobState.RUNNING})


def is_borrower(record: model.JobRecord) -> bool:
    """Return whether a gang can be reclaimed at any moment."""
    return (
        record.state in _ACTIVE and record.share is model.Share.BORROWED and record.spec.reclaimable
    )


def loss(record: model.JobRecord, now_s: float) -> float:
    """Return the work lost if a gang is stopped by checkpoint, in accelerator seconds."""
    ran_s = now_s - record.started_s if record.started_s is not None else 0.0
    if record.state is model.JobState.STARTING:
        ran_s = 0.0
    factor = 1.0 if record.spec.idempotent else NON_IDEMPOTENT_FACTOR
    return _width(record) * factor * (RESTART_COST_S + CHECKPOINT_RISK * max(0.0, ran_s))


def _priced(
    state: states.State, now_s: float, may_stop: Callable[[model.JobRecord], bool]
) -> placement.Price:
    def price(job: ids.JobId) -> float | None:
        record = state.jobs[job]
        if record.state in _STOPPING:
            return STOPPING_COST
        if not is_borrower(record) or not may_stop(record):
            return None
        return loss(record, now_s)

    return price


def for_guarantee(state: states.State, now_s: float) -> placement.Price:
    """Return the price for work within a guarantee: every borrower may be stopped."""
    return _priced(state, now_s, lambda _record: True)


def for_urgent(state: states.State, now_s: float) -> placement.Price:
    """Return the price for urgent work within its due; classes keep their floors."""

    def may_stop(record: model.JobRecord) -> bool:
        if record.spec.urgency is model.Urgency.URGENT:
            return is_over_due(state, record)
        return is_above_floor(state, record)

    return _priced(state, now_s, may_stop)


def for_urgent_of(state: states.State, now_s: float, urgent: model.JobRecord) -> placement.Price:
    """Return the price for urgent work beyond its due: its organisation's own other work."""

    def may_stop(record: model.JobRecord) -> bool:
        is_urgent = record.spec.urgency is model.Urgency.URGENT
        return record.spec.org == urgent.spec.org and not is_urgent

    return _priced(state, now_s, may_stop)


def bound_for(record: model.JobRecord, bound_s: float) -> float:
    """Return the time that a gang has to keep its progress, in seconds.

    A gang that would fail without its checkpoint is never stopped in haste.
    """
    return bound_s if record.spec.idempotent else max(bound_s, CHECKPOINT_BOUND_S)


def for_due(state: states.State, now_s: float) -> placement.Price:
    """Return the price for work within its caller's due: those beyond theirs may be stopped."""

    def may_stop(record: model.JobRecord) -> bool:
        return is_over_due(state, record)

    return _priced(state, now_s, may_stop)


def for_floor(state: states.State, now_s: float, urgency: model.Urgency) -> placement.Price:
    """Return the price for a class below its floor: classes above theirs may be stopped."""

    def may_stop(record: model.JobRecord) -> bool:
        is_other = record.spec.urgency is not urgency
        return is_other and has_run(record, now_s) and is_above_floor(state, record)

    return _priced(state, now_s, may_stop)


def for_aged(state: states.State, now_s: float, aged: model.JobRecord) -> placement.Price:
    """Return the price for a job that has waited too long: younger borrowers may be stopped."""

    def may_stop(record: model.JobRecord) -> bool:
        is_younger = record.accepted_s > aged.accepted_s
        is_urgent = record.spec.urgency is model.Urgency.URGENT
        return is_younger and not is_urgent and has_run(record, now_s)

    return _priced(state, now_s, may_stop)


def for_migration(state: states.State, now_s: float, moved_for: model.JobRecord) -> placement.Price:
    """Return the price for a gang that fits by count: smaller borrowers may be moved away."""
    width = _width(moved_for)

    def may_stop(record: model.JobRecord) -> bool:
        is_urgent = record.spec.urgency is model.Urgency.URGENT
        return 2 * _width(record) <= width and not is_urgent and has_run(record, now_s)

    return _priced(state, now_s, may_stop)


def for_shorter(state: states.State, now_s: float, short: model.JobRecord) -> placement.Price:
    """Return the price for a job with far less work left than those that may be stopped."""
    most = work_left(state, short, now_s) * SHORTER_FACTOR

    def may_stop(record: model.JobRecord) -> bool:
        is_urgent = record.spec.urgency is model.Urgency.URGENT
        return not is_urgent and has_run(record, now_s) and work_left(state, record, now_s) >= most

    return _priced(state, now_s, may_stop)


def work_left(state: states.State, record: model.JobRecord, now_s: float) -> float:
    """Return the predicted work left of a job, in accelerator seconds."""
    ran_s = 0.0
    if record.state is model.JobState.RUNNING and record.started_s is not None:
        ran_s = now_s - record.started_s
    return _width(record) * ordering.predicted_s(state.queues, record, ran_s)


def worth(state: states.State, record: model.JobRecord) -> float:
    """Return the lost work that a start now is worth, in accelerator seconds.

    A gang that fits by count but not by place leaves its accelerators idle for the time it
    waits, which is taken to be as long as its own run time, up to a limit.
    """
    wait_s = min(MAX_WORTH_S, ordering.predicted_s(state.queues, record))
    return _width(record) * wait_s


def _width(record: model.JobRecord) -> int:
    need = placement.need_of(record)
    return need.members * max(need.accelerators, 1)


def has_run(record: model.JobRecord, now_s: float) -> bool:
    """Return whether a gang has run long enough to be stopped for more than a guarantee."""
    is_running = record.state is model.JobState.RUNNING and record.started_s is not None
    return is_running and now_s - (record.started_s or 0.0) >= MIN_RUN_S


def is_over_due(state: states.State, record: model.JobRecord) -> bool:
    """Return whether a gang's caller or organisation keeps its due without it."""
    return ordering.is_over(state.queues, record.spec, state.queues.sizes.get(record.job, 0.0))


def is_above_floor(state: states.State, record: model.JobRecord) -> bool:
    """Return whether a gang's class keeps its floor without it."""
    floor = state.rules.urgency_floors.get(record.spec.urgency, 0.0)
    usage = state.queues.classes[record.spec.urgency]
    return usage.held - state.queues.sizes.get(record.job, 0.0) >= floor


def reclaim(
    state: states.State, record: model.JobRecord, bound_s: float, now_s: float, detail: str
) -> tuple[model.Command, ...]:
    """Tell a gang to keep its progress and stop, within a bound."""
    due_s = now_s + bound_for(record, bound_s)
    if record.state in _STOPPING:
        if record.job in state.stopping:
            state.stopping[record.job] = min(due_s, state.stopping[record.job])
        return ()
    states.unbind(state, record)
    code = codes.ResultCode.RECLAIMED
    states.move(state, record, model.JobState.RECLAIMING, code, now_s, detail=detail)
    state.stopping[record.job] = due_s
    return (states.stop(state, record, model.StopMode.CHECKPOINT),)


def overdue(state: states.State, now_s: float) -> tuple[model.Command, ...]:
    """Stop the gangs whose time to keep their progress is over."""
    late = sorted(job for job, due_s in state.stopping.items() if due_s <= now_s)
    return tuple(states.stop(state, state.jobs[job], model.StopMode.STOP) for job in late)


__all__ = [
    "CHECKPOINT_BOUND_S",
    "URGENT_BOUND_S",
    "for_aged",
    "for_due",
    "for_floor",
    "for_guarantee",
    "for_migration",
    "for_shorter",
    "for_urgent",
    "for_urgent_of",
    "has_run",
    "is_above_floor",
    "is_borrower",
    "is_over_due",
    "loss",
    "overdue",
    "reclaim",
    "work_left",
    "worth",
]
