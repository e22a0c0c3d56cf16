"""Which workers and runs can no longer be affected by calls to earlier incarnations.

A call that went unanswered may be carried out by a later incarnation of its worker: a renewal then
extends the run leases there by the clock of the earlier one, and a start begins the run there. A
term sees whether that can still happen on the workers that it has followed for long enough. The
census and the records of runs carry it to the next term, for the workers that it does not reach.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from collections.abc import Set as AbstractSet

    from bronzequay import ids
    from bronzequay.core import model
    from bronzequay.core.state import State, Worker
    from bronzequay.core.tasks import Task


def inherit(state: State, worker: Worker) -> None:
    """Mark a worker settled if an earlier term has recorded that of it or of a run on it."""
    is_recorded = worker.spec.worker in state.settled_workers
    worker.is_settled = is_recorded or any(task.is_settled for task in worker.tasks.values())


def settle(state: State, worker: Worker) -> None:
    """Mark a worker settled, and the runs on it whose starts have all been answered."""
    if worker.is_settled:
        return
    worker.is_settled = True
    for task in worker.tasks.values():
        _settle(state, task)


def record_answer(state: State, worker_id: ids.WorkerId, key: model.TaskKey, run: int) -> None:
    """Record that all starts of a run that were sent have been answered."""
    worker, task = state.workers.get(worker_id), state.task_of(key)
    if worker is None or task is None or (task.worker, task.run) != (worker_id, run):
        return
    task.is_answered = True
    if worker.is_settled:
        _settle(state, task)


def _settle(state: State, task: Task) -> None:
    if task.is_answered and not task.is_settled:
        task.is_settled = True
        state.dirty_jobs.update({task.key.job} & state.jobs.keys())


def is_settled(state: State, worker_id: ids.WorkerId) -> bool:
    """Return whether a worker, which need not have joined, is known to be settled."""
    worker = state.workers.get(worker_id)
    if (worker is not None and worker.is_settled) or worker_id in state.settled_workers:
        return True
    return any(task.is_settled for task in state.orphaned_tasks.get(worker_id, {}).values())


def record_listed(
    state: State,
    worker: Worker,
    listed: AbstractSet[tuple[model.TaskKey, int]],
    unanswered_starts: Callable[[], Iterable[model.Start]],
) -> None:
    """Record that no start can arrive any more of runs that a worker lists.

    :param unanswered_starts: returns the starts of this term that may still arrive; those of
        earlier terms must have arrived
    """
    runs = {(task.key, task.run) for task in worker.tasks.values() if not task.is_answered}
    if not runs & listed:
        return
    unanswered = {(start.key, start.run) for start in unanswered_starts()}
    for run in (runs & listed) - unanswered:
        record_answer(state, worker.spec.worker, *run)


def is_certainly_here(task: Task) -> bool:
    """Return whether the run of a task is on its worker and can begin nowhere else.

    Its worker has listed it, and no start of it is left that another incarnation could carry out.
    An answer to a start does not show which incarnation has given it.
    """
    return task.first_sample is not None and task.is_answered


__all__ = ["inherit", "is_certainly_here", "is_settled", "record_answer", "record_listed", "settle"]
