"""Adapter for the executor's protocol (docs/reference/executor.md)."""

from __future__ import annotations

import collections
import ssl
from typing import TYPE_CHECKING

import httpx
import msgspec
import trio

from bronzequay import codes, errors, ids

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

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
KEEPALIVE_S = 4.0
MAX_IDLE_S = 60.0

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


class Connections:
    """Idle connections by executor, each used by one request at a time.

    :param connect: makes the transport of one connection
    """

    def __init__(self, connect: Callable[[], httpx.AsyncBaseTransport]) -> None:
        self._connect = connect
        self._idle: dict[str, collections.deque[tuple[float, httpx.AsyncBaseTransport]]] = {}
        self._urls: dict[str, httpx.URL] = {}

    async def post(
        self, url: str, *, headers: Mapping[str, str], body: bytes, limits: httpx.Timeout
    ) -> httpx.Response:
        """Send a request and return its whole answer; a connection that fails is closed."""
        idle = self._idle.setdefault(url, collections.deque())
        parsed = self._urls.get(url) or self._urls.setdefault(url, httpx.URL(url))
        extensions = {"timeout": limits.as_dict()}
        req = httpx.Request("POST", parsed, headers=headers, content=body, extensions=extensions)
        transport = idle.pop()[1] if idle else self._connect()
        is_whole = False
        try:
            answer = await transport.handle_async_request(req)
            await answer.aread()
            is_whole = True
        finally:
            if not is_whole:
                await _close(transport)
        idle.append((trio.current_time(), transport))
        if idle[0][0] < trio.current_time() - MAX_IDLE_S:
            await _close(idle.popleft()[1])
        return answer


async def _close(transport: httpx.AsyncBaseTransport) -> None:
    with trio.CancelScope(shield=True):
        await transport.aclose()


def connector() -> Callable[[], httpx.AsyncBaseTransport]:
    """Return a maker of transports that hold one TCP connection each."""
    context = ssl.create_default_context()
    limits = httpx.Limits(
        max_connections=1, max_keepalive_connections=1, keepalive_expiry=KEEPALIVE_S
    )

    def connect() -> httpx.AsyncBaseTransport:
        return httpx.AsyncHTTPTransport(verify=context, limits=limits, trust_env=False)

    return connect


class ExecutorClient:
    """Calls executors; one for all executors of a process.

    :param http: client whose own timeouts are not used
    :param connect: makes the transport of one connection; when given, runs take one each
        and leave the client's pool alone, whose cost grows with its connections
    """

    def __init__(
        self,
        *,
        http: httpx.AsyncClient,
        connect: Callable[[], httpx.AsyncBaseTransport] | None = None,
    ) -> None:
        self._http = http
        self._connections = None if connect is None else Connections(connect)

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
            if self._connections is None:
                return await self._http.post(url, headers=headers, content=body, timeout=timeout)
            return await self._connections.post(url, headers=headers, body=body, limits=timeout)
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
    "Connections",
    "Description",
    "ExecutorClient",
    "FailedError",
    "NeverSentError",
    "RefusedError",
    "RunError",
    "SilentError",
    "UnknownOutcomeError",
    "connector",
]
