"""Jobs that have ended terms with unexpected errors.

A job that makes scheduling fail ends each next term too. Terms therefore record the job that they
decided about as they failed, and a later one fails such a job instead of deciding about it again.
"""

from __future__ import annotations

import msgspec
import structlog

from bronzequay import codec, ids

MAX_FAILURES = 2
"""Terms that may fail at a job before the job is given up; one failure may have another cause."""
MAX_GIVEN_UP = 3
"""Most jobs that are given up within ``MEMORY_S``. Where more of them make terms fail, the cause is
not in the jobs, and those that remain are kept until scheduling works again."""
MEMORY_S = 3600.0
"""Time after which a failure is forgotten."""

_log = structlog.get_logger()


class Failure(msgspec.Struct, frozen=True, array_like=True):
    """Terms that failed at a job.

    :param last_s: when the last of them failed, in seconds since the Unix epoch
    """

    job: ids.JobId
    count: int
    last_s: float


def decode(value: bytes | None) -> tuple[Failure, ...]:
    """Decode the stored failures; an unreadable value is logged and counts as none."""
    if value is None:
        return ()
    try:
        return codec.from_msgpack(value, tuple[Failure, ...])
    except msgspec.MsgspecError as exc:
        _log.error("failures_unreadable", error=str(exc))
        return ()


def encode(failures: tuple[Failure, ...]) -> bytes:
    """Encode failures as they are stored."""
    return msgspec.msgpack.encode(failures)


def add(failures: tuple[Failure, ...], job: ids.JobId, wall_s: float) -> tuple[Failure, ...]:
    """Return the failures with one more term that failed at a job."""
    recent = {entry.job: entry for entry in failures if wall_s - entry.last_s < MEMORY_S}
    count = recent[job].count + 1 if job in recent else 1
    recent[job] = Failure(job, count, wall_s)
    return tuple(recent.values())


def given_up(failures: tuple[Failure, ...], wall_s: float) -> set[ids.JobId]:
    """Return the jobs to give up, at most ``MAX_GIVEN_UP``."""
    jobs = [
        entry.job
        for entry in failures
        if entry.count >= MAX_FAILURES and wall_s - entry.last_s < MEMORY_S
    ]
    return set(jobs[:MAX_GIVEN_UP])


__all__ = ["Failure", "add", "decode", "encode", "given_up"]
