"""Waits of jobs that their organisation's guarantee has room for.

A waiting job is entitled while its members fit in cells of its organisation's guarantee that
none of the organisation's placed jobs uses, reclaimable jobs included. Such a job may wait
for the reclaim of borrowed accelerators, not longer.
"""

from __future__ import annotations

import msgspec

from bench import outcome, shadow
from bronzequay import ids
from bronzequay.policy import model

Size = tuple[int, int]


class Group(msgspec.Struct):
    """Waiting jobs of one organisation and one size.

    :param since_s: when the size became entitled, None while it is not
    :param jobs: the waiting jobs, with the start of their wait
    """

    since_s: float | None = None
    jobs: dict[ids.JobId, tuple[outcome.JobResult, float]] = msgspec.field(default_factory=dict)


class Waits(msgspec.Struct):
    """Waiting jobs, by organisation and size (members, accelerators a member)."""

    rules: model.Rules
    groups: dict[ids.OrgId, dict[Size, Group]]


def new_waits(rules: model.Rules) -> Waits:
    """Return waits of no job.

    :param rules: the guarantees
    """
    return Waits(rules, {org: {} for org in rules.orgs})


def add(waits: Waits, result: outcome.JobResult, now_s: float) -> None:
    """Note that a job starts to wait.

    :param waits: changed in place
    :param result: the job
    :param now_s: the time
    """
    job = result.job
    group = waits.groups[job.org].setdefault((job.members, job.accelerators), Group())
    group.jobs[job.job] = (result, now_s)


def remove(waits: Waits, result: outcome.JobResult, now_s: float) -> None:
    """Note that a job waits no longer.

    :param waits: changed in place
    :param result: the job, whose ``entitled_wait_s`` is brought up to date
    :param now_s: the time
    """
    job = result.job
    group = waits.groups[job.org][job.members, job.accelerators]
    _, waits_since_s = group.jobs.pop(job.job)
    _note(group, result, waits_since_s, now_s)


def update(waits: Waits, placed: shadow.Shadow, now_s: float) -> None:
    """Find out anew which sizes are entitled, after a step.

    :param waits: changed in place
    :param placed: the placements; ``changed`` is cleared
    :param now_s: the time
    """
    for org, groups in waits.groups.items():
        is_new = any(group.jobs and group.since_s is None for group in groups.values())
        if org in placed.changed or is_new:
            _update_org(waits, placed, org, now_s)
    placed.changed.clear()


def _update_org(waits: Waits, placed: shadow.Shadow, org: ids.OrgId, now_s: float) -> None:
    members = [
        member
        for attempt in placed.attempts.values()
        if attempt.spec.org == org
        for member in shadow.members_of(attempt)
    ]
    cells = shadow.left_over(waits.rules.orgs[org].guarantee, members)
    for (count, accelerators), group in waits.groups[org].items():
        room = sum(cell // accelerators for cell in cells) if accelerators else 0
        is_entitled = room >= count
        if is_entitled and group.since_s is None:
            group.since_s = now_s
        if not is_entitled and group.since_s is not None:
            for result, waits_since_s in group.jobs.values():
                _note(group, result, waits_since_s, now_s)
            group.since_s = None


def _note(group: Group, result: outcome.JobResult, waits_since_s: float, now_s: float) -> None:
    if group.since_s is None:
        return
    wait_s = now_s - max(group.since_s, waits_since_s)
    result.entitled_wait_s = max(result.entitled_wait_s, wait_s)


__all__ = ["Group", "Waits", "add", "new_waits", "remove", "update"]
