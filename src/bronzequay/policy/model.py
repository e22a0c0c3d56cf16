"""Types of the scheduling core: jobs, fleet, rules, events and commands."""

from __future__ import annotations

import enum

import msgspec

from bronzequay import codes, ids
from bronzequay.policy import cells, states


class Urgency(enum.Enum):
    """Priority class of a job or request."""

    LOW = "low"
    NORMAL = "normal"
    URGENT = "urgent"


JobState = states.JobState
TRANSITIONS = states.TRANSITIONS
FINAL_STATES = states.FINAL_STATES
PLACED_STATES = states.PLACED_STATES
Share = cells.Share
Cell = cells.Cell


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a caller asks for; sizes are per member.

    :param members: tasks of the gang, all or none of which run
    :param accelerators: accelerators a member needs, all on one worker
    :param cpu: processor cores a member needs
    :param mem_gb: memory a member needs, in GB
    :param declared_s: run time the caller expects, in seconds
    :param idempotent: whether the job may be started again after an unknown outcome
    :param reclaimable: whether the job may borrow and be checkpointed and stopped
    :param deadline_s: seconds after acceptance by which the job is to finish
    :param payload: handed to the workers unread
    """

    org: ids.OrgId
    caller: ids.CallerId
    members: int
    accelerators: int
    cpu: int
    mem_gb: int
    declared_s: float
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = False
    reclaimable: bool = True
    deadline_s: float | None = None
    payload: dict[str, str | int | float | bool] = {}


class WorkerSpec(msgspec.Struct, frozen=True):
    """Capacity and place of a worker."""

    worker: ids.WorkerId
    rack: ids.RackId
    data_centre: ids.DataCentreId
    accelerators: int
    cpu: int
    mem_gb: int


class Shape(msgspec.Struct, frozen=True):
    """Adjacent accelerators: ``count`` cells of ``accelerators`` each, one worker a cell."""

    accelerators: int
    count: int


class OrgRules(msgspec.Struct, frozen=True):
    """One organisation's guarantee and limits.

    :param guarantee: cells that can be reclaimed at any moment
    :param max_queued: accepted jobs that may wait at once
    :param max_caller_queued: accepted jobs of one caller that may wait at once
    :param may_borrow: whether jobs may run beyond the guarantee
    """

    guarantee: tuple[Shape, ...]
    max_queued: int = 10_000
    max_caller_queued: int = 2_000
    may_borrow: bool = True


class Rules(msgspec.Struct, frozen=True):
    """The part of a configuration bundle that decisions depend on.

    :param urgency_floors: share of the fleet each class keeps under a flood of another
    """

    version: ids.BundleVersion
    orgs: dict[ids.OrgId, OrgRules]
    urgency_floors: dict[Urgency, float] = msgspec.field(
        default_factory=lambda: {Urgency.URGENT: 0.2, Urgency.NORMAL: 0.2, Urgency.LOW: 0.05}
    )


class Placement(msgspec.Struct, frozen=True):
    """One member of a gang on one worker.

    :param devices: indexes of the worker's accelerators
    """

    member: int
    worker: ids.WorkerId
    devices: tuple[int, ...]


class HistoryEntry(msgspec.Struct, frozen=True):
    """One change of a job's state, kept for the analyst.

    :param at_s: seconds since the Unix epoch
    """

    at_s: float
    state: JobState
    code: codes.ResultCode
    attempt: int
    bundle: ids.BundleVersion
    workers: tuple[ids.WorkerId, ...] = ()
    detail: str = ""


class StopMode(enum.Enum):
    """How members of a gang are stopped."""

    CHECKPOINT = "checkpoint"
    STOP = "stop"


class MemberFault(enum.Enum):
    """Why a member of a gang did not run to its end."""

    START_FAILED = "start_failed"
    TASK_FAILED = "task_failed"
    WORKER_LOST = "worker_lost"
    OVER_DECLARED = "over_declared"


class JobRecord(msgspec.Struct):
    """Durable form of a job; the journal stores it, the core decides on it.

    :param attempt: number of the last start, 0 before the first
    :param attained_s: run time that checkpoints have kept, in seconds
    :param key: the caller's deduplication key
    :param share: what the placed gang is held against
    :param cells: cells the gang takes out of guarantees, one a member
    :param stop: how the current attempt was last told to stop
    :param fault: why a member of the current attempt did not run to its end
    :param is_cancel_asked: whether a cancellation waits for the gang's fate
    :param seen_cpu: cores a member was seen to use beyond its declaration
    :param seen_mem_gb: memory a member was seen to use beyond its declaration, in GB
    """

    job: ids.JobId
    spec: JobSpec
    state: JobState
    code: codes.ResultCode
    accepted_s: float
    attempt: int = 0
    placements: tuple[Placement, ...] = ()
    started_s: float | None = None
    ended_s: float | None = None
    attained_s: float = 0.0
    failures: int = 0
    key: str | None = None
    history: list[HistoryEntry] = msgspec.field(default_factory=list)
    share: Share = Share.BORROWED
    cells: tuple[Cell, ...] = ()
    stop: StopMode | None = None
    fault: MemberFault | None = None
    is_cancel_asked: bool = False
    seen_cpu: int = 0
    seen_mem_gb: int = 0


# Events: what the shell tells the core.


class JobSubmitted(msgspec.Struct, frozen=True):
    """A caller's job, not yet accepted."""

    job: ids.JobId
    spec: JobSpec
    key: str | None = None


class JobCancelled(msgspec.Struct, frozen=True):
    """A caller or operator no longer wants the job."""

    job: ids.JobId


class GangHeld(msgspec.Struct, frozen=True):
    """Every member of the attempt is started and held."""

    job: ids.JobId
    attempt: int


class MemberFailed(msgspec.Struct, frozen=True):
    """A member of the attempt failed or is lost; the others must stop."""

    job: ids.JobId
    attempt: int
    worker: ids.WorkerId
    fault: MemberFault


class GangFinished(msgspec.Struct, frozen=True):
    """Every member of the attempt ended by itself without error."""

    job: ids.JobId
    attempt: int


class GangStopped(msgspec.Struct, frozen=True):
    """Every member of the attempt is known to be stopped.

    :param kept_s: run time of this attempt that a checkpoint kept, in seconds
    :param is_kept: whether checkpoints of every member succeeded
    """

    job: ids.JobId
    attempt: int
    kept_s: float = 0.0
    is_kept: bool = False


class GangUnknown(msgspec.Struct, frozen=True):
    """After a takeover the fate of the attempt cannot be learnt yet."""

    job: ids.JobId
    attempt: int


class WorkerJoined(msgspec.Struct, frozen=True):
    """A worker is available for new work."""

    spec: WorkerSpec


class WorkerLeaving(msgspec.Struct, frozen=True):
    """A worker finishes what it runs and takes no new work."""

    worker: ids.WorkerId


class WorkerGone(msgspec.Struct, frozen=True):
    """A worker is lost and its leases have run out."""

    worker: ids.WorkerId


class RulesChanged(msgspec.Struct, frozen=True):
    """Another bundle version is in force."""

    rules: Rules


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; timeouts and aging apply."""


class TaskUsage(msgspec.Struct, frozen=True):
    """What one member was seen to use.

    :param cpu: processor cores
    :param mem_gb: memory, in GB
    """

    job: ids.JobId
    attempt: int
    member: int
    cpu: int
    mem_gb: int


class UsageReported(msgspec.Struct, frozen=True):
    """Lagging usage of the tasks on a worker."""

    worker: ids.WorkerId
    tasks: tuple[TaskUsage, ...]


Event = (
    JobSubmitted
    | JobCancelled
    | GangHeld
    | MemberFailed
    | GangFinished
    | GangStopped
    | GangUnknown
    | WorkerJoined
    | WorkerLeaving
    | WorkerGone
    | RulesChanged
    | UsageReported
    | Tick
)


# Commands: what the core asks of the shell, after the dirty records are durable.


class Why(msgspec.Struct, frozen=True):
    """What a job waits for; ``str`` gives the sentence.

    :param text: the reason as one sentence
    :param held_by: the guarantee, rule or capacity that holds the job, empty when nothing does
    :param ahead: waiting jobs that the order puts before it
    :param ahead_jobs: the first few of those
    :param estimate_s: earliest start that can be vouched for, in seconds from now, or None
    """

    text: str
    held_by: str = ""
    ahead: int = 0
    ahead_jobs: tuple[ids.JobId, ...] = ()
    estimate_s: float | None = None

    def __str__(self) -> str:
        """Return the sentence."""
        return self.text


class StartGang(msgspec.Struct, frozen=True):
    """Start every member held; release none before all have answered."""

    job: ids.JobId
    attempt: int
    spec: JobSpec
    placements: tuple[Placement, ...]


class ReleaseGang(msgspec.Struct, frozen=True):
    """Let every held member run."""

    job: ids.JobId
    attempt: int
    placements: tuple[Placement, ...]


class StopGang(msgspec.Struct, frozen=True):
    """Stop every member and report ``GangStopped`` once all are known to be stopped."""

    job: ids.JobId
    attempt: int
    placements: tuple[Placement, ...]
    mode: StopMode


Command = StartGang | ReleaseGang | StopGang


__all__ = [
    "FINAL_STATES",
    "PLACED_STATES",
    "TRANSITIONS",
    "Cell",
    "Command",
    "Event",
    "GangFinished",
    "GangHeld",
    "GangStopped",
    "GangUnknown",
    "HistoryEntry",
    "JobCancelled",
    "JobRecord",
    "JobSpec",
    "JobState",
    "JobSubmitted",
    "MemberFailed",
    "MemberFault",
    "OrgRules",
    "Placement",
    "ReleaseGang",
    "Rules",
    "RulesChanged",
    "Shape",
    "Share",
    "StartGang",
    "StopGang",
    "StopMode",
    "TaskUsage",
    "Tick",
    "Urgency",
    "UsageReported",
    "Why",
    "WorkerGone",
    "WorkerJoined",
    "WorkerLeaving",
    "WorkerSpec",
]
