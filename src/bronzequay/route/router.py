"""Sends short requests to executors and brings each caller its own answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.route import admission, attempts, budget, health, latency, model, probe, slots

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from bronzequay.policy import model as policy_model
    from bronzequay.route import ports

RETRY_AFTER_S = 1.0

Code = codes.ResultCode


class Router:
    """Requests of one service on one entry instance.

    :param service: the service that the executors serve
    :param client: adapter to the executors
    :param claims: durable claims of non-idempotent requests
    :param instances: number of live entry instances
    """

    def __init__(
        self,
        *,
        service: ids.ServiceId,
        client: ports.RunClient,
        claims: ports.ClaimBook,
        instances: Callable[[], int],
    ) -> None:
        self._service = service
        self._claims = claims
        self._table = slots.SlotTable(instances=instances)
        self._gate = admission.Admission(table=self._table)
        self._records = health.Health(on_change=self._set_closed)
        self._tokens = budget.RetryBudget()
        self._recent = latency.Latency()
        self._prober = probe.Prober(
            service=service,
            client=client,
            table=self._table,
            records=self._records,
            waiting=lambda: len(self._gate),
            active=self._was_active,
            on_free=self._gate.grant,
        )
        self._runner = attempts.Runner(
            client=client,
            gate=self._gate,
            table=self._table,
            records=self._records,
            tokens=self._tokens,
            recent=self._recent,
            prober=self._prober,
        )
        self._sends = 0
        self._sends_seen = 0
        self._in_progress = 0
        self._ids: set[ids.RequestId] = set()
        self._is_draining = False
        self._idle = trio.Event()

    def set_executors(self, executors: Sequence[model.Executor]) -> None:
        """Replace the list of executors; requests in progress go on."""
        self._table.set_executors(executors)
        self._records.set_listed([executor.executor for executor in executors])

    def note_leaving(self, executor: ids.ExecutorId) -> None:
        """Send no new work to an executor that another source says is leaving."""
        self._table.note_doubt(executor)
        self._records.note_leaving(executor)

    def set_floors(self, floors: Mapping[policy_model.Urgency, float]) -> None:
        """Change the share of slot time that each class keeps under a flood of another."""
        self._gate.set_floors(floors)

    async def send(self, req: model.Request) -> model.Response:
        """Run a request on an executor and return its whole answer.

        :param req: the request
        :return: the answer to this very request
        :raises BronzequayError: refused and truly not run (codes 3xx), ran and failed
            (EXECUTOR_FAILED) or not known (OUTCOME_UNKNOWN)
        """
        if self._is_draining:
            raise _refusal(Code.SHUTTING_DOWN, "this instance is shutting down")
        deadline = trio.current_time() + req.deadline_s
        sent = self._with_own_id(req)
        self._sends += 1
        self._in_progress += 1
        self._ids.add(sent.request_id)
        try:
            answer = await self._send(sent, deadline)
        finally:
            self._ids.discard(sent.request_id)
            self._in_progress -= 1
            if self._is_draining and not self._in_progress:
                self._idle.set()
        if sent is req:
            return answer
        return msgspec.structs.replace(answer, request_id=req.request_id)

    async def run(self) -> None:
        """Do the background work until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._claims.run)
            nursery.start_soon(self._prober.run)
            nursery.start_soon(self._runner.hedger.run)

    async def drain(self) -> None:
        """Refuse new requests, wait until none is in progress and record their outcomes."""
        self._is_draining = True
        if self._in_progress:
            await self._idle.wait()
        await self._claims.drain()

    def dump(self) -> dict[str, object]:
        """Return the state for the operators' dump."""
        return {
            "service": self._service,
            "sends": self._sends,
            "in_progress": self._in_progress,
            "queued": len(self._gate),
            "draining": self._is_draining,
            "retry_tokens": round(self._tokens.tokens(), 2),
            "hedges": self._runner.hedger.hedges,
            "p95_s": self._recent.p95_s(),
            "executors": self._table.dump(),
            "health": self._records.dump(),
            "claims": self._claims.dump(),
        }

    async def _send(self, req: model.Request, deadline: float) -> model.Response:
        if req.service != self._service:
            raise errors.BronzequayError(Code.UNKNOWN_SERVICE, f"no service {req.service}")
        if req.deadline_s <= 0:
            raise _refusal(Code.DEADLINE_PASSED, "the deadline had passed on arrival")
        if not self._table.is_open():
            raise _refusal(Code.NO_EXECUTOR, "no executor takes new work")
        known = attempts.Knowledge()
        if req.idempotent:
            return await self._runner.run(req, deadline=deadline, known=known)
        earlier = await self._claims.claim(req, deadline_s=req.deadline_s)
        if earlier is not None:
            return earlier
        outcome: model.Response | errors.BronzequayError | None = None
        try:
            outcome = await self._runner.run(req, deadline=deadline, known=known)
        except errors.BronzequayError as exc:
            outcome = exc
            raise
        finally:
            self._claims.settle(req, outcome or known.error())
        return outcome

    def _with_own_id(self, req: model.Request) -> model.Request:
        """Tell requests in progress apart whose callers chose the same id."""
        if req.request_id not in self._ids:
            return req
        own = ids.RequestId(f"{req.request_id}~{self._sends}")
        return msgspec.structs.replace(req, request_id=own)

    def _set_closed(self, executors: Collection[ids.ExecutorId]) -> None:
        self._table.set_closed(executors)
        self._gate.grant()

    def _was_active(self) -> bool:
        was_active = self._sends != self._sends_seen
        self._sends_seen = self._sends
        return was_active


def _refusal(code: codes.ResultCode, message: str) -> errors.BronzequayError:
    return errors.BronzequayError(code, message, retry_after_s=RETRY_AFTER_S)


__all__ = ["Router"]
