"""Data types of the scheduling core: jobs, workers, rules and commands."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from bronzequay import ids

MAX_TASKS_PER_JOB = 10_000
"""Limit over all steps of a job; its progress record must fit one store value of 1 MB."""
MAX_TASKS_OVER_TIMES = 50_000
"""Limit over all times that a job's steps run; the record keeps every step that is done."""


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Amounts of processor, memory and accelerators.

    :param cpu: thousandths of a core
    :param mem_mb: megabytes
    :param gpu: whole accelerators
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """A set of equal tasks of a job.

    :param count: number of tasks
    :param need: resources of each task
    :param estimate_s: estimated run time of a task, in seconds
    :param after: numbers of the steps that must be done before this one starts
    :param is_gang: all tasks run together or none does
    :param same_rack: tasks run slower when they are spread over more than one rack
    :param saves_progress: tasks write checkpoints
    :param label: label that a worker must have, empty for any worker
    :param data_rack: preferred rack, close to the data; empty for none
    :param max_per_worker: limit of tasks of the step on one worker, 0 for no limit
    :param is_speculative: several copies of a task may run at once
    :param is_endless: tasks of a service; they run until the job is cancelled and always restart
    :param image: image that the tasks run; tasks of one image behave alike
    :param target_s: upper bound of the tail response time of a serving task, 0 for none
    :param is_filler: best-effort tasks that use only the processor time other tasks leave
    :param may_miss: the scheduler stops no task of a service while this many are down, 0: no limit
    """

    count: int = 1
    need: Resources = Resources()
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    same_rack: bool = False
    saves_progress: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_endless: bool = False
    image: str = ""
    target_s: float = 0.0
    is_filler: bool = False
    may_miss: int = 0


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as it was accepted.

    :param payload: passed to the workers unread
    :param accepted_s: when an instance accepted it, in seconds since the Unix epoch
    :param version: version of the configuration in force on that instance
    :param times: number of occurrences, 0 for a job that runs once, immediately
    :param first_due_s: when occurrence 0 is due, in seconds since the Unix epoch
    :param interval_s: time from one occurrence to the next, in seconds
    """

    job: ids.JobId
    queue: ids.QueueId
    org: ids.OrgId
    payload: str
    steps: tuple[Step, ...]
    accepted_s: float
    version: int = 0
    times: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0


class Queue(msgspec.Struct, frozen=True):
    """Scheduling rules of one queue.

    :param priority: 0 is the most urgent
    :param attempts: failed runs of a task, or of a gang, after which its job fails
    :param stretch: allowed run time of a job, as a multiple of its critical path
    :param latency_s: allowance added to that run time, in seconds
    :param requires_advice: whether starts need tickets of the advice service
    :param advice_s: time that this service takes for a query, in seconds
    :param advice_per_worker_s: further time for each worker of a query
    """

    queue: ids.QueueId
    service: ids.ServiceId
    priority: int
    attempts: int
    stretch: float
    latency_s: float
    requires_advice: bool = False
    advice_s: float = 0.0
    advice_per_worker_s: float = 0.0


class Rules(msgspec.Struct, frozen=True):
    """The part of a configuration that scheduling decisions depend on.

    :param guaranteed_gpus: guaranteed accelerators by organisation
    """

    version: int
    queues: dict[ids.QueueId, Queue]
    guaranteed_gpus: dict[ids.OrgId, int]


class WorkerSpec(msgspec.Struct, frozen=True):
    """One incarnation of a worker: a restarted worker is a new one.

    :param worker: identifies the incarnation, not the address
    :param machine: identifies the machine, which keeps its rack and kind over restarts
    :param started_s: Unix time at which the incarnation started, by its own clock
    :param data_centre: empty when its entry names none
    """

    worker: ids.WorkerId
    service: ids.ServiceId
    capacity: Resources
    labels: tuple[str, ...] = ()
    rack: str = ""
    machine: ids.MachineId = ids.MachineId("")
    started_s: float = 0.0
    data_centre: ids.DataCentreId = ids.DataCentreId("")


class TaskKey(NamedTuple):
    """Identifies a task over all its runs; runs are numbered from 1."""

    job: ids.JobId
    occurrence: int
    step: int
    number: int


class StepKey(NamedTuple):
    """Identifies a step of one occurrence of a job."""

    job: ids.JobId
    occurrence: int
    step: int


class Phase(enum.Enum):
    """Phase of a task."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


PLACED_PHASES = frozenset({Phase.STARTING, Phase.RUNNING, Phase.STOPPING})
"""Phases in which a task takes room on a worker."""


class End(enum.Enum):
    """How a run of a task ended.

    LAPSED runs lost their lease. BROKEN runs were ended because another member of their gang ended.
    ALONE runs were ended because the other members of their gang did not join them. NEVER_RAN runs
    did not begin, and LOST runs were on a worker that has ended or whose lease has lapsed.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    NEVER_RAN = "never_ran"
    LOST = "lost"


class JobState(enum.Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Start(msgspec.Struct, frozen=True):
    """Order to start a run of a task on a worker.

    :param checkpoint: to resume from, empty to begin anew
    :param ticket: ticket of the advice service, empty when the queue requires none
    """

    worker: ids.WorkerId
    key: TaskKey
    run: int
    checkpoint: str
    ticket: str = ""


class Stop(msgspec.Struct, frozen=True):
    """Order to stop a run of a task; a run that has not begun there must not begin later."""

    worker: ids.WorkerId
    key: TaskKey
    run: int


class Pace(msgspec.Struct, frozen=True):
    """Order to throttle a run.

    :param percent: share of its full speed, 0 to pause it
    """

    worker: ids.WorkerId
    key: TaskKey
    run: int
    percent: int


class BeginUpkeep(msgspec.Struct, frozen=True):
    """Order to take a machine down for its upkeep in a wave."""

    machine: ids.MachineId
    wave: int


class AdviceQuery(msgspec.Struct, frozen=True):
    """Query to the advice service: which of some workers may run a step.

    :param expected_s: time after which the answer is expected
    """

    step: StepKey
    workers: tuple[ids.WorkerId, ...]
    expected_s: float = 0.0


Command = Start | Stop | Pace

__all__ = [
    "FINAL_STATES",
    "MAX_TASKS_PER_JOB",
    "PLACED_PHASES",
    "AdviceQuery",
    "BeginUpkeep",
    "Command",
    "End",
    "JobSpec",
    "JobState",
    "Pace",
    "Phase",
    "Queue",
    "Resources",
    "Rules",
    "Start",
    "Step",
    "StepKey",
    "Stop",
    "TaskKey",
    "WorkerSpec",
]
