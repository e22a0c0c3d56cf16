"""Sends short requests to executors and brings each caller its own answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors
from bronzequay.route import admission, model, slots
from bronzequay.work import executor as adapter

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bronzequay import ids
    from bronzequay.route import ports

RETRY_AFTER_S = 1.0
MAX_ATTEMPTS = 3
SWEEP_INTERVAL_S = 1.0

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
        self._client = client
        self._claims = claims
        self._slots = slots.SlotTable(instances=instances)
        self._admission = admission.Admission(table=self._slots)
        self._in_progress = 0
        self._is_draining = False
        self._idle = trio.Event()

    def set_executors(self, executors: Sequence[model.Executor]) -> None:
        """Replace the list of executors; requests in progress go on."""
        self._slots.set_executors(executors)
        self._admission.grant()

    async def send(self, req: model.Request) -> model.Response:
        """Run a request on an executor and return its whole answer.

        :param req: the request
        :return: the answer to this very request
        :raises BronzequayError: refused and truly not run (codes 3xx), ran and failed
            (EXECUTOR_FAILED) or not known (OUTCOME_UNKNOWN)
        """
        if self._is_draining:
            raise _refusal(Code.SHUTTING_DOWN, "this instance is shutting down")
        self._in_progress += 1
        try:
            return await self._send(req, trio.current_time() + req.deadline_s)
        finally:
            self._in_progress -= 1
            if self._is_draining and not self._in_progress:
                self._idle.set()

    async def run(self) -> None:
        """Do the background work until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._claims.run)
            while True:
                await trio.sleep(SWEEP_INTERVAL_S)
                self._admission.grant()

    async def drain(self) -> None:
        """Refuse new requests and wait until none is in progress."""
        self._is_draining = True
        if self._in_progress:
            await self._idle.wait()

    def dump(self) -> dict[str, object]:
        """Return the state for the operators' dump."""
        return {
            "service": self._service,
            "in_progress": self._in_progress,
            "queued": len(self._admission),
            "draining": self._is_draining,
            "executors": self._slots.dump(),
        }

    async def _send(self, req: model.Request, deadline: float) -> model.Response:
        if req.service != self._service:
            raise errors.BronzequayError(Code.UNKNOWN_SERVICE, f"no service {req.service}")
        if req.deadline_s <= 0:
            raise _refusal(Code.DEADLINE_PASSED, "the deadline had passed on arrival")
        if not self._slots.is_open():
            raise _refusal(Code.NO_EXECUTOR, "no executor takes new work")
        if req.idempotent:
            return await self._attempts(req, deadline)
        known = await self._claims.claim(req, deadline_s=req.deadline_s)
        if known is not None:
            return known
        try:
            answer = await self._attempts(req, deadline)
        except errors.BronzequayError as exc:
            self._claims.settle(req, exc)
            raise
        self._claims.settle(req, answer)
        return answer

    async def _attempts(self, req: model.Request, deadline: float) -> model.Response:
        doubt: errors.BronzequayError | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                grant = await self._admission.acquire(req, deadline=deadline)
            except errors.BronzequayError as exc:
                raise doubt or exc from None
            try:
                answer = await self._client.call(
                    grant.executor.address,
                    request_id=req.request_id,
                    body=req.body,
                    deadline_s=deadline - trio.current_time(),
                )
            except (adapter.NeverSentError, adapter.RefusedError):
                continue
            except (adapter.FailedError, adapter.UnknownOutcomeError) as exc:
                doubt = errors.BronzequayError(exc.code, exc.message)
                if not req.idempotent:
                    break
            else:
                if answer.busy is not None:
                    self._slots.observe(grant.executor.executor, busy=answer.busy)
                return model.Response(req.request_id, answer.body, grant.executor.executor)
            finally:
                self._admission.release(grant)
        raise doubt or _refusal(Code.NO_EXECUTOR, "no executor took the request")


def _refusal(code: codes.ResultCode, message: str) -> errors.BronzequayError:
    return errors.BronzequayError(code, message, retry_after_s=RETRY_AFTER_S)


__all__ = ["Router"]
