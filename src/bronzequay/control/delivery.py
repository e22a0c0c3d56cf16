"""Starts and stops on their way to one worker, until their outcome is certain."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay import codes, errors
from bronzequay.core import advice, lifecycle, model, pacing
from bronzequay.platform import workers

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.control.term import Term
    from bronzequay.core.state import State

TIMEOUT_S = 0.6
"""An order is answered within a few milliseconds; later it is sent again."""
START_TRIES = 3
"""Unanswered starts after which the run is stopped and placed elsewhere."""
RETRY_S = 0.2
REFUSED_PAUSE_S = 1.0
"""Time without starts after a worker refused one."""
SLOW_CLOCK = 0.98
"""A worker's clock may be this much slower than ours."""
CLOCK_SLACK_MS = 500.0
"""Difference of clocks that delayed answers explain."""
LATE_S = 15.0
"""Time for which an unanswered order may still be carried out; 12 s are known of."""

_log = structlog.get_logger()
_SILENT = frozenset(
    {workers.Outcome.UNKNOWN, workers.Outcome.NOT_SENT, workers.Outcome.NO_LISTENER}
)


class Delivery:
    """Orders for one life of a worker.

    :param entry: as the store lists the executor
    :param term: whose orders these are
    :param deadline_ms: gives the end of the lease for a start that is sent now
    :param clock_ms: gives the time on the clock of this life
    :ivar calls: to the executor
    """

    def __init__(
        self,
        entry: workers.ExecutorEntry,
        term: Term,
        *,
        deadline_ms: Callable[[], float],
        clock_ms: Callable[[], float],
    ) -> None:
        self.calls = workers.OrderClient(entry.executor, entry.address, term.epoch)
        self._worker = entry.spec.worker
        self._term = term
        self._deadline_ms = deadline_ms
        self._clock_ms = clock_ms
        self._settled_s: dict[tuple[model.TaskKey, int], float] = {}
        self._unanswered: dict[tuple[model.TaskKey, int], tuple[float, model.Start]] = {}
        self._send, self._receive = trio.open_memory_channel[model.Command](float("inf"))

    def give(self, command: model.Command) -> None:
        """Take an order for delivery."""
        self._send.send_nowait(command)

    def settled_s(self, key: model.TaskKey, run: int) -> float:
        """Return when the last order for a run was answered, infinity if none was."""
        return self._settled_s.get((key, run), float("inf"))

    def unanswered(self) -> tuple[model.Start, ...]:
        """Return the starts that may still be carried out without an answer."""
        now_s = trio.current_time()
        return tuple(
            start for sent_s, start in self._unanswered.values() if now_s - sent_s < LATE_S
        )

    def keep(self, names: set[tuple[model.TaskKey, int]]) -> None:
        """Forget the answers for all other runs."""
        for name in set(self._settled_s) - names:
            del self._settled_s[name]

    def forget(self) -> None:
        """Forget answers, once the worker's lease has lapsed."""
        self._settled_s.clear()

    async def run(self) -> None:
        """Deliver orders side by side until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                async for command in self._receive:
                    if isinstance(command, model.Stop):
                        nursery.start_soon(self.stop, command)
                    elif isinstance(command, model.Pace):
                        nursery.start_soon(self._pace, command)
                    else:
                        nursery.start_soon(self._start, command)
        finally:
            self.calls.close()

    async def stop(self, command: model.Stop) -> None:
        """Order a stop until it is answered; cancelled with the session."""
        while True:
            await self._term.wait_trusted()
            reply = await self.calls.stop(command, timeout_s=TIMEOUT_S)
            if reply.outcome is workers.Outcome.OK:
                self._settle(command)
                return
            _check_epoch(reply.outcome, self._worker)
            await trio.sleep(RETRY_S)

    async def _start(self, command: model.Start) -> None:
        """Order a start until it is answered, or have the run stopped."""
        name = (command.key, command.run)
        is_retry = False
        for _ in range(START_TRIES):
            await self._term.wait_trusted()
            payload = self._term.payload_for(command)
            if payload is None:
                return
            # While the call is under way, too, the life may end and its start still arrive.
            self._unanswered[name] = (trio.current_time(), command)
            reply = await self.calls.start(
                command, payload=payload, deadline_ms=self._deadline_ms(), timeout_s=TIMEOUT_S
            )
            is_retry |= reply.outcome is workers.Outcome.UNKNOWN
            if self._is_of_later_life(reply):
                _log.info("later_life_answered", worker=self._worker, job=command.key.job)
                break
            if not is_retry:
                del self._unanswered[name]
            if reply.outcome not in _SILENT:
                self._on_answer(command, reply.outcome, is_retry=is_retry)
                return
        self._term.post(lambda state: lifecycle.give_up(state, command))

    def _is_of_later_life(self, reply: workers.Reply) -> bool:
        """Return whether a later life under the same id answered; its clock began anew."""
        if reply.clock_ms is None:
            return False
        return reply.clock_ms < self._clock_ms() * SLOW_CLOCK - CLOCK_SLACK_MS

    async def _pace(self, command: model.Pace) -> None:
        """Order a pace once; without an answer the next listing leads to another order."""
        await self._term.wait_trusted()
        reply = await self.calls.pace(command, timeout_s=TIMEOUT_S)
        _check_epoch(reply.outcome, self._worker)
        if reply.outcome is not workers.Outcome.OK:
            self._term.post(lambda state: pacing.note_unpaced(state, command))

    def _on_answer(self, command: model.Start, outcome: workers.Outcome, *, is_retry: bool) -> None:
        """Act on an answer.

        :param is_retry: whether an earlier try went unanswered and may still be carried out
        """
        if outcome is workers.Outcome.OK:
            self._settle(command)
            self._term.post(
                lambda state: lifecycle.confirm(state, self._worker, command.key, command.run)
            )
            return
        _log.warning(
            "start_refused",
            job=command.key.job,
            task=command.key[1:],
            run=command.run,
            worker=self._worker,
            outcome=outcome.value,
            is_retry=is_retry,
        )
        _check_epoch(outcome, self._worker)
        if outcome is workers.Outcome.STALE_RUN:
            # The run may have ended there; the next listing tells.
            self._settle(command)
        elif is_retry:
            self._term.post(lambda state: lifecycle.give_up(state, command))
        else:
            self._term.post(lambda state: _refuse(state, command, outcome))

    def _settle(self, command: model.Command) -> None:
        self._settled_s[(command.key, command.run)] = trio.current_time()


def _check_epoch(outcome: workers.Outcome, worker: str) -> None:
    if outcome is workers.Outcome.STALE_EPOCH:
        raise errors.BronzequayError(codes.ResultCode.FENCED, f"{worker} has seen a later term")


def end_lost(state: State, start: model.Start) -> None:
    """End a run whose worker's life is over."""
    lifecycle.end(state, start.worker, start.key, start.run, model.End.LOST)


def _refuse(state: State, command: model.Start, outcome: workers.Outcome) -> None:
    worker = state.workers.get(command.worker)
    if outcome is workers.Outcome.NO_TICKET:
        advice.drop_ticket(state, command)
    elif worker is not None:
        worker.avoid_until_s = state.now_s + REFUSED_PAUSE_S
    lifecycle.end(state, command.worker, command.key, command.run, model.End.NEVER_RAN)


__all__ = ["LATE_S", "SLOW_CLOCK", "Delivery", "end_lost"]
