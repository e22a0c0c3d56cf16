"""Session with one incarnation of a worker: renews its run leases and reads its listings."""

from __future__ import annotations

import contextlib
import enum
from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay import clock, errors, figures
from bronzequay.control import delivery, late_starts, listings, run_lease
from bronzequay.core import lifecycle, losses, model, pacing, settling
from bronzequay.platform import executor_entries, workers

if TYPE_CHECKING:
    from bronzequay.control.term import Term
    from bronzequay.core.state import State, Worker

LISTING_WAIT_S = 1.0
"""Longest time that a worker waits for an ended run before it answers; each call renews leases."""
SHARED_LISTING_WAIT_S = 0.5
"""The same where filler and serving tasks share a worker; a listed load covers half a second."""
CALL_TIMEOUT_S = 1.0
"""Timeout of a call beyond its wait; an answer takes a few milliseconds."""
RETRY_S = 0.2
DURABLE_WAIT_S = 0.5
"""Longest wait for the journal before the next call, which then acknowledges no ended runs."""
MAX_LISTED_ENDS = 500
"""Most ended runs that a worker puts into one listing; a longer list is cut."""

_log = structlog.get_logger()


class Ending(enum.Enum):
    """How it is known that the incarnation of a session is over.

    RESTARTED: the executor has answered that it started at another time. MACHINE_REUSED: an
    executor with another id, which refuses what was sent to this one, has answered that it started
    later on the same machine. LAPSED: its run leases have expired and the store no longer lists
    it; it may still be running.

    Nothing else shows it: neither a refused connection, nor the answer of an unknown executor at
    its address, nor an entry that is changed or removed.
    """

    RESTARTED = "restarted"
    MACHINE_REUSED = "machine_reused"
    LAPSED = "lapsed"


class Session:
    """Session with one incarnation of a worker.

    :param entry: the executor's entry in the store
    :param term: the term that the session belongs to
    :param replaced: what this term has sent to earlier incarnations under the same id
    :ivar is_listed: whether the store still lists the executor
    """

    def __init__(
        self,
        entry: executor_entries.ExecutorEntry,
        term: Term,
        replaced: late_starts.Replaced,
    ) -> None:
        self.entry = entry
        self.worker = entry.spec.worker
        self.machine = entry.spec.machine
        self.service = entry.spec.service
        self.is_listed = True
        self._lease = run_lease.RunLease(term.max_run_lease_s, replaced.sent)
        self.delivery = delivery.Delivery(
            entry,
            term,
            lease=self._lease,
            fence=entry.fence(term.epoch),
        )
        self._unanswered = late_starts.by_run(replaced.starts)
        self._term = term
        self._scope = trio.CancelScope()
        self._call = trio.CancelScope()
        self._acks = listings.Acknowledgements()
        self._was_renewed = self._has_listing = False
        self._is_lost = self._is_unanswered = False
        self._shown: set[model.TaskKey] = set()
        self._kept: late_starts.LateStarts = {}
        self._inherited: set[tuple[model.TaskKey, int]] = set()
        self._lapsed_s = 0.0
        self._answered_s = float("-inf")
        self._pending: tuple[workers.Listing, float] | None = None
        self._is_first_pending = self._has_fillers_beside_serving = False

    @property
    def is_reached(self) -> bool:
        """Return whether the worker has answered this session."""
        return self._lease.is_clock_known

    @property
    def is_in_contact(self) -> bool:
        """Return whether the worker has recently accepted a call of this session."""
        return self._lease.clock_age_s() < run_lease.CONTACT_S

    @property
    def may_renew(self) -> bool:
        """Return whether the next call may renew leases and acknowledge ends.

        After a call without an answer a later incarnation may receive the next one.
        """
        return self.is_in_contact and not self._is_unanswered

    @property
    def stated_s(self) -> float:
        """Return when the worker wrote its entry, infinity while that cannot be told."""
        if not self._lease.is_clock_known or self.entry.clock_ms is None:
            return float("inf")
        return trio.current_time() - (self._lease.clock_ms() - self.entry.clock_ms) / 1000

    async def run(self) -> None:
        """Renew the run leases until the incarnation ends or the session is closed."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.delivery.run)
                await self._term.wait_until_trusted()
                await self._renew_leases()
                nursery.cancel_scope.cancel()

    def call_again(self) -> None:
        """Give up the pending call, which a crash may have left without an answer."""
        self._call.cancel()

    def close(self) -> late_starts.Replaced:
        """End the session; return what a later incarnation may carry out."""
        self._scope.cancel()
        starts = (
            late_starts.by_run(self.delivery.unanswered_starts())
            | self._term.uncertain_starts(self.worker, self._shown)
            | self._unanswered
            | self._kept
        )
        sent = self._lease.sent._replace(ended_s=self._last_call_s())
        return late_starts.Replaced(tuple(starts.values()), sent)

    def _last_call_s(self) -> float:
        """Return when the last call ended by which any term can begin or extend a run here."""
        earlier_s = self._term.earlier.last_call_s(self.service)
        over_s = self._lapsed_s if self._is_lost else clock.boot_s()
        return min(max(self._lease.last_call_s(), earlier_s), over_s)

    def has_late_run(self, start: model.Start) -> bool:
        """Return whether this session, which has reached its worker, ends the run of a start."""
        run = (start.key, start.run)
        return self._lease.is_clock_known and run in self._unanswered.keys() | self._kept.keys()

    async def _renew_leases(self) -> None:
        """Renew the run leases until the incarnation is over.

        An unexpected error counts as a call without an answer, so that it ends no other session.
        """
        while True:
            try:
                is_over = await self._renew_once()
            except errors.BronzequayError:
                raise
            except Exception:  # noqa: BLE001
                _log.exception("session_error", worker=self.worker)
                figures.count("session_errors")
                is_over = self._on_no_answer()
                await trio.sleep(RETRY_S)
            if is_over:
                return

    async def _renew_once(self) -> bool:
        """Make one call and apply its answer; return whether the incarnation is over."""
        if not self._term.may_renew_run_leases(self.service):
            await trio.sleep(RETRY_S)
            return False
        sent_s = trio.current_time()
        reply = workers.Reply(workers.Outcome.UNKNOWN)
        with trio.CancelScope() as self._call:
            reply = await self._hold()
        if reply.listing is not None and self._is_same_incarnation(reply.listing):
            await self._on_listing(reply.listing, sent_s)
            return False
        if reply.outcome is workers.Outcome.STALE_EPOCH:
            await self._term.end_if_fenced(self.worker)
        elif reply.listing is not None:
            _log.info(
                "worker_life_over",
                worker=self.worker,
                started_ms=reply.listing.started_ms,
                next_clock_s=reply.listing.clock_ms / 1000,
                was_renewed=self._was_renewed,
                **self._lease.describe(),
            )
            self._shown = reply.listing.tasks()
            self._term.roster.end_session(self, Ending.RESTARTED)
            return True
        is_over = self._on_no_answer()
        await trio.sleep(RETRY_S)
        return is_over

    def _is_same_incarnation(self, listing: workers.Listing) -> bool:
        started = executor_entries.worker_id(self.entry.executor, listing.started_ms)
        return started == self.worker

    async def _hold(self) -> workers.Reply:
        """Renew the run leases and read the listing; before the first listing only read it."""
        client = self.delivery.client
        if not self._has_listing:
            # A worker that does not answer must not keep others waiting with each attempt.
            if self._is_unanswered:
                return await self._read_listing()
            async with self._term.roster.first_listings:
                return await self._read_listing()
        # Numbers and times of this incarnation must not reach the next one.
        has_answered = self._was_renewed = self.may_renew
        deadline_ms = self._lease.end_if_granted_now_ms() if has_answered else None
        if deadline_ms is not None:
            self._lease.on_send(deadline_ms)
        reply: workers.Reply | None = None
        try:
            with self._lease.sending() if has_answered else contextlib.nullcontext():
                reply = await client.hold(
                    last_seen_end=self._acks.next_number(has_answered=has_answered),
                    deadline_ms=deadline_ms,
                    wait_s=self._listing_wait_s(),
                    timeout_s=CALL_TIMEOUT_S,
                )
        finally:
            may_be_renewed = reply is None or reply.outcome not in workers.WITHOUT_EFFECT
            if deadline_ms is not None and may_be_renewed:
                self._lease.extend(deadline_ms, run_lease.Basis.RENEWAL)
        return reply

    async def _read_listing(self) -> workers.Reply:
        return await self.delivery.client.hold(
            last_seen_end=self._acks.next_number(has_answered=False),
            deadline_ms=None,
            wait_s=0.0,
            timeout_s=CALL_TIMEOUT_S,
        )

    def _listing_wait_s(self) -> float:
        if self._is_unanswered:
            return 0.0
        return SHARED_LISTING_WAIT_S if self._has_fillers_beside_serving else LISTING_WAIT_S

    def _are_leases_expired(self) -> bool:
        """Return whether the worker's run leases have certainly expired."""
        if not self._lease.is_clock_known:
            is_settled = self._term.is_settled(self.worker, self.service)
            return self._term.earlier.have_expired(self.service, is_settled=is_settled)
        return self._lease.has_expired()

    def _on_no_answer(self) -> bool:
        """End the runs of an unresponsive worker once its leases have expired.

        :return: whether the session is over, because the store no longer lists the worker either
        """
        self._is_unanswered = True
        failed_s = trio.current_time()
        self._term.post(lambda state: self._mark_silent(state, failed_s))
        if self._is_lost:
            if self._kept:
                self._term.post(self._end_kept_runs)
            if not self.is_listed:
                self._term.roster.end_session(self, Ending.LAPSED)
            return not self.is_listed
        if not self._are_leases_expired():
            return False
        _log.warning(
            "worker_lapsed",
            worker=self.worker,
            is_listed=self.is_listed,
            silent_s=round(trio.current_time() - self._answered_s, 3),
            **self._lease.describe(),
        )
        self._has_listing, self._is_lost, self._lapsed_s = False, True, clock.boot_s()
        self.delivery.discard_answers()
        self._term.post(self._end_lapsed_runs)
        return False

    def _mark_silent(self, state: State, failed_s: float) -> None:
        """Mark the worker silent unless it has answered since a call failed."""
        worker = state.workers.get(self.worker)
        if worker is not None and self._answered_s < failed_s:
            worker.is_silent = True

    def _end_lapsed_runs(self, state: State) -> None:
        # A listing that has arrived since may have been applied already.
        if self._has_listing:
            return
        worker = state.workers.get(self.worker)
        if worker is not None:
            loss = losses.Loss.LEFT if self.entry.is_draining else losses.Loss.LAPSED
            losses.record(state, worker, loss)
            self._keep_late_runs(worker)
        lifecycle.end_lost_runs(state, self.worker, self._kept.keys())

    def _keep_late_runs(self, worker: Worker) -> None:
        """Keep the runs that a later incarnation may have, although the leases here have expired.

        These are the runs of unanswered starts. An earlier term's starts may have gone unanswered
        too, if the record of the run does not say otherwise.
        """
        self._kept = self._unanswered | late_starts.by_run(self.delivery.unanswered_starts())
        earlier = self._term.earlier
        if not self._lease.is_clock_known and not earlier.have_expired(
            self.service, is_settled=False
        ):
            unsettled = (task for task in worker.tasks.values() if not task.is_settled)
            self._kept |= late_starts.of_tasks(self.worker, unsettled)

    def _end_kept_runs(self, state: State) -> None:
        kept_s = run_lease.late_run_s(self._term.max_run_lease_s)
        if self._is_lost and clock.boot_s() - self._last_call_s() > kept_s:
            while self._kept:
                late_starts.end_as_lost(state, self._kept.popitem()[1])

    async def _on_listing(self, listing: workers.Listing, sent_s: float) -> None:
        self._lease.read_clock(listing.clock_ms)
        self._acks.on_answer()
        self._answered_s = trio.current_time()
        is_first = not self._has_listing
        if is_first:
            self._term.roster.on_first_listing(self)
            is_settled = self._term.is_settled(self.worker, self.service)
            self._lease.count_earlier_calls(is_settled=is_settled)
            event = "worker_regained" if self._is_lost else "worker_reached"
            _log.info(event, worker=self.worker, **self._lease.describe())
        self._has_listing, self._is_lost, self._is_unanswered = True, False, False
        durable = self._post(listing, sent_s, is_first=is_first)
        if listing.ended or is_first:
            with trio.move_on_after(DURABLE_WAIT_S) as scope:
                await durable.wait()
            if not scope.cancelled_caught and listing.ended:
                self._acks.on_durable(listing.ended)

    def _post(self, listing: workers.Listing, sent_s: float, *, is_first: bool) -> trio.Event:
        """Have the newest listing applied; it contains all that a pending older one reports."""
        is_posted = self._pending is not None
        self._pending = (listing, sent_s)
        self._is_first_pending |= is_first
        if not is_posted:
            self._durable = self._term.post(self._apply)
        return self._durable

    def _apply(self, state: State) -> None:
        assert self._pending is not None  # noqa: S101  # set before the post
        (listing, sent_s), self._pending = self._pending, None
        is_first, self._is_first_pending = self._is_first_pending, False
        worker = state.workers.get(self.worker)
        if worker is None:
            return
        worker.heard_s, worker.stated_s = self._answered_s, self.stated_s
        state.is_changed |= worker.is_silent
        worker.is_silent = False
        if self._lease.is_settled():
            settling.settle(state, worker)
        losses.forgive(state, worker)
        listings.apply(state, worker, listing)
        self._has_fillers_beside_serving = pacing.has_fillers_beside_serving(state, worker)
        if is_first:
            # Orders of earlier terms have been refused since the answer, or have taken effect.
            self._inherited |= {(key, task.run) for key, task in worker.tasks.items()}
        listed = {(run.key, run.run) for run in listing.running}
        if is_complete := len(listing.ended) < MAX_LISTED_ENDS:
            # Orders that were answered before the listing was requested have taken effect in it.
            listings.end_missing_runs(
                state,
                worker,
                listed,
                lambda run: run in self._inherited or self.delivery.answered_s(*run) < sent_s,
            )
            self._inherited.clear()
        self.delivery.retain_answers({(key, task.run) for key, task in worker.tasks.items()})
        worker.stray_runs &= listed
        lifecycle.stop_stray_runs(state, worker, listed)
        if is_first:
            self._kept = {}
            self._unanswered |= late_starts.of_orphans(state, self.worker)
        if self._term.earlier.have_expired(self.service, is_settled=False):
            settling.record_listed(state, worker, listed, self.delivery.unanswered_starts)
        late_starts.apply_listing(state, self._unanswered, listing, is_complete=is_complete)
        if is_first:
            worker.is_ready = state.is_changed = True
            for task in worker.tasks.values():
                if task.phase is model.Phase.STOPPING:
                    state.commands.append(model.Stop(self.worker, task.key, task.run))


__all__ = ["Ending", "Session"]
