"""Hedging: a second attempt of an idempotent request whose first one is slow."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from bronzequay import codes
from bronzequay.work import executor as adapter

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bronzequay import ids
    from bronzequay.route import admission, attempts, budget, latency, model, slots

    Result = model.Response | adapter.RunError
    Once = Callable[[model.Request, admission.Grant, float, attempts.Knowledge], Awaitable[Result]]

DOUBT_AFTER_S = 0.25


class Flight:
    """An attempt in progress and its hedge.

    :param tried: executors that the request was sent to; the hedge adds its own
    :param known: what the attempts say about whether the request ran
    """

    __slots__ = (
        "answer",
        "deadline",
        "executor",
        "hedge_done",
        "hedge_error",
        "hedge_scope",
        "is_over",
        "known",
        "req",
        "scope",
        "since_s",
        "tried",
    )

    def __init__(
        self,
        req: model.Request,
        executor: ids.ExecutorId,
        deadline: float,
        tried: set[ids.ExecutorId],
        known: attempts.Knowledge,
    ) -> None:
        self.req = req
        self.known = known
        self.executor = executor
        self.deadline = deadline
        self.tried = tried
        self.since_s = trio.current_time()
        self.scope = trio.CancelScope()
        self.answer: model.Response | None = None
        self.is_over = False
        self.hedge_scope: trio.CancelScope | None = None
        self.hedge_done: trio.Event | None = None
        self.hedge_error: adapter.RunError | None = None

    async def hedged(self, first: adapter.RunError) -> adapter.RunError:
        """Wait for the hedge, if there is one, after the first attempt has failed.

        :return: the error to go by; ``answer`` is set if the hedge succeeded
        """
        if self.hedge_done is None:
            return first
        await self.hedge_done.wait()
        return self.hedge_error or no_result()

    def end(self) -> None:
        """Stop the hedge; the request is answered or given up."""
        self.is_over = True
        if self.hedge_scope is not None:
            self.hedge_scope.cancel()


class Hedger:
    """Starts hedges, inside the retry budget, where a slot is free at once.

    :param once: makes one attempt
    """

    def __init__(
        self,
        *,
        once: Once,
        gate: admission.Admission,
        table: slots.SlotTable,
        tokens: budget.RetryBudget,
        recent: latency.Latency,
    ) -> None:
        self._once = once
        self._gate = gate
        self._table = table
        self._tokens = tokens
        self._recent = recent
        self._flights: collections.deque[Flight] = collections.deque()
        self._wake = trio.Event()
        self.hedges = 0

    def watch(self, flight: Flight) -> None:
        """Hedge an attempt once it is slower than most."""
        self._forget_over()
        if not self._flights:
            self._wake.set()
        self._flights.append(flight)

    async def run(self) -> None:
        """Start hedges until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._forget_over()
                if not self._flights:
                    self._wake = trio.Event()
                    await self._wake.wait()
                    continue
                flight = self._flights[0]
                await trio.sleep_until(flight.since_s + self._recent.p95_s())
                if self._flights and self._flights[0] is flight:
                    self._flights.popleft()
                    self._start(flight, nursery)

    def _forget_over(self) -> None:
        while self._flights and self._flights[0].is_over:
            self._flights.popleft()

    def _start(self, flight: Flight, nursery: trio.Nursery) -> None:
        if flight.is_over:
            return
        self._table.note_doubt(flight.executor, after_s=DOUBT_AFTER_S)
        grant = self._gate.acquire_now(avoid=flight.tried)
        if grant is None:
            return
        if not self._tokens.spend():
            self._gate.release(grant)
            return
        self.hedges += 1
        flight.tried.add(grant.executor.executor)
        flight.hedge_scope = trio.CancelScope()
        flight.hedge_done = trio.Event()
        nursery.start_soon(self._hedge, flight, grant, flight.hedge_scope, flight.hedge_done)

    async def _hedge(
        self,
        flight: Flight,
        grant: admission.Grant,
        scope: trio.CancelScope,
        done: trio.Event,
    ) -> None:
        try:
            with scope:
                result = await self._once(flight.req, grant, flight.deadline, flight.known)
                if isinstance(result, adapter.RunError):
                    flight.hedge_error = result
                else:
                    flight.answer = result
                    self._table.note_doubt(flight.executor)
                    flight.scope.cancel()
        finally:
            done.set()


def no_result() -> adapter.RunError:
    """Return the error of an attempt that was cut short without a result."""
    return adapter.UnknownOutcomeError(
        codes.ResultCode.OUTCOME_UNKNOWN, "the attempt was cut short"
    )


__all__ = ["Flight", "Hedger", "no_result"]
