"""Types of the scheduling core: jobs, workers, rules and commands."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from bronzequay import ids

MAX_COUNT = 10_000
"""Tasks of one job, over all steps; their progress has to fit one value of 1 MB."""


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Processor in thousandths of a core, memory in MB, whole accelerators."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Equal tasks of a job.

    :param count: number of tasks
    :param need: what each task takes
    :param estimate_s: rough run time of a task, in seconds
    :param after: steps whose tasks must all be done first
    :param is_gang: all tasks run together or none does
    :param same_rack: tasks are slower when they run on more than one rack
    :param saves_progress: tasks write checkpoints
    :param label: label that the worker must have, empty for none
    :param data_rack: rack near the data, empty for none
    :param max_per_worker: most tasks of the step on one worker, 0 for no limit
    :param is_speculative: copies of a task may run at once
    :param is_endless: tasks run until the job is cancelled and are always started again
    :param image: what the tasks run; tasks of one image behave alike
    :param target_s: bound on the tail of response times of a serving task, 0 for none
    :param is_filler: takes only the processor share that other tasks leave
    :param may_miss: how many tasks may be away through our own actions
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

    :param payload: handed to the workers unread
    :param accepted_s: seconds since the Unix epoch at the instance that accepted it
    :param version: of the configuration in force there
    :param times: occurrences of the steps, 0 for a job that runs once at once
    :param first_due_s: when occurrence 0 is due, in seconds since the Unix epoch
    :param interval_s: time from one occurrence to the next
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
    """Rules of one queue.

    :param priority: 0 comes first
    :param attempts: failed runs of a task after which the job has failed
    :param stretch: run time a job may take, as a multiple of its shortest
    :param latency_s: allowance on top of it
    :param has_advice: whether starts need tickets of the advice service
    """

    queue: ids.QueueId
    service: ids.ServiceId
    priority: int
    attempts: int
    stretch: float
    latency_s: float
    has_advice: bool = False


class Rules(msgspec.Struct, frozen=True):
    """The part of a configuration that decisions depend on.

    :param guaranteed: accelerators of each organisation
    """

    version: int
    queues: dict[ids.QueueId, Queue]
    guaranteed: dict[ids.OrgId, int]


class WorkerSpec(msgspec.Struct, frozen=True):
    """One life of a worker.

    :param worker: names the life, not the address
    :param machine: keeps its rack and kind across lives
    """

    worker: ids.WorkerId
    service: ids.ServiceId
    capacity: Resources
    labels: tuple[str, ...] = ()
    rack: str = ""
    machine: ids.MachineId = ids.MachineId("")


class TaskKey(NamedTuple):
    """Names a task for good; its starts are numbered by runs."""

    job: ids.JobId
    occurrence: int
    step: int
    number: int


class StepKey(NamedTuple):
    """Names a step of one occurrence of a job."""

    job: ids.JobId
    occurrence: int
    step: int


class Phase(enum.Enum):
    """Where a task is in its life."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


PLACED = frozenset({Phase.STARTING, Phase.RUNNING, Phase.STOPPING})


class End(enum.Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    NEVER_RAN = "never_ran"
    LOST = "lost"


class JobState(enum.Enum):
    """What callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Start(msgspec.Struct, frozen=True):
    """Start a run of a task on a worker.

    :param ticket: of the advice service, empty when the queue needs none
    """

    worker: ids.WorkerId
    key: TaskKey
    run: int
    checkpoint: str
    ticket: str = ""


class Stop(msgspec.Struct, frozen=True):
    """Stop a run of a task, and bar it where it has not begun."""

    worker: ids.WorkerId
    key: TaskKey
    run: int


class Pace(msgspec.Struct, frozen=True):
    """Let a run work at a share of its speed."""

    worker: ids.WorkerId
    key: TaskKey
    run: int
    percent: int


class Upkeep(msgspec.Struct, frozen=True):
    """Take a machine down for its upkeep in a wave."""

    machine: ids.MachineId
    wave: int


class Ask(msgspec.Struct, frozen=True):
    """Ask the advice service which workers may run a step."""

    step: StepKey
    workers: tuple[ids.WorkerId, ...]


Command = Start | Stop | Pace

__all__ = [
    "FINAL",
    "MAX_COUNT",
    "PLACED",
    "Ask",
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
    "Upkeep",
    "WorkerSpec",
]
