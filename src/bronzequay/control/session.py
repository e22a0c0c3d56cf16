"""One life of a worker in one term: its lease is renewed and its ends are listed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay import clock, codes, errors
from bronzequay.control import delivery
from bronzequay.core import evacuate, health, lifecycle, model, pacing
from bronzequay.platform import workers

if TYPE_CHECKING:
    from bronzequay.control.term import Term
    from bronzequay.core.state import State, Worker

HOLD_S = 5.0
"""Lease of running tasks; a takeover takes some 3 s, and lost work waits for its end."""
CONTACT_S = 3.0
"""Time after its last answer for which a worker counts as reached."""
WAIT_S = 1.0
"""Longest wait for an end; the lease is renewed after each."""
SHARED_WAIT_S = 0.5
"""The same where filling and serving tasks work side by side; loads cover half a second."""
CALL_TIMEOUT_S = 1.0
"""An answer takes a few milliseconds beyond the wait."""
RETRY_S = 0.2
DURABLE_WAIT_S = 0.5
"""Wait for the journal before the lease is renewed with the ends still unseen."""
LAPSE_S = CONTACT_S + HOLD_S / delivery.SLOW_CLOCK + 0.5
"""Time after which nothing runs any more that an earlier term holds on workers out of reach."""
MAX_LISTED = 500
"""A worker lists this many ends at once."""

_NOT_SENT = frozenset({workers.Outcome.NOT_SENT, workers.Outcome.NO_LISTENER})

_log = structlog.get_logger()


class Session:
    """Speaks to one life of a worker.

    :param entry: as the store lists the executor
    :param term: whose orders these are
    :param barred: unanswered starts sent to an earlier life under the same id
    :ivar is_listed: whether the store still lists the executor
    """

    def __init__(
        self, entry: workers.ExecutorEntry, term: Term, barred: tuple[model.Start, ...] = ()
    ) -> None:
        self.entry = entry
        self.worker = entry.spec.worker
        self.is_listed = True
        self.orders = delivery.Delivery(
            entry, term, deadline_ms=self._start_deadline, clock_ms=self._worker_clock_ms
        )
        self._barred = barred
        self._stopped_s: dict[model.Start, float] = {}
        self._reborn_s = clock.boot_s() if barred else float("-inf")
        self._term = term
        self._scope = trio.CancelScope()
        self._seen = 0
        self._clock_ms: float | None = None
        self._clock_at_s = 0.0
        self._deadline_ms = 0.0
        self._is_known = False
        self._is_lost = False
        self._answered_s = float("-inf")
        self._pending: tuple[workers.Listing, float] | None = None
        self._is_first_pending = False
        self._is_shared = False

    @property
    def is_reached(self) -> bool:
        """Return whether the worker has accepted a call of this term lately."""
        return trio.current_time() - self._answered_s < CONTACT_S

    async def run(self) -> None:
        """Hold the worker's runs until the life ends or the session is closed."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.orders.run)
                for start in self._barred:
                    nursery.start_soon(self._bar, start)
                await self._keep()
                nursery.cancel_scope.cancel()

    def close(self) -> tuple[model.Start, ...]:
        """End the session.

        :return: starts that may still take effect on a later life under the same id
        """
        self._scope.cancel()
        return (*self.orders.unanswered(), *self._barred)

    async def _bar(self, start: model.Start) -> None:
        """Bar a start that an earlier life did not answer, or stop it if it has begun here."""
        await self.orders.stop(model.Stop(self.worker, start.key, start.run))
        self._stopped_s[start] = trio.current_time()

    async def _keep(self) -> None:
        while True:
            if not self._term.may_hold:
                await trio.sleep(RETRY_S)
                continue
            sent_s = trio.current_time()
            reply = await self._hold()
            if reply.listing is not None and self._is_same_life(reply.listing):
                await self._on_listing(reply.listing, sent_s)
            elif reply.outcome is workers.Outcome.STALE_EPOCH:
                raise errors.BronzequayError(
                    codes.ResultCode.FENCED, f"{self.worker} has seen a later term"
                )
            elif self._is_over(reply):
                _log.info("worker_life_over", worker=self.worker)
                self._term.roster.end_life(self)
                return
            elif self._on_silence():
                return
            else:
                await trio.sleep(RETRY_S)

    def _is_over(self, reply: workers.Reply) -> bool:
        """Return whether an answer, or the lack of a listener, tells that the life is over."""
        has_left = self.entry.is_draining and not self.is_listed
        return (
            reply.outcome is workers.Outcome.OTHER_INCARNATION
            or reply.listing is not None
            or (has_left and reply.outcome is workers.Outcome.NO_LISTENER)
        )

    def _is_same_life(self, listing: workers.Listing) -> bool:
        life = listing.started_ms
        return life is None or workers.worker_id(self.entry.executor, life) == self.worker

    async def _hold(self) -> workers.Reply:
        calls = self.orders.calls
        if not self._is_known:
            return await calls.hold(
                last_seen_end=0, deadline_ms=None, wait_s=0.0, timeout_s=CALL_TIMEOUT_S
            )
        # A silent worker is only asked, so that its lease can lapse.
        deadline_ms = self._lease_end() if self.is_reached else None
        reply = await calls.hold(
            last_seen_end=self._seen,
            deadline_ms=deadline_ms,
            wait_s=SHARED_WAIT_S if self._is_shared else WAIT_S,
            timeout_s=CALL_TIMEOUT_S,
        )
        if deadline_ms is not None and reply.outcome not in _NOT_SENT:
            self._deadline_ms = max(self._deadline_ms, deadline_ms)
        return reply

    def _worker_clock_ms(self) -> float:
        """Return the present time on the worker's clock, if it runs as fast as ours."""
        assert self._clock_ms is not None  # noqa: S101  # known since the first listing
        return self._clock_ms + (clock.boot_s() - self._clock_at_s) * 1000

    def _lease_end(self) -> float:
        """Return the end of a lease that begins now, on the worker's clock."""
        return self._worker_clock_ms() + HOLD_S * 1000

    def _start_deadline(self) -> float:
        """Return the end of the lease for a start that is about to be sent."""
        end_ms = self._lease_end()
        self._deadline_ms = max(self._deadline_ms, end_ms)
        return end_ms

    def _is_lapsed(self) -> bool:
        """Return whether the worker's lease has certainly run out."""
        if self._clock_ms is None:
            return self._term.are_earlier_lapsed
        passed_s = (clock.boot_s() - self._clock_at_s) * delivery.SLOW_CLOCK
        return self._clock_ms + passed_s * 1000 > self._deadline_ms

    def _on_silence(self) -> bool:
        """Give up what runs on a silent worker once it has lapsed.

        :return: whether the worker is gone for good
        """
        if self._is_lost or not self._is_lapsed():
            return self._is_lost and not self.is_listed and self._end()
        _log.warning("worker_lapsed", worker=self.worker, is_listed=self.is_listed)
        self._is_known, self._is_lost = False, True
        self.orders.forget()
        self._term.post(lambda state: lifecycle.lose(state, self.worker))
        return False

    def _end(self) -> bool:
        self._term.roster.end_life(self)
        return True

    async def _on_listing(self, listing: workers.Listing, sent_s: float) -> None:
        if self._is_lost:
            _log.info("worker_regained", worker=self.worker)
        self._clock_ms = listing.clock_ms
        self._clock_at_s = clock.boot_s()
        self._answered_s = trio.current_time()
        if clock.boot_s() - self._reborn_s < delivery.LATE_S:
            # A renewal sent to the earlier life may still arrive.
            max_hold_ms = self._term.max_hold_s * 1000
            self._deadline_ms = max(self._deadline_ms, listing.clock_ms + max_hold_ms)
        is_first = not self._is_known
        self._is_known, self._is_lost = True, False
        durable = self._post(listing, sent_s, is_first=is_first)
        if listing.ended or is_first:
            with trio.move_on_after(DURABLE_WAIT_S) as scope:
                await durable.wait()
            if not scope.cancelled_caught and listing.ended:
                self._seen = max(end.number for end in listing.ended)

    def _post(self, listing: workers.Listing, sent_s: float, *, is_first: bool) -> trio.Event:
        """Have the newest listing applied; it holds all that an older one told."""
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
        for each in listing.ended:
            lifecycle.end(state, self.worker, each.key, each.run, each.end, each.checkpoint)
        _note_running(state, worker, listing.running)
        health.stop_stalled(state, worker)
        evacuate.leave(state, worker)
        pacing.steer(state, worker)
        self._is_shared = pacing.is_shared(state, worker)
        listed = {(each.key, each.run) for each in listing.running}
        if len(listing.ended) < MAX_LISTED:
            self._reconcile(state, worker, listed, sent_s, is_first=is_first)
        self.orders.keep({(key, task.run) for key, task in worker.tasks.items()})
        worker.strays &= listed
        lifecycle.stop_strays(state, worker, listed)
        self._end_barred(state, listed, sent_s)
        if is_first:
            worker.is_ready = state.is_changed = True
            for task in worker.tasks.values():
                if task.phase is model.Phase.STOPPING:
                    state.commands.append(model.Stop(self.worker, task.key, task.run))

    def _end_barred(
        self, state: State, listed: set[tuple[model.TaskKey, int]], sent_s: float
    ) -> None:
        """Let tasks go on whose barred runs a later listing does not show."""
        for start, stopped_s in list(self._stopped_s.items()):
            if stopped_s < sent_s and (start.key, start.run) not in listed:
                del self._stopped_s[start]
                delivery.end_lost(state, start)

    def _reconcile(
        self,
        state: State,
        worker: Worker,
        listed: set[tuple[model.TaskKey, int]],
        sent_s: float,
        *,
        is_first: bool,
    ) -> None:
        """End runs whose order was settled before a listing that does not show them."""
        for task in list(worker.tasks.values()):
            is_settled = is_first or self.orders.settled_s(task.key, task.run) < sent_s
            if is_settled and (task.key, task.run) not in listed:
                _log.info("run_not_there", worker=self.worker, task=task.key, run=task.run)
                lifecycle.end(state, self.worker, task.key, task.run, model.End.NEVER_RAN)


def _note_running(state: State, worker: Worker, running: tuple[workers.ActiveRun, ...]) -> None:
    for run in running:
        lifecycle.confirm(state, worker.spec.worker, run.key, run.run)
        task = worker.tasks.get(run.key)
        if task is not None and task.run == run.run:
            health.note_progress(state, task, run.percent)
            pacing.note_load(task, run.load)
            task.checkpoint = run.checkpoint or task.checkpoint


__all__ = ["CONTACT_S", "HOLD_S", "LAPSE_S", "Session"]
