"""Starts that went unanswered and may be carried out by a later incarnation of their worker."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from bronzequay.control import run_lease
from bronzequay.core import lifecycle, losses, model, settling
from bronzequay.platform import executor_entries

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Set as AbstractSet

    from bronzequay import ids
    from bronzequay.core.state import State
    from bronzequay.core.tasks import Task
    from bronzequay.platform import workers

LateStarts = dict[tuple[model.TaskKey, int], model.Start]
"""Starts by task and number of the run."""


class Replaced(NamedTuple):
    """What a term has sent to incarnations of an executor that are over.

    :param starts: unanswered starts
    :param sent: deadlines of their run leases; no later call can begin or extend one of the runs
    """

    starts: tuple[model.Start, ...] = ()
    sent: run_lease.Sent = run_lease.Sent()


def by_run(starts: Iterable[model.Start]) -> LateStarts:
    """Return starts by task and number of the run."""
    return {(start.key, start.run): start for start in starts}


def of_tasks(worker: ids.WorkerId, tasks: Iterable[Task]) -> LateStarts:
    """Return the starts of the runs that tasks have on a worker."""
    return by_run(model.Start(worker, task.key, task.run, task.checkpoint) for task in tasks)


def uncertain(
    state: State, worker_id: ids.WorkerId, shown: AbstractSet[model.TaskKey]
) -> LateStarts:
    """Return the starts of a worker's runs that a later incarnation may have carried out.

    :param shown: tasks of which that one has shown a run
    """
    worker = state.workers.get(worker_id)
    tasks = () if worker is None else worker.tasks.values()
    return of_tasks(
        worker_id,
        (task for task in tasks if task.key in shown or not settling.is_certainly_here(task)),
    )


def of_orphans(state: State, worker: ids.WorkerId) -> LateStarts:
    """Take over the runs that earlier terms left on earlier incarnations of a worker.

    Their loss is certain once the worker has answered. From then on its listings end them.
    """
    starts: LateStarts = {}
    executor = executor_entries.executor_of(worker)
    for name in list(state.orphaned_tasks):
        if name != worker and executor_entries.executor_of(name) == executor:
            tasks = state.orphaned_tasks.pop(name)
            starts |= of_tasks(name, tasks.values())
            losses.record_absent(state, name, list(tasks.values()))
    return starts


def apply_listing(
    state: State, starts: LateStarts, listing: workers.Listing, *, is_complete: bool
) -> None:
    """End the runs of starts that a later incarnation has not carried out, or has ended.

    Its first answer to a session fences the starts, so that each listing shows which of them have
    taken effect. A run that is listed as running is stopped as a stray run. Any run of a task
    counts, since an earlier one than the last may have been started late: while it runs the task
    does not start again, and its end as done is the task's.

    :param starts: starts to earlier incarnations; those whose runs end are removed
    :param is_complete: whether the listing shows all ends
    """
    for ended in listing.ended:
        for start in [start for start in starts.values() if start.key == ended.key]:
            if start.run == ended.run or ended.end is model.End.DONE:
                del starts[start.key, start.run]
                lifecycle.end_run(
                    state, start.worker, start.key, start.run, ended.end, ended.checkpoint
                )
    if is_complete:
        running = {run.key for run in listing.running}
        for start in [start for start in starts.values() if start.key not in running]:
            end_as_lost(state, starts.pop((start.key, start.run)))


def end_as_lost(state: State, start: model.Start) -> None:
    """End the run of a start as lost with its worker incarnation."""
    lifecycle.end_run(state, start.worker, start.key, start.run, model.End.LOST)


__all__ = [
    "LateStarts",
    "Replaced",
    "apply_listing",
    "by_run",
    "end_as_lost",
    "of_orphans",
    "of_tasks",
    "uncertain",
]
