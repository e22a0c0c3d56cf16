"""Labels of job states in plain words, for callers, analysts and non-technical readers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Mapping

STATE_LABELS: Mapping[model.JobState, str] = {
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


def state_label(state: model.JobState) -> str:
    """Return the label of a job state in plain words."""
    return STATE_LABELS[state]


__all__ = ["STATE_LABELS", "state_label"]
