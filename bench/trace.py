"""Job traces: loader and writer of the JSON Lines format, and a seeded generator."""

from __future__ import annotations

import enum
import math
import random
from typing import TYPE_CHECKING

import msgspec

from bench import fleet
from bronzequay import codes, errors, ids
from bronzequay.policy import model

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable, Iterator

DAY_S = 86_400.0
LOAD = 0.95
CALLERS_PER_ORG = 10
MAX_DECLARED_FACTOR = 10.0
MIN_RUN_S = 20.0
MAX_RUN_S = 21_600.0
MEDIAN_RUN_S = 400.0
RUN_SIGMA = 1.4
BURST_SHARE = 0.5
BURST_SPAN_S = 300.0
BURST_JOBS = (20, 100)
BURST_ACCELERATORS = 800
CANCEL_WAVES = 3
CANCEL_SHARE = 0.03
FAIL_SHARE = 0.03
INFEASIBLE_SHARE = 0.004
RECLAIMABLE_SHARE = 0.6
IDEMPOTENT_SHARE = 0.7
URGENT_MAX_ACCELERATORS = 8

_URGENCIES = {model.Urgency.URGENT: 0.05, model.Urgency.NORMAL: 0.65, model.Urgency.LOW: 0.3}
# (members, accelerators per member): weight
_SIZES = {
    (1, 1): 34,
    (1, 2): 18,
    (1, 4): 14,
    (1, 8): 8,
    (2, 1): 5,
    (2, 4): 4,
    (4, 2): 4,
    (2, 8): 5,
    (4, 4): 3,
    (4, 8): 3,
    (8, 4): 1,
    (8, 8): 1,
}


class Outcome(enum.Enum):
    """How a job of a trace ends."""

    OK = "ok"
    FAIL = "fail"
    CANCEL = "cancel"


class TraceJob(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One line of a trace; times are in seconds from the start of the trace.

    :param declared_s: run time declared by the caller
    :param actual_s: run time of the job, the same for all members
    :param cancel_at_s: time at which the caller cancels, for the outcome ``cancel``
    """

    at_s: float
    org: ids.OrgId
    caller: ids.CallerId
    job: ids.JobId
    members: int
    accelerators: int
    cpu: int
    mem_gb: int
    declared_s: float
    actual_s: float
    urgency: model.Urgency = model.Urgency.NORMAL
    idempotent: bool = False
    reclaimable: bool = True
    outcome: Outcome = Outcome.OK
    cancel_at_s: float | None = None


def spec_of(job: TraceJob) -> model.JobSpec:
    """Return the specification that the job's caller submits.

    :param job: a line of a trace
    :return: the specification, without the actual run time and the outcome
    """
    return model.JobSpec(
        org=job.org,
        caller=job.caller,
        members=job.members,
        accelerators=job.accelerators,
        cpu=job.cpu,
        mem_gb=job.mem_gb,
        declared_s=job.declared_s,
        urgency=job.urgency,
        idempotent=job.idempotent,
        reclaimable=job.reclaimable,
    )


def size_of(job: TraceJob) -> int:
    """Return the accelerators of the whole gang.

    :param job: a line of a trace
    """
    return job.members * job.accelerators


def load(path: pathlib.Path) -> tuple[TraceJob, ...]:
    """Read a trace.

    :param path: a file of JSON lines
    :return: the jobs in order of arrival
    :raises errors.BronzequayError: on an unknown key, or an illegal type or value; names the line
    """
    jobs: dict[ids.JobId, TraceJob] = {}
    lines = path.read_bytes().splitlines()
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        job = _decode(line, number)
        if job.job in jobs:
            raise _line_error(number, f"job {job.job} is listed twice")
        jobs[job.job] = job
    return tuple(sorted(jobs.values(), key=lambda job: job.at_s))


def _decode(line: bytes, number: int) -> TraceJob:
    try:
        job = msgspec.json.decode(line, type=TraceJob)
    except msgspec.ValidationError as exc:
        code = codes.ResultCode.VALUE_OUT_OF_RANGE
        if "unknown field" in str(exc):
            code = codes.ResultCode.UNKNOWN_FIELD
        raise _line_error(number, str(exc), code=code) from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise _line_error(number, str(exc), code=codes.ResultCode.MALFORMED_BODY) from exc
    for problem in _problems(job):
        raise _line_error(number, problem)
    return job


def _problems(job: TraceJob) -> Iterator[str]:
    if job.at_s < 0:
        yield "at_s must not be negative"
    if job.members < 1:
        yield "members must be at least 1"
    if min(job.accelerators, job.cpu, job.mem_gb) < 0:
        yield "accelerators, cpu and mem_gb must not be negative"
    if min(job.declared_s, job.actual_s) <= 0:
        yield "declared_s and actual_s must be greater than 0"
    if (job.outcome is Outcome.CANCEL) != (job.cancel_at_s is not None):
        yield "cancel_at_s must be set for the outcome cancel, and only for it"
    if job.cancel_at_s is not None and job.cancel_at_s < job.at_s:
        yield "cancel_at_s must not be before at_s"


def _line_error(
    number: int, problem: str, *, code: codes.ResultCode = codes.ResultCode.VALUE_OUT_OF_RANGE
) -> errors.BronzequayError:
    return errors.BronzequayError(code, f"trace line {number}: {problem}", field=f"line {number}")


def save(jobs: Iterable[TraceJob], path: pathlib.Path) -> None:
    """Write a trace in the format of ``load``.

    :param jobs: the jobs in order of arrival
    :param path: the file to write or overwrite
    """
    path.write_bytes(b"".join(msgspec.json.encode(job) + b"\n" for job in jobs))


def generate(
    *,
    seed: int,
    deployment: fleet.Deployment,
    load: float = LOAD,
    span_s: float = DAY_S,
) -> tuple[TraceJob, ...]:
    """Generate a trace whose work is a given share of the fleet's capacity.

    Half of the jobs arrive at uniformly random times, half in bursts: one caller submits 20 to
    100 jobs of one size within five minutes, fewer if these would need more than 800
    accelerators. Run times are log-normal with a median of 400 s and a standard deviation of 1.4
    in the logarithm, clipped to between 20 s and 6 h; declared times are the run times multiplied
    by a factor that is log-uniform between 1/10 and 10. Urgent jobs have at most 8 accelerators.

    :param seed: the same seed gives the same trace
    :param deployment: deployment whose fleet sets the capacity
    :param load: work over capacity during ``span_s``, that of failed and cancelled jobs included
    :param span_s: length of the trace, in seconds
    :return: the jobs in order of arrival
    """
    rng = random.Random(f"trace-{seed}-{deployment.value}")
    site = fleet.SITES[deployment]
    work_s = load * site.workers * site.accelerators * span_s
    jobs: list[TraceJob] = []
    while work_s > 0:
        burst = _draw_burst(rng, site, span_s) if rng.random() < _burst_probability() else None
        drawn_jobs = burst or [_draw_job(rng, site, at_s=rng.uniform(0, span_s))]
        jobs.extend(drawn_jobs)
        work_s -= sum(
            size_of(job) * job.actual_s for job in drawn_jobs if job.members <= site.workers
        )
    ordered = sorted(jobs, key=lambda job: job.at_s)
    numbered = [
        msgspec.structs.replace(job, job=ids.JobId(f"j{index:06d}"))
        for index, job in enumerate(ordered)
    ]
    return tuple(_cancel_in_waves(rng, numbered, span_s))


def _burst_probability() -> float:
    """Return the share of bursts among draws at which ``BURST_SHARE`` of the jobs are in one."""
    mean = sum(BURST_JOBS) / 2
    return BURST_SHARE / (BURST_SHARE + (1 - BURST_SHARE) * mean)


def _draw_burst(rng: random.Random, site: fleet.Site, span_s: float) -> list[TraceJob]:
    org = _draw_org(rng)
    caller = _draw_caller(rng, org)
    at_s = rng.uniform(0, span_s - BURST_SPAN_S)
    count = rng.randint(*BURST_JOBS)
    # The jobs of a burst share their size and the median of their run times.
    size = rng.choices(list(_SIZES), list(_SIZES.values()))[0]
    median_s = MEDIAN_RUN_S * math.exp(rng.gauss(0, 0.5))
    return [
        _draw_job(
            rng,
            site,
            at_s=at_s + rng.uniform(0, BURST_SPAN_S),
            org=org,
            caller=caller,
            size=size,
            median_s=median_s,
        )
        for _ in range(min(count, max(4, BURST_ACCELERATORS // (size[0] * size[1]))))
    ]


def _draw_org(rng: random.Random) -> ids.OrgId:
    return rng.choices(fleet.ORGS, fleet.ORG_SHARES)[0]


def _draw_caller(rng: random.Random, org: ids.OrgId) -> ids.CallerId:
    weights = [1 / (rank + 1) for rank in range(CALLERS_PER_ORG)]
    number = rng.choices(range(CALLERS_PER_ORG), weights)[0]
    return ids.CallerId(f"{org}-c{number}")


def _draw_job(
    rng: random.Random,
    site: fleet.Site,
    *,
    at_s: float,
    org: ids.OrgId | None = None,
    caller: ids.CallerId | None = None,
    size: tuple[int, int] | None = None,
    median_s: float = MEDIAN_RUN_S,
) -> TraceJob:
    org = org or _draw_org(rng)
    members, accelerators = size or rng.choices(list(_SIZES), list(_SIZES.values()))[0]
    urgency = rng.choices(list(_URGENCIES), list(_URGENCIES.values()))[0]
    if urgency is model.Urgency.URGENT and members * accelerators > URGENT_MAX_ACCELERATORS:
        urgency = model.Urgency.NORMAL
    if rng.random() < INFEASIBLE_SHARE:
        members, accelerators = site.workers + rng.randint(1, 8), site.accelerators
    actual_s = median_s * math.exp(rng.gauss(0, RUN_SIGMA))
    actual_s = round(min(MAX_RUN_S, max(MIN_RUN_S, actual_s)), 1)
    draw = rng.random()
    outcome = Outcome.FAIL if draw < FAIL_SHARE else Outcome.OK
    cancel_at_s = None
    if FAIL_SHARE <= draw < FAIL_SHARE + CANCEL_SHARE:
        outcome = Outcome.CANCEL
        cancel_at_s = round(at_s + rng.uniform(0, 2 * actual_s), 1)
    mem_per_accelerator = site.mem_gb // site.accelerators
    return TraceJob(
        at_s=round(at_s, 1),
        org=org,
        caller=caller or _draw_caller(rng, org),
        job=ids.JobId(""),
        members=members,
        accelerators=accelerators,
        cpu=accelerators * rng.choice((1, 2, 4)),
        mem_gb=accelerators * rng.choice((mem_per_accelerator // 4, mem_per_accelerator)),
        declared_s=round(actual_s * MAX_DECLARED_FACTOR ** rng.uniform(-1, 1), 1),
        actual_s=actual_s,
        urgency=urgency,
        idempotent=rng.random() < IDEMPOTENT_SHARE,
        reclaimable=rng.random() < RECLAIMABLE_SHARE,
        outcome=outcome,
        cancel_at_s=cancel_at_s,
    )


def _cancel_in_waves(rng: random.Random, jobs: list[TraceJob], span_s: float) -> Iterator[TraceJob]:
    """Cancel the recent jobs of one caller at each of ``CANCEL_WAVES`` random times."""
    waves = [
        (rng.uniform(0, span_s), _draw_caller(rng, _draw_org(rng))) for _ in range(CANCEL_WAVES)
    ]
    for job in jobs:
        at_s = next(
            (at_s for at_s, caller in waves if job.caller == caller and _is_recent(job, at_s)), None
        )
        if at_s is None:
            yield job
            continue
        cancel_at_s = round(max(at_s, job.at_s), 1)
        yield msgspec.structs.replace(job, outcome=Outcome.CANCEL, cancel_at_s=cancel_at_s)


def _is_recent(job: TraceJob, at_s: float) -> bool:
    """Return whether a job arrived within the 30 minutes before a time."""
    return at_s - 1_800 <= job.at_s <= at_s


__all__ = [
    "DAY_S",
    "LOAD",
    "Outcome",
    "TraceJob",
    "generate",
    "load",
    "save",
    "size_of",
    "spec_of",
]
