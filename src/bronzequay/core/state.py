"""State of the scheduling core: jobs, their steps and tasks, workers and the room they have."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from bronzequay.core import evacuations, fair_shares, forecast, model, stop_limits, tasks

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Set as AbstractSet

    from bronzequay import ids
    from bronzequay.core import losses, order, reserve, rollout, upkeep
    from bronzequay.core.tasks import Task

    Decision = tuple[str, ids.JobId | None, dict[str, Any]]


class Ticket(NamedTuple):
    """Permission of the advice service to run a step on a worker, valid until ``expires_s``."""

    token: str
    expires_s: float


def remaining_s(step: StepRun, task: Task, now_s: float) -> float:
    """Return the expected time until a task ends, in seconds; negative once it is overdue.

    The members of a gang end together, with the slowest of them.
    """
    if not step.spec.is_gang:
        return own_remaining_s(step, task, now_s)
    return max(own_remaining_s(step, member, now_s) for member in (task, *step.placed_tasks))


def own_remaining_s(step: StepRun, task: Task, now_s: float) -> float:
    """Return the expected remaining run time of a task itself, in seconds.

    It follows from the progress rate if that is known, else from the prediction at its start.
    """
    rate = tasks.progress_rate(task)
    if not rate or task.last_sample is None:
        return tasks.expected_s(step.spec, task) - (now_s - task.phase_since_s)
    return (100.0 - task.last_sample[1]) / rate - (now_s - task.last_sample[0])


class StepRun:
    """One step of one occurrence of a job.

    :ivar ready_s: when the steps before it were done, None until then
    :ivar is_done: all tasks are done; one done member completes a gang
    :ivar failures: failed runs of a gang
    :ivar failed_run: last run of the gang that was counted as failed
    :ivar crashes: runs of a gang whose members crashed workers at their starts; 0 once one has not
    :ivar crashed_run: last of them
    :ivar failed_machines: machines on which a task has failed
    :ivar next_reservation_s: earliest time of the next search for room
    :ivar tickets: tickets by worker, where the queue requires them
    :ivar denied_workers: workers that the advice service does not allow
    :ivar is_query_pending: whether a query to the advice service is unanswered
    :ivar next_query_s: earliest time of the next query
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
        self.tasks = [tasks.Task(key) for key in keys]
        self.failures = 0
        self.failed_run = 0
        self.crashes = self.crashed_run = 0
        self.is_done = False
        self.ready_s: float | None = None
        self.failed_machines: set[str] = set()
        self.next_reservation_s = 0.0
        self.tickets: dict[ids.WorkerId, Ticket] = {}
        self.denied_workers: set[ids.WorkerId] = set()
        self.is_query_pending = False
        self.next_query_s = 0.0

    @property
    def key(self) -> model.StepKey:
        """Return the step's key."""
        return model.StepKey(self.job.spec.job, self.occurrence, self.number)

    @property
    def waiting_tasks(self) -> list[Task]:
        """Return the tasks that are not placed and not done."""
        return [task for task in self.tasks if task.phase is model.Phase.WAITING]

    @property
    def placed_tasks(self) -> list[Task]:
        """Return the tasks that take room on a worker."""
        return [task for task in self.tasks if task.phase in model.PLACED_PHASES]


class Occurrence:
    """One pass through all steps of a job."""

    def __init__(self, job: Job, number: int) -> None:
        self.number = number
        self.steps = [StepRun(job, number, step) for step in range(len(job.spec.steps))]

    @property
    def is_done(self) -> bool:
        """Return whether every step is done."""
        return all(step.is_done for step in self.steps)


class Job:
    """A job that has not been retired.

    :ivar occurrences: occurrences that are due, by number
    :ivar next_occurrence: number of the first occurrence that is not due
    :ivar has_begun: whether a worker has begun any task
    :ivar begun_s: when that was known first, in seconds since the Unix epoch
    :ivar reason: explanation of a failure or cancellation
    :ivar failed_machines: machines on which its runs have failed since one last succeeded
    :ivar paths: longest paths through the steps, None before they are needed
    """

    def __init__(self, spec: model.JobSpec) -> None:
        self.spec = spec
        self.state = model.JobState.QUEUED
        self.occurrences: dict[int, Occurrence] = {}
        self.next_occurrence = 0
        self.has_begun = False
        self.begun_s = 0.0
        self.reason = ""
        self.failed_machines: set[ids.MachineId] = set()
        self.paths: order.Paths | None = None

    @property
    def occurrence_count(self) -> int:
        """Return the number of occurrences, at least 1."""
        return max(1, self.spec.times)

    @property
    def is_final(self) -> bool:
        """Return whether the job has completed, failed or been cancelled."""
        return self.state in model.FINAL_STATES

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence is due, in seconds since the Unix epoch."""
        if self.spec.times == 0:
            return 0.0
        return self.spec.first_due_s + occurrence * self.spec.interval_s

    def steps(self) -> Iterator[StepRun]:
        """Yield the steps of all occurrences that are due."""
        for occurrence in self.occurrences.values():
            yield from occurrence.steps


def gang_checkpoint(step: StepRun) -> str:
    """Return the newest checkpoint of any member of a gang; it is valid for all members.

    A longer checkpoint is newer; among equally long ones the last in text order is.
    """
    return max((task.checkpoint for task in step.tasks), key=lambda text: (len(text), text))


class Worker:
    """One incarnation of a worker, its free room and the tasks placed on it.

    :ivar stray_runs: runs on the worker that belong to no task there and were ordered to stop
    :ivar is_ready: its runs are known, so tasks can be placed on it
    :ivar is_silent: its last call went unanswered, so it gets no tasks
    :ivar is_settled: calls to earlier incarnations can no longer extend its run leases
    :ivar stated_s: when it wrote the entry that states its capacity, infinity if unknown
    :ivar joined_s: when it was added
    :ivar heard_s: when its last listing arrived, or when it was added
    :ivar is_held_for_upkeep: gets no tasks because its machine is next in a wave of upkeep
    :ivar departure_s: when a draining worker is expected to leave
    :ivar cold_until_s: until when its tasks run slowly after an idle time, as its entry states
    :ivar quarantined_until_s: until when it gets no tasks
    :ivar failed_jobs: jobs with a failed run on it since a run last succeeded or it was quarantined
    :ivar quarantine_count: quarantines since a run last succeeded
    :ivar filler_percent: throttle of its filler tasks, None without serving tasks beside them
    """

    def __init__(self, spec: model.WorkerSpec) -> None:
        self.spec = spec
        self.free_cpu = spec.capacity.cpu
        self.free_mem_mb = spec.capacity.mem_mb
        self.free_gpu = spec.capacity.gpu
        self.tasks: dict[model.TaskKey, Task] = {}
        self.stray_runs: set[tuple[model.TaskKey, int]] = set()
        self.is_ready = False
        self.is_silent = self.is_settled = False
        self.stated_s = float("inf")
        self.joined_s = self.heard_s = 0.0
        self.is_draining = False
        self.is_held_for_upkeep = False
        self.departure_s: float | None = None
        self.cold_until_s = 0.0
        self.quarantined_until_s = 0.0
        self.failed_jobs: set[ids.JobId] = set()
        self.quarantine_count = 0
        self.filler_percent: int | None = None


class State:
    """Complete state of the scheduling core.

    :ivar now_s: the runtime's clock at the current event
    :ivar wall_s: seconds since the Unix epoch at the current event
    :ivar max_entry_age_s: age of a worker's entry from which its capacity may have changed unseen
    :ivar remote_factor: slow-down of a task off its data's rack, or of a gang spread over racks
    :ivar entry_lag_s: age at which entries arrive, by the newest of the latest ones
    :ivar is_changed: whether another pass could start or stop more than the last one
    :ivar open_steps: steps that are ready and have waiting tasks
    :ivar reservations: room that steps wait for
    :ivar settled_workers: workers that earlier terms knew to be settled, see ``Worker``
    :ivar orphaned_tasks: tasks placed on workers that have not joined, by worker
    :ivar unjudged_steps: steps with failed runs whose queue was not in the configuration
    :ivar suspect_steps: steps with tasks whose workers crashed as they started
    :ivar lost_workers: workers that crashed a short time ago
    :ivar lapsed_tasks: by worker, tasks whose runs were given up as its leases lapsed, and whether
        they were starting then
    :ivar considered_job: job that is being decided about, to be named if that fails
    :ivar dirty_jobs: jobs whose record changed
    :ivar retired_jobs: jobs that have ended and have no placed tasks, until they are committed
    :ivar ended_jobs: when jobs were retired in this term
    :ivar commands: orders for workers
    :ivar advice_queries: queries for the advice service
    :ivar upkeep_orders: orders for machines
    :ivar dirty_waves: waves of upkeep whose record changed
    :ivar evacuations: data centres whose workers get no starts
    :ivar rollouts: the latest series of drains of each service
    :ivar forecast: predictions of run times and of the speeds of workers
    :ivar shares: use of the fleet by organisations
    :ivar stops: recent stops for urgent work, and the mean work of the jobs of each queue
    :ivar decisions: log entries in the order of the decisions: event, job, inputs
    """

    def __init__(
        self,
        rules: model.Rules,
        *,
        max_entry_age_s: float = float("inf"),
        remote_factor: float = 3.0,
    ) -> None:
        self.rules = rules
        self.remote_factor = remote_factor
        self.max_entry_age_s = max_entry_age_s
        self.entry_lag_s = 0.0
        self.now_s = 0.0
        self.wall_s = 0.0
        self.is_changed = True
        self.jobs: dict[ids.JobId, Job] = {}
        self.workers: dict[ids.WorkerId, Worker] = {}
        self.open_steps: dict[model.StepKey, StepRun] = {}
        self.reservations: dict[model.StepKey, reserve.Reservation] = {}
        self.settled_workers: AbstractSet[ids.WorkerId] = frozenset()
        self.orphaned_tasks: dict[ids.WorkerId, dict[model.TaskKey, Task]] = {}
        self.unjudged_steps: set[model.StepKey] = set()
        self.suspect_steps: set[model.StepKey] = set()
        self.lost_workers: list[losses.LostWorker] = []
        self.lapsed_tasks: dict[ids.WorkerId, list[Task]] = {}
        self.considered_job: ids.JobId | None = None
        self.dirty_jobs: set[ids.JobId] = set()
        self.retired_jobs: list[Job] = []
        self.ended_jobs: dict[ids.JobId, float] = {}
        self.commands: list[model.Command] = []
        self.advice_queries: list[model.AdviceQuery] = []
        self.upkeep_orders: list[model.BeginUpkeep] = []
        self.waves: dict[int, upkeep.Wave] = {}
        self.dirty_waves: set[int] = set()
        self.evacuations = evacuations.Evacuations()
        self.rollouts: dict[ids.ServiceId, rollout.Rollout] = {}
        self.forecast = forecast.Forecast()
        self.shares = fair_shares.FairShares()
        self.stops = stop_limits.StopHistory()
        self.decisions: list[Decision] = []

    @property
    def evacuated(self) -> frozenset[ids.DataCentreId]:
        """Return the data centres under evacuation."""
        return self.evacuations.evacuated

    def restriction(self) -> evacuations.Restriction:
        """Return which workers get no starts because of evacuations, and which come last."""
        if not self.evacuations.is_restricting(self.now_s):
            return evacuations.UNRESTRICTED
        sites = (
            evacuations.Site(
                worker.spec.worker, worker.spec.data_centre, worker.spec.rack, worker.cold_until_s
            )
            for worker in self.workers.values()
        )
        return self.evacuations.restrict(sites, self.now_s)

    def is_capacity_known(self, worker: Worker, now_s: float) -> bool:
        """Return whether the latest entry that a worker can have written has arrived.

        Entries that arrive late because there are many of them do not stop all starts.
        """
        return now_s - worker.stated_s <= self.max_entry_age_s + self.entry_lag_s

    def record_decision(self, event: str, job: ids.JobId | None, **inputs: Any) -> None:
        """Append a decision for the log.

        :param event: name of the log event
        :param inputs: what the decision depends on
        """
        self.decisions.append((event, job, inputs))

    def step_of(self, key: model.TaskKey | model.StepKey) -> StepRun | None:
        """Return a step, or the step of a task; None unless its occurrence is due."""
        job = self.jobs.get(key.job)
        occurrence = None if job is None else job.occurrences.get(key.occurrence)
        if occurrence is None or key.step >= len(occurrence.steps):
            return None
        return occurrence.steps[key.step]

    def task_of(self, key: model.TaskKey) -> Task | None:
        """Return a task; None unless its occurrence is due."""
        step = self.step_of(key)
        return None if step is None or key.number >= len(step.tasks) else step.tasks[key.number]

    def work_s(self, step: StepRun) -> float:
        """Return the expected run time of a step's tasks on workers of the usual speed."""
        spec = step.job.spec
        return self.forecast.work_s(spec.org, spec.queue, step.spec)

    def queue_of(self, job: Job) -> model.Queue | None:
        """Return the rules of a job's queue, None when the queue was removed."""
        return self.rules.queues.get(job.spec.queue)


def allocation_of(step: model.Step) -> model.Resources:
    """Return the room that a task takes on its worker; fillers take no cores."""
    if step.is_filler:
        return model.Resources(0, step.need.mem_mb, step.need.gpu)
    return step.need


__all__ = [
    "Job",
    "Occurrence",
    "State",
    "StepRun",
    "Ticket",
    "Worker",
    "allocation_of",
    "gang_checkpoint",
    "own_remaining_s",
    "remaining_s",
]
