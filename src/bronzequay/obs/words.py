"""Plain words for job states, for callers, volunteers and the analyst."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Mapping

STATE_WORDS: Mapping[model.JobState, str] = {
    model.JobState.ACCEPTED: "waiting",
    model.JobState.STARTING: "starting",
    model.JobState.RUNNING: "running",
    model.JobState.RECLAIMING: "stopping, to be started again if it may be",
    model.JobState.CANCELLING: "being cancelled",
    model.JobState.FINISHED: "finished",
    model.JobState.FAILED: "failed",
    model.JobState.CANCELLED: "cancelled",
    model.JobState.REFUSED: "refused, did not run",
    model.JobState.INFEASIBLE: "cannot run under the rules in force",
    model.JobState.IN_DOUBT: "in doubt, it is not known whether it ran",
}


def state_words(state: model.JobState) -> str:
    """Return a state in words that a volunteer reads."""
    return STATE_WORDS[state]


__all__ = ["STATE_WORDS", "state_words"]
