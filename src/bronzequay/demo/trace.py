"""The trace of jobs that the demo submits: a file of JSON lines, one job each."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import msgspec

from bronzequay import codes, errors
from bronzequay.policy import model

if TYPE_CHECKING:
    import pathlib


class TraceJob(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job of the trace.

    :param at_s: time of the submit, in seconds from the start of the trace
    :param declared_s: run time that the caller declares, in seconds
    :param actual_s: run time that the job has, in seconds
    :param cancel_at_s: time of a cancellation, in seconds from the start of the trace
    """

    at_s: float
    org: str
    caller: str
    job: str
    members: int
    accelerators: int
    cpu: int
    mem_gb: int
    declared_s: float
    actual_s: float
    urgency: model.Urgency
    idempotent: bool
    reclaimable: bool
    outcome: Literal["ok", "fail", "cancel"]
    cancel_at_s: float | None


def load(path: pathlib.Path) -> list[TraceJob]:
    """Read a trace, ordered by time.

    :param path: file of the trace
    :raises errors.BronzequayError: MALFORMED_BODY with the number of the malformed line
    """
    jobs: list[TraceJob] = []
    for number, line in enumerate(path.read_bytes().splitlines(), start=1):
        if not line.strip():
            continue
        try:
            jobs.append(msgspec.json.decode(line, type=TraceJob))
        except (msgspec.ValidationError, msgspec.DecodeError) as exc:
            raise errors.BronzequayError(
                codes.ResultCode.MALFORMED_BODY, str(exc), field=f"line {number}"
            ) from None
    return sorted(jobs, key=lambda job: job.at_s)


__all__ = ["TraceJob", "load"]
