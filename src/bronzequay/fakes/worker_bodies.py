"""Request bodies of the worker protocol that the stand-in decodes."""

from __future__ import annotations

import math
from typing import Literal

import msgspec

from bronzequay import ids


class Payload(msgspec.Struct, frozen=True):
    """Behaviour of a task of the stand-in.

    :param actual_s: run time until it ends, in seconds
    :param outcome: how it ends
    :param cpu_used: processor cores that it reports as used
    :param mem_gb_used: memory that it reports as used, in gigabytes
    """

    actual_s: float = math.inf
    outcome: Literal["ok", "fail"] = "ok"
    cpu_used: float = 0.0
    mem_gb_used: float = 0.0


class Start(msgspec.Struct, frozen=True):
    """One task of a start call.

    :param ttl_s: duration of its lease, in seconds
    :param held: whether it waits for a release before it runs
    :param resume_s: run time restored from earlier attempts, in seconds
    """

    task: ids.TaskId
    attempt: int
    epoch: ids.Epoch
    ttl_s: float
    devices: tuple[int, ...] = ()
    accelerators: int = 0
    cpu: float = 0
    mem_gb: float = 0
    held: bool = False
    resume_s: float = 0.0
    payload: Payload | None = None


class Starts(msgspec.Struct, frozen=True):
    """Body of a start call."""

    tasks: tuple[Start, ...]


class Names(msgspec.Struct, frozen=True):
    """Body of a call that names tasks."""

    tasks: tuple[ids.TaskId, ...] = ()


class Renew(msgspec.Struct, frozen=True):
    """Body of a lease renewal.

    :param ttl_s: new duration of the leases, in seconds
    :param wait_s: longest wait for a change, in seconds
    :param seen: sequence number of the last change that the caller knows
    """

    ttl_s: float
    tasks: tuple[ids.TaskId, ...] = ()
    wait_s: float = 0.0
    seen: int = 0


__all__ = ["Names", "Payload", "Renew", "Start", "Starts"]
