"""The workers of a term: a session for each life that the store lists."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay.control import delivery, prefix, session
from bronzequay.core import lifecycle, model
from bronzequay.platform import workers

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.control.term import Term
    from bronzequay.core.state import State
    from bronzequay.platform.kv import Item, Store

WATCH_S = 1.5
"""Wait of one watch; a silent connection is noticed after it."""
PAUSE_S = 0.4
"""Workers report every 1.5 s each; a draining one may be started on for 2 s more."""
LEAVE_S = 2.0
"""Least time until a draining worker leaves when it does not say how much; ``drainMs``."""

_log = structlog.get_logger()


class Roster:
    """Follows the workers' entries and keeps their sessions.

    :param term: whose workers these are
    """

    def __init__(self, store: Store, term: Term) -> None:
        self._store = store
        self._term = term
        self._sessions: dict[ids.ExecutorId, session.Session] = {}
        self._barred: dict[ids.ExecutorId, tuple[model.Start, ...]] = {}

    @property
    def reaches_majority(self) -> bool:
        """Return whether more than half of the workers accept this term's calls."""
        reached = sum(each.is_reached for each in self._sessions.values())
        return reached * 2 > len(self._sessions)

    def give(self, command: model.Command) -> None:
        """Hand an order to its worker's session; without one the life has ended."""
        found = self._sessions.get(workers.executor_of(command.worker))
        if found is not None and found.worker == command.worker:
            found.orders.give(command)

    async def run(self) -> None:
        """Open a session for each worker and follow the entries until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            found = await prefix.read(self._store, workers.PREFIX)
            self._on_reading(found.items)
            await prefix.follow(
                self._store,
                workers.PREFIX,
                found.rev,
                on_change=self._on_change,
                on_reading=self._on_reading,
                wait_s=WATCH_S,
                pause_s=PAUSE_S,
            )

    def _on_reading(self, items: tuple[Item, ...]) -> None:
        listed = {workers.executor_from_key(item.key) for item in items}
        for executor in set(self._sessions) - listed:
            self._on_gone(executor)
        self._on_change(items)

    def _on_change(self, items: tuple[Item, ...]) -> None:
        for item in items:
            self._on_item(item)

    def _on_item(self, item: Item) -> None:
        executor = workers.executor_from_key(item.key)
        entry = None if item.value is None else workers.decode_entry(item.key, item.value)
        if entry is not None:
            self._on_entry(entry)
            return
        if item.value is not None:
            _log.warning("entry_unreadable", executor=executor, revision=item.rev)
        self._on_gone(executor)

    def _on_entry(self, entry: workers.ExecutorEntry) -> None:
        found = self._sessions.get(entry.executor)
        if found is not None and found.worker != entry.spec.worker:
            self.end_life(found)
            found = None
        if found is None:
            barred = self._barred.pop(entry.executor, ())
            found = session.Session(entry, self._term, barred)
            self._sessions[entry.executor] = found
            _log.info("worker_joined", worker=found.worker, barred=len(barred))
            self._term.post(lambda state: _add(state, entry))
            self._nursery.start_soon(found.run)
            return
        if found.entry.is_draining != entry.is_draining or not found.is_listed:
            _log.info("worker_changed", worker=found.worker, is_draining=entry.is_draining)
        found.entry, found.is_listed = entry, True
        self._term.post(lambda state: _set_draining(state, entry))

    def _on_gone(self, executor: ids.ExecutorId) -> None:
        """Give no more work to a worker that the store does not list any more."""
        found = self._sessions.get(executor)
        if found is None or not found.is_listed:
            return
        _log.info("worker_unlisted", worker=found.worker)
        found.is_listed = False
        worker = found.worker
        self._term.post(lambda state: _bar(state, worker))

    def end_life(self, ended: session.Session) -> None:
        """End a session whose worker's life is over, and the runs that it had.

        A start that went unanswered may still reach a later life under the same id, so its run
        is ended only once that life has barred it.
        """
        executor = ended.entry.executor
        if self._sessions.get(executor) is not ended:
            return
        del self._sessions[executor]
        unanswered = ended.close()
        self._barred[executor] = unanswered
        barred = {(start.key, start.run) for start in unanswered}
        self._term.post(lambda state: lifecycle.remove_worker(state, ended.worker, barred))
        if unanswered:
            self._nursery.start_soon(self._end_late, executor, unanswered)

    async def _end_late(self, executor: ids.ExecutorId, starts: tuple[model.Start, ...]) -> None:
        """End runs that no later life has barred, once their starts cannot arrive any more."""
        await trio.sleep(delivery.LATE_S)
        if executor in self._sessions:
            # One may have arrived there, and the life may not have been reached to bar it.
            await trio.sleep(self._term.max_hold_s / delivery.SLOW_CLOCK)
        for start in starts:
            self._term.post(functools.partial(delivery.end_lost, start=start))


def _add(state: State, entry: workers.ExecutorEntry) -> None:
    lifecycle.add_worker(state, entry.spec)
    _set_draining(state, entry)


def _set_draining(state: State, entry: workers.ExecutorEntry) -> None:
    known = state.workers.get(entry.spec.worker)
    if known is None:
        return
    state.is_changed |= known.is_draining and not entry.is_draining
    known.is_draining = entry.is_draining
    if entry.remaining_s is not None:
        known.leaves_s = state.now_s + entry.remaining_s
    elif entry.is_draining and known.leaves_s is None:
        known.leaves_s = state.now_s + LEAVE_S


def _bar(state: State, worker: ids.WorkerId) -> None:
    known = state.workers.get(worker)
    if known is not None:
        known.is_draining = True


__all__ = ["Roster"]
