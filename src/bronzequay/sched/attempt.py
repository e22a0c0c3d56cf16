"""Progress of one attempt of a gang, as known to the active scheduler."""

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
    """What the scheduler is doing with an attempt."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    OVER = "over"


class Attempt:
    """One start of a gang, with the last known status of every task.

    ``is_verified`` is False until the workers of an adopted attempt have reported its tasks.

    :param job: id of the job
    :param number: number of the attempt, from 1
    :param placements: members and their workers
    :param phase: initial phase
    :param is_idempotent: whether the job may run again without a checkpoint
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
        self.tasks_by_worker: dict[ids.WorkerId, list[ids.TaskId]] = {}
        self.statuses: dict[ids.TaskId, client.Status] = {}
        self.scope = trio.CancelScope()
        self.wake = trio.Event()
        for placement in placements:
            task = tasks.task_id(job, number, placement.member)
            self.tasks_by_worker.setdefault(placement.worker, []).append(task)
            self.statuses[task] = client.Status(task, number, client.TaskState.HELD)

    def update_statuses(self, statuses: Iterable[client.Status]) -> None:
        """Apply statuses that a worker reported; an older answer never replaces a final state."""
        for status in statuses:
            current = self.statuses.get(status.task)
            if current is not None and current.state in client.LIVE_STATES:
                self.statuses[status.task] = status

    def record_end(self, task: ids.TaskId, state: client.TaskState) -> None:
        """Record a final state that the task's worker did not report."""
        self.update_statuses([client.Status(task, self.number, state)])

    def live_tasks(self, worker: ids.WorkerId) -> list[ids.TaskId]:
        """Return the tasks on a worker that are not known to have ended."""
        return [
            task
            for task in self.tasks_by_worker.get(worker, ())
            if self.statuses[task].state in client.LIVE_STATES
        ]

    def live_workers(self) -> list[ids.WorkerId]:
        """Return the workers with tasks that are not known to have ended."""
        return [worker for worker in self.tasks_by_worker if self.live_tasks(worker)]

    def worker_of(self, task: ids.TaskId) -> ids.WorkerId:
        """Return the worker that a task is placed on."""
        return next(worker for worker, task_ids in self.tasks_by_worker.items() if task in task_ids)

    def has_succeeded(self) -> bool:
        """Return whether every member has finished without error."""
        return all(status.state is client.TaskState.OK for status in self.statuses.values())

    def first_failure(self) -> model.MemberFailed | None:
        """Return the failure of the first member that ended without success, None if none did."""
        for task, status in self.statuses.items():
            fault = _FAULT_BY_STATE.get(status.state)
            if fault is model.MemberFault.TASK_FAILED and not self.was_released:
                fault = model.MemberFault.START_FAILED
            if fault is not None:
                return model.MemberFailed(self.job, self.number, self.worker_of(task), fault)
        return None

    def stopped(self) -> model.GangStopped:
        """Return the event that all tasks have ended, with what their checkpoints preserve.

        Without the checkpoints of all members none of them is valid.
        """
        if not self.is_checkpointed():
            return model.GangStopped(self.job, self.number)
        ran_s = {_member_of(task): status.ran_s for task, status in self.statuses.items()}
        kept_s = min(ran_s.values())
        ahead_s = {member: each_s - kept_s for member, each_s in ran_s.items() if each_s > kept_s}
        return model.GangStopped(self.job, self.number, kept_s, is_kept=True, ahead_s=ahead_s)

    def is_checkpointed(self) -> bool:
        """Return whether every member has been checkpointed."""
        checkpointed = client.TaskState.CHECKPOINTED
        return all(status.state is checkpointed for status in self.statuses.values())

    def wake_driver(self) -> None:
        """Make the attempt's driver check the attempt again."""
        self.wake.set()


def _member_of(task: ids.TaskId) -> int:
    key = tasks.parse(task)
    assert key is not None  # noqa: S101  # an attempt names its own tasks
    return key.member


_FAULT_BY_STATE = {
    client.TaskState.FAILED: model.MemberFault.TASK_FAILED,
    client.TaskState.LAPSED: model.MemberFault.WORKER_LOST,
    client.TaskState.STOPPED: model.MemberFault.WORKER_LOST,
    client.TaskState.CHECKPOINTED: model.MemberFault.WORKER_LOST,
    client.TaskState.UNKNOWN: model.MemberFault.WORKER_LOST,
}

__all__ = ["Attempt", "Phase"]
