"""Attempts of one request: one after another, each safe by what is known of the last."""

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


class Knowledge:
    """What the attempts so far say about whether the request ran."""

    __slots__ = ("_has_run", "_in_progress", "_is_unknown")

    def __init__(self) -> None:
        self._has_run = False
        self._is_unknown = False
        self._in_progress = 0

    def note_sent(self) -> None:
        """Take in that an attempt is about to leave."""
        self._in_progress += 1

    def note_result(self) -> None:
        """Take in that a sent attempt has ended with a result."""
        self._in_progress -= 1

    def note(self, result: adapter.RunError) -> None:
        """Take in an attempt without an answer."""
        self._has_run = self._has_run or isinstance(result, adapter.RunFailedError)
        self._is_unknown = self._is_unknown or isinstance(result, adapter.UnknownOutcomeError)

    def error(self, refusal: errors.BronzequayError | None = None) -> errors.BronzequayError:
        """Return what the caller is to be told.

        :param refusal: told when nothing can have run
        """
        if self._is_unknown or self._in_progress:
            return errors.BronzequayError(
                Code.OUTCOME_UNKNOWN, "the request was sent and no answer came back"
            )
        if self._has_run:
            return errors.BronzequayError(Code.EXECUTOR_FAILED, "the run failed on the executor")
        return refusal or errors.BronzequayError(
            Code.NO_EXECUTOR, "no executor took the request", retry_after_s=RETRY_AFTER_S
        )


class Runner:
    """Runs requests; holds what the attempts of all requests share."""

    def __init__(
        self,
        *,
        client: ports.RunClient,
        gate: admission.Admission,
        table: slots.SlotTable,
        records: health.Health,
        tokens: budget.RetryBudget,
        recent: latency.Latency,
        prober: probe.Prober,
    ) -> None:
        self._client = client
        self._gate = gate
        self._table = table
        self._records = records
        self._tokens = tokens
        self._recent = recent
        self._prober = prober
        self.hedger = hedge.Hedger(
            once=self._once, gate=gate, table=table, tokens=tokens, recent=recent
        )

    async def run(self, req: model.Request, *, deadline: float, known: Knowledge) -> model.Response:
        """Run a request until an answer, a certain end or the deadline.

        :param deadline: time on the runtime's clock
        :param known: changed in place; holds what is known if this is cancelled
        :raises BronzequayError: as ``bronzequay.route.router.Router.send``
        """
        self._tokens.earn()
        tried: set[ids.ExecutorId] = set()
        for _ in range(MAX_ATTEMPTS):
            try:
                grant = await self._gate.acquire(req, deadline=deadline, avoid=tried)
            except errors.BronzequayError as exc:
                raise known.error(exc) from None
            tried.add(grant.executor.executor)
            result = await self._attempt(req, grant, deadline, tried, known)
            if isinstance(result, model.Response):
                return result
            if not self._may_retry(req, result):
                break
        raise known.error()

    def _may_retry(self, req: model.Request, result: adapter.RunError) -> bool:
        if isinstance(result, adapter.NotSentError):
            return True
        if not isinstance(result, adapter.RefusedError) and not req.idempotent:
            return False
        return self._tokens.spend()

    async def _attempt(
        self,
        req: model.Request,
        grant: admission.Grant,
        deadline: float,
        tried: set[ids.ExecutorId],
        known: Knowledge,
    ) -> model.Response | adapter.RunError:
        if not req.idempotent:
            return await self._once(req, grant, deadline, known)
        flight = hedge.Flight(req, grant.executor.executor, deadline, tried, known)
        self.hedger.watch(flight)
        result: model.Response | adapter.RunError | None = None
        try:
            with flight.scope:
                result = await self._once(req, grant, deadline, known)
            if isinstance(result, adapter.RunError):
                result = await flight.hedged(result)
        finally:
            flight.end()
        return flight.answer or result or hedge.no_result()

    async def _once(
        self, req: model.Request, grant: admission.Grant, deadline: float, known: Knowledge
    ) -> model.Response | adapter.RunError:
        """Make one attempt and give its slot back."""
        executor = grant.executor
        try:
            if not self._table.is_heard(executor.executor) and not await self._prober.ask(executor):
                return adapter.NotSentError(Code.NO_EXECUTOR, "the executor takes no new work")
            sent_s = trio.current_time()
            left_s = deadline - sent_s
            if left_s <= 0:
                return adapter.NotSentError(Code.DEADLINE_PASSED, "the deadline passed")
            known.note_sent()
            answer = await self._client.call(
                executor.address, request_id=req.request_id, body=req.body, deadline_s=left_s
            )
            known.note_result()
            self._note_answer(executor.executor, answer, trio.current_time() - sent_s)
        except adapter.RunError as exc:
            known.note_result()
            known.note(exc)
            self._note_error(req, executor.executor, exc)
            return exc
        finally:
            self._gate.release(grant)
        return model.Response(req.request_id, answer.body, executor.executor)

    def _note_answer(self, executor: ids.ExecutorId, answer: adapter.Answer, run_s: float) -> None:
        self._recent.add(run_s)
        self._records.note_success(executor)
        if answer.busy is not None:
            self._table.observe(executor, busy=answer.busy)
        if answer.state == adapter.LIVE:
            self._table.note_heard(executor)
        elif answer.state == adapter.LEAVING:
            self._note_leaving(executor)

    def _note_error(
        self, req: model.Request, executor: ids.ExecutorId, exc: adapter.RunError
    ) -> None:
        if exc.is_leaving:
            self._note_leaving(executor)
        elif isinstance(exc, adapter.RunFailedError):
            self._records.note_run_failure(executor, req.caller)
        elif isinstance(exc, adapter.AnswerTimeoutError):
            self._table.note_doubt(executor)
        else:
            self._table.note_doubt(executor)
            self._records.note_connection_failure(executor)

    def _note_leaving(self, executor: ids.ExecutorId) -> None:
        self._table.note_doubt(executor)
        self._records.note_leaving(executor)


__all__ = ["Knowledge", "Runner"]
