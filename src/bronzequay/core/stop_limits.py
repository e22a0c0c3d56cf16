"""Limits on stops of running work for urgent work: what a stop costs, gains, and how many occur.

Costs and gains are in values of an average job of a queue. A job's value grows with its work, is
smaller after its objective and zero after its late limit. The weights of queues are not known, so
average jobs of all queues count alike.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from bronzequay import ids

BASE_VALUE = 0.3
"""Part of an average job's value that does not depend on its work."""
WORK_VALUE = 0.7
"""Value of the work of an average job; the rest of its value is ``BASE_VALUE``."""
MAX_VALUE = 4.0
"""Largest value of a job, in values of an average job of its queue."""
LATE_SHARE = 0.8
"""Share of its value that a job keeps between its objective and its late limit."""
STOP_S = 0.5
"""Usual time from the decision to stop a run until the room is used again: up to 0.4 s until the
run has ended, and two writes of the journal."""
NATURAL_WAIT_S = 1.5
"""Expected wait for room that becomes free without stops, while a step has not waited longer; with
0.5 s more urgent work was late in trials. A step that has waited longer is expected to wait as long
again."""
HELD_SHARE = 0.5
"""Share of the room of a gang that is idle, on average, while the gang waits for the rest of it."""
RESTART_WAIT_S = 1.0
"""Shortest expected wait of a stopped run for its next start; one that has waited longer before
its start is expected to wait as long again."""
NEAR_END_SHARE = 0.2
"""Share of the expected run time that is left from which a run counts as near its end."""
NEAR_END_FACTOR = 3.0
"""Factor on the cost of a stop near the end: the room becomes free soon in any case."""
OVERDUE_SHARE = 0.3
"""Share of the expected run time past its end after which a run no longer counts as near its end;
three runs in a hundred take several times as long as expected."""
EARLIER_STOP_FACTOR = 1.0
"""Growth of the cost for each earlier stop of the same work."""
EARLIER_STOP_MEMORY_S = 120.0
"""Time for which a stop counts as an earlier one; longer than the late limits of most jobs."""
STOP_WINDOW_S = 5.0
"""Time over which the limit on stopped capacity applies; about the run time of a usual task."""
MAX_STOPPED_SHARE = 0.1
"""Largest share of the capacity of a service that is stopped within ``STOP_WINDOW_S``."""
MEAN_MEMORY_JOBS = 200
"""Number of jobs over which the mean work of a queue is taken."""


class Deadline(NamedTuple):
    """How much later work may end.

    :param slack_s: seconds until it misses its objective; negative once it has
    :param late_slack_s: seconds until it misses its late limit
    """

    slack_s: float
    late_slack_s: float

    def after(self, delay_s: float) -> Deadline:
        """Return what is left after a delay."""
        return Deadline(self.slack_s - delay_s, self.late_slack_s - delay_s)


class Victim(NamedTuple):
    """A run that may be stopped; the runs of a gang are one.

    :param job_value: value of its job
    :param lost_work_share: work that a stop loses, as a share of the mean work of a job of its
        queue
    :param lost_s: run time that a stop loses, in seconds
    :param remaining_s: expected time until its end, in seconds; negative once it is overdue
    :param run_time_s: expected run time, in seconds
    :param waited_s: time for which it waited before its start, in seconds
    :param earlier_stops: recent stops of the same work
    :param deadline: how much later it may end, None for work without an end
    """

    job_value: float
    lost_work_share: float
    lost_s: float
    remaining_s: float
    run_time_s: float
    waited_s: float
    earlier_stops: int
    deadline: Deadline | None


def job_value(work: float, mean_work: float) -> float:
    """Return the value of a job that ends in time.

    :param work: its work, in core-seconds
    :param mean_work: mean work of the jobs of its queue, in core-seconds
    """
    share = work / mean_work if mean_work > 0 else 1.0
    return min(MAX_VALUE, BASE_VALUE + WORK_VALUE * share)


def kept_share(deadline: Deadline) -> float:
    """Return the share of its value that a job has if it ends with this much time left."""
    if deadline.slack_s >= 0:
        return 1.0
    return LATE_SHARE if deadline.late_slack_s >= 0 else 0.0


def stop_gain(value: float, deadline: Deadline, waited_s: float, held_share: float = 0.0) -> float:
    """Return the value that a step is expected to gain by stops of other work.

    Without stops it waits for room for a random time. It gains nothing if it cannot reach its late
    limit, and little while it has time left.

    :param value: value of its job
    :param deadline: how much longer it may wait
    :param waited_s: time for which it has waited, in seconds
    :param held_share: work that its room could do in a second if it is held while the step waits,
        as a share of the mean work of a job
    """
    with_stops = kept_share(deadline.after(STOP_S))
    mean_wait_s = max(NATURAL_WAIT_S, waited_s)
    p_late = math.exp(-max(0.0, deadline.slack_s) / mean_wait_s)
    p_worthless = math.exp(-max(0.0, deadline.late_slack_s) / mean_wait_s)
    without_stops = (1.0 - p_late) + LATE_SHARE * (p_late - p_worthless)
    if not with_stops:
        return 0.0
    held = WORK_VALUE * HELD_SHARE * held_share * max(0.0, mean_wait_s - STOP_S)
    return value * (with_stops - without_stops) + held


def stop_cost(victim: Victim) -> float:
    """Return the value that is lost if a run is stopped."""
    cost = WORK_VALUE * victim.lost_work_share
    if victim.deadline is not None:
        delay_s = STOP_S + victim.lost_s + max(RESTART_WAIT_S, victim.waited_s)
        share_lost = kept_share(victim.deadline) - kept_share(victim.deadline.after(delay_s))
        cost += victim.job_value * share_lost
    cost *= 1.0 + EARLIER_STOP_FACTOR * victim.earlier_stops
    return cost * NEAR_END_FACTOR if _is_near_end(victim) else cost


def _is_near_end(victim: Victim) -> bool:
    return -OVERDUE_SHARE < victim.remaining_s / max(victim.run_time_s, 1e-3) < NEAR_END_SHARE


class Loss(NamedTuple):
    """A stopped task, or a stopped gang.

    :param tasks: number of stopped tasks
    :param work: work that is lost, in core-seconds
    """

    org: ids.OrgId
    queue: ids.QueueId
    tasks: int
    work: float


class Counts(NamedTuple):
    """What has been stopped and withheld since the last export.

    :param stops: stopped tasks by reason, organisation and queue
    :param lost_work: lost core-seconds by organisation and queue
    :param withheld: searches that ended without stops, by reason
    """

    stops: collections.Counter[tuple[str, ids.OrgId, ids.QueueId]]
    lost_work: collections.defaultdict[tuple[ids.OrgId, ids.QueueId], float]
    withheld: collections.Counter[str]


def _no_counts() -> Counts:
    return Counts(collections.Counter(), collections.defaultdict(float), collections.Counter())


class StopHistory:
    """Recent stops of running work, and the mean work of the jobs of each queue.

    It is kept in memory and starts empty in each term.
    """

    def __init__(self) -> None:
        self._counts = _no_counts()
        self._mean_work: dict[ids.QueueId, tuple[int, float]] = {}
        self._recent: collections.deque[tuple[float, ids.ServiceId, float]] = collections.deque()
        self._stops: collections.deque[tuple[float, Hashable]] = collections.deque()
        self._stop_counts: collections.Counter[Hashable] = collections.Counter()

    def record_job(self, queue: ids.QueueId, work: float) -> None:
        """Record the work of an accepted job, in core-seconds."""
        count, mean = self._mean_work.get(queue, (0, 0.0))
        count = min(count + 1, MEAN_MEMORY_JOBS)
        self._mean_work[queue] = (count, mean + (work - mean) / count)

    def mean_work(self, queue: ids.QueueId) -> float:
        """Return the mean work of the jobs of a queue in core-seconds, 0 while there are none."""
        return self._mean_work.get(queue, (0, 0.0))[1]

    def record_stops(
        self, now_s: float, service: ids.ServiceId, capacity: float, victims: Iterable[Hashable]
    ) -> None:
        """Record stops that were ordered together.

        :param capacity: capacity of the stopped runs, in cores
        :param victims: keys of the stopped steps of gangs and of other stopped tasks
        """
        self._forget(now_s)
        self._recent.append((now_s, service, capacity))
        for victim in victims:
            self._stops.append((now_s, victim))
            self._stop_counts[victim] += 1

    def count_losses(self, reason: str, losses: Iterable[Loss]) -> None:
        """Count what is stopped for a reason, by organisation and queue."""
        for loss in losses:
            self._counts.stops[reason, loss.org, loss.queue] += loss.tasks
            self._counts.lost_work[loss.org, loss.queue] += loss.work

    def count_withheld(self, reason: str) -> None:
        """Count a search for room that ended without stops, for a reason."""
        self._counts.withheld[reason] += 1

    def take_counts(self) -> Counts:
        """Return what was counted since the last call."""
        counts, self._counts = self._counts, _no_counts()
        return counts

    def earlier_stops(self, victim: Hashable) -> int:
        """Return the number of recent stops of a task, or of the step of a gang."""
        return self._stop_counts[victim]

    def allowance(self, now_s: float, service: ids.ServiceId, capacity: float) -> float:
        """Return the capacity that may be stopped now on a service, in cores.

        The first stop within ``STOP_WINDOW_S`` is not limited, so that urgent work can stop a run
        on a small fleet.

        :param capacity: capacity of the service, in cores
        """
        self._forget(now_s)
        recent = sum(cores for _, other, cores in self._recent if other == service)
        return MAX_STOPPED_SHARE * capacity - recent if recent else math.inf

    def _forget(self, now_s: float) -> None:
        while self._recent and now_s - self._recent[0][0] > STOP_WINDOW_S:
            self._recent.popleft()
        while self._stops and now_s - self._stops[0][0] > EARLIER_STOP_MEMORY_S:
            _, victim = self._stops.popleft()
            self._stop_counts[victim] -= 1
            if not self._stop_counts[victim]:
                del self._stop_counts[victim]


__all__ = [
    "Counts",
    "Deadline",
    "Loss",
    "StopHistory",
    "Victim",
    "job_value",
    "kept_share",
    "stop_cost",
    "stop_gain",
]
