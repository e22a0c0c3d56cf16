"""Status of a job as shown to callers and the analyst; kept for a period after the job's end."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import codec, ids
from bronzequay.core import order

if TYPE_CHECKING:
    from bronzequay.core import model


TOMBSTONE_S = 60.0
"""Lifetime of a tombstone. The store carries out a write without an answer within 15 s, and an
instance tries one for 1.1 s; the rest is for requests that are held up on their way."""


class Status(msgspec.Struct, frozen=True, array_like=True):
    """State and summary of one job; times are seconds since the Unix epoch.

    :param state: a ``model.JobState``
    :param begun_s: when the job's first task was started, 0 before
    :param ended_s: when the job ended, 0 before
    :param version: of the configuration in force when the job was accepted
    :param tasks: number of tasks over all steps
    :param cpu: largest need of a task, in thousandths of a core
    :param mem_mb: largest need of a task, in MB
    :param gpu: largest need of a task, in accelerators
    :param estimate_s: longest path through the steps
    :param failures: number of failed runs
    :param reason: why the job failed or was cancelled, else empty
    :param is_tombstone: whether there is no such job, and no earlier submission may create it
    """

    state: str
    org: ids.OrgId
    queue: ids.QueueId = ids.QueueId("")
    accepted_s: float = 0.0
    begun_s: float = 0.0
    ended_s: float = 0.0
    version: int = 0
    tasks: int = 0
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_s: float = 0.0
    failures: int = 0
    reason: str = ""
    is_tombstone: bool = False


def from_spec(spec: model.JobSpec, state: model.JobState) -> Status:
    """Return the status of a job, without its start, end and failures."""
    needs = [step.need for step in spec.steps]
    return Status(
        state=state.value,
        org=spec.org,
        queue=spec.queue,
        accepted_s=spec.accepted_s,
        version=spec.version,
        tasks=sum(step.count for step in spec.steps),
        cpu=max(need.cpu for need in needs),
        mem_mb=max(need.mem_mb for need in needs),
        gpu=max(need.gpu for need in needs),
        estimate_s=order.critical_path_s(spec.steps),
    )


def encode(status: Status) -> bytes:
    """Encode a status for the store."""
    return msgspec.msgpack.encode(status)


def decode(value: bytes) -> Status:
    """Decode a status.

    :raises msgspec.MsgspecError: the value is malformed
    """
    return codec.from_msgpack(value, Status)


__all__ = ["TOMBSTONE_S", "Status", "decode", "encode", "from_spec"]
