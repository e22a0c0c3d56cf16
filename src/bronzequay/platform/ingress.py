"""Decoding of submitted jobs, and encoding of the bodies of responses to callers."""

from __future__ import annotations

import re

import msgspec

from bronzequay import codec, codes, errors, ids
from bronzequay.core import model

JOB_ID = re.compile(r"[0-9a-f]{16}")


class _Step(msgspec.Struct, rename="camel"):
    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_miss: int = 0


class _Job(msgspec.Struct, rename="camel"):
    steps: list[_Step]
    spec: str = ""
    times: int = 0
    initial_delay_ms: float = 0
    interval_ms: float = 0


class _State(msgspec.Struct):
    state: str


class _Waiting(msgspec.Struct):
    waiting: int


def is_job_id(text: str) -> bool:
    """Return whether a text has the form of a job id: 16 lower-case hexadecimal digits."""
    return JOB_ID.fullmatch(text) is not None


def decode_job(
    body: bytes,
    *,
    job: ids.JobId,
    queue: ids.QueueId,
    org: ids.OrgId,
    version: int,
    accepted_s: float,
) -> model.JobSpec:
    """Decode a submitted job.

    :param version: version of the configuration in force
    :param accepted_s: time of acceptance, in seconds since the Unix epoch
    :raises errors.BronzequayError: MALFORMED_BODY or VALUE_OUT_OF_RANGE
    """
    try:
        wire = codec.from_json(body, _Job)
    except msgspec.DecodeError as exc:
        raise errors.BronzequayError(codes.ResultCode.MALFORMED_BODY, str(exc)) from exc
    _validate(wire)
    return model.JobSpec(
        job=job,
        queue=queue,
        org=org,
        payload=wire.spec,
        steps=tuple(map(_decode_step, wire.steps)),
        accepted_s=accepted_s,
        version=version,
        times=wire.times,
        # Despite its name, initialDelayMs is the Unix time of the first occurrence.
        first_due_s=wire.initial_delay_ms / 1000,
        interval_s=wire.interval_ms / 1000,
    )


def encode_state(state: model.JobState) -> bytes:
    """Encode the response to a query for a job's state."""
    return msgspec.json.encode(_State(state.value))


def encode_waiting(waiting: int) -> bytes:
    """Encode the response to a query for a queue.

    :param waiting: number of waiting jobs
    """
    return msgspec.json.encode(_Waiting(waiting))


def _decode_step(wire: _Step) -> model.Step:
    return model.Step(
        count=wire.count,
        need=model.Resources(wire.cpu, wire.mem_mb, wire.gpu),
        estimate_s=wire.estimate_ms / 1000,
        after=wire.after,
        is_gang=wire.gang,
        same_rack=wire.same_rack,
        saves_progress=wire.saves_progress,
        label=wire.requires,
        data_rack=wire.affinity,
        max_per_worker=wire.anti_affinity,
        is_speculative=wire.speculative,
        is_endless=wire.long_running,
        image=wire.image,
        target_s=wire.target_ms / 1000,
        is_filler=wire.fills,
        may_miss=wire.may_miss,
    )


def _validate(wire: _Job) -> None:
    if not wire.steps:
        raise _out_of_range("must not be empty", "steps")
    _check_numbers("times", wire.times)
    _check_numbers("initialDelayMs", wire.initial_delay_ms)
    _check_numbers("intervalMs", wire.interval_ms)
    task_count = sum(step.count for step in wire.steps)
    if task_count > model.MAX_TASKS_PER_JOB:
        raise _out_of_range(f"must have at most {model.MAX_TASKS_PER_JOB} tasks", "steps")
    if task_count * wire.times > model.MAX_TASKS_OVER_TIMES:
        message = f"must have at most {model.MAX_TASKS_OVER_TIMES} tasks over all times"
        raise _out_of_range(message, "times")
    for number, step in enumerate(wire.steps):
        step_field = f"steps[{number}]"
        if step.count < 1:
            raise _out_of_range("must be 1 or more", f"{step_field}.count")
        amounts = (step.cpu, step.mem_mb, step.gpu, step.anti_affinity, step.may_miss)
        _check_numbers(step_field, *amounts, step.estimate_ms, step.target_ms)
        if any(not 0 <= earlier < number for earlier in step.after):
            raise _out_of_range("must refer to earlier steps", f"{step_field}.after")


def _check_numbers(field: str, *numbers: float) -> None:
    if min(numbers) < 0:
        raise _out_of_range("must not be negative", field)
    if max(numbers) > codec.MAX_NUMBER:
        raise _out_of_range(f"must not exceed {codec.MAX_NUMBER}", field)


def _out_of_range(message: str, field: str) -> errors.BronzequayError:
    return errors.BronzequayError(codes.ResultCode.VALUE_OUT_OF_RANGE, message, field=field)


__all__ = ["decode_job", "encode_state", "encode_waiting", "is_job_id"]
