"""The workers of a term: one session for each worker incarnation that the store lists."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay import clock, figures
from bronzequay.control import census, freshness, late_starts, prefix, run_lease, session
from bronzequay.core import lifecycle, losses, model, resize, rollout, settling
from bronzequay.platform import executor_entries, workers

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.control.term import Term
    from bronzequay.core.state import State
    from bronzequay.platform.kv import Item, Store

WATCH_S = 1.5
"""Longest wait of one watch call; a silent connection is noticed after it."""
BATCH_PAUSE_S = 0.4
"""Pause between watch calls, so that changes arrive in batches. Each worker writes its entry every
1.5 s, and a draining one may still be sent starts for 2 s."""
ANSWER_S = 1.0
"""Time for the answer of a watch to arrive, after which all entries are read instead."""
DEFAULT_REMAINING_S = 2.0
"""Time until departure that is assumed of a draining worker whose entry states none: the platform's
``drainMs``, for which it stays at least."""
MAX_FIRST_LISTINGS = 200
"""First listings that are read at once. A new term reads those of all workers; other calls, the
watch of their entries above all, must be answered in between."""
SUCCESSOR_TIMEOUT_S = 1.0
"""Timeout of a call to a later incarnation at a new address; an answer takes a few milliseconds."""
SUCCESSOR_RETRY_S = 0.2

_log = structlog.get_logger()


class Roster:
    """Follows the workers' entries and manages their sessions.

    :param term: the term that the sessions belong to
    :param drain_s: time after the announcement of a drain from which a worker gets no starts
    :ivar entries: how old the workers' entries are
    :ivar first_listings: limits the sessions that read their first listing at the same time
    """

    def __init__(self, store: Store, term: Term, *, drain_s: float) -> None:
        self._store = store
        self._term = term
        self.entries = freshness.Freshness("worker_entries", drain_s)
        self._sessions: dict[ids.ExecutorId, session.Session] = {}
        self.first_listings = trio.CapacityLimiter(MAX_FIRST_LISTINGS)
        self._replaced: dict[ids.ExecutorId, late_starts.Replaced] = {}
        self._waits: dict[ids.ExecutorId, trio.CancelScope] = {}
        self._successors: dict[ids.ExecutorId, executor_entries.ExecutorEntry] = {}
        self._by_machine: dict[ids.MachineId, set[session.Session]] = {}

    def services(self) -> set[ids.ServiceId]:
        """Return the services that have workers."""
        return {open_session.service for open_session in self._sessions.values()}

    def present(self, state: State) -> census.Present:
        """Return the executors of each service that are listed and have answered this term."""
        present: census.Present = {}
        for executor, current in self._sessions.items():
            if current.is_listed and current.is_reached:
                is_settled = settling.is_settled(state, current.worker)
                worker = current.worker if is_settled else census.UNSETTLED
                present.setdefault(current.service, {})[executor] = worker
        return present

    def reached(self) -> set[ids.ExecutorId]:
        """Return the executors that have answered this term, and so refuse earlier ones."""
        return {executor for executor, current in self._sessions.items() if current.is_reached}

    def is_executor_in_contact(self, executor: ids.ExecutorId) -> bool:
        """Return whether an executor has recently answered a call of its session."""
        current = self._sessions.get(executor)
        return current is not None and current.is_in_contact

    def may_start(self, worker: ids.WorkerId) -> bool:
        """Return whether a worker is listed and not draining by its latest entry."""
        current = self._session_of(worker)
        return current is not None and current.is_listed and not current.entry.is_draining

    def is_in_contact(self, worker: ids.WorkerId) -> bool:
        """Return whether a worker has recently answered a call of its session."""
        current = self._session_of(worker)
        return current is not None and current.is_in_contact

    def _session_of(self, worker: ids.WorkerId) -> session.Session | None:
        current = self._sessions.get(executor_entries.executor_of(worker))
        return current if current is not None and current.worker == worker else None

    def dispatch(self, command: model.Command) -> None:
        """Pass an order to its worker's session; drop it if that incarnation has ended."""
        current = self._session_of(command.worker)
        if current is not None:
            current.delivery.enqueue(command)

    async def run(self) -> None:
        """Open a session for each worker and follow the entries until cancelled."""
        figures.gauge("worker_entries_age_seconds", lambda: self.entries.age_s)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await self._follow()
        finally:
            # An instance that does not schedule reads no entries.
            figures.gauge("worker_entries_age_seconds", lambda: 0)

    async def _follow(self) -> None:
        snapshot = await prefix.read_with_retries(
            self._store, executor_entries.PREFIX, on_answer=self.entries.confirm
        )
        self._on_snapshot(snapshot.items)
        await prefix.follow(
            self._store,
            executor_entries.PREFIX,
            snapshot.rev,
            on_change=self._on_change,
            on_snapshot=self._on_snapshot,
            wait_s=self.entries.watch_s(WATCH_S),
            pause_s=BATCH_PAUSE_S,
            on_answer=self.entries.confirm,
            answer_s=ANSWER_S,
        )

    def _on_snapshot(self, items: tuple[Item, ...]) -> None:
        listed = {executor_entries.executor_from_key(item.key) for item in items}
        for executor in set(self._sessions) - listed:
            self._on_unlisted(executor)
        self._on_change(items)

    def _on_change(self, items: tuple[Item, ...]) -> None:
        for item in items:
            self._on_item(item)
        self._post_entry_lag(items)

    def _post_entry_lag(self, items: tuple[Item, ...]) -> None:
        """Measure how late entries arrive, by the newest among those that have just arrived."""
        executors = [executor_entries.executor_from_key(item.key) for item in items if item.value]
        stated_s = [self._sessions[name].stated_s for name in executors if name in self._sessions]
        known_s = [time_s for time_s in stated_s if math.isfinite(time_s)]
        if known_s:
            lag_s = trio.current_time() - max(known_s)
            self._term.post(lambda state: _set_entry_lag(state, lag_s))

    def _on_item(self, item: Item) -> None:
        executor = executor_entries.executor_from_key(item.key)
        entry = (
            None if item.value is None else executor_entries.decode(item.key, item.value, item.rev)
        )
        if entry is not None:
            self._on_entry(entry)
            return
        if item.value is not None:
            _log.warning("entry_unreadable", executor=executor, revision=item.rev)
        self._successors.pop(executor, None)
        self._on_unlisted(executor)

    def _on_entry(self, entry: executor_entries.ExecutorEntry) -> None:
        current = self._sessions.get(entry.executor)
        if current is None:
            self._open_session(entry)
            return
        if entry.rev < current.entry.rev:
            # A watch may begin before the last page of the snapshot.
            return
        if current.worker != entry.spec.worker:
            self._on_successor(current, entry)
            return
        self._successors.pop(entry.executor, None)
        if not current.entry.can_precede(entry):
            _log.warning("worker_entry_contradicts", worker=current.worker, address=entry.address)
            self._on_unlisted(entry.executor)
            return
        if current.entry.is_draining != entry.is_draining or not current.is_listed:
            _log.info("worker_changed", worker=current.worker, is_draining=entry.is_draining)
        current.entry, current.is_listed = entry, True
        stated_s = current.stated_s
        self._term.post(lambda state: _update_worker(state, entry, stated_s))

    def _open_session(self, entry: executor_entries.ExecutorEntry) -> None:
        replaced = self._replaced.pop(entry.executor, late_starts.Replaced())
        opened = session.Session(entry, self._term, replaced)
        self._sessions[entry.executor] = opened
        self._by_machine.setdefault(opened.machine, set()).add(opened)
        _log.info("worker_joined", worker=opened.worker, unanswered=len(replaced.starts))
        if entry.invalid_fields:
            figures.count("entries_with_invalid_fields")
            _log.warning("entry_invalid", worker=opened.worker, fields=entry.invalid_fields)
        self._term.post(lambda state: _add_worker(state, entry))
        self._nursery.start_soon(opened.run)

    def _on_successor(
        self, current: session.Session, entry: executor_entries.ExecutorEntry
    ) -> None:
        """Note an entry that names another incarnation than the one that is in session.

        The entry may be late, or of another writer, so that only an answer of the executor ends the
        session. At an unchanged address the session's own calls receive it.
        """
        executor = entry.executor
        if self._successors.get(executor) == entry:
            return
        _log.info("worker_entry_replaced", worker=current.worker, by=entry.spec.worker)
        self._successors[executor] = entry
        self._on_unlisted(executor)
        is_same_machine = entry.spec.machine == current.machine
        if entry.address == current.entry.address:
            current.call_again()
        elif is_same_machine:
            self._nursery.start_soon(self._find_successor, current, entry)

    async def _find_successor(
        self, current: session.Session, entry: executor_entries.ExecutorEntry
    ) -> None:
        """Call the address in a new entry until the executor there proves that it is the later one.

        Ends without that once the session is over or the entry is replaced.
        """
        fence = entry.fence(self._term.epoch)
        client = workers.OrderClient(entry.executor, entry.address, fence)
        try:
            while self._successors.get(entry.executor) is entry:
                reply = await client.hold(
                    last_seen_end=0, deadline_ms=None, wait_s=0.0, timeout_s=SUCCESSOR_TIMEOUT_S
                )
                if reply.listing is not None:
                    self._on_answer_of_successor(current, entry, reply.listing)
                    return
                await trio.sleep(SUCCESSOR_RETRY_S)
        finally:
            client.close()

    def _on_answer_of_successor(
        self,
        current: session.Session,
        entry: executor_entries.ExecutorEntry,
        listing: workers.Listing,
    ) -> None:
        started = executor_entries.worker_id(entry.executor, listing.started_ms)
        if started == entry.spec.worker:
            _log.info("worker_life_over", worker=current.worker, started_ms=listing.started_ms)
            self.end_session(current, session.Ending.RESTARTED)

    def on_first_listing(self, reached: session.Session) -> None:
        """End the sessions with earlier executors of a machine, one of which has just answered."""
        started_s = reached.entry.spec.started_s
        for other in list(self._by_machine[reached.machine]):
            if other.entry.spec.started_s < started_s:
                _log.info("worker_life_over", worker=other.worker, machine_of=reached.worker)
                self.end_session(other, session.Ending.MACHINE_REUSED)

    def _on_unlisted(self, executor: ids.ExecutorId) -> None:
        """Stop placing work on a worker that the store no longer lists."""
        current = self._sessions.get(executor)
        if current is None or not current.is_listed:
            return
        _log.info("worker_unlisted", worker=current.worker)
        current.is_listed = False
        worker = current.worker
        self._term.post(lambda state: _mark_draining(state, worker))

    def end_session(self, ended: session.Session, ending: session.Ending) -> None:
        """End a session whose worker incarnation is over, and the runs of that incarnation.

        A start that went unanswered may still reach a later incarnation under the same id, so its
        run is ended only once that incarnation has answered the next session. An executor with
        another id refuses the start.
        """
        executor = ended.entry.executor
        if self._sessions.get(executor) is not ended:
            return
        del self._sessions[executor]
        self._by_machine[ended.machine].discard(ended)
        replaced = ended.close()
        refused: tuple[model.Start, ...] = ()
        if ending is session.Ending.MACHINE_REUSED:
            refused, replaced = replaced.starts, replaced._replace(starts=())
        self._replaced[executor] = replaced
        unanswered = {(start.key, start.run) for start in replaced.starts}
        loss = losses.Loss.LAPSED
        if ending is not session.Ending.LAPSED:
            loss = losses.Loss.LEFT if ended.entry.is_draining else losses.Loss.CRASHED
        self._term.post(lambda state: _remove_worker(state, ended.worker, unanswered, loss))
        for start in refused:
            self._term.post(functools.partial(late_starts.end_as_lost, start=start))
        # The starts of an earlier wait have passed to the session that has just ended.
        if executor in self._waits:
            self._waits.pop(executor).cancel()
        if unanswered:
            wait = self._waits[executor] = trio.CancelScope()
            self._nursery.start_soon(self._end_unanswered, executor, replaced, wait)
        successor = self._successors.pop(executor, None)
        if successor is not None:
            self._open_session(successor)

    async def _end_unanswered(
        self, executor: ids.ExecutorId, replaced: late_starts.Replaced, wait: trio.CancelScope
    ) -> None:
        """End runs that no later incarnation has answered for, once none can run any more."""
        late_run_s = run_lease.late_run_s(self._term.max_run_lease_s)
        with wait:
            await trio.sleep(max(0.0, replaced.sent.ended_s + late_run_s - clock.boot_s()))
            for start in replaced.starts:
                current = self._sessions.get(executor)
                # Its renewals may have extended the run.
                if current is None or not current.has_late_run(start):
                    self._term.post(functools.partial(late_starts.end_as_lost, start=start))


def _add_worker(state: State, entry: executor_entries.ExecutorEntry) -> None:
    worker = lifecycle.add_worker(state, entry.spec)
    settling.inherit(state, worker)
    _update_worker(state, entry, worker.stated_s)


def _set_entry_lag(state: State, lag_s: float) -> None:
    state.entry_lag_s = lag_s


def _remove_worker(
    state: State,
    worker_id: ids.WorkerId,
    unanswered: set[tuple[model.TaskKey, int]],
    loss: losses.Loss,
) -> None:
    worker = state.workers.get(worker_id)
    # The session has recorded the loss of a worker whose leases lapsed.
    if worker is not None and loss is not losses.Loss.LAPSED:
        losses.record(state, worker, loss)
    lifecycle.remove_worker(state, worker_id, unanswered)


def _update_worker(state: State, entry: executor_entries.ExecutorEntry, stated_s: float) -> None:
    worker = state.workers.get(entry.spec.worker)
    if worker is None:
        return
    state.is_changed |= not state.is_capacity_known(worker, state.now_s)
    worker.stated_s = stated_s
    worker.cold_until_s = state.now_s + entry.cold_s
    resize.apply(state, worker, entry.spec)
    state.is_changed |= worker.is_draining and not entry.is_draining
    if entry.is_draining and not worker.is_draining:
        rollout.record_drain(state, worker)
    worker.is_draining = entry.is_draining
    if entry.remaining_s is not None:
        worker.departure_s = state.now_s + entry.remaining_s
    elif entry.is_draining and worker.departure_s is None:
        worker.departure_s = state.now_s + DEFAULT_REMAINING_S


def _mark_draining(state: State, worker_id: ids.WorkerId) -> None:
    worker = state.workers.get(worker_id)
    if worker is not None:
        worker.is_draining = True


__all__ = ["Roster"]
