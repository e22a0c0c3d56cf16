"""Entry point of request routing: runs short requests of a service on its executors."""

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
    """Routes the requests of one service on one entry instance.

    :param service: the service that the executors serve
    :param client: client for calls to the executors
    :param claims: durable claims of non-idempotent requests
    :param instances: returns the number of live entry instances
    """

    def __init__(
        self,
        *,
        service: ids.ServiceId,
        client: ports.RunClient,
        claims: ports.Claims,
        instances: Callable[[], int],
    ) -> None:
        self._service = service
        self._claims = claims
        self._slot_table = slots.SlotTable(instances=instances)
        self._admission = admission.Admission(slot_table=self._slot_table)
        self._health = health.Health(on_change=self._set_unavailable)
        self._retry_budget = budget.RetryBudget()
        self._latency = latency.Latency()
        self._prober = probe.Prober(
            service=service,
            client=client,
            slot_table=self._slot_table,
            health=self._health,
            waiting_count=lambda: len(self._admission),
            is_active=self._check_activity,
            on_free=self._admission.grant_free_slots,
        )
        self._runner = attempts.Runner(
            client=client,
            admission=self._admission,
            slot_table=self._slot_table,
            health=self._health,
            retry_budget=self._retry_budget,
            latency=self._latency,
            prober=self._prober,
        )
        self._request_count = 0
        self._last_request_count = 0
        self._in_progress = 0
        self._active_ids: set[ids.RequestId] = set()
        self._is_draining = False
        self._idle = trio.Event()

    def set_executors(self, executors: Sequence[model.Executor]) -> None:
        """Replace the list of executors; requests in progress continue."""
        self._slot_table.set_executors(executors)
        self._health.set_listed([executor.executor for executor in executors])

    def record_leaving(self, executor: ids.ExecutorId) -> None:
        """Stop sending requests to an executor that another source reports as leaving."""
        self._slot_table.require_probe(executor)
        self._health.record_leaving(executor)

    def set_floors(self, floors: Mapping[policy_model.Urgency, float]) -> None:
        """Set the minimum share of slot time of each urgency class."""
        self._admission.set_floors(floors)

    async def send(self, req: model.Request) -> model.Response:
        """Run a request on an executor and return the complete response.

        :param req: the request
        :return: the response to this request
        :raises BronzequayError: the request was not run (codes 3xx), ran and failed
            (EXECUTOR_FAILED) or may have run (OUTCOME_UNKNOWN)
        """
        if self._is_draining:
            raise _refusal(
                Code.SHUTTING_DOWN, "this instance is shutting down; the request was not run"
            )
        deadline = trio.current_time() + req.deadline_s
        unique_req = self._with_unique_id(req)
        self._request_count += 1
        self._in_progress += 1
        self._active_ids.add(unique_req.request_id)
        try:
            answer = await self._send(unique_req, deadline)
        finally:
            self._active_ids.discard(unique_req.request_id)
            self._in_progress -= 1
            if self._is_draining and not self._in_progress:
                self._idle.set()
        if unique_req is req:
            return answer
        return msgspec.structs.replace(answer, request_id=req.request_id)

    async def run(self) -> None:
        """Write claims, probe executors and start hedges until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._claims.run)
            nursery.start_soon(self._prober.run)
            nursery.start_soon(self._runner.hedger.run)

    async def drain(self) -> None:
        """Refuse new requests, wait for those in progress and write their outcomes."""
        self._is_draining = True
        if self._in_progress:
            await self._idle.wait()
        await self._claims.drain()

    def dump(self) -> dict[str, object]:
        """Return the state for the operators' state dump."""
        return {
            "service": self._service,
            "sends": self._request_count,
            "in_progress": self._in_progress,
            "queued": len(self._admission),
            "draining": self._is_draining,
            "retry_tokens": round(self._retry_budget.balance(), 2),
            "hedges": self._runner.hedger.hedges,
            "p95_s": self._latency.p95_s(),
            "executors": self._slot_table.dump(),
            "health": self._health.dump(),
            "claims": self._claims.dump(),
        }

    async def _send(self, req: model.Request, deadline: float) -> model.Response:
        if req.service != self._service:
            raise errors.BronzequayError(Code.UNKNOWN_SERVICE, f"no service {req.service}")
        if req.deadline_s <= 0:
            raise _refusal(Code.DEADLINE_PASSED, "the deadline had passed when the request arrived")
        if not self._slot_table.has_available():
            raise _refusal(Code.NO_EXECUTOR, "no executor accepts new requests")
        status = attempts.RunStatus()
        if req.idempotent:
            return await self._runner.run(req, deadline=deadline, status=status)
        recorded = await self._claims.claim(req, deadline_s=req.deadline_s)
        if recorded is not None:
            return recorded
        outcome: model.Response | errors.BronzequayError | None = None
        try:
            outcome = await self._runner.run(req, deadline=deadline, status=status)
        except errors.BronzequayError as exc:
            outcome = exc
            raise
        finally:
            self._claims.settle(req, outcome or status.final_error())
        return outcome

    def _with_unique_id(self, req: model.Request) -> model.Request:
        """Replace a request id that another request in progress already uses.

        Callers choose the ids, so two requests in progress may have the same one.
        """
        if req.request_id not in self._active_ids:
            return req
        unique_id = ids.RequestId(f"{req.request_id}~{self._request_count}")
        return msgspec.structs.replace(req, request_id=unique_id)

    def _set_unavailable(self, executors: Collection[ids.ExecutorId]) -> None:
        self._slot_table.set_unavailable(executors)
        self._admission.grant_free_slots()

    def _check_activity(self) -> bool:
        """Return whether a request arrived since the last call."""
        was_active = self._request_count != self._last_request_count
        self._last_request_count = self._request_count
        return was_active


def _refusal(code: codes.ResultCode, message: str) -> errors.BronzequayError:
    return errors.BronzequayError(code, message, retry_after_s=RETRY_AFTER_S)


__all__ = ["Router"]
