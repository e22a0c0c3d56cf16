"""Bodies of the worker's protocol, as the stand-in reads them."""

from __future__ import annotations

import math
from typing import Literal

import msgspec

from bronzequay import ids


class Payload(msgspec.Struct, frozen=True):
    """What the stand-in's task does: how long it runs and how it ends."""

    actual_s: float = math.inf
    outcome: Literal["ok", "fail"] = "ok"
    cpu_used: float = 0.0
    mem_gb_used: float = 0.0


class Start(msgspec.Struct, frozen=True):
    """One task of a start call."""

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
    """Body of a renewal."""

    ttl_s: float
    tasks: tuple[ids.TaskId, ...] = ()
    wait_s: float = 0.0
    seen: int = 0


__all__ = ["Names", "Payload", "Renew", "Start", "Starts"]
