"""Clairvoyant lower bound on the mean job completion time of any schedule.

Let job j arrive at a_j, ask for g_j accelerators in all and run for p_j; its work is
w_j = g_j p_j. The fleet has A accelerators. Job j completes at C_j; the bound is on the mean
of C_j - a_j. No schedule lets a job do work before r_j = a_j + s, with s the start delay.
Worker losses, checkpoints, restarts and jobs outside the given set can only slow a schedule
down and are ignored. The bound is the largest of those of three relaxations:

1. Each job alone: C_j >= r_j + p_j.
2. Total capacity: any schedule is one for a single preemptive machine that does A units of
   work a second, where job j takes w_j / A. Shortest remaining processing time (SRPT) has the
   least total flow time there, so the mean of its C_j - a_j is a bound.
3. Mean busy time: M_j, the mean time at which job j's work is done, is at most C_j - p_j / 2,
   as a job works at a rate of at most g_j and so takes at least p_j. On the single machine
   the least sum of M_j is reached by the preemptive schedule in order of w_j, smallest first
   (Smith's ratio for equal weights; Goemans, Queyranne, Schulz, Skutella and Wang, 2002).
   So the mean of C_j is at least that of M_j plus half the mean of p_j.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from bench import stats, trace

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

Slice = tuple[int, float, float]


def mean_jct_s(jobs: Sequence[trace.TraceJob], *, accelerators: int, start_s: float = 0.0) -> float:
    """Return the lower bound.

    :param jobs: the jobs over which the mean is taken
    :param accelerators: accelerators of the fleet
    :param start_s: start delay, from the command to the first work, in seconds
    :return: bound in seconds, 0 for no jobs
    """
    if not jobs:
        return 0.0
    arrivals = [(job.at_s + start_s, trace.size_of(job) * job.actual_s) for job in jobs]
    bounds = (
        _mean_run_s(jobs),
        _srpt_bound_s(arrivals, accelerators),
        _mean_busy_bound_s(jobs, arrivals, accelerators),
    )
    return max(bounds) + start_s


def _mean_run_s(jobs: Sequence[trace.TraceJob]) -> float:
    return sum(job.actual_s for job in jobs) / len(jobs)


def _srpt_bound_s(arrivals: Sequence[tuple[float, float]], speed: float) -> float:
    ends = {
        job: end_s
        for job, _, end_s in _slices(arrivals, speed, lambda _work, remaining_work: remaining_work)
    }
    flow_s = (ends.get(job, release_s) - release_s for job, (release_s, _) in enumerate(arrivals))
    return sum(flow_s) / len(arrivals)


def _mean_busy_bound_s(
    jobs: Sequence[trace.TraceJob], arrivals: Sequence[tuple[float, float]], speed: float
) -> float:
    busy = 0.0
    for job, from_s, until_s in _slices(arrivals, speed, lambda work, _remaining_work: work):
        release_s, work = arrivals[job]
        middle_s = (from_s + until_s) / 2 - release_s
        busy += middle_s * (until_s - from_s) * speed / work
    return busy / len(arrivals) + _mean_run_s(jobs) / 2


def _slices(
    arrivals: Sequence[tuple[float, float]],
    speed: float,
    rank: Callable[[float, float], float],
) -> Iterator[Slice]:
    """Yield (job, start, end) of the preemptive schedule that runs the lowest rank first.

    :param arrivals: release time in seconds and work in accelerator-seconds of each job
    :param speed: work per second of the machine
    :param rank: rank of a job, from its whole and its remaining work
    """
    order = sorted(range(len(arrivals)), key=lambda job: arrivals[job][0])
    ready: list[tuple[float, int, float]] = []
    now_s = 0.0
    upcoming = iter([*order, None])
    job = next(upcoming)
    while job is not None or ready:
        until_s = arrivals[job][0] if job is not None else float("inf")
        while ready and now_s < until_s:
            _, running, remaining_work = heapq.heappop(ready)
            end_s = min(until_s, now_s + remaining_work / speed)
            yield running, now_s, end_s
            if now_s + remaining_work / speed > until_s:
                remaining_work -= (end_s - now_s) * speed
                heapq.heappush(
                    ready, (rank(arrivals[running][1], remaining_work), running, remaining_work)
                )
            now_s = end_s
        if job is None:
            continue
        now_s = until_s
        work = arrivals[job][1]
        if work > 0:
            heapq.heappush(ready, (rank(work, work), job, work))
        job = next(upcoming)


def p95_jct_s(jobs: Iterable[trace.TraceJob], *, start_s: float = 0.0) -> float:
    """Return the 95th percentile of the run times, a lower bound on that of the completion times.

    :param jobs: the jobs over which the percentile is taken
    :param start_s: start delay, from the command to the first work, in seconds
    """
    return stats.percentile([job.actual_s + start_s for job in jobs], 0.95)


__all__ = ["mean_jct_s", "p95_jct_s"]
