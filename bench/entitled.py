"""Waits of jobs that fit in the unused part of their organisation's guarantee.

A waiting job is entitled while its members fit in cells of its organisation's guarantee that
none of the organisation's placed jobs uses, reclaimable jobs included. Such a job may have to
wait until borrowed accelerators are reclaimed, but no longer.
"""

from __future__ import annotations

import msgspec

from bench import outcome, shadow
from bronzequay import ids
from bronzequay.policy import model

Size = tuple[int, int]


class Group(msgspec.Struct):
    """Waiting jobs of one organisation and one size.

    :param entitled_since_s: time at which the size became entitled, None while it is not
    :param jobs: the waiting jobs, with the time at which each began to wait
    """

    entitled_since_s: float | None = None
    jobs: dict[ids.JobId, tuple[outcome.JobResult, float]] = msgspec.field(default_factory=dict)


class Waits(msgspec.Struct):
    """Waiting jobs, by organisation and size (members, accelerators per member)."""

    rules: model.Rules
    groups: dict[ids.OrgId, dict[Size, Group]]


def new_waits(rules: model.Rules) -> Waits:
    """Return the state with no waiting jobs.

    :param rules: the rules with the guarantees
    """
    return Waits(rules, {org: {} for org in rules.orgs})


def add(waits: Waits, result: outcome.JobResult, now_s: float) -> None:
    """Add a job that begins to wait.

    :param waits: changed in place
    :param result: the job
    :param now_s: current virtual time
    """
    job = result.job
    group = waits.groups[job.org].setdefault((job.members, job.accelerators), Group())
    group.jobs[job.job] = (result, now_s)


def remove(waits: Waits, result: outcome.JobResult, now_s: float) -> None:
    """Remove a job that no longer waits.

    :param waits: changed in place
    :param result: the job; its ``entitled_wait_s`` is updated
    :param now_s: current virtual time
    """
    job = result.job
    group = waits.groups[job.org][job.members, job.accelerators]
    _, waiting_since_s = group.jobs.pop(job.job)
    _record_wait(group, result, waiting_since_s, now_s)


def update(waits: Waits, shadow_state: shadow.Shadow, now_s: float) -> None:
    """Recompute after a step which sizes are entitled.

    :param waits: changed in place
    :param shadow_state: the placements; ``changed`` is cleared
    :param now_s: current virtual time
    """
    for org, groups in waits.groups.items():
        has_new_group = any(
            group.jobs and group.entitled_since_s is None for group in groups.values()
        )
        if org in shadow_state.changed or has_new_group:
            _update_org(waits, shadow_state, org, now_s)
    shadow_state.changed.clear()


def _update_org(waits: Waits, shadow_state: shadow.Shadow, org: ids.OrgId, now_s: float) -> None:
    members = [
        member
        for attempt in shadow_state.attempts.values()
        if attempt.spec.org == org
        for member in shadow.members_of(attempt)
    ]
    cells = shadow.remaining_cells(waits.rules.orgs[org].guarantee, members)
    for (count, accelerators), group in waits.groups[org].items():
        members_that_fit = sum(cell // accelerators for cell in cells) if accelerators else 0
        is_entitled = members_that_fit >= count
        if is_entitled and group.entitled_since_s is None:
            group.entitled_since_s = now_s
        if not is_entitled and group.entitled_since_s is not None:
            for result, waiting_since_s in group.jobs.values():
                _record_wait(group, result, waiting_since_s, now_s)
            group.entitled_since_s = None


def _record_wait(
    group: Group, result: outcome.JobResult, waiting_since_s: float, now_s: float
) -> None:
    if group.entitled_since_s is None:
        return
    wait_s = now_s - max(group.entitled_since_s, waiting_since_s)
    result.entitled_wait_s = max(result.entitled_wait_s, wait_s)


__all__ = ["Group", "Waits", "add", "new_waits", "remove", "update"]
