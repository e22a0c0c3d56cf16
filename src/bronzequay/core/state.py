"""State of the scheduling core: jobs, their steps and tasks, workers and what they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from bronzequay.core import model

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bronzequay import ids
    from bronzequay.core import reserve, upkeep

    Decision = tuple[str, ids.JobId | None, dict[str, Any]]

Seen = tuple[float, float]
"""When a run's progress was listed, and the percentage done."""
MIN_SPAN_S = 0.5
"""Shortest time over which a run's speed is measured."""


class Ticket(NamedTuple):
    """Permission of the advice service to run a step on a worker."""

    text: str
    until_s: float


class Task:
    """One task of a step.

    :ivar run: number of the last start, 0 before the first
    :ivar is_confirmed: whether the worker has said that it has the run
    :ivar since_s: when the phase began
    :ivar first_seen: of the present run
    :ivar last_seen: of the present run
    :ivar moved_s: when the present run was last seen to make progress
    :ivar load: tail of response times in ms of a serving task, else cpu in use
    :ivar percent: share of its speed that the run was told to work at, None when not known
    """

    __slots__ = (
        "checkpoint",
        "failures",
        "first_seen",
        "is_confirmed",
        "key",
        "last_seen",
        "load",
        "moved_s",
        "percent",
        "phase",
        "run",
        "since_s",
        "worker",
    )

    def __init__(self, key: model.TaskKey) -> None:
        self.key = key
        self.phase = model.Phase.WAITING
        self.run = 0
        self.worker: ids.WorkerId | None = None
        self.checkpoint = ""
        self.failures = 0
        self.is_confirmed = False
        self.since_s = 0.0
        self.first_seen: Seen | None = None
        self.last_seen: Seen | None = None
        self.moved_s = 0.0
        self.load = 0.0
        self.percent: int | None = 100


def rest_s(step: StepRun, task: Task, now_s: float) -> float:
    """Return how much longer a running task is likely to run, by its progress or estimate."""
    rate = speed(task)
    if not rate or task.last_seen is None:
        return step.spec.estimate_s - (now_s - task.since_s)
    return (100.0 - task.last_seen[1]) / rate - (now_s - task.last_seen[0])


def speed(task: Task) -> float | None:
    """Return the percentage that a run does in a second, None while that is not known."""
    first, last = task.first_seen, task.last_seen
    if first is None or last is None or last[0] - first[0] < MIN_SPAN_S:
        return None
    return (last[1] - first[1]) / (last[0] - first[0])


class StepRun:
    """One step of one occurrence of a job.

    :ivar failures: failed runs of a gang
    :ivar failed_run: the gang's last run that was counted as failed
    :ivar is_done: every task is done, or one member of the gang
    :ivar failed_on: machines on which a task has failed
    :ivar no_claim_until_s: when room may be searched for again
    :ivar ready_s: when its turn came
    :ivar tickets: by worker, where the queue needs them
    :ivar barred: workers that the advice service does not allow
    :ivar is_asking: whether a question to it is not answered yet
    """

    def __init__(self, job: Job, occurrence: int, number: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = job.spec.steps[number]
        keys = (
            model.TaskKey(job.spec.job, occurrence, number, index)
            for index in range(self.spec.count)
        )
        self.tasks = [Task(key) for key in keys]
        self.failures = 0
        self.failed_run = 0
        self.is_done = False
        self.ready_s: float | None = None
        self.failed_on: set[str] = set()
        self.no_claim_until_s = 0.0
        self.tickets: dict[ids.WorkerId, Ticket] = {}
        self.barred: set[ids.WorkerId] = set()
        self.is_asking = False
        self.no_question_until_s = 0.0

    @property
    def key(self) -> model.StepKey:
        """Return the step's name."""
        return model.StepKey(self.job.spec.job, self.occurrence, self.number)

    @property
    def waiting(self) -> list[Task]:
        """Return the tasks that could be started."""
        return [task for task in self.tasks if task.phase is model.Phase.WAITING]

    @property
    def placed(self) -> list[Task]:
        """Return the tasks that a worker has, may have or is stopping."""
        return [task for task in self.tasks if task.phase in model.PLACED]


class Occurrence:
    """One run through a job's steps."""

    def __init__(self, job: Job, number: int) -> None:
        self.number = number
        self.steps = [StepRun(job, number, step) for step in range(len(job.spec.steps))]

    @property
    def is_done(self) -> bool:
        """Return whether every step is done."""
        return all(step.is_done for step in self.steps)


class Job:
    """A job that has not been retired.

    :ivar occurrences: those that are due and not done
    :ivar next_occurrence: number of the first that is not due
    :ivar has_begun: whether a task was ever started
    :ivar begun_s: when the first was, in seconds since the Unix epoch
    :ivar reason: why it ended as it did
    """

    def __init__(self, spec: model.JobSpec) -> None:
        self.spec = spec
        self.state = model.JobState.QUEUED
        self.occurrences: dict[int, Occurrence] = {}
        self.next_occurrence = 0
        self.has_begun = False
        self.begun_s = 0.0
        self.reason = ""

    @property
    def times(self) -> int:
        """Return how many occurrences there are."""
        return max(1, self.spec.times)

    @property
    def is_final(self) -> bool:
        """Return whether the outcome is decided."""
        return self.state in model.FINAL

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence is due, in seconds since the Unix epoch."""
        if self.spec.times == 0:
            return 0.0
        return self.spec.first_due_s + occurrence * self.spec.interval_s

    def steps(self) -> Iterator[StepRun]:
        """Yield the steps of all open occurrences."""
        for occurrence in self.occurrences.values():
            yield from occurrence.steps


class Worker:
    """One life of a worker and what it has or may have.

    :ivar avoid_until_s: when it may be given work again
    :ivar failed_jobs: jobs that failed on it since one was last done
    :ivar pauses: times without work since one was last done
    :ivar is_ready: its runs are known, so that it can be given more
    :ivar strays: runs that no task accounts for and that were told to stop
    :ivar is_withheld: it is the next of a wave of upkeep
    :ivar fill_percent: share of speed of its filling tasks, None without serving tasks beside
    """

    def __init__(self, spec: model.WorkerSpec) -> None:
        self.spec = spec
        self.cpu = spec.capacity.cpu
        self.mem_mb = spec.capacity.mem_mb
        self.gpu = spec.capacity.gpu
        self.tasks: dict[model.TaskKey, Task] = {}
        self.strays: set[tuple[model.TaskKey, int]] = set()
        self.is_ready = False
        self.is_draining = False
        self.is_withheld = False
        self.leaves_s: float | None = None
        self.avoid_until_s = 0.0
        self.failed_jobs: set[ids.JobId] = set()
        self.pauses = 0
        self.fill_percent: int | None = None


class State:
    """All that the core knows.

    :ivar now_s: the runtime's clock at the present event
    :ivar wall_s: seconds since the Unix epoch at the present event
    :ivar is_changed: whether a pass could start or stop more than the one before
    :ivar open: steps whose turn has come and that have waiting tasks
    :ivar claims: room that is being freed for steps
    :ivar absent: tasks placed on workers that are not known
    :ivar dirty: jobs whose record changed
    :ivar ended: jobs that were retired in this term, and when
    :ivar questions: for the advice service
    :ivar upkeeps: orders for machines
    :ivar dirty_waves: waves whose record changed
    :ivar decisions: for the log, in the order in which they were taken
    :ivar retired: jobs that ended and have nothing placed any more
    """

    def __init__(self, rules: model.Rules) -> None:
        self.rules = rules
        self.now_s = 0.0
        self.wall_s = 0.0
        self.is_changed = True
        self.jobs: dict[ids.JobId, Job] = {}
        self.workers: dict[ids.WorkerId, Worker] = {}
        self.open: dict[model.StepKey, StepRun] = {}
        self.claims: dict[model.StepKey, reserve.Claim] = {}
        self.absent: dict[ids.WorkerId, dict[model.TaskKey, Task]] = {}
        self.dirty: set[ids.JobId] = set()
        self.retired: list[Job] = []
        self.ended: dict[ids.JobId, float] = {}
        self.commands: list[model.Command] = []
        self.questions: list[model.Ask] = []
        self.upkeeps: list[model.Upkeep] = []
        self.waves: dict[int, upkeep.Wave] = {}
        self.dirty_waves: set[int] = set()
        self.decisions: list[Decision] = []

    def note(self, event: str, job: ids.JobId | None, **inputs: Any) -> None:
        """Keep a decision for the log."""
        self.decisions.append((event, job, inputs))

    def step_of(self, key: model.TaskKey | model.StepKey) -> StepRun | None:
        """Return a step, or the step that a task belongs to, if it is open."""
        job = self.jobs.get(key.job)
        occurrence = None if job is None else job.occurrences.get(key.occurrence)
        if occurrence is None or key.step >= len(occurrence.steps):
            return None
        return occurrence.steps[key.step]

    def task_of(self, key: model.TaskKey) -> Task | None:
        """Return a task of an open occurrence."""
        step = self.step_of(key)
        return None if step is None or key.number >= len(step.tasks) else step.tasks[key.number]

    def queue_of(self, job: Job) -> model.Queue | None:
        """Return the rules of a job's queue, if the queue still exists."""
        return self.rules.queues.get(job.spec.queue)


def need_of(step: model.Step) -> model.Resources:
    """Return what a task takes of its worker's capacity."""
    if step.is_filler:
        return model.Resources(0, step.need.mem_mb, step.need.gpu)
    return step.need


__all__ = [
    "Job",
    "Occurrence",
    "State",
    "StepRun",
    "Task",
    "Ticket",
    "Worker",
    "need_of",
    "rest_s",
    "speed",
]
