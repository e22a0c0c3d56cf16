"""Hedging: a second attempt at an idempotent request whose first attempt is slow."""

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
    RunOnce = Callable[
        [model.Request, admission.Grant, float, attempts.RunStatus], Awaitable[Result]
    ]

PROBE_UNLESS_LIVE_WITHIN_S = 0.25


class HedgedAttempt:
    """An attempt in progress and its hedge, if one was started.

    :param tried: executors that the request was sent to; the hedge adds its executor
    :param status: whether the request ran, as far as its attempts show
    """

    __slots__ = (
        "answer",
        "deadline",
        "executor",
        "has_ended",
        "hedge_done",
        "hedge_error",
        "hedge_scope",
        "req",
        "scope",
        "started_s",
        "status",
        "tried",
    )

    def __init__(
        self,
        req: model.Request,
        executor: ids.ExecutorId,
        deadline: float,
        tried: set[ids.ExecutorId],
        status: attempts.RunStatus,
    ) -> None:
        self.req = req
        self.status = status
        self.executor = executor
        self.deadline = deadline
        self.tried = tried
        self.started_s = trio.current_time()
        self.scope = trio.CancelScope()
        self.answer: model.Response | None = None
        self.has_ended = False
        self.hedge_scope: trio.CancelScope | None = None
        self.hedge_done: trio.Event | None = None
        self.hedge_error: adapter.RunError | None = None

    async def wait_for_hedge(self, first_error: adapter.RunError) -> adapter.RunError:
        """Wait for the hedge, if one was started, after the first attempt has failed.

        :param first_error: error of the first attempt
        :return: error of the hedge, or ``first_error`` without a hedge; ``answer`` is set if
            the hedge succeeded
        """
        if self.hedge_done is None:
            return first_error
        await self.hedge_done.wait()
        return self.hedge_error or no_result_error()

    def end(self) -> None:
        """Cancel the hedge; the attempt has ended."""
        self.has_ended = True
        if self.hedge_scope is not None:
            self.hedge_scope.cancel()


class Hedger:
    """Starts hedges if the retry budget allows it and a slot is free at once.

    :param run_once: runs a request once, on the executor of the grant
    """

    def __init__(
        self,
        *,
        run_once: RunOnce,
        admission: admission.Admission,
        slot_table: slots.SlotTable,
        retry_budget: budget.RetryBudget,
        latency: latency.Latency,
    ) -> None:
        self._run_once = run_once
        self._admission = admission
        self._slot_table = slot_table
        self._retry_budget = retry_budget
        self._latency = latency
        self._attempts: collections.deque[HedgedAttempt] = collections.deque()
        self._wake = trio.Event()
        self.hedges = 0

    def schedule(self, attempt: HedgedAttempt) -> None:
        """Hedge an attempt once it has lasted longer than the 95th percentile of latencies."""
        self._drop_ended()
        if not self._attempts:
            self._wake.set()
        self._attempts.append(attempt)

    async def run(self) -> None:
        """Start hedges until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._drop_ended()
                if not self._attempts:
                    self._wake = trio.Event()
                    await self._wake.wait()
                    continue
                attempt = self._attempts[0]
                await trio.sleep_until(attempt.started_s + self._latency.p95_s())
                if self._attempts and self._attempts[0] is attempt:
                    self._attempts.popleft()
                    self._start_hedge(attempt, nursery)

    def _drop_ended(self) -> None:
        while self._attempts and self._attempts[0].has_ended:
            self._attempts.popleft()

    def _start_hedge(self, attempt: HedgedAttempt, nursery: trio.Nursery) -> None:
        if attempt.has_ended:
            return
        self._slot_table.require_probe(
            attempt.executor, unless_live_within_s=PROBE_UNLESS_LIVE_WITHIN_S
        )
        grant = self._admission.acquire_nowait(avoid=attempt.tried)
        if grant is None:
            return
        if not self._retry_budget.try_spend():
            self._admission.release(grant)
            return
        self.hedges += 1
        attempt.tried.add(grant.executor.executor)
        attempt.hedge_scope = trio.CancelScope()
        attempt.hedge_done = trio.Event()
        nursery.start_soon(self._run_hedge, attempt, grant, attempt.hedge_scope, attempt.hedge_done)

    async def _run_hedge(
        self,
        attempt: HedgedAttempt,
        grant: admission.Grant,
        scope: trio.CancelScope,
        done: trio.Event,
    ) -> None:
        try:
            with scope:
                result = await self._run_once(attempt.req, grant, attempt.deadline, attempt.status)
                if isinstance(result, adapter.RunError):
                    attempt.hedge_error = result
                else:
                    attempt.answer = result
                    self._slot_table.require_probe(attempt.executor)
                    attempt.scope.cancel()
        finally:
            done.set()


def no_result_error() -> adapter.RunError:
    """Return the error of an attempt that was cancelled before it had a result."""
    return adapter.UnknownOutcomeError(
        codes.ResultCode.OUTCOME_UNKNOWN, "the attempt was cancelled before it had a result"
    )


__all__ = ["HedgedAttempt", "Hedger", "no_result_error"]
