"""Measurements of the driver."""

from __future__ import annotations

import collections

import msgspec

from bench import trace
from bronzequay import codes, ids
from bronzequay.policy import model


class JobResult(msgspec.Struct):
    """Result of a job; times are in virtual seconds.

    :param is_feasible: whether its gang fits the empty fleet
    :param first_run_s: time at which its members were first released
    :param entitled_wait_s: longest wait during which unused guaranteed cells would have held it
    """

    job: trace.TraceJob
    is_feasible: bool
    state: model.JobState = model.JobState.ACCEPTED
    code: codes.ResultCode = codes.ResultCode.ACCEPTED
    first_run_s: float | None = None
    ended_s: float | None = None
    entitled_wait_s: float = 0.0


class Outcome(msgspec.Struct):
    """Measurements of one run.

    :param reclaims: checkpoints of running gangs
    :param busy_s: accelerator-seconds during which members ran
    :param caller_busy_s: the same, per caller
    :param free_s: free accelerator-seconds
    :param unusable_s: free accelerator-seconds that the largest waiting gang could not use
    :param unusable_share_s: integral over time of the unusable share of free accelerators
    :param fragmented_s: time during which unusable accelerators are counted: while a waiting gang
        asks for no more accelerators than are free
    :param refuse_us: processor time of each step that refused a job, in microseconds
    """

    jobs: dict[ids.JobId, JobResult]
    steps: int = 0
    ended_s: float = 0.0
    partial_gangs: int = 0
    overcommitted: int = 0
    guarantee_violations: int = 0
    guarantee_violation_examples: list[str] = msgspec.field(default_factory=list)
    partial_gang_examples: list[str] = msgspec.field(default_factory=list)
    reclaims: int = 0
    busy_s: float = 0.0
    caller_busy_s: collections.defaultdict[ids.CallerId, float] = msgspec.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    free_s: float = 0.0
    unusable_s: float = 0.0
    unusable_share_s: float = 0.0
    fragmented_s: float = 0.0
    refuse_us: list[float] = msgspec.field(default_factory=list)


__all__ = ["JobResult", "Outcome"]
