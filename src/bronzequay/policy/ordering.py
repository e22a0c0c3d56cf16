"""Order of waiting jobs: fair by organisation, then by caller, short work first within.

A lane holds the waiting jobs of one caller in one urgency class, sorted by rank. A rank is a
point in time: acceptance plus a delay that grows with the predicted work. It never changes
while a job waits, so later arrivals overtake a job only for a bounded time.
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

DELAY_PER_WORK = 300.0
"""Seconds of delay for each second that the whole fleet needs for a job's predicted work."""
MAX_DELAY_S = 8 * 3600.0
"""Longest delay on account of predicted work, in seconds."""
CLASS_DELAY_S: Mapping[model.Urgency, float] = {
    model.Urgency.URGENT: -3600.0,
    model.Urgency.NORMAL: 0.0,
    model.Urgency.LOW: 3600.0,
}
"""Delay on account of the urgency class, in seconds."""
MIN_PREDICTED_S = 1.0
"""Shortest predicted run time, in seconds."""


class Lane(msgspec.Struct):
    """Waiting jobs of one caller in one class, as ``(rank, job)`` in ascending order."""

    jobs: list[tuple[float, ids.JobId]] = msgspec.field(default_factory=list)


class Usage(msgspec.Struct):
    """What a caller, an organisation or a class holds and has waiting.

    :param held: share of the fleet that its placed gangs hold, by the scarcest resource
    :param placed: number of placed gangs
    :param waiting: number of waiting jobs
    """

    held: float = 0.0
    placed: int = 0
    waiting: int = 0

    @property
    def is_active(self) -> bool:
        """Whether it has any work."""
        return bool(self.placed or self.waiting)


class OrgUsage(Usage):
    """Usage of an organisation.

    :param guaranteed: share of the fleet that its guarantee covers
    :param callers: callers that have work
    """

    guaranteed: float = 0.0
    callers: int = 0


class Queues(msgspec.Struct):
    """All waiting jobs and what the placed ones hold.

    :param ranks: rank of each waiting job
    :param heads: by class, ``(rank, org, caller)`` of the first job of each lane, ascending
    :param sizes: share of the fleet that each placed gang holds
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
    sizes: dict[ids.JobId, float] = msgspec.field(default_factory=dict)
    history: predict.History = msgspec.field(default_factory=predict.History)
    active_orgs: int = 0
    active_guaranteed: float = 0.0


def lane_key(spec: model.JobSpec) -> LaneKey:
    """Return the lane of a job."""
    return (spec.org, spec.caller, spec.urgency)


def predicted_s(queues: Queues, record: model.JobRecord, ran_s: float = 0.0) -> float:
    """Return the predicted remaining run time of a job, in seconds.

    A job that has already run for most of what ``predict`` says, or longer, is expected to
    need a good part of what it has attained once more.

    :param ran_s: run time of the current attempt, in seconds
    """
    attained_s = record.attained_s + ran_s
    whole = predict.whole_s(queues.history, record.spec)
    left = whole - attained_s
    if left < whole / 2:
        left = max(left, min(whole / 2, attained_s), attained_s - whole)
    return max(MIN_PREDICTED_S, left)


def rank(queues: Queues, record: model.JobRecord, size: float) -> float:
    """Return a job's rank, in seconds since the Unix epoch.

    :param size: share of the fleet that the gang holds
    """
    work = size * predicted_s(queues, record)
    delay = min(MAX_DELAY_S, DELAY_PER_WORK * work)
    return record.accepted_s + delay + CLASS_DELAY_S[record.spec.urgency]


def add(queues: Queues, record: model.JobRecord, size: float) -> None:
    """Put a job into its lane."""
    key = lane_key(record.spec)
    lane = queues.lanes.setdefault(key, Lane())
    before = lane.jobs[0] if lane.jobs else None
    queues.ranks[record.job] = rank(queues, record, size)
    bisect.insort(lane.jobs, (queues.ranks[record.job], record.job))
    _move_head(queues, key, before, lane.jobs[0])
    _change(queues, record.spec, waiting=1)


def remove(queues: Queues, record: model.JobRecord) -> None:
    """Take a job out of its lane."""
    value = queues.ranks.pop(record.job, None)
    if value is None:
        return
    key = lane_key(record.spec)
    lane = queues.lanes[key]
    before = lane.jobs[0]
    lane.jobs.pop(bisect.bisect_left(lane.jobs, (value, record.job)))
    _move_head(queues, key, before, lane.jobs[0] if lane.jobs else None)
    if not lane.jobs:
        del queues.lanes[key]
    _change(queues, record.spec, waiting=-1)


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


def hold(queues: Queues, record: model.JobRecord, size: float) -> None:
    """Count a gang as placed."""
    queues.sizes[record.job] = size
    _change(queues, record.spec, placed=1, held=size)


def release(queues: Queues, record: model.JobRecord) -> None:
    """Count a gang as placed no more."""
    size = queues.sizes.pop(record.job, None)
    if size is not None:
        _change(queues, record.spec, placed=-1, held=-size)


def _change(
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


def set_guaranteed(queues: Queues, shares: Mapping[ids.OrgId, float]) -> None:
    """Adopt the share of the fleet that each guarantee covers."""
    for org in sorted(set(queues.orgs) | set(shares)):
        queues.orgs.setdefault(org, OrgUsage()).guaranteed = shares.get(org, 0.0)
    active = [usage for usage in queues.orgs.values() if usage.is_active]
    queues.active_guaranteed = sum(usage.guaranteed for usage in active)


def org_share(queues: Queues, org: ids.OrgId) -> float:
    """Return the share of the fleet that is an organisation's due among those with work."""
    usage = queues.orgs.get(org, OrgUsage())
    rest = max(0.0, 1.0 - queues.active_guaranteed)
    return usage.guaranteed + rest / max(1, queues.active_orgs)


def caller_share(queues: Queues, org: ids.OrgId) -> float:
    """Return the share of the fleet that is a caller's due within its organisation."""
    usage = queues.orgs.get(org, OrgUsage())
    return org_share(queues, org) / max(1, usage.callers)


def is_under(queues: Queues, spec: model.JobSpec, size: float) -> bool:
    """Return whether a caller and its organisation stay within their due with one more gang."""
    org = queues.orgs.get(spec.org, Usage())
    caller = queues.callers.get((spec.org, spec.caller), Usage())
    is_org_under = not org.placed or org.held + size <= org_share(queues, spec.org)
    is_caller_under = not caller.placed or caller.held + size <= caller_share(queues, spec.org)
    return is_org_under and is_caller_under


def is_over(queues: Queues, spec: model.JobSpec, size: float) -> bool:
    """Return whether a caller keeps its due, and its organisation too, with one gang less."""
    org = queues.orgs.get(spec.org, OrgUsage())
    caller = queues.callers.get((spec.org, spec.caller), Usage())
    is_org_over = org.held - size >= org_share(queues, spec.org)
    is_caller_over = caller.held - size >= caller_share(queues, spec.org)
    return is_org_over or (is_caller_over and org.callers > 1)


def walk(
    queues: Queues,
    urgencies: Iterable[model.Urgency],
    is_wanted: Callable[[ids.OrgId, ids.CallerId], bool],
) -> Iterator[ids.JobId]:
    """Yield waiting jobs by rank, over the lanes of the classes that are wanted.

    The queues may change meanwhile: lanes are read when their turn comes.
    """
    streams = [_stream(queues, urgency, is_wanted) for urgency in urgencies]
    for _rank, job in heapq.merge(*streams):
        yield job


def _stream(
    queues: Queues,
    urgency: model.Urgency,
    is_wanted: Callable[[ids.OrgId, ids.CallerId], bool],
) -> Iterator[tuple[float, ids.JobId]]:
    """Merge the lanes of a class, opening a lane only when its first rank is reached."""
    heads = iter(tuple(queues.heads[urgency]))
    upcoming = next(heads, None)
    entries: list[tuple[float, ids.JobId, LaneKey]] = []
    while upcoming is not None or entries:
        if upcoming is not None and (not entries or upcoming[0] <= entries[0][0]):
            _value, org, caller = upcoming
            upcoming = next(heads, None)
            if is_wanted(org, caller):
                _push_after(queues, entries, (org, caller, urgency), (-math.inf, ids.JobId("")))
            continue
        value, job, key = heapq.heappop(entries)
        yield value, job
        _push_after(queues, entries, key, (value, job))


def _push_after(
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
        value, job = lane.jobs[index]
        heapq.heappush(entries, (value, job, key))


def ahead(queues: Queues, job: ids.JobId) -> tuple[int, tuple[ids.JobId, ...]]:
    """Return how many waiting jobs rank before a job, and the first few of them."""
    mark = (queues.ranks[job], job)
    before = [(lane, bisect.bisect_left(lane.jobs, mark)) for lane in queues.lanes.values()]
    first = heapq.nsmallest(
        3, (entry for lane, end in before for entry in lane.jobs[: min(3, end)])
    )
    return sum(end for _lane, end in before), tuple(other for _rank, other in first)


__all__ = [
    "Queues",
    "add",
    "ahead",
    "caller_share",
    "hold",
    "is_over",
    "is_under",
    "org_share",
    "predicted_s",
    "rank",
    "release",
    "remove",
    "set_guaranteed",
    "walk",
]
