"""Jobs of the platform as the own interface shows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes, ids
from bronzequay.core import model as core
from bronzequay.policy import model

if TYPE_CHECKING:
    from bronzequay.control.status import Status

MB_PER_GB = 1000
STATES = {
    core.JobState.QUEUED: model.JobState.ACCEPTED,
    core.JobState.RUNNING: model.JobState.RUNNING,
    core.JobState.COMPLETED: model.JobState.FINISHED,
    core.JobState.FAILED: model.JobState.FAILED,
    core.JobState.CANCELLED: model.JobState.CANCELLED,
}
CODES = {
    core.JobState.COMPLETED: codes.ResultCode.OK,
    core.JobState.FAILED: codes.ResultCode.RETRIES_EXHAUSTED,
    core.JobState.CANCELLED: codes.ResultCode.CANCELLED,
}


def of(job: ids.JobId, told: Status) -> model.JobRecord:
    """Return a job's record; the queue stands where callers are named."""
    state = core.JobState(told.state)
    code = CODES.get(state, codes.ResultCode.ACCEPTED)
    return model.JobRecord(
        job=job,
        spec=model.JobSpec(
            org=told.org,
            caller=ids.CallerId(told.queue),
            members=told.tasks,
            accelerators=told.gpu,
            cpu=-(-told.cpu // 1000),
            mem_gb=-(-told.mem_mb // MB_PER_GB),
            declared_s=told.estimate_s,
        ),
        state=STATES[state],
        code=code,
        accepted_s=told.accepted_s,
        started_s=told.begun_s or None,
        ended_s=told.ended_s or None,
        failures=told.failures,
        history=_history(told, state, code),
    )


def _history(
    told: Status, state: core.JobState, code: codes.ResultCode
) -> list[model.HistoryEntry]:
    accepted = codes.ResultCode.ACCEPTED
    steps = [(told.accepted_s, model.JobState.ACCEPTED, accepted, "")]
    if told.begun_s:
        steps.append((told.begun_s, model.JobState.RUNNING, accepted, ""))
    if told.ended_s:
        steps.append((told.ended_s, STATES[state], code, told.reason))
    return [
        model.HistoryEntry(at_s, change, number, 0, ids.BundleVersion(told.version), (), detail)
        for at_s, change, number, detail in steps
    ]


__all__ = ["of"]
