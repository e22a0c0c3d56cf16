"""Attribution of member failures to a faulty worker or a faulty job.

A failure counts against its worker unless the job has also failed on another worker and has
not run since: then the job is blamed. Once a blamed job runs, it is no longer blamed, and its
earlier failures count against the workers again.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Mapping

MIN_QUARANTINE_FAILURES = 3
"""Consecutive failures after which a worker is quarantined."""
MIN_QUARANTINE_JOBS = 2
"""Distinct jobs that those failures must come from."""
MIN_BLAMED_WORKERS = 2
"""Workers on which a job must fail before the job is blamed."""
FIRST_QUARANTINE_S = 60.0
"""Length of a worker's first quarantine, in seconds."""
MAX_QUARANTINE_S = 3600.0
"""Longest quarantine, in seconds."""
MAX_START_FAILURES = 6
"""Number of failures over all workers at which a failed start ends a job."""
MAX_START_FAILURES_PER_WORKER = 3
"""Failed starts on one worker after which a job fails."""
MAX_TASK_FAILURES = 2
"""Failures, failed starts included, at which a failure after release ends an idempotent job."""


class Verdict(enum.Enum):
    """Whether a worker stays in service or is to be quarantined."""

    KEEP = "keep"
    QUARANTINE = "quarantine"


class WorkerHealth(msgspec.Struct):
    """Failures of a worker since its last success.

    :param failures: consecutive failures by job
    :param quarantined_until_s: end of the quarantine, in seconds since the Unix epoch
    :param next_quarantine_s: length of the next quarantine, in seconds
    :param is_probing: whether one more failure quarantines the worker again
    """

    failures: dict[ids.JobId, int] = msgspec.field(default_factory=dict)
    quarantined_until_s: float = 0.0
    next_quarantine_s: float = FIRST_QUARANTINE_S
    is_probing: bool = False


class Health(msgspec.Struct):
    """Failures recorded for workers and jobs.

    :param failed_on: number of failures by job and worker since the job last ran
    :param quarantined: workers in quarantine
    """

    workers: dict[ids.WorkerId, WorkerHealth] = msgspec.field(default_factory=dict)
    failed_on: dict[ids.JobId, dict[ids.WorkerId, int]] = msgspec.field(default_factory=dict)
    quarantined: set[ids.WorkerId] = msgspec.field(default_factory=set)

    def forget_job(self, job: ids.JobId) -> None:
        """Drop the failures of a job that has ended; a blamed job's also from its workers."""
        if len(self.failed_on.get(job, {})) < MIN_BLAMED_WORKERS:
            self.failed_on.pop(job, None)
            return
        for worker in self.failed_on.pop(job):
            if worker in self.workers:
                self.workers[worker].failures.pop(job, None)


def is_blamed(health: Health, job: ids.JobId) -> bool:
    """Return whether a job has failed on enough workers to be blamed itself."""
    return len(health.failed_on.get(job, {})) >= MIN_BLAMED_WORKERS


def record_failure(
    health: Health, worker: ids.WorkerId, job: ids.JobId, fault: model.MemberFault
) -> Verdict:
    """Record a failure of a member.

    :return: whether the worker is to be quarantined
    """
    if fault not in COUNTED_FAULTS:
        return Verdict.KEEP
    failures_by_worker = health.failed_on.setdefault(job, {})
    failures_by_worker[worker] = failures_by_worker.get(worker, 0) + 1
    entry = health.workers.setdefault(worker, WorkerHealth())
    entry.failures[job] = entry.failures.get(job, 0) + 1
    if entry.is_probing and not is_blamed(health, job):
        return Verdict.QUARANTINE
    return _assess(health, entry)


COUNTED_FAULTS = frozenset({model.MemberFault.START_FAILED, model.MemberFault.TASK_FAILED})


def _assess(health: Health, entry: WorkerHealth) -> Verdict:
    counted = {job: count for job, count in entry.failures.items() if not is_blamed(health, job)}
    is_suspect = (
        len(counted) >= MIN_QUARANTINE_JOBS and sum(counted.values()) >= MIN_QUARANTINE_FAILURES
    )
    return Verdict.QUARANTINE if is_suspect else Verdict.KEEP


def record_success(
    health: Health, job: ids.JobId, workers: frozenset[ids.WorkerId]
) -> list[ids.WorkerId]:
    """Record that a gang runs on its workers.

    :return: workers to quarantine, now that the job's earlier failures count against them
    """
    for worker in workers:
        entry = health.workers.pop(worker, None)
        if entry is not None and worker in health.quarantined:
            health.workers[worker] = entry
    failures_before = health.failed_on.pop(job, {})
    suspects = [worker for worker in failures_before if worker in health.workers]
    return [
        worker
        for worker in suspects
        if worker not in health.quarantined
        and _assess(health, health.workers[worker]) is Verdict.QUARANTINE
    ]


def quarantine(health: Health, worker: ids.WorkerId, now_s: float) -> None:
    """Put a worker into quarantine and double the length of its next one."""
    entry = health.workers.setdefault(worker, WorkerHealth())
    entry.quarantined_until_s = now_s + entry.next_quarantine_s
    entry.next_quarantine_s = min(MAX_QUARANTINE_S, 2 * entry.next_quarantine_s)
    entry.is_probing = False
    health.quarantined.add(worker)


def due_probes(health: Health, now_s: float) -> list[ids.WorkerId]:
    """Return the workers whose quarantine has expired, in ascending order."""
    return sorted(
        name for name in health.quarantined if health.workers[name].quarantined_until_s <= now_s
    )


def start_probe(health: Health, worker: ids.WorkerId) -> None:
    """End a worker's quarantine on probation: one more failure quarantines it again."""
    health.quarantined.discard(worker)
    health.workers[worker].is_probing = True
    health.workers[worker].failures.clear()


def exonerated_workers(health: Health, job: ids.JobId) -> list[ids.WorkerId]:
    """Return the quarantined workers whose failures are all explained by blamed jobs.

    :param job: the job that failed last; empty result unless it is blamed
    """
    if not is_blamed(health, job):
        return []
    quarantined = health.quarantined & health.failed_on[job].keys()
    names = [name for name in quarantined if _assess(health, health.workers[name]) is Verdict.KEEP]
    return sorted(name for name in names if health.workers[name].failures)


def release(health: Health, worker: ids.WorkerId) -> None:
    """Take a worker out of quarantine and drop its failures."""
    health.quarantined.discard(worker)
    health.workers.pop(worker, None)


def forget_worker(health: Health, worker: ids.WorkerId) -> None:
    """Drop what is recorded about a lost worker."""
    health.quarantined.discard(worker)
    health.workers.pop(worker, None)


def has_exhausted_starts(health: Health, record: model.JobRecord) -> bool:
    """Return whether a job has failed too often before release to be started again."""
    failures_by_worker: Mapping[ids.WorkerId, int] = health.failed_on.get(record.job, {})
    has_failed_widely = record.failures >= MAX_START_FAILURES
    return (
        has_failed_widely
        or max(failures_by_worker.values(), default=0) >= MAX_START_FAILURES_PER_WORKER
    )


__all__ = [
    "COUNTED_FAULTS",
    "MAX_TASK_FAILURES",
    "Health",
    "Verdict",
    "WorkerHealth",
    "due_probes",
    "exonerated_workers",
    "forget_worker",
    "has_exhausted_starts",
    "is_blamed",
    "quarantine",
    "record_failure",
    "record_success",
    "release",
    "start_probe",
]
