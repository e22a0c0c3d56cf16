"""Attempts at a request: retries only where the earlier attempts make another run safe."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors
from bronzequay.route import hedge, model
from bronzequay.work import executor as adapter

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.route import admission, budget, health, latency, ports, probe, slots

MAX_ATTEMPTS = 4
RETRY_AFTER_S = 1.0

Code = codes.ResultCode


class RunStatus:
    """Whether a request ran, as far as its attempts show."""

    __slots__ = ("_has_run", "_in_progress", "_is_unknown")

    def __init__(self) -> None:
        self._has_run = False
        self._is_unknown = False
        self._in_progress = 0

    def record_sent(self) -> None:
        """Record that an attempt is about to be sent."""
        self._in_progress += 1

    def record_result(self) -> None:
        """Record that a sent attempt has ended with a result."""
        self._in_progress -= 1

    def record_error(self, result: adapter.RunError) -> None:
        """Record the error of an attempt."""
        self._has_run = self._has_run or isinstance(result, adapter.RunFailedError)
        self._is_unknown = self._is_unknown or isinstance(result, adapter.UnknownOutcomeError)

    def final_error(self, refusal: errors.BronzequayError | None = None) -> errors.BronzequayError:
        """Return the error for the caller.

        :param refusal: error to return if no attempt can have run
        """
        if self._is_unknown or self._in_progress:
            return errors.BronzequayError(
                Code.OUTCOME_UNKNOWN, "the request was sent but not answered; it may have run"
            )
        if self._has_run:
            return errors.BronzequayError(Code.EXECUTOR_FAILED, "the run failed on the executor")
        return refusal or errors.BronzequayError(
            Code.NO_EXECUTOR,
            "no executor accepted the request; it was not run",
            retry_after_s=RETRY_AFTER_S,
        )


class Runner:
    """Runs requests with retries and hedges."""

    def __init__(
        self,
        *,
        client: ports.RunClient,
        admission: admission.Admission,
        slot_table: slots.SlotTable,
        health: health.Health,
        retry_budget: budget.RetryBudget,
        latency: latency.Latency,
        prober: probe.Prober,
    ) -> None:
        self._client = client
        self._admission = admission
        self._slot_table = slot_table
        self._health = health
        self._retry_budget = retry_budget
        self._latency = latency
        self._prober = prober
        self.hedger = hedge.Hedger(
            run_once=self._run_once,
            admission=admission,
            slot_table=slot_table,
            retry_budget=retry_budget,
            latency=latency,
        )

    async def run(
        self, req: model.Request, *, deadline: float, status: RunStatus
    ) -> model.Response:
        """Run a request until it is answered, may not be retried or its deadline passes.

        :param deadline: time on trio's clock, in seconds
        :param status: updated in place, so that it is valid also after a cancellation
        :raises BronzequayError: as ``bronzequay.route.router.Router.send``
        """
        self._retry_budget.earn()
        tried: set[ids.ExecutorId] = set()
        for _ in range(MAX_ATTEMPTS):
            try:
                grant = await self._admission.acquire(req, deadline=deadline, avoid=tried)
            except errors.BronzequayError as exc:
                raise status.final_error(exc) from None
            tried.add(grant.executor.executor)
            result = await self._attempt(req, grant, deadline, tried, status)
            if isinstance(result, model.Response):
                return result
            if not self._may_retry(req, result):
                break
        raise status.final_error()

    def _may_retry(self, req: model.Request, result: adapter.RunError) -> bool:
        if isinstance(result, adapter.NotSentError):
            return True
        if not isinstance(result, adapter.RefusedError) and not req.idempotent:
            return False
        return self._retry_budget.try_spend()

    async def _attempt(
        self,
        req: model.Request,
        grant: admission.Grant,
        deadline: float,
        tried: set[ids.ExecutorId],
        status: RunStatus,
    ) -> model.Response | adapter.RunError:
        if not req.idempotent:
            return await self._run_once(req, grant, deadline, status)
        attempt = hedge.HedgedAttempt(req, grant.executor.executor, deadline, tried, status)
        self.hedger.schedule(attempt)
        result: model.Response | adapter.RunError | None = None
        try:
            with attempt.scope:
                result = await self._run_once(req, grant, deadline, status)
            if isinstance(result, adapter.RunError):
                result = await attempt.wait_for_hedge(result)
        finally:
            attempt.end()
        return attempt.answer or result or hedge.no_result_error()

    async def _run_once(
        self, req: model.Request, grant: admission.Grant, deadline: float, status: RunStatus
    ) -> model.Response | adapter.RunError:
        """Make one attempt and release its slot."""
        executor = grant.executor
        try:
            if not self._slot_table.is_recently_live(
                executor.executor
            ) and not await self._prober.probe(executor):
                return adapter.NotSentError(
                    Code.NO_EXECUTOR, "the executor accepts no new requests"
                )
            sent_s = trio.current_time()
            remaining_s = deadline - sent_s
            if remaining_s <= 0:
                return adapter.NotSentError(
                    Code.DEADLINE_PASSED, "the deadline passed before the request was sent"
                )
            status.record_sent()
            answer = await self._client.call(
                executor.address, request_id=req.request_id, body=req.body, deadline_s=remaining_s
            )
            status.record_result()
            self._record_answer(executor.executor, answer, trio.current_time() - sent_s)
        except adapter.RunError as exc:
            status.record_result()
            status.record_error(exc)
            self._record_error(req, executor.executor, exc)
            return exc
        finally:
            self._admission.release(grant)
        return model.Response(req.request_id, answer.body, executor.executor)

    def _record_answer(
        self, executor: ids.ExecutorId, answer: adapter.Answer, run_s: float
    ) -> None:
        self._latency.record(run_s)
        self._health.record_success(executor)
        if answer.busy is not None:
            self._slot_table.record_hint(executor, busy=answer.busy)
        if answer.state == adapter.LIVE:
            self._slot_table.record_live(executor)
        elif answer.state == adapter.LEAVING:
            self._record_leaving(executor)

    def _record_error(
        self, req: model.Request, executor: ids.ExecutorId, exc: adapter.RunError
    ) -> None:
        if exc.is_leaving:
            self._record_leaving(executor)
        elif isinstance(exc, adapter.RunFailedError):
            self._health.record_run_failure(executor, req.caller)
        elif isinstance(exc, adapter.AnswerTimeoutError):
            self._slot_table.require_probe(executor)
        else:
            self._slot_table.require_probe(executor)
            self._health.record_connection_failure(executor)

    def _record_leaving(self, executor: ids.ExecutorId) -> None:
        self._slot_table.require_probe(executor)
        self._health.record_leaving(executor)


__all__ = ["RunStatus", "Runner"]
