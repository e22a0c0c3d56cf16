"""Adapter for the executor's protocol (docs/reference/executor.md)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import msgspec
import trio

from bronzequay import codes, errors, ids

if TYPE_CHECKING:
    from collections.abc import Mapping

CONNECT_SHARE = 0.5
MAX_CONNECT_S = 1.0
NOT_RUN_HEADER = "x-not-run"
REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-deadline-s"
BUSY_HEADER = "x-busy"
STATE_HEADER = "x-state"
LIVE = "live"
LEAVING = "leaving"
MAX_BUSY_DIGITS = 6

_NEVER_LEFT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


class Answer(msgspec.Struct, frozen=True):
    """The whole answer to one request, and what the executor said of itself with it.

    :param busy: requests that the executor still holds; none when it does not say
    :param state: ``live``, ``leaving`` or, when it does not say, none
    """

    body: bytes
    busy: int | None = None
    state: str | None = None


class RunError(errors.BronzequayError):
    """A run without a usable answer; the subclass says what is known of it.

    :param is_leaving: whether the executor said that it takes no new work
    """

    def __init__(self, code: codes.ResultCode, message: str, *, is_leaving: bool = False) -> None:
        super().__init__(code, message)
        self.is_leaving = is_leaving


class NeverSentError(RunError):
    """No byte of the request left this process."""


class RefusedError(RunError):
    """The executor said that it did not run the request."""


class FailedError(RunError):
    """The executor ran the request and the run failed."""


class UnknownOutcomeError(RunError):
    """The request left this process and no answer of its own came back."""


class SilentError(UnknownOutcomeError):
    """The deadline passed without an answer; the connection is closed."""


class Description(msgspec.Struct, frozen=True):
    """An executor's account of itself.

    :param busy: slots in use
    :param state: ``live`` or ``leaving``
    """

    executor: ids.ExecutorId
    service: ids.ServiceId
    data_centre: ids.DataCentreId
    slots: int
    busy: int
    state: str


class ExecutorClient:
    """Calls executors; one for all executors of a process.

    :param http: client whose own timeouts are not used
    """

    def __init__(self, *, http: httpx.AsyncClient) -> None:
        self._http = http

    async def run(
        self, address: str, *, request_id: ids.RequestId, body: bytes, deadline_s: float
    ) -> bytes:
        """Run one request and return the bytes of its answer; see ``call``."""
        answer = await self.call(address, request_id=request_id, body=body, deadline_s=deadline_s)
        return answer.body

    async def call(
        self, address: str, *, request_id: ids.RequestId, body: bytes, deadline_s: float
    ) -> Answer:
        """Run one request and return the answer that carries its id.

        The connection is closed when no answer has come by the deadline.

        :param address: the executor's base URL
        :param request_id: unique to this request
        :param body: the caller's bytes
        :param deadline_s: seconds left to the caller
        :return: the answer
        :raises NeverSentError: nothing left this process
        :raises RefusedError: the executor did not run it
        :raises FailedError: it ran and failed
        :raises UnknownOutcomeError: it may have run
        """
        headers = {REQUEST_ID_HEADER: request_id, DEADLINE_HEADER: f"{deadline_s:.3f}"}
        answer: httpx.Response | None = None
        with trio.move_on_after(deadline_s):
            answer = await self._post(f"{address}/v1/run", headers, body, deadline_s)
        if answer is None:
            raise SilentError(
                codes.ResultCode.OUTCOME_UNKNOWN, "the executor did not answer in time"
            )
        return _checked(answer, request_id)

    async def describe(self, address: str, *, deadline_s: float = MAX_CONNECT_S) -> Description:
        """Ask an executor about itself.

        :param address: the executor's base URL
        :param deadline_s: seconds to wait
        :return: its description
        :raises RunError: no valid description came in time
        """
        answer: httpx.Response | None = None
        with trio.move_on_after(deadline_s):
            try:
                answer = await self._http.get(f"{address}/v1/executor", timeout=deadline_s)
            except httpx.HTTPError as exc:
                raise NeverSentError(codes.ResultCode.NO_EXECUTOR, _said(exc)) from exc
        if answer is None or answer.status_code != httpx.codes.OK:
            raise RunError(codes.ResultCode.NO_EXECUTOR, "the executor did not describe itself")
        try:
            return msgspec.json.decode(answer.content, type=Description)
        except msgspec.MsgspecError as exc:
            raise RunError(codes.ResultCode.NO_EXECUTOR, f"bad description: {exc}") from exc

    async def _post(
        self, url: str, headers: Mapping[str, str], body: bytes, deadline_s: float
    ) -> httpx.Response:
        connect_s = min(MAX_CONNECT_S, deadline_s * CONNECT_SHARE)
        # The connect phase ends before the deadline, so what the deadline cuts has been sent.
        timeout = httpx.Timeout(None, connect=connect_s / 2, pool=connect_s / 2)
        try:
            return await self._http.post(url, headers=headers, content=body, timeout=timeout)
        except _NEVER_LEFT as exc:
            raise NeverSentError(codes.ResultCode.NO_EXECUTOR, _said(exc)) from exc
        except httpx.HTTPError as exc:
            raise UnknownOutcomeError(codes.ResultCode.OUTCOME_UNKNOWN, _said(exc)) from exc


def _checked(answer: httpx.Response, request_id: ids.RequestId) -> Answer:
    is_leaving = answer.headers.get(STATE_HEADER) == LEAVING
    if answer.headers.get(REQUEST_ID_HEADER) != request_id:
        raise UnknownOutcomeError(
            codes.ResultCode.OUTCOME_UNKNOWN, "the answer belongs to another request"
        )
    if answer.status_code == httpx.codes.OK:
        return Answer(answer.content, _busy(answer), answer.headers.get(STATE_HEADER))
    if answer.headers.get(NOT_RUN_HEADER) == "1":
        raise RefusedError(
            codes.ResultCode.NO_EXECUTOR, "the executor refused the request", is_leaving=is_leaving
        )
    if answer.status_code == httpx.codes.INTERNAL_SERVER_ERROR:
        raise FailedError(
            codes.ResultCode.EXECUTOR_FAILED,
            "the run failed on the executor",
            is_leaving=is_leaving,
        )
    raise UnknownOutcomeError(
        codes.ResultCode.OUTCOME_UNKNOWN, f"the executor answered {answer.status_code}"
    )


def _busy(answer: httpx.Response) -> int | None:
    value = answer.headers.get(BUSY_HEADER, "")
    return int(value) if value.isdecimal() and len(value) <= MAX_BUSY_DIGITS else None


def _said(exc: httpx.HTTPError) -> str:
    return f"{type(exc).__name__}: {exc}" if str(exc) else type(exc).__name__


__all__ = [
    "Answer",
    "Description",
    "ExecutorClient",
    "FailedError",
    "NeverSentError",
    "RefusedError",
    "RunError",
    "SilentError",
    "UnknownOutcomeError",
]
