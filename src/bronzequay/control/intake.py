"""Reads the jobs and cancellations that instances write into the store for the scheduler."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import clock, codec
from bronzequay.control import failures, freshness, keys, prefix
from bronzequay.core import lifecycle, model, records
from bronzequay.platform import kv

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay import ids
    from bronzequay.control.journal import Journal
    from bronzequay.control.term import Term
    from bronzequay.core.state import State
    from bronzequay.platform.kv import Item, Snapshot, Store

WATCH_S = 1.5
"""Longest wait of one watch call; a silent connection is noticed after it."""

GIVEN_UP_REASON = f"scheduling it failed with an unexpected error in {failures.MAX_FAILURES} terms"

_log = structlog.get_logger()


class Intake:
    """Follows the keys of submitted jobs and cancellations.

    :param term: the term that schedules the jobs
    :param cancel_s: time after the cancellation of a job from which none of its tasks starts
    :ivar cancels: how old the cancellations are that the core knows
    :ivar orphaned_cancels: cancellations of jobs that are not open, to be removed from the store
    """

    def __init__(self, store: Store, term: Term, *, cancel_s: float) -> None:
        self._store = store
        self._term = term
        self.cancels = freshness.Freshness("cancellations", cancel_s)
        self._rev = kv.ABSENT
        self.orphaned_cancels: set[ids.JobId] = set()

    async def load(self, state: State, journal: Journal) -> None:
        """Read all jobs and their progress; call it once earlier terms are fenced.

        :raises errors.BronzequayError: the store cannot be read
        """
        sent_s = clock.boot_s()
        snapshots: dict[str, Snapshot] = {}
        given_up: set[ids.JobId] = set()

        async def read(prefix: str) -> None:
            snapshots[prefix] = await self._store.range(prefix)

        async def read_failures() -> None:
            item = await self._store.get(keys.FAILURES)
            given_up.update(
                journal.load_failures(None if item is None else item.value, state.wall_s)
            )

        async with trio.open_nursery() as nursery:
            for prefix in (keys.PROGRESS, keys.INBOX):
                nursery.start_soon(read, prefix)
            nursery.start_soon(read_failures)
        inbox = snapshots[keys.INBOX]
        progress = {keys.job_id_in(item.key): item.value for item in snapshots[keys.PROGRESS].items}
        for spec in _decode_jobs(inbox.items):
            state.considered_job = spec.job
            try:
                if spec.job in given_up and not records.is_final(progress.get(spec.job)):
                    lifecycle.give_up(state, spec, GIVEN_UP_REASON)
                    continue
                records.restore(state, spec, progress.get(spec.job))
            except msgspec.MsgspecError as exc:
                _log.error("progress_unreadable", job=spec.job, error=str(exc))
                continue
            if spec.job in state.jobs:
                journal.add_stored(state.jobs[spec.job])
        state.considered_job = None
        self._cancel(state, inbox.items)
        self._rev = inbox.rev
        self.cancels.confirm(sent_s)

    async def run(self) -> None:
        """Follow the keys until cancelled."""
        await prefix.follow(
            self._store,
            keys.INBOX,
            self._rev,
            on_change=self._post,
            on_snapshot=self._post,
            wait_s=self.cancels.watch_s(WATCH_S),
            on_answer=self._confirm,
        )

    def _confirm(self, read_s: float) -> None:
        """Confirm the cancellations once the core has applied those that were read."""
        self._term.post(lambda _state: self.cancels.confirm(read_s))

    def _post(self, items: tuple[Item, ...]) -> None:
        self._term.post(functools.partial(self._apply, items=items))

    def _apply(self, state: State, items: tuple[Item, ...]) -> None:
        for spec in _decode_jobs(items):
            lifecycle.accept(state, spec)
        self._cancel(state, items)

    def _cancel(self, state: State, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key.startswith(keys.CANCELS) and item.value is not None:
                job_id = keys.job_id_in(item.key)
                if job_id in state.jobs:
                    lifecycle.cancel(state, job_id)
                else:
                    self.orphaned_cancels.add(job_id)


def _decode_jobs(items: Iterable[Item]) -> list[model.JobSpec]:
    """Decode the submitted jobs among some items; unreadable ones are logged and skipped."""
    specs = []
    for item in items:
        if not item.key.startswith(keys.JOBS) or item.value is None:
            continue
        try:
            specs.append(codec.from_msgpack(item.value, model.JobSpec))
        except msgspec.MsgspecError as exc:
            _log.error("job_unreadable", key=item.key, revision=item.rev, error=str(exc))
    return specs


__all__ = ["Intake"]
