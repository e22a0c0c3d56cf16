"""Conversion of the platform's records to those that ``QueryHandler`` returns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes, ids
from bronzequay.core import learned
from bronzequay.core import model as core
from bronzequay.obs import report
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


def job_record(job: ids.JobId, status: Status) -> model.JobRecord:
    """Return a job's record; its caller field holds the queue."""
    state = core.JobState(status.state)
    code = CODES.get(state, codes.ResultCode.ACCEPTED)
    return model.JobRecord(
        job=job,
        spec=model.JobSpec(
            org=status.org,
            caller=ids.CallerId(status.queue),
            members=status.tasks,
            accelerators=status.gpu,
            cpu=-(-status.cpu // 1000),
            mem_gb=-(-status.mem_mb // MB_PER_GB),
            declared_s=status.estimate_s,
        ),
        state=STATES[state],
        code=code,
        accepted_s=status.accepted_s,
        started_s=status.begun_s or None,
        ended_s=status.ended_s or None,
        failures=status.failures,
        history=_history(status, state, code),
    )


def _history(
    status: Status, state: core.JobState, code: codes.ResultCode
) -> list[model.HistoryEntry]:
    accepted = codes.ResultCode.ACCEPTED
    changes = [(status.accepted_s, model.JobState.ACCEPTED, accepted, "")]
    if status.begun_s:
        changes.append((status.begun_s, model.JobState.RUNNING, accepted, ""))
    if status.ended_s:
        changes.append((status.ended_s, STATES[state], code, status.reason))
    return [
        model.HistoryEntry(
            at_s, new_state, result, 0, ids.BundleVersion(status.version), (), detail
        )
        for at_s, new_state, result, detail in changes
    ]


def predictions(value: bytes | None) -> report.Predictions | None:
    """Return the figures of a stored value of learned run times, None without a readable one."""
    snapshot = None if value is None else learned.decode(value)
    if snapshot is None:
        return None
    figures = snapshot.figures
    groups = {
        ids.ServiceId(record.service): learned.group_speeds(record) for record in snapshot.services
    }
    return report.Predictions(figures.ratio_p50, figures.ratio_p90, figures.share_below_p90, groups)


__all__ = ["job_record", "predictions"]
