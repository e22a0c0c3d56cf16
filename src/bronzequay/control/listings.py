"""Applies what a worker lists of its runs to the core's state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from bronzequay.core import departures, health, lifecycle, losses, model, pacing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Set as AbstractSet

    from bronzequay.core.state import State, Worker
    from bronzequay.platform import workers

    Run = tuple[model.TaskKey, int]

_log = structlog.get_logger()


class Acknowledgements:
    """Ends of runs that a worker lists until they are acknowledged, by their numbers.

    The numbers begin anew with each incarnation. So each is sent once, and only right after an
    answer: a later incarnation that carries out the call forgets ends that nobody has read.
    """

    def __init__(self) -> None:
        self._durable = 0
        self._sent = 0
        self._forgotten = 0

    def on_durable(self, ends: tuple[workers.EndedRun, ...]) -> None:
        """Note ends that have been journaled."""
        self._durable = max(end.number for end in ends)

    def next_number(self, *, has_answered: bool) -> int:
        """Return the number to send with the next call, 0 if there is nothing to acknowledge.

        :param has_answered: whether the last call was answered
        """
        is_due = has_answered and self._durable > self._forgotten
        self._sent = self._durable if is_due else 0
        return self._sent

    def on_answer(self) -> None:
        """Note that the last call has been answered."""
        self._forgotten = max(self._forgotten, self._sent)


def apply(state: State, worker: Worker, listing: workers.Listing) -> None:
    """Apply the ends and the progress of runs, and decide what follows on their worker."""
    name = worker.spec.worker
    for ended in listing.ended:
        lifecycle.end_run(state, name, ended.key, ended.run, ended.end, ended.checkpoint)
    for run in listing.running:
        _update_running(state, worker, run)
    losses.clear_suspects(state, worker)
    health.stop_stalled_runs(state, worker)
    departures.stop_unfinishable_runs(state, worker)
    pacing.adjust_filler_speed(state, worker)


def _update_running(state: State, worker: Worker, run: workers.ActiveRun) -> None:
    lifecycle.confirm(state, worker.spec.worker, run.key, run.run)
    task = worker.tasks.get(run.key)
    if task is not None and task.run == run.run:
        health.record_progress(state, task, run.percent)
        pacing.record_load(task, run.load)
        task.checkpoint = run.checkpoint or task.checkpoint


def end_missing_runs(
    state: State,
    worker: Worker,
    listed: AbstractSet[Run],
    is_in_effect: Callable[[Run], bool],
) -> None:
    """End runs placed on a worker that its listing does not show.

    :param is_in_effect: whether the last order for a run has taken effect in the listing
    """
    for task in list(worker.tasks.values()):
        run = (task.key, task.run)
        if is_in_effect(run) and run not in listed:
            name = worker.spec.worker
            _log.info("run_not_there", worker=name, task=task.key, run=task.run)
            lifecycle.end_run(state, name, task.key, task.run, model.End.NEVER_RAN)


__all__ = ["Acknowledgements", "apply", "end_missing_runs"]
