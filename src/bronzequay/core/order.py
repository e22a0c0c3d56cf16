"""Order of waiting steps: by tier (guarantee, urgency and lateness), then by priority and slack."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

from bronzequay.core import stop_limits, work

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from collections.abc import Set as AbstractSet

    from bronzequay import ids
    from bronzequay.core import model
    from bronzequay.core.state import Job, State, StepRun

LATE_LIMIT_FACTOR = 3.0
"""A late job still has some value until this multiple of its objective."""
REMOVED_QUEUE_PRIORITY = 1_000_000
"""Priority of jobs whose queue was removed from the configuration."""

Rank = tuple["Tier", int, float, "ids.JobId", int, int]


class Tier(enum.IntEnum):
    """Classes of waiting steps; lower values are scheduled first.

    URGENT and URGENT_LATE steps have priority 0, IN_TIME and LATE steps a lower priority.
    HOPELESS steps are too late to have any value, or their queue was removed.
    """

    GUARANTEED = 0
    URGENT = 1
    URGENT_LATE = 2
    IN_TIME = 3
    LATE = 4
    HOPELESS = 5


class Paths(NamedTuple):
    """Longest paths through the steps of a job, in seconds of expected run time.

    :param critical_s: path through all steps
    :param remaining_s: by step, path from its start to the end of the occurrence
    :param work: work of all steps, in core-seconds
    """

    critical_s: float
    remaining_s: list[float]
    work: float


def guaranteed_jobs(state: State) -> set[ids.JobId]:
    """Return the urgent jobs of organisations whose urgent jobs together fit their guarantee.

    Jobs of an organisation whose urgent jobs need no accelerators are not among them.
    """
    demands: dict[ids.OrgId, int] = {}
    urgent = [job for job in state.jobs.values() if is_urgent(state, job)]
    for job in urgent:
        demands[job.spec.org] = demands.get(job.spec.org, 0) + largest_step_gpus(job)
    guaranteed = state.rules.guaranteed_gpus
    return {
        job.spec.job
        for job in urgent
        if guaranteed.get(job.spec.org, 0) >= demands[job.spec.org] > 0
    }


def is_urgent(state: State, job: Job) -> bool:
    """Return whether a job has priority 0 and is not final."""
    queue = state.queue_of(job)
    return queue is not None and queue.priority == 0 and not job.is_final


def may_stop(
    state: State, other: StepRun, guaranteed: AbstractSet[ids.JobId], *, is_guaranteed: bool
) -> bool:
    """Return whether tasks of another step may be stopped for an urgent one.

    :param guaranteed: jobs that the guarantees of their organisations cover
    :param is_guaranteed: whether the urgent step belongs to one of them
    """
    if other.job.spec.job in guaranteed:
        return False
    return is_guaranteed or not (other.spec.is_endless or is_urgent(state, other.job))


def largest_step_gpus(job: Job) -> int:
    """Return the accelerators that the largest step of a job needs."""
    return max(step.count * step.need.gpu for step in job.spec.steps)


def critical_path_s(steps: Iterable[model.Step], work_s: Sequence[float] = ()) -> float:
    """Return the longest path through the steps, in seconds.

    :param work_s: expected run times of the steps' tasks, their estimates by default
    """
    end_times: list[float] = []
    for number, step in enumerate(steps):
        begin_s = max((end_times[earlier] for earlier in step.after), default=0.0)
        end_times.append(begin_s + (work_s[number] if work_s else step.estimate_s))
    return max(end_times, default=0.0)


def slack_s(state: State, step: StepRun, queue: model.Queue) -> tuple[float, float]:
    """Return how long a step can still wait.

    :return: seconds until it is late for the objective, and until it has no value at all; negative
        once it is
    """
    job = step.job
    begin_s = max(job.spec.accepted_s, job.due_s(step.occurrence))
    paths = job.paths or _find_paths(state, job)
    objective_s = queue.stretch * paths.critical_s + queue.latency_s
    remaining_s = paths.remaining_s[step.number]
    waited_s = state.wall_s - begin_s
    return (
        objective_s - remaining_s - waited_s,
        LATE_LIMIT_FACTOR * objective_s - remaining_s - waited_s,
    )


def _find_paths(state: State, job: Job) -> Paths:
    """Find a job's paths once, since a search for each of its steps takes quadratic time."""
    steps = job.spec.steps
    work_s = [state.forecast.work_s(job.spec.org, job.spec.queue, step) for step in steps]
    paths_s = [0.0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        paths_s[number] += work_s[number]
        for earlier in steps[number].after:
            paths_s[earlier] = max(paths_s[earlier], paths_s[number])
    job.paths = Paths(critical_path_s(steps, work_s), paths_s, work.job_work(job.spec))
    return job.paths


def rank(state: State, step: StepRun, guaranteed: set[ids.JobId]) -> Rank:
    """Return the sort key of a step; steps with lower ranks are scheduled first."""
    job = step.job
    queue = state.queue_of(job)
    step_id = (job.spec.job, step.occurrence, step.number)
    if queue is None:
        return (Tier.HOPELESS, REMOVED_QUEUE_PRIORITY, 0.0, *step_id)
    slack, late_slack = slack_s(state, step, queue)
    is_urgent_queue = queue.priority == 0
    if job.spec.job in guaranteed:
        return (Tier.GUARANTEED, queue.priority, slack, *step_id)
    if slack >= 0:
        tier = Tier.URGENT if is_urgent_queue else Tier.IN_TIME
    elif late_slack >= 0:
        tier = Tier.URGENT_LATE if is_urgent_queue else Tier.LATE
    else:
        tier = Tier.HOPELESS
    return (tier, queue.priority, slack + _shift_s(state, job, queue), *step_id)


def _shift_s(state: State, job: Job, queue: model.Queue) -> float:
    """Return by how much a job comes later since others are served less, in seconds."""
    paths = job.paths or _find_paths(state, job)
    mean_work = state.stops.mean_work(queue.queue) or paths.work
    value = stop_limits.job_value(paths.work, mean_work)
    objective_s = queue.stretch * paths.critical_s + queue.latency_s
    return objective_s * state.shares.shift(job.spec.org, value / stop_limits.MAX_VALUE)


__all__ = [
    "Paths",
    "Rank",
    "Tier",
    "critical_path_s",
    "guaranteed_jobs",
    "is_urgent",
    "largest_step_gpus",
    "may_stop",
    "rank",
]
