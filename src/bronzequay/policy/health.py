"""Attribution of failures to workers and to jobs, by evidence from the others.

A failure counts against a worker unless the job has failed on another worker too and has not
run since: then the job is to blame. A job that later runs elsewhere is cleared, and its
failures count against the workers again.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Mapping

MIN_FAILURES = 3
"""Failures in a row that quarantine a worker."""
MIN_JOBS = 2
"""Different jobs among those failures."""
MIN_BLAMED_WORKERS = 2
"""Workers on which a job must fail to be blamed itself."""
FIRST_PROBE_S = 60.0
"""Seconds until a quarantined worker is tried again."""
MAX_PROBE_S = 3600.0
"""Longest such time, in seconds."""
MAX_START_FAILURES = 6
"""Failed starts, on whatever workers, that end a job."""
MAX_START_FAILURES_PER_WORKER = 3
"""Failed starts on one worker that end a job."""
MAX_TASK_FAILURES = 2
"""Failures after release that end an idempotent job."""


class Verdict(enum.Enum):
    """What a failure means for a worker."""

    KEEP = "keep"
    QUARANTINE = "quarantine"


class WorkerHealth(msgspec.Struct):
    """Failures of a worker since its last success.

    :param failures: failures in a row by job
    :param until_s: end of the quarantine, in seconds since the Unix epoch
    :param probe_s: length of the next quarantine
    :param is_probing: whether the next failure quarantines it again
    """

    failures: dict[ids.JobId, int] = msgspec.field(default_factory=dict)
    until_s: float = 0.0
    probe_s: float = FIRST_PROBE_S
    is_probing: bool = False


class Health(msgspec.Struct):
    """Evidence about workers and jobs.

    :param failed_on: failures by job and worker since the job last ran
    :param quarantined: workers in quarantine
    """

    workers: dict[ids.WorkerId, WorkerHealth] = msgspec.field(default_factory=dict)
    failed_on: dict[ids.JobId, dict[ids.WorkerId, int]] = msgspec.field(default_factory=dict)
    quarantined: set[ids.WorkerId] = msgspec.field(default_factory=set)

    def forget_job(self, job: ids.JobId) -> None:
        """Drop the failures of a job that has ended, unless they blame a worker."""
        if len(self.failed_on.get(job, {})) < MIN_BLAMED_WORKERS:
            self.failed_on.pop(job, None)
            return
        for worker in self.failed_on.pop(job):
            if worker in self.workers:
                self.workers[worker].failures.pop(job, None)


def is_blamed(health: Health, job: ids.JobId) -> bool:
    """Return whether a job has failed on so many workers that it is to blame."""
    return len(health.failed_on.get(job, {})) >= MIN_BLAMED_WORKERS


def failed(
    health: Health, worker: ids.WorkerId, job: ids.JobId, fault: model.MemberFault
) -> Verdict:
    """Take in a failure.

    :return: whether the worker is to be quarantined
    """
    if fault not in COUNTED:
        return Verdict.KEEP
    on = health.failed_on.setdefault(job, {})
    on[worker] = on.get(worker, 0) + 1
    entry = health.workers.setdefault(worker, WorkerHealth())
    entry.failures[job] = entry.failures.get(job, 0) + 1
    if entry.is_probing and not is_blamed(health, job):
        return Verdict.QUARANTINE
    return _judge(health, entry)


COUNTED = frozenset({model.MemberFault.START_FAILED, model.MemberFault.TASK_FAILED})


def _judge(health: Health, entry: WorkerHealth) -> Verdict:
    counted = {job: count for job, count in entry.failures.items() if not is_blamed(health, job)}
    is_bad = len(counted) >= MIN_JOBS and sum(counted.values()) >= MIN_FAILURES
    return Verdict.QUARANTINE if is_bad else Verdict.KEEP


def ran(health: Health, job: ids.JobId, workers: frozenset[ids.WorkerId]) -> list[ids.WorkerId]:
    """Take in that a gang runs on its workers.

    :return: other workers that its earlier failures now speak against
    """
    for worker in workers:
        entry = health.workers.pop(worker, None)
        if entry is not None and worker in health.quarantined:
            health.workers[worker] = entry
    before = health.failed_on.pop(job, {})
    suspects = [worker for worker in before if worker in health.workers]
    return [
        worker
        for worker in suspects
        if worker not in health.quarantined
        and _judge(health, health.workers[worker]) is Verdict.QUARANTINE
    ]


def quarantine(health: Health, worker: ids.WorkerId, now_s: float) -> None:
    """Put a worker into quarantine, twice as long each time."""
    entry = health.workers.setdefault(worker, WorkerHealth())
    entry.until_s = now_s + entry.probe_s
    entry.probe_s = min(MAX_PROBE_S, 2 * entry.probe_s)
    entry.is_probing = False
    health.quarantined.add(worker)


def due_probes(health: Health, now_s: float) -> list[ids.WorkerId]:
    """Return quarantined workers that are to be tried again."""
    return sorted(name for name in health.quarantined if health.workers[name].until_s <= now_s)


def probe(health: Health, worker: ids.WorkerId) -> None:
    """Let a worker out of quarantine until its next failure."""
    health.quarantined.discard(worker)
    health.workers[worker].is_probing = True
    health.workers[worker].failures.clear()


def cleared(health: Health, job: ids.JobId) -> list[ids.WorkerId]:
    """Return quarantined workers that only the failures of blamed jobs spoke against."""
    if not is_blamed(health, job):
        return []
    on = health.quarantined & health.failed_on[job].keys()
    names = [name for name in on if _judge(health, health.workers[name]) is Verdict.KEEP]
    return sorted(name for name in names if health.workers[name].failures)


def release(health: Health, worker: ids.WorkerId) -> None:
    """Take a worker out of quarantine for good."""
    health.quarantined.discard(worker)
    health.workers.pop(worker, None)


def forget_worker(health: Health, worker: ids.WorkerId) -> None:
    """Drop a worker that has gone."""
    health.quarantined.discard(worker)
    health.workers.pop(worker, None)


def is_job_bad(health: Health, record: model.JobRecord) -> bool:
    """Return whether a job has failed so often before its release that it is not tried again."""
    on: Mapping[ids.WorkerId, int] = health.failed_on.get(record.job, {})
    is_spread = record.failures >= MAX_START_FAILURES
    return is_spread or max(on.values(), default=0) >= MAX_START_FAILURES_PER_WORKER


__all__ = [
    "COUNTED",
    "MAX_TASK_FAILURES",
    "Health",
    "Verdict",
    "WorkerHealth",
    "cleared",
    "due_probes",
    "failed",
    "forget_worker",
    "is_blamed",
    "is_job_bad",
    "probe",
    "quarantine",
    "ran",
    "release",
]
