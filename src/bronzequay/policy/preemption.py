"""Preemption: which gangs may be stopped for another, at what cost, and within what time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes
from bronzequay.policy import model, ordering, placement
from bronzequay.policy import state as core_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids

CHECKPOINT_TIMEOUT_S = 30.0
"""Time that a gang has to checkpoint before it is stopped without a checkpoint, in seconds."""
URGENT_CHECKPOINT_TIMEOUT_S = 5.5
"""Time that an idempotent gang has to checkpoint if urgent work waits for it or if it exceeds its
declaration, in seconds."""
RESTART_COST_S = 60.0
"""Run time lost to a checkpoint and the later restart, in seconds."""
CHECKPOINT_RISK = 0.05
"""Share of the run time since the start that is counted as lost, as checkpoints may fail."""
NON_IDEMPOTENT_FACTOR = 4.0
"""Factor on the cost of a gang that cannot run again if its checkpoint fails."""
ALREADY_STOPPING_COST = 1e-3
"""Cost of waiting for a gang that is already being stopped, in accelerator seconds."""
MIN_RUN_S = 60.0
"""Run time before a gang may be stopped for other reasons than guarantees and urgent work, in
seconds."""

SHORTER_FACTOR = 4.0
"""Least ratio of a gang's remaining work to that of a shorter job that may preempt it."""
MAX_VALUED_WAIT_S = 600.0
"""Limit of the wait that counts towards the value of a start, in seconds."""

_STOPPING_STATES = frozenset({model.JobState.RECLAIMING, model.JobState.CANCELLING})
_ACTIVE_STATES = frozenset({model.JobState.STARTING, model.JobState.RUNNING})


def is_borrower(record: model.JobRecord) -> bool:
    """Return whether a gang runs on borrowed capacity and can be reclaimed."""
    return (
        record.state in _ACTIVE_STATES
        and record.share is model.Share.BORROWED
        and record.spec.reclaimable
    )


def checkpoint_loss(record: model.JobRecord, now_s: float) -> float:
    """Return the expected work lost by a checkpoint and stop, in accelerator seconds."""
    ran_s = now_s - record.started_s if record.started_s is not None else 0.0
    if record.state is model.JobState.STARTING:
        ran_s = 0.0
    factor = 1.0 if record.spec.idempotent else NON_IDEMPOTENT_FACTOR
    return (
        _accelerator_count(record) * factor * (RESTART_COST_S + CHECKPOINT_RISK * max(0.0, ran_s))
    )


def _cost_if_stoppable(
    state: core_state.State, now_s: float, may_stop: Callable[[model.JobRecord], bool]
) -> placement.EvictionCost:
    def eviction_cost(job: ids.JobId) -> float | None:
        record = state.jobs[job]
        if record.state in _STOPPING_STATES:
            return ALREADY_STOPPING_COST
        if not is_borrower(record) or not may_stop(record):
            return None
        return checkpoint_loss(record, now_s)

    return eviction_cost


def cost_for_guarantee(state: core_state.State, now_s: float) -> placement.EvictionCost:
    """Return the cost function for work within a guarantee: every borrower may be stopped."""
    return _cost_if_stoppable(state, now_s, lambda _record: True)


def cost_for_urgent(state: core_state.State, now_s: float) -> placement.EvictionCost:
    """Return the cost function for urgent work within its fair share.

    Urgent gangs may be stopped if they exceed their fair share, others if their class keeps its
    floor.
    """

    def may_stop(record: model.JobRecord) -> bool:
        if record.spec.urgency is model.Urgency.URGENT:
            return exceeds_fair_share(state, record)
        return is_above_floor(state, record)

    return _cost_if_stoppable(state, now_s, may_stop)


def cost_for_urgent_over_share(
    state: core_state.State, now_s: float, urgent: model.JobRecord
) -> placement.EvictionCost:
    """Return the cost function for urgent work beyond its fair share.

    Only work of its own organisation that is not urgent may be stopped.
    """

    def may_stop(record: model.JobRecord) -> bool:
        is_urgent = record.spec.urgency is model.Urgency.URGENT
        return record.spec.org == urgent.spec.org and not is_urgent

    return _cost_if_stoppable(state, now_s, may_stop)


def checkpoint_timeout_for(record: model.JobRecord, checkpoint_timeout_s: float) -> float:
    """Return the time that a gang has to checkpoint, in seconds.

    A gang that is not idempotent fails without its checkpoint, so it always gets the full time.
    """
    return (
        checkpoint_timeout_s
        if record.spec.idempotent
        else max(checkpoint_timeout_s, CHECKPOINT_TIMEOUT_S)
    )


def cost_for_fair_share(state: core_state.State, now_s: float) -> placement.EvictionCost:
    """Return the cost function for work within its fair share.

    Gangs beyond their fair share may be stopped.
    """

    def may_stop(record: model.JobRecord) -> bool:
        return has_run_min_time(record, now_s) and exceeds_fair_share(state, record)

    return _cost_if_stoppable(state, now_s, may_stop)


def cost_for_floor(
    state: core_state.State, now_s: float, urgency: model.Urgency
) -> placement.EvictionCost:
    """Return the cost function for a class below its floor: classes above theirs may be stopped."""

    def may_stop(record: model.JobRecord) -> bool:
        is_other_class = record.spec.urgency is not urgency
        return is_other_class and has_run_min_time(record, now_s) and is_above_floor(state, record)

    return _cost_if_stoppable(state, now_s, may_stop)


def cost_for_aged(
    state: core_state.State, now_s: float, aged: model.JobRecord
) -> placement.EvictionCost:
    """Return the cost function for a job that has waited too long.

    Borrowers that were accepted later and are not urgent may be stopped.
    """

    def may_stop(record: model.JobRecord) -> bool:
        is_younger = record.accepted_s > aged.accepted_s
        is_urgent = record.spec.urgency is model.Urgency.URGENT
        return is_younger and not is_urgent and has_run_min_time(record, now_s)

    return _cost_if_stoppable(state, now_s, may_stop)


def cost_for_migration(
    state: core_state.State, now_s: float, migrated_for: model.JobRecord
) -> placement.EvictionCost:
    """Return the cost function for a gang that fits by count.

    Borrowers of at most half its size that are not urgent may be moved to other workers.
    """
    accelerators = _accelerator_count(migrated_for)

    def may_stop(record: model.JobRecord) -> bool:
        is_urgent = record.spec.urgency is model.Urgency.URGENT
        return (
            2 * _accelerator_count(record) <= accelerators
            and not is_urgent
            and has_run_min_time(record, now_s)
        )

    return _cost_if_stoppable(state, now_s, may_stop)


def cost_for_shorter(
    state: core_state.State, now_s: float, shorter_job: model.JobRecord
) -> placement.EvictionCost:
    """Return the cost function for a short job.

    Gangs that are not urgent and have at least ``SHORTER_FACTOR`` times its remaining work may be
    stopped.
    """
    min_work = remaining_work(state, shorter_job, now_s) * SHORTER_FACTOR

    def may_stop(record: model.JobRecord) -> bool:
        is_urgent = record.spec.urgency is model.Urgency.URGENT
        return (
            not is_urgent
            and has_run_min_time(record, now_s)
            and remaining_work(state, record, now_s) >= min_work
        )

    return _cost_if_stoppable(state, now_s, may_stop)


def remaining_work(state: core_state.State, record: model.JobRecord, now_s: float) -> float:
    """Return the predicted remaining work of a job, in accelerator seconds."""
    ran_s = 0.0
    if record.state is model.JobState.RUNNING and record.started_s is not None:
        ran_s = now_s - record.started_s
    return _accelerator_count(record) * ordering.predicted_remaining_s(state.queues, record, ran_s)


def value_of_start(state: core_state.State, record: model.JobRecord) -> float:
    """Return the lost work that an immediate start justifies, in accelerator seconds.

    While a gang waits that fits by count but not by place, as many accelerators stay idle. The
    wait is assumed to be as long as the gang's own run time, up to a limit.
    """
    wait_s = min(MAX_VALUED_WAIT_S, ordering.predicted_remaining_s(state.queues, record))
    return _accelerator_count(record) * wait_s


def _accelerator_count(record: model.JobRecord) -> int:
    need = placement.need_of(record)
    return need.members * max(need.accelerators, 1)


def has_run_min_time(record: model.JobRecord, now_s: float) -> bool:
    """Return whether a gang has run for ``MIN_RUN_S``."""
    is_running = record.state is model.JobState.RUNNING and record.started_s is not None
    return is_running and now_s - (record.started_s or 0.0) >= MIN_RUN_S


def exceeds_fair_share(state: core_state.State, record: model.JobRecord) -> bool:
    """Return whether a gang's caller or organisation keeps its fair share without it."""
    return ordering.exceeds_fair_share(
        state.queues, record.spec, state.queues.dominant_shares.get(record.job, 0.0)
    )


def is_above_floor(state: core_state.State, record: model.JobRecord) -> bool:
    """Return whether a gang's urgency class keeps its floor without it."""
    floor = state.rules.urgency_floors.get(record.spec.urgency, 0.0)
    usage = state.queues.classes[record.spec.urgency]
    return usage.held - state.queues.dominant_shares.get(record.job, 0.0) >= floor


def reclaim(
    state: core_state.State,
    record: model.JobRecord,
    checkpoint_timeout_s: float,
    now_s: float,
    detail: str,
) -> tuple[model.Command, ...]:
    """Tell a gang to checkpoint and stop within a time limit.

    :param checkpoint_timeout_s: the limit for an idempotent gang, in seconds; any other gang has
        at least ``CHECKPOINT_TIMEOUT_S``
    :param detail: text for the job's history
    :return: the command; none if the gang is already being stopped
    """
    deadline_s = now_s + checkpoint_timeout_for(record, checkpoint_timeout_s)
    if record.state in _STOPPING_STATES:
        if record.job in state.checkpoint_deadlines:
            state.checkpoint_deadlines[record.job] = min(
                deadline_s, state.checkpoint_deadlines[record.job]
            )
        return ()
    core_state.unbind(state, record)
    code = codes.ResultCode.RECLAIMED
    core_state.transition(state, record, model.JobState.RECLAIMING, code, now_s, detail=detail)
    state.checkpoint_deadlines[record.job] = deadline_s
    return (core_state.request_stop(state, record, model.StopMode.CHECKPOINT),)


def stop_overdue(state: core_state.State, now_s: float) -> tuple[model.Command, ...]:
    """Stop, without a checkpoint, the gangs whose deadline to checkpoint has passed."""
    overdue = sorted(
        job for job, deadline_s in state.checkpoint_deadlines.items() if deadline_s <= now_s
    )
    return tuple(
        core_state.request_stop(state, state.jobs[job], model.StopMode.STOP) for job in overdue
    )


__all__ = [
    "CHECKPOINT_TIMEOUT_S",
    "URGENT_CHECKPOINT_TIMEOUT_S",
    "checkpoint_loss",
    "cost_for_aged",
    "cost_for_fair_share",
    "cost_for_floor",
    "cost_for_guarantee",
    "cost_for_migration",
    "cost_for_shorter",
    "cost_for_urgent",
    "cost_for_urgent_over_share",
    "exceeds_fair_share",
    "has_run_min_time",
    "is_above_floor",
    "is_borrower",
    "reclaim",
    "remaining_work",
    "stop_overdue",
    "value_of_start",
]
