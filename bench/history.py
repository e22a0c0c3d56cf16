"""What the workers' logs and the jobs' records say about a run with failures."""

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
SETTLED = model.FINAL_STATES | {model.JobState.INFEASIBLE, model.JobState.IN_DOUBT}
PARTIAL_BOUND_S = 12.0
"""Time within which a gang that lost a member is held or stopped everywhere."""


def read_log(run: deployment.Deployment) -> Log:
    """Return the log of every worker, in order of time."""
    entries: Log = []
    for spec in run.site.workers():
        answer = httpx.get(f"{run.workers.url}/w/{spec.worker}/log")
        entries.extend({**entry, "worker": spec.worker} for entry in answer.json()["log"])
    return sorted(entries, key=lambda entry: entry["at_s"])


def by_attempt(log: Log) -> dict[tuple[ids.JobId, int], Log]:
    """Return the log's entries by job and attempt."""
    found: dict[tuple[ids.JobId, int], Log] = collections.defaultdict(list)
    for entry in log:
        key = tasks.parse(entry["task"])
        if key is not None:
            found[key.job, key.attempt].append(entry)
    return found


def double_runs(log: Log, records: Mapping[ids.JobId, model.JobRecord]) -> list[ids.JobId]:
    """Return non-idempotent jobs released again without a checkpoint of every member."""
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
        if not _is_kept(attempts[job, number], records[job].spec.members)
    ]


def _is_kept(entries: Log, members: int) -> bool:
    return members == sum(entry["event"] == "checkpoint" for entry in entries)


def partial_gangs(log: Log, records: Mapping[ids.JobId, model.JobRecord]) -> list[ids.JobId]:
    """Return jobs that worked with a member missing for longer than the bound."""
    return [
        job
        for (job, _), entries in by_attempt(log).items()
        if job in records and _partial_s(entries, records[job].spec.members) > PARTIAL_BOUND_S
    ]


def _partial_s(entries: Log, members: int) -> float:
    """Return the longest stretch with some members at work and others neither at work nor done."""
    at_work: set[str] = set()
    done: set[str] = set()
    longest_s, since_s = 0.0, None
    for entry in entries:
        if since_s is not None:
            longest_s = max(longest_s, entry["at_s"] - since_s)
        at_work.discard(entry["task"])
        if entry["state"] == "running":
            at_work.add(entry["task"])
        if entry["state"] == "ok":
            done.add(entry["task"])
        is_partial = 0 < len(at_work) < members - len(done)
        since_s = (entry["at_s"] if since_s is None else since_s) if is_partial else None
    return longest_s


def false_not_run(log: Log, told_not_run: Iterable[ids.JobId]) -> list[ids.JobId]:
    """Return jobs told as not run that were released somewhere."""
    ran = {job for (job, _), items in by_attempt(log).items() if _was_released(items)}
    return [job for job in told_not_run if job in ran]


def _was_released(entries: Log) -> bool:
    return any(entry["event"] == "release" for entry in entries)


__all__ = [
    "PARTIAL_BOUND_S",
    "SETTLED",
    "by_attempt",
    "double_runs",
    "false_not_run",
    "partial_gangs",
    "read_log",
]
