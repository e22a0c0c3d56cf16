"""Tasks of the stand-in executors: what a task does, and one run of it."""

from __future__ import annotations

import msgspec

CHECKPOINT_INTERVAL_S = 1.0


class Plan(msgspec.Struct, frozen=True):
    """Behaviour of a task; the payload of a job in tests and in the demo.

    :param run_s: duration of a run, in seconds
    :param gang: number of members of the gang, 0 for a task outside a gang
    :param fails: number of runs that fail before one succeeds
    :param saves: whether it writes checkpoints
    :param gpu: number of accelerators that it occupies
    :param lasts: whether it runs until it is stopped
    :param tail_ms: tail latency of its responses when nothing interferes, 0 if it does not serve
    :param disturbs: share by which it raises other tail latencies on its executor at full speed
    :param crashes_after_s: age at which a run crashes its executor, in seconds; None for never, a
        negative one for before its start is answered
    """

    run_s: float = 1.0
    gang: int = 0
    fails: int = 0
    saves: bool = False
    gpu: int = 0
    lasts: bool = False
    tail_ms: float = 0.0
    disturbs: float = 0.0
    crashes_after_s: float | None = None


class Run:
    """A run on an executor; ``started_s`` is None while its gang is incomplete.

    :param restored_s: work done before this run, restored from a checkpoint, in seconds
    """

    def __init__(self, task: str, run: int, plan: Plan, restored_s: float, now_s: float) -> None:
        self.task = task
        self.run = run
        self.plan = plan
        self.restored_s = restored_s
        self.arrived_s = now_s
        self.started_s: float | None = None
        self.stop_at_s: float | None = None
        self.speed_percent = 100

    def done_s(self, now_s: float) -> float:
        """Return the work done so far, in seconds."""
        started_s = now_s if self.started_s is None else self.started_s
        return self.restored_s + now_s - started_s

    def checkpoint(self, now_s: float, *, is_stop: bool = False) -> str:
        """Return the newest checkpoint, the saved work in hexadecimal ms, or an empty string."""
        done_s = self.done_s(now_s)
        saved_s = done_s if is_stop else done_s // CHECKPOINT_INTERVAL_S * CHECKPOINT_INTERVAL_S
        return f"{int(saved_s * 1000):08x}" if self.plan.saves and saved_s > 0 else ""

    def progress_percent(self, now_s: float) -> int:
        """Return the share of the work that is done, in percent; 100 for a task that lasts."""
        if self.started_s is None:
            return 0
        if self.plan.lasts:
            return 100
        return min(99, int(100 * self.done_s(now_s) / self.plan.run_s))


__all__ = ["Plan", "Run"]
