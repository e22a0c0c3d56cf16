"""Types of the scheduling core: jobs, workers, rules, events and commands."""

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
    """Job as specified by a caller; resources are per member.

    :param members: number of tasks in the gang, all or none of which run
    :param accelerators: accelerators per member, all on one worker
    :param cpu: processor cores per member
    :param mem_gb: memory per member, in GB
    :param declared_s: run time that the caller expects, in seconds
    :param idempotent: whether the job may be started again after an unknown outcome
    :param reclaimable: whether the job may borrow capacity and be checkpointed and stopped
    :param deadline_s: time from acceptance by which the job is to finish, in seconds
    :param payload: passed to the workers without interpretation
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
    """Capacity and location of a worker."""

    worker: ids.WorkerId
    rack: ids.RackId
    data_centre: ids.DataCentreId
    accelerators: int
    cpu: int
    mem_gb: int


class Shape(msgspec.Struct, frozen=True):
    """``count`` cells of a guarantee, each of ``accelerators`` adjacent ones on one worker."""

    accelerators: int
    count: int


class OrgRules(msgspec.Struct, frozen=True):
    """One organisation's guarantee and limits.

    :param guarantee: cells that the organisation can have at any moment
    :param max_queued: largest number of jobs of the organisation that may wait at a time
    :param max_caller_queued: largest number of jobs of one caller that may wait at a time
    :param may_borrow: whether jobs may run beyond the guarantee
    """

    guarantee: tuple[Shape, ...]
    max_queued: int = 10_000
    max_caller_queued: int = 2_000
    may_borrow: bool = True


class Rules(msgspec.Struct, frozen=True):
    """The part of a configuration bundle that decisions depend on.

    :param urgency_floors: share of the fleet that each class keeps while another is flooded
    """

    version: ids.BundleVersion
    orgs: dict[ids.OrgId, OrgRules]
    urgency_floors: dict[Urgency, float] = msgspec.field(
        default_factory=lambda: {Urgency.URGENT: 0.2, Urgency.NORMAL: 0.2, Urgency.LOW: 0.05}
    )


class Placement(msgspec.Struct, frozen=True):
    """Placement of one member of a gang on a worker.

    :param devices: indexes of the worker's accelerators
    """

    member: int
    worker: ids.WorkerId
    devices: tuple[int, ...]


class HistoryEntry(msgspec.Struct, frozen=True):
    """A change of a job's state, recorded for the analyst.

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
    """Reason for which a member of a gang did not run to completion."""

    START_FAILED = "start_failed"
    TASK_FAILED = "task_failed"
    WORKER_LOST = "worker_lost"
    OVER_DECLARED = "over_declared"


class JobRecord(msgspec.Struct):
    """Durable record of a job, stored in the journal.

    :param attempt: number of the last start, 0 before the first
    :param attained_s: run time of each member preserved by checkpoints, in seconds
    :param ahead_s: run time of single members preserved beyond ``attained_s``, in seconds
    :param key: the caller's deduplication key
    :param share: capacity that the placed gang is charged to
    :param cells: cells that the gang has bound, one per member
    :param stop: how the current attempt was last told to stop
    :param fault: first fault of a member in the current attempt
    :param is_cancel_asked: whether a cancellation waits until the gang's outcome is known
    :param seen_cpu: cores per member as observed, 0 if never more than declared
    :param seen_mem_gb: memory per member as observed, in GB, 0 if never more than declared
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
    ahead_s: dict[int, float] = msgspec.field(default_factory=dict)


# Events: input of the core.


class JobSubmitted(msgspec.Struct, frozen=True):
    """A caller submitted a job; it is not accepted yet."""

    job: ids.JobId
    spec: JobSpec
    key: str | None = None


class JobCancelled(msgspec.Struct, frozen=True):
    """A caller or operator cancelled the job."""

    job: ids.JobId


class GangHeld(msgspec.Struct, frozen=True):
    """Every member of the attempt is started and held until the gang is released."""

    job: ids.JobId
    attempt: int


class MemberFailed(msgspec.Struct, frozen=True):
    """A member of the attempt failed or was lost; the others must stop."""

    job: ids.JobId
    attempt: int
    worker: ids.WorkerId
    fault: MemberFault


class GangFinished(msgspec.Struct, frozen=True):
    """Every member of the attempt finished without error."""

    job: ids.JobId
    attempt: int


class GangStopped(msgspec.Struct, frozen=True):
    """Every member of the attempt is known to be stopped.

    :param kept_s: run time of each member preserved by a checkpoint of this attempt, in seconds
    :param is_kept: whether the checkpoints of all members succeeded
    :param ahead_s: run time of single members preserved beyond ``kept_s``, in seconds
    """

    job: ids.JobId
    attempt: int
    kept_s: float = 0.0
    is_kept: bool = False
    ahead_s: dict[int, float] = msgspec.field(default_factory=dict)


class GangUnknown(msgspec.Struct, frozen=True):
    """The outcome of the attempt is unknown: it may have finished on workers that do not answer."""

    job: ids.JobId
    attempt: int


class WorkerJoined(msgspec.Struct, frozen=True):
    """A worker is available for new work."""

    spec: WorkerSpec


class WorkerLeaving(msgspec.Struct, frozen=True):
    """A worker is draining: it finishes its gangs and takes no new ones."""

    worker: ids.WorkerId


class WorkerLost(msgspec.Struct, frozen=True):
    """A worker is lost and its leases have expired."""

    worker: ids.WorkerId


class RulesChanged(msgspec.Struct, frozen=True):
    """Another version of the bundle is in force."""

    rules: Rules


class Tick(msgspec.Struct, frozen=True):
    """Time has passed: timeouts, probes and aging are checked."""


class TaskUsage(msgspec.Struct, frozen=True):
    """Observed usage of one member.

    :param cpu: processor cores
    :param mem_gb: memory, in GB
    """

    job: ids.JobId
    attempt: int
    member: int
    cpu: int
    mem_gb: int


class UsageReported(msgspec.Struct, frozen=True):
    """Observed usage of the tasks on a worker, reported with a delay."""

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
    | WorkerLost
    | RulesChanged
    | UsageReported
    | Tick
)


# Commands: output of the core, to be carried out once the dirty records are durable.


class StartGang(msgspec.Struct, frozen=True):
    """Start every member and hold it; none is released before all are held."""

    job: ids.JobId
    attempt: int
    spec: JobSpec
    placements: tuple[Placement, ...]


class ReleaseGang(msgspec.Struct, frozen=True):
    """Release every held member."""

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
    "WorkerJoined",
    "WorkerLeaving",
    "WorkerLost",
    "WorkerSpec",
]
