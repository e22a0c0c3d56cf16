"""Changes of a worker's capacity while it runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import lifecycle, model, rooms
from bronzequay.core import state as states

if TYPE_CHECKING:
    from bronzequay.core.state import State, Worker


def apply(state: State, worker: Worker, spec: model.WorkerSpec) -> None:
    """Adopt the capacity that a worker states.

    After a decrease, free room may be negative. What runs goes on, since a stop would lose its
    work, and nothing starts until it fits; starts that may not have been sent are withdrawn.
    """
    old, new = worker.spec.capacity, spec.capacity
    if old == new:
        return
    worker.spec = spec
    worker.free_cpu += new.cpu - old.cpu
    worker.free_mem_mb += new.mem_mb - old.mem_mb
    worker.free_gpu += new.gpu - old.gpu
    state.is_changed = True
    withdrawn = _withdraw_starts(state, worker)
    state.record_decision(
        "worker_resized",
        None,
        worker=spec.worker,
        cpu=new.cpu,
        mem_mb=new.mem_mb,
        gpu=new.gpu,
        free_gpu=worker.free_gpu,
        withdrawn=withdrawn,
    )


def _withdraw_starts(state: State, worker: Worker) -> int:
    """Stop unanswered starts, the newest first, until the others fit; return how many.

    A gang is stopped as a whole. The room of a run that is being stopped counts until its end.
    """
    room = rooms.Room(worker.free_cpu, worker.free_mem_mb, worker.free_gpu)
    starting = [task for task in worker.tasks.values() if task.phase is model.Phase.STARTING]
    count = 0
    for task in sorted(starting, key=lambda task: task.started_s, reverse=True):
        step = state.step_of(task.key)
        if step is None or not _is_exceeded(room):
            break
        if task.phase is not model.Phase.STARTING:
            continue
        for member in step.placed_tasks if step.spec.is_gang else [task]:
            lifecycle.stop(state, member)
            if member.worker == worker.spec.worker:
                room.release(states.allocation_of(step.spec))
                count += 1
    return count


def _is_exceeded(room: rooms.Room) -> bool:
    return room.cpu < 0 or room.mem_mb < 0 or room.gpu < 0


__all__ = ["apply"]
