"""States of a job and the allowed transitions between them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class JobState(enum.Enum):
    """State of a job; ``TRANSITIONS`` lists the allowed transitions."""

    ACCEPTED = "accepted"
    STARTING = "starting"
    RUNNING = "running"
    RECLAIMING = "reclaiming"
    CANCELLING = "cancelling"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    INFEASIBLE = "infeasible"
    IN_DOUBT = "in_doubt"


TRANSITIONS: Mapping[JobState, frozenset[JobState]] = {
    JobState.ACCEPTED: frozenset(
        {JobState.STARTING, JobState.CANCELLED, JobState.INFEASIBLE, JobState.REFUSED}
    ),
    JobState.STARTING: frozenset(
        {
            JobState.RUNNING,
            JobState.RECLAIMING,
            JobState.CANCELLING,
            JobState.FAILED,
            JobState.IN_DOUBT,
        }
    ),
    JobState.RUNNING: frozenset(
        {
            JobState.RECLAIMING,
            JobState.CANCELLING,
            JobState.FINISHED,
            JobState.FAILED,
            JobState.IN_DOUBT,
        }
    ),
    JobState.RECLAIMING: frozenset(
        {
            JobState.ACCEPTED,
            JobState.CANCELLING,
            JobState.FINISHED,
            JobState.FAILED,
            JobState.IN_DOUBT,
        }
    ),
    JobState.CANCELLING: frozenset(
        {JobState.CANCELLED, JobState.FINISHED, JobState.FAILED, JobState.IN_DOUBT}
    ),
    JobState.IN_DOUBT: frozenset(
        {JobState.ACCEPTED, JobState.FINISHED, JobState.FAILED, JobState.CANCELLED}
    ),
    JobState.INFEASIBLE: frozenset({JobState.ACCEPTED, JobState.CANCELLED}),
    JobState.FINISHED: frozenset(),
    JobState.FAILED: frozenset(),
    JobState.CANCELLED: frozenset(),
    JobState.REFUSED: frozenset(),
}

FINAL_STATES = frozenset(state for state, after in TRANSITIONS.items() if not after)
PLACED_STATES = frozenset(
    {
        JobState.STARTING,
        JobState.RUNNING,
        JobState.RECLAIMING,
        JobState.CANCELLING,
        JobState.IN_DOUBT,
    }
)

__all__ = ["FINAL_STATES", "PLACED_STATES", "TRANSITIONS", "JobState"]
