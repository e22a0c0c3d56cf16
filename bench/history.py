"""Checks of the workers' logs against the job records after a run with failures."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import httpx

from bronzequay.policy import model
from bronzequay.work import tasks

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bench import deployment
    from bronzequay import ids

Log = list[dict[str, Any]]
SETTLED_STATES = model.FINAL_STATES | {model.JobState.INFEASIBLE, model.JobState.IN_DOUBT}
MAX_PARTIAL_GANG_S = 12.0
"""Time within which all members of a gang that lost a member are held or stopped."""


def read_log(run: deployment.Deployment) -> Log:
    """Return the log entries of all workers, ordered by time."""
    entries: Log = []
    for spec in run.site.workers():
        answer = httpx.get(f"{run.workers.url}/w/{spec.worker}/log")
        entries.extend({**entry, "worker": spec.worker} for entry in answer.json()["log"])
    return sorted(entries, key=lambda entry: entry["at_s"])


def by_attempt(log: Log) -> dict[tuple[ids.JobId, int], Log]:
    """Return the log entries by job and attempt."""
    entries_by_attempt: dict[tuple[ids.JobId, int], Log] = collections.defaultdict(list)
    for entry in log:
        key = tasks.parse(entry["task"])
        if key is not None:
            entries_by_attempt[key.job, key.attempt].append(entry)
    return entries_by_attempt


def double_runs(log: Log, records: Mapping[ids.JobId, model.JobRecord]) -> list[ids.JobId]:
    """Return the non-idempotent jobs released again without a checkpoint of every member."""
    released: dict[ids.JobId, list[int]] = collections.defaultdict(list)
    attempts = by_attempt(log)
    for (job, number), entries in sorted(attempts.items()):
        if any(entry["event"] == "release" for entry in entries):
            released[job].append(number)
    return [
        job
        for job, numbers in released.items()
        if job in records and not records[job].spec.idempotent
        for number in numbers[:-1]
        if not _has_full_checkpoint(attempts[job, number], records[job].spec.members)
    ]


def _has_full_checkpoint(entries: Log, members: int) -> bool:
    checkpoints = [entry for entry in entries if entry["event"] == "checkpoint"]
    return len(checkpoints) == members


def partial_gangs(log: Log, records: Mapping[ids.JobId, model.JobRecord]) -> list[ids.JobId]:
    """Return the jobs that ran without some members for longer than ``MAX_PARTIAL_GANG_S``."""
    return [
        job
        for (job, _), entries in by_attempt(log).items()
        if job in records and _partial_s(entries, records[job].spec.members) > MAX_PARTIAL_GANG_S
    ]


def _partial_s(entries: Log, members: int) -> float:
    """Return the longest time with some members running and others neither running nor finished."""
    running: set[str] = set()
    finished: set[str] = set()
    max_partial_s, since_s = 0.0, None
    for entry in entries:
        if since_s is not None:
            max_partial_s = max(max_partial_s, entry["at_s"] - since_s)
        running.discard(entry["task"])
        if entry["state"] == "running":
            running.add(entry["task"])
        if entry["state"] == "ok":
            finished.add(entry["task"])
        is_partial = 0 < len(running) < members - len(finished)
        since_s = (entry["at_s"] if since_s is None else since_s) if is_partial else None
    return max_partial_s


def false_not_run(log: Log, reported_not_run: Iterable[ids.JobId]) -> list[ids.JobId]:
    """Return the jobs reported as not run that a worker has released."""
    ran = {job for (job, _), items in by_attempt(log).items() if _was_released(items)}
    return [job for job in reported_not_run if job in ran]


def _was_released(entries: Log) -> bool:
    return any(entry["event"] == "release" for entry in entries)


__all__ = [
    "MAX_PARTIAL_GANG_S",
    "SETTLED_STATES",
    "by_attempt",
    "double_runs",
    "false_not_run",
    "partial_gangs",
    "read_log",
]
