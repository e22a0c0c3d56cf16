"""Delivers orders to one worker and retries them until their outcome is certain."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay import clock, errors, figures
from bronzequay.control import contact, run_lease
from bronzequay.core import advice, lifecycle, model, pacing, settling
from bronzequay.platform import executor_entries, workers

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.control.term import Term
    from bronzequay.core.state import State

TIMEOUT_S = 0.6
"""An order is answered within a few milliseconds; after the timeout it is sent again."""
MAX_START_ATTEMPTS = 3
"""Unanswered starts after which the run is stopped and placed on another worker."""
RETRY_S = 0.2
LISTED_S = 1.5
"""Time until a listing has shown a run that has begun; a worker answers within 1 s."""
REFUSAL_PAUSE_S = 1.0
"""Time for which a worker gets no starts after it refused one."""
CLOCK_TOLERANCE_MS = 3000.0
"""Difference between clock readings that delayed answers and a busy event loop can explain."""

_log = structlog.get_logger()
_UNANSWERED = frozenset(
    {workers.Outcome.UNKNOWN, workers.Outcome.NOT_SENT, workers.Outcome.NO_LISTENER}
)


class Delivery:
    """Sends the orders for one incarnation of a worker.

    :param entry: the executor's entry in the store
    :param term: the term that sends the orders
    :param lease: the run lease on this incarnation
    :param fence: epoch that the orders carry
    :ivar client: client of the executor
    """

    def __init__(
        self,
        entry: executor_entries.ExecutorEntry,
        term: Term,
        *,
        lease: run_lease.RunLease,
        fence: ids.Epoch,
    ) -> None:
        self.client = workers.OrderClient(entry.executor, entry.address, fence)
        self._worker = entry.spec.worker
        self._data_centre = entry.spec.data_centre
        self._term = term
        self._lease = lease
        self._contact = contact.Contact(self._worker, self.client, lease.clock_age_s)
        self._answered_s: dict[tuple[model.TaskKey, int], float] = {}
        self._unanswered: dict[tuple[model.TaskKey, int], tuple[float, model.Start]] = {}
        self._send, self._receive = trio.open_memory_channel[model.Command](float("inf"))

    def enqueue(self, command: model.Command) -> None:
        """Queue an order for delivery."""
        self._send.send_nowait(command)

    def answered_s(self, key: model.TaskKey, run: int) -> float:
        """Return when the last order for a run was answered, infinity if none was."""
        return self._answered_s.get((key, run), float("inf"))

    def unanswered_starts(self) -> tuple[model.Start, ...]:
        """Return the unanswered starts that a later incarnation may carry out, or may have."""
        oldest_s = trio.current_time() - run_lease.late_run_s(self._term.max_run_lease_s)
        self._unanswered = {
            run: (sent_s, start)
            for run, (sent_s, start) in self._unanswered.items()
            if sent_s > oldest_s
        }
        return tuple(start for _, start in self._unanswered.values())

    def retain_answers(self, runs: set[tuple[model.TaskKey, int]]) -> None:
        """Discard the answer times of all runs but the given ones."""
        for run in set(self._answered_s) - runs:
            del self._answered_s[run]

    def discard_answers(self) -> None:
        """Discard all answer times, once the worker's run leases have expired."""
        self._answered_s.clear()

    async def run(self) -> None:
        """Deliver orders concurrently until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                async for command in self._receive:
                    nursery.start_soon(self._deliver, command)
        finally:
            self.client.close()

    async def _deliver(self, command: model.Command) -> None:
        """Deliver one order; an unexpected error leaves its outcome unknown."""
        if isinstance(command, model.Stop):
            await self.stop(command)
            return
        try:
            if isinstance(command, model.Pace):
                await self._pace(command)
            else:
                await self._start(command)
        except errors.BronzequayError:
            raise
        except Exception:  # noqa: BLE001  # it must not end the sessions of other workers
            self._log_error(command)
            if isinstance(command, model.Pace):
                self._term.post(functools.partial(pacing.mark_speed_unknown, command=command))
            else:
                self._term.post(functools.partial(lifecycle.abandon_start, command=command))

    async def stop(self, command: model.Stop) -> None:
        """Send a stop order until it is confirmed; cancelled with the session."""
        while True:
            await self._term.wait_until_trusted()
            try:
                reply = await self.client.stop(command, timeout_s=TIMEOUT_S)
            except Exception:  # noqa: BLE001  # it must not end the sessions of other workers
                self._log_error(command)
            else:
                if reply.outcome is workers.Outcome.OK:
                    self._record_answer(command)
                    return
                await self._check_epoch(reply.outcome)
            await trio.sleep(RETRY_S)

    def _log_error(self, command: model.Command) -> None:
        _log.exception(
            "delivery_error", worker=self._worker, job=command.key.job, task=command.key[1:]
        )
        figures.count("delivery_errors")

    async def _check_epoch(self, outcome: workers.Outcome) -> None:
        if outcome is workers.Outcome.STALE_EPOCH:
            await self._term.end_if_fenced(self._worker)

    async def _start(self, command: model.Start) -> None:
        """Send a start until it is answered.

        The run is stopped if ``MAX_START_ATTEMPTS`` starts go unanswered. It ends as one that never
        began if its worker leaves, or its data centre may be under evacuation, before a first start
        could arrive.
        """
        run = (command.key, command.run)
        may_have_started = False
        for _ in range(MAX_START_ATTEMPTS):
            is_answering = await self._wait_until_startable()
            # Nothing waits between these checks and the call.
            payload = self._term.payload_for(command)
            if payload is None:
                return
            if self._is_withheld(command, is_answering=is_answering):
                await self._withhold(command, may_have_started=may_have_started)
                return
            # Recorded before the call: the incarnation may end during it and the start arrive late.
            self._unanswered[run] = (trio.current_time(), command)
            with self._lease.sending():
                reply = await self.client.start(
                    command,
                    payload=payload,
                    deadline_ms=self._lease.grant_start_ms(),
                    timeout_s=TIMEOUT_S,
                )
            may_have_started |= reply.outcome is workers.Outcome.UNKNOWN
            if self._is_later_incarnation(reply):
                _log.info("later_incarnation_answered", worker=self._worker, job=command.key.job)
                break
            if not may_have_started:
                self._unanswered.pop(run, None)
            await self._check_epoch(reply.outcome)
            if reply.outcome not in _UNANSWERED:
                self._on_answer(command, reply.outcome, may_have_started=may_have_started)
                return
        self._term.post(lambda state: lifecycle.abandon_start(state, command))

    async def _wait_until_startable(self) -> bool:
        """Wait until a start may be sent; return whether the worker has just answered."""
        while True:
            await self._term.wait_until_startable(self._worker)
            is_answering = await self._is_answering()
            answered_s = clock.boot_s()
            await self._term.wait_until_startable(self._worker)
            if not is_answering or clock.boot_s() - answered_s < contact.FRESH_S:
                return is_answering

    async def _is_answering(self) -> bool:
        """Return whether the worker has just answered, or answers when asked.

        It is not asked if the start is withheld for another reason.
        """
        if self._contact.is_fresh() or self._reason_to_withhold() is not None:
            return True
        asked_s = trio.current_time()
        if await self._contact.ask():
            return True
        self._term.post(lambda state: _mark_silent(state, self._worker, asked_s))
        return False

    def _is_withheld(self, command: model.Start, *, is_answering: bool) -> bool:
        """Return whether a start may not be sent now; log and count it then."""
        why = self._reason_to_withhold() or (None if is_answering else "silent")
        if why is None:
            return False
        figures.count(f'starts_withheld{{why="{why}"}}')
        _log.info(
            "start_withheld",
            job=command.key.job,
            task=command.key[1:],
            run=command.run,
            worker=self._worker,
            data_centre=self._data_centre,
            why=why,
        )
        return True

    def _reason_to_withhold(self) -> str | None:
        why = self._term.evacuations.reason_to_withhold(self._data_centre)
        if why is None and not self._term.roster.may_start(self._worker):
            why = "leaving"
        if why is None and not self._term.roster.is_in_contact(self._worker):
            why = "silent"
        return why

    async def _withhold(self, command: model.Start, *, may_have_started: bool) -> None:
        """End the run of a start that may not be sent, or not again.

        :param may_have_started: whether an earlier attempt went unanswered and may take effect;
            then the run stays if a listing shows it, and is stopped otherwise
        """
        if not may_have_started:
            self._term.post(functools.partial(_end_as_withheld, command=command))
            return
        await trio.sleep(LISTED_S)
        self._term.post(functools.partial(self._stop_unlisted, command=command))

    def _stop_unlisted(self, state: State, command: model.Start) -> None:
        task = state.task_of(command.key)
        if task is not None and task.run == command.run and task.is_confirmed:
            self._record_answer(command)
        else:
            lifecycle.abandon_start(state, command)

    def _is_later_incarnation(self, reply: workers.Reply) -> bool:
        """Return whether a later incarnation under the same id answered, whose clock is another."""
        if reply.clock_ms is None:
            return False
        # Our estimate of the clock runs at our rate, the clock itself slower.
        lag_ms = self._lease.clock_ms() - reply.clock_ms
        longest_lag_ms = (1 - run_lease.MIN_CLOCK_RATE) * self._lease.clock_age_s() * 1000
        return not -CLOCK_TOLERANCE_MS <= lag_ms <= longest_lag_ms + CLOCK_TOLERANCE_MS

    async def _pace(self, command: model.Pace) -> None:
        """Send a pace order once; if it is not confirmed, the next listing leads to another."""
        await self._term.wait_until_trusted()
        reply = await self.client.pace(command, timeout_s=TIMEOUT_S)
        await self._check_epoch(reply.outcome)
        if reply.outcome is not workers.Outcome.OK:
            self._term.post(lambda state: pacing.mark_speed_unknown(state, command))

    def _on_answer(
        self, command: model.Start, outcome: workers.Outcome, *, may_have_started: bool
    ) -> None:
        """Apply the answer to a start.

        :param may_have_started: whether an earlier attempt went unanswered and may take effect
        """
        if outcome is workers.Outcome.OK:
            self._record_answer(command)
            self._term.post(
                functools.partial(self._confirm, command=command, is_certain=not may_have_started)
            )
            return
        _log.warning(
            "start_refused",
            job=command.key.job,
            task=command.key[1:],
            run=command.run,
            worker=self._worker,
            outcome=outcome.value,
            may_have_started=may_have_started,
        )
        if outcome is workers.Outcome.STALE_RUN:
            # The run may have ended on the worker; the next listing shows whether it has.
            self._record_answer(command)
        elif may_have_started:
            self._term.post(lambda state: lifecycle.abandon_start(state, command))
        else:
            self._term.post(lambda state: _apply_refusal(state, command, outcome))

    def _confirm(self, state: State, command: model.Start, *, is_certain: bool) -> None:
        """Record that a run has started.

        :param is_certain: whether no earlier attempt can still take effect
        """
        if is_certain:
            settling.record_answer(state, self._worker, command.key, command.run)
        lifecycle.confirm(state, self._worker, command.key, command.run)

    def _record_answer(self, command: model.Command) -> None:
        self._answered_s[(command.key, command.run)] = trio.current_time()


def _mark_silent(state: State, worker_id: ids.WorkerId, asked_s: float) -> None:
    """Place nothing on a worker until it answers again, unless it has meanwhile."""
    worker = state.workers.get(worker_id)
    if worker is not None and worker.heard_s < asked_s:
        worker.is_silent = True


def _end_as_withheld(state: State, command: model.Start) -> None:
    lifecycle.end_run(state, command.worker, command.key, command.run, model.End.NEVER_RAN)


def _apply_refusal(state: State, command: model.Start, outcome: workers.Outcome) -> None:
    worker = state.workers.get(command.worker)
    if outcome is workers.Outcome.NO_TICKET:
        advice.drop_ticket(state, command)
    elif worker is not None:
        worker.quarantined_until_s = state.now_s + REFUSAL_PAUSE_S
    lifecycle.end_run(state, command.worker, command.key, command.run, model.End.NEVER_RAN)


__all__ = ["Delivery"]
