"""Order of waiting jobs: fair shares by organisation, then by caller, and short work first.

A lane holds the waiting jobs of one caller in one urgency class, sorted by rank. A rank is a
point in time: the acceptance plus a delay that grows with the predicted work, so short work
ranks first. A rank does not change while the job waits, and the delay is bounded, so later
submissions can overtake a job only for a bounded time.
"""

from __future__ import annotations

import bisect
import heapq
import math
from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.policy import model, predict

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

CallerKey = tuple[ids.OrgId, ids.CallerId]
LaneKey = tuple[ids.OrgId, ids.CallerId, model.Urgency]

DELAY_PER_FLEET_S = 300.0
"""Seconds of delay for each second that the whole fleet would need for the predicted work."""
MAX_DELAY_S = 8 * 3600.0
"""Longest delay for predicted work, in seconds."""
CLASS_DELAY_S: Mapping[model.Urgency, float] = {
    model.Urgency.URGENT: -3600.0,
    model.Urgency.NORMAL: 0.0,
    model.Urgency.LOW: 3600.0,
}
"""Delay by urgency class, in seconds."""
MIN_PREDICTED_S = 1.0
"""Shortest predicted remaining run time, in seconds."""


class Lane(msgspec.Struct):
    """Waiting jobs of one caller in one urgency class, as ``(rank, job)`` in ascending order."""

    jobs: list[tuple[float, ids.JobId]] = msgspec.field(default_factory=list)


class Usage(msgspec.Struct):
    """Placed gangs and waiting jobs of a caller, an organisation or an urgency class.

    :param held: sum of the dominant shares of its placed gangs
    :param placed: number of placed gangs
    :param waiting: number of waiting jobs
    """

    held: float = 0.0
    placed: int = 0
    waiting: int = 0

    @property
    def is_active(self) -> bool:
        """Whether there are placed gangs or waiting jobs."""
        return bool(self.placed or self.waiting)


class OrgUsage(Usage):
    """Usage of an organisation.

    :param guaranteed: share of the fleet's accelerators that its guarantee covers
    :param callers: number of callers with placed gangs or waiting jobs
    """

    guaranteed: float = 0.0
    callers: int = 0


class Queues(msgspec.Struct):
    """All waiting jobs, and the shares of the fleet that placed gangs hold.

    :param ranks: rank of each waiting job
    :param heads: by class, ``(rank, org, caller)`` of the first job of each lane, ascending
    :param callers: usage of callers with placed gangs or waiting jobs
    :param dominant_shares: dominant share of each placed gang
    :param active_orgs: number of organisations with placed gangs or waiting jobs
    :param active_guaranteed: sum of the guaranteed shares of those organisations
    """

    lanes: dict[LaneKey, Lane] = msgspec.field(default_factory=dict)
    ranks: dict[ids.JobId, float] = msgspec.field(default_factory=dict)
    heads: dict[model.Urgency, list[tuple[float, ids.OrgId, ids.CallerId]]] = msgspec.field(
        default_factory=lambda: {urgency: [] for urgency in model.Urgency}
    )
    callers: dict[CallerKey, Usage] = msgspec.field(default_factory=dict)
    orgs: dict[ids.OrgId, OrgUsage] = msgspec.field(default_factory=dict)
    classes: dict[model.Urgency, Usage] = msgspec.field(
        default_factory=lambda: {urgency: Usage() for urgency in model.Urgency}
    )
    dominant_shares: dict[ids.JobId, float] = msgspec.field(default_factory=dict)
    history: predict.History = msgspec.field(default_factory=predict.History)
    active_orgs: int = 0
    active_guaranteed: float = 0.0


def lane_key(spec: model.JobSpec) -> LaneKey:
    """Return the key of the lane that a job waits in."""
    return (spec.org, spec.caller, spec.urgency)


def predicted_remaining_s(queues: Queues, record: model.JobRecord, ran_s: float = 0.0) -> float:
    """Return the predicted remaining run time of a job, in seconds.

    A job that has run for more than half of its predicted run time is expected to need at least
    another half and, once it has overrun the prediction, at least as long as the overrun.

    :param ran_s: run time of the current attempt, in seconds
    """
    attained_s = record.attained_s + ran_s
    total_s = predict.run_time_s(queues.history, record.spec)
    remaining_s = total_s - attained_s
    if remaining_s < total_s / 2:
        remaining_s = max(remaining_s, min(total_s / 2, attained_s), attained_s - total_s)
    return max(MIN_PREDICTED_S, remaining_s)


def rank(queues: Queues, record: model.JobRecord, dominant_share: float) -> float:
    """Return a job's rank, in seconds since the Unix epoch.

    :param dominant_share: dominant share of the gang
    """
    work = dominant_share * predicted_remaining_s(queues, record)
    delay = min(MAX_DELAY_S, DELAY_PER_FLEET_S * work)
    return record.accepted_s + delay + CLASS_DELAY_S[record.spec.urgency]


def add(queues: Queues, record: model.JobRecord, dominant_share: float) -> None:
    """Add a job to its lane."""
    key = lane_key(record.spec)
    lane = queues.lanes.setdefault(key, Lane())
    before = lane.jobs[0] if lane.jobs else None
    queues.ranks[record.job] = rank(queues, record, dominant_share)
    bisect.insort(lane.jobs, (queues.ranks[record.job], record.job))
    _move_head(queues, key, before, lane.jobs[0])
    _adjust_usage(queues, record.spec, waiting=1)


def remove(queues: Queues, record: model.JobRecord) -> None:
    """Remove a job from its lane, if it waits."""
    job_rank = queues.ranks.pop(record.job, None)
    if job_rank is None:
        return
    key = lane_key(record.spec)
    lane = queues.lanes[key]
    before = lane.jobs[0]
    lane.jobs.pop(bisect.bisect_left(lane.jobs, (job_rank, record.job)))
    _move_head(queues, key, before, lane.jobs[0] if lane.jobs else None)
    if not lane.jobs:
        del queues.lanes[key]
    _adjust_usage(queues, record.spec, waiting=-1)


def _move_head(
    queues: Queues,
    key: LaneKey,
    old: tuple[float, ids.JobId] | None,
    new: tuple[float, ids.JobId] | None,
) -> None:
    if old == new:
        return
    org, caller, urgency = key
    heads = queues.heads[urgency]
    if old is not None:
        heads.pop(bisect.bisect_left(heads, (old[0], org, caller)))
    if new is not None:
        bisect.insort(heads, (new[0], org, caller))


def add_placed(queues: Queues, record: model.JobRecord, dominant_share: float) -> None:
    """Add a placed gang to the usage of its caller, organisation and class."""
    queues.dominant_shares[record.job] = dominant_share
    _adjust_usage(queues, record.spec, placed=1, held=dominant_share)


def remove_placed(queues: Queues, record: model.JobRecord) -> None:
    """Remove a placed gang from the usage of its caller, organisation and class."""
    dominant_share = queues.dominant_shares.pop(record.job, None)
    if dominant_share is not None:
        _adjust_usage(queues, record.spec, placed=-1, held=-dominant_share)


def _adjust_usage(
    queues: Queues, spec: model.JobSpec, *, waiting: int = 0, placed: int = 0, held: float = 0.0
) -> None:
    org = queues.orgs.setdefault(spec.org, OrgUsage())
    caller = queues.callers.setdefault((spec.org, spec.caller), Usage())
    was_org, was_caller = org.is_active, caller.is_active
    for usage in (org, caller, queues.classes[spec.urgency]):
        usage.waiting += waiting
        usage.placed += placed
        usage.held = usage.held + held if usage.placed else 0.0
    org.callers += caller.is_active - was_caller
    queues.active_orgs += org.is_active - was_org
    queues.active_guaranteed += org.guaranteed * (org.is_active - was_org)
    if not caller.is_active:
        del queues.callers[spec.org, spec.caller]


def set_guaranteed_shares(queues: Queues, shares: Mapping[ids.OrgId, float]) -> None:
    """Set the share of the fleet's accelerators that each guarantee covers."""
    for org in sorted(set(queues.orgs) | set(shares)):
        queues.orgs.setdefault(org, OrgUsage()).guaranteed = shares.get(org, 0.0)
    active = [usage for usage in queues.orgs.values() if usage.is_active]
    queues.active_guaranteed = sum(usage.guaranteed for usage in active)


def org_share(queues: Queues, org: ids.OrgId) -> float:
    """Return an organisation's fair share of the fleet among the active organisations.

    It is the guaranteed share plus an equal part of what no active organisation is guaranteed.
    """
    usage = queues.orgs.get(org, OrgUsage())
    unguaranteed = max(0.0, 1.0 - queues.active_guaranteed)
    return usage.guaranteed + unguaranteed / max(1, queues.active_orgs)


def caller_share(queues: Queues, org: ids.OrgId) -> float:
    """Return a caller's fair share of the fleet: an equal part of its organisation's."""
    usage = queues.orgs.get(org, OrgUsage())
    return org_share(queues, org) / max(1, usage.callers)


def fits_fair_share(queues: Queues, spec: model.JobSpec, dominant_share: float) -> bool:
    """Return whether a caller and its organisation stay within their fair shares with a gang added.

    Each of them may always have one gang.
    """
    org = queues.orgs.get(spec.org, Usage())
    caller = queues.callers.get((spec.org, spec.caller), Usage())
    is_org_under = not org.placed or org.held + dominant_share <= org_share(queues, spec.org)
    is_caller_under = not caller.placed or caller.held + dominant_share <= caller_share(
        queues, spec.org
    )
    return is_org_under and is_caller_under


def exceeds_fair_share(queues: Queues, spec: model.JobSpec, dominant_share: float) -> bool:
    """Return whether a gang can be stopped without taking its holder below a fair share.

    The holder is the organisation or, if it has several active callers, the caller: it is enough
    that one of them keeps its fair share.
    """
    org = queues.orgs.get(spec.org, OrgUsage())
    caller = queues.callers.get((spec.org, spec.caller), Usage())
    is_org_over = org.held - dominant_share >= org_share(queues, spec.org)
    is_caller_over = caller.held - dominant_share >= caller_share(queues, spec.org)
    return is_org_over or (is_caller_over and org.callers > 1)


def scan(
    queues: Queues,
    urgencies: Iterable[model.Urgency],
    is_wanted: Callable[[ids.OrgId, ids.CallerId], bool],
) -> Iterator[ids.JobId]:
    """Yield waiting jobs in the order of their ranks, from the lanes that match.

    The queues may change during the iteration: a lane is read as the iteration reaches it.

    :param urgencies: the classes to read
    :param is_wanted: whether to read the lane of an organisation's caller
    """
    streams = [_scan_class(queues, urgency, is_wanted) for urgency in urgencies]
    for _rank, job in heapq.merge(*streams):
        yield job


def _scan_class(
    queues: Queues,
    urgency: model.Urgency,
    is_wanted: Callable[[ids.OrgId, ids.CallerId], bool],
) -> Iterator[tuple[float, ids.JobId]]:
    """Merge the lanes of a class; a lane is read only once its first rank is reached."""
    heads = iter(tuple(queues.heads[urgency]))
    upcoming = next(heads, None)
    entries: list[tuple[float, ids.JobId, LaneKey]] = []
    while upcoming is not None or entries:
        if upcoming is not None and (not entries or upcoming[0] <= entries[0][0]):
            _head_rank, org, caller = upcoming
            upcoming = next(heads, None)
            if is_wanted(org, caller):
                _push_next(queues, entries, (org, caller, urgency), (-math.inf, ids.JobId("")))
            continue
        job_rank, job, key = heapq.heappop(entries)
        yield job_rank, job
        _push_next(queues, entries, key, (job_rank, job))


def _push_next(
    queues: Queues,
    entries: list[tuple[float, ids.JobId, LaneKey]],
    key: LaneKey,
    last: tuple[float, ids.JobId],
) -> None:
    lane = queues.lanes.get(key)
    if lane is None:
        return
    index = bisect.bisect_right(lane.jobs, last)
    if index < len(lane.jobs):
        job_rank, job = lane.jobs[index]
        heapq.heappush(entries, (job_rank, job, key))


def jobs_ahead(queues: Queues, job: ids.JobId) -> tuple[int, tuple[ids.JobId, ...]]:
    """Return how many waiting jobs rank before a job, and the first three of them."""
    position = (queues.ranks[job], job)
    before = [(lane, bisect.bisect_left(lane.jobs, position)) for lane in queues.lanes.values()]
    first = heapq.nsmallest(
        3, (entry for lane, end in before for entry in lane.jobs[: min(3, end)])
    )
    return sum(end for _lane, end in before), tuple(other for _rank, other in first)


__all__ = [
    "Queues",
    "add",
    "add_placed",
    "caller_share",
    "exceeds_fair_share",
    "fits_fair_share",
    "jobs_ahead",
    "org_share",
    "predicted_remaining_s",
    "rank",
    "remove",
    "remove_placed",
    "scan",
    "set_guaranteed_shares",
]
