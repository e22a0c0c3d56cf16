"""An attempt of a gang as the active scheduler follows it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import trio

from bronzequay.policy import model
from bronzequay.work import client, tasks

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay import ids


class Phase(enum.Enum):
    """What the shell does with an attempt."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    OVER = "over"


class Attempt:
    """One start of a gang.

    :param job: the job
    :param number: number of the start
    :param placements: members and their workers
    """

    def __init__(
        self,
        job: ids.JobId,
        number: int,
        placements: Iterable[model.Placement],
        *,
        phase: Phase,
        is_idempotent: bool,
    ) -> None:
        self.job = job
        self.number = number
        self.phase = phase
        self.is_idempotent = is_idempotent
        self.stop_mode: model.StopMode | None = None
        self.was_released = phase is not Phase.STARTING
        self.is_verified = phase is Phase.STARTING
        self.by_worker: dict[ids.WorkerId, list[ids.TaskId]] = {}
        self.statuses: dict[ids.TaskId, client.Status] = {}
        self.scope = trio.CancelScope()
        self.wake = trio.Event()
        for place in placements:
            task = tasks.task_id(job, number, place.member)
            self.by_worker.setdefault(place.worker, []).append(task)
            self.statuses[task] = client.Status(task, number, client.TaskState.HELD)

    def note(self, statuses: Iterable[client.Status]) -> None:
        """Take over what a worker says; an end is never undone by an older answer."""
        for status in statuses:
            known = self.statuses.get(status.task)
            if known is not None and known.state in client.LIVE_STATES:
                self.statuses[status.task] = status

    def end(self, task: ids.TaskId, state: client.TaskState) -> None:
        """Note the end of a task that its worker did not report."""
        self.note([client.Status(task, self.number, state)])

    def live(self, worker: ids.WorkerId) -> list[ids.TaskId]:
        """Return the tasks on a worker that are not known to have ended."""
        return [
            task
            for task in self.by_worker.get(worker, ())
            if self.statuses[task].state in client.LIVE_STATES
        ]

    def live_workers(self) -> list[ids.WorkerId]:
        """Return the workers with tasks that are not known to have ended."""
        return [worker for worker in self.by_worker if self.live(worker)]

    def worker_of(self, task: ids.TaskId) -> ids.WorkerId:
        """Return the worker that a task is placed on."""
        return next(worker for worker, names in self.by_worker.items() if task in names)

    def is_whole(self) -> bool:
        """Return whether every member ended by itself without error."""
        return all(status.state is client.TaskState.OK for status in self.statuses.values())

    def fault(self) -> model.MemberFailed | None:
        """Return the first member that ended other than well, None when there is none."""
        for task, status in self.statuses.items():
            fault = _FAULTS.get(status.state)
            if fault is model.MemberFault.TASK_FAILED and not self.was_released:
                fault = model.MemberFault.START_FAILED
            if fault is not None:
                return model.MemberFailed(self.job, self.number, self.worker_of(task), fault)
        return None

    def kept_s(self) -> float:
        """Return the run time that checkpoints of every member have kept, in seconds."""
        if not self.is_checkpointed():
            return 0.0
        return min(status.ran_s for status in self.statuses.values())

    def is_checkpointed(self) -> bool:
        """Return whether a checkpoint of every member succeeded."""
        kept = client.TaskState.CHECKPOINTED
        return all(status.state is kept for status in self.statuses.values())

    def nudge(self) -> None:
        """Have the attempt's driver look again."""
        self.wake.set()


_FAULTS = {
    client.TaskState.FAILED: model.MemberFault.TASK_FAILED,
    client.TaskState.LAPSED: model.MemberFault.WORKER_LOST,
    client.TaskState.STOPPED: model.MemberFault.WORKER_LOST,
    client.TaskState.CHECKPOINTED: model.MemberFault.WORKER_LOST,
    client.TaskState.UNKNOWN: model.MemberFault.WORKER_LOST,
}

__all__ = ["Attempt", "Phase"]
