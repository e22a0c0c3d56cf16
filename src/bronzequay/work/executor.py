"""HTTP client of the executors (protocol: docs/reference/executor.md)."""

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

CONNECT_FRACTION = 0.5
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

_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


class Answer(msgspec.Struct, frozen=True):
    """Answer to one request, with the executor's load and state from the headers.

    :param body: body of the answer
    :param busy: number of requests that the executor still holds, None if not given
    :param state: ``live`` or ``leaving``, None if not given
    """

    body: bytes
    busy: int | None = None
    state: str | None = None


class RunError(errors.BronzequayError):
    """A run without a usable answer; the subclass says what is known of its outcome.

    :param code: result code
    :param message: what happened
    :param is_leaving: whether the executor reported that it accepts no new requests
    """

    def __init__(self, code: codes.ResultCode, message: str, *, is_leaving: bool = False) -> None:
        super().__init__(code, message)
        self.is_leaving = is_leaving


class NotSentError(RunError):
    """No byte of the request left this process."""


class RefusedError(RunError):
    """The executor reported that it did not run the request."""


class RunFailedError(RunError):
    """The executor ran the request and the run failed."""


class UnknownOutcomeError(RunError):
    """The request was sent and no answer that belongs to it was received."""


class AnswerTimeoutError(UnknownOutcomeError):
    """No answer was received by the deadline; the connection has been closed."""


class Description(msgspec.Struct, frozen=True):
    """Identity, location, load and state of an executor.

    :param slots: number of requests that it runs at the same time
    :param busy: number of slots in use
    :param state: ``live`` or ``leaving``
    """

    executor: ids.ExecutorId
    service: ids.ServiceId
    data_centre: ids.DataCentreId
    slots: int
    busy: int
    state: str


class ConnectionPool:
    """Pool of connections per executor; each connection carries one request at a time.

    :param connect: creates the transport of one connection
    """

    def __init__(self, connect: Callable[[], httpx.AsyncBaseTransport]) -> None:
        self._connect = connect
        self._idle: dict[str, collections.deque[tuple[float, httpx.AsyncBaseTransport]]] = {}
        self._parsed_urls: dict[str, httpx.URL] = {}

    async def post(
        self, url: str, *, headers: Mapping[str, str], body: bytes, phase_timeouts: httpx.Timeout
    ) -> httpx.Response:
        """Send a request and return the complete answer; a connection that fails is closed."""
        idle = self._idle.setdefault(url, collections.deque())
        parsed = self._parsed_urls.get(url) or self._parsed_urls.setdefault(url, httpx.URL(url))
        extensions = {"timeout": phase_timeouts.as_dict()}
        req = httpx.Request("POST", parsed, headers=headers, content=body, extensions=extensions)
        transport = idle.pop()[1] if idle else self._connect()
        is_complete = False
        try:
            answer = await transport.handle_async_request(req)
            await answer.aread()
            is_complete = True
        finally:
            if not is_complete:
                await _close(transport)
        idle.append((trio.current_time(), transport))
        if idle[0][0] < trio.current_time() - MAX_IDLE_S:
            await _close(idle.popleft()[1])
        return answer


async def _close(transport: httpx.AsyncBaseTransport) -> None:
    with trio.CancelScope(shield=True):
        await transport.aclose()


def connection_factory() -> Callable[[], httpx.AsyncBaseTransport]:
    """Return a factory of transports with one TCP connection each."""
    context = ssl.create_default_context()
    limits = httpx.Limits(
        max_connections=1, max_keepalive_connections=1, keepalive_expiry=KEEPALIVE_S
    )

    def connect() -> httpx.AsyncBaseTransport:
        return httpx.AsyncHTTPTransport(verify=context, limits=limits, trust_env=False)

    return connect


class ExecutorClient:
    """Calls executors; one client serves all executors of a process.

    :param http: HTTP client; its default timeouts are not used
    :param connect: creates the transport of one connection; if given, runs use a separate pool,
        because the cost of the HTTP client's own pool grows with its number of connections
    """

    def __init__(
        self,
        *,
        http: httpx.AsyncClient,
        connect: Callable[[], httpx.AsyncBaseTransport] | None = None,
    ) -> None:
        self._http = http
        self._pool = None if connect is None else ConnectionPool(connect)

    async def run(
        self, address: str, *, request_id: ids.RequestId, body: bytes, deadline_s: float
    ) -> bytes:
        """Run one request and return the body of the answer; see ``call``."""
        answer = await self.call(address, request_id=request_id, body=body, deadline_s=deadline_s)
        return answer.body

    async def call(
        self, address: str, *, request_id: ids.RequestId, body: bytes, deadline_s: float
    ) -> Answer:
        """Run one request and return the answer with the same request id.

        The connection is closed if no answer is received by the deadline.

        :param address: the executor's base URL
        :param request_id: unique id of this request
        :param body: body of the caller's request
        :param deadline_s: seconds until the caller's deadline
        :return: the answer
        :raises NotSentError: no byte of the request was sent
        :raises RefusedError: the executor did not run the request
        :raises RunFailedError: the executor ran the request and the run failed
        :raises UnknownOutcomeError: the request may have run
        """
        headers = {REQUEST_ID_HEADER: request_id, DEADLINE_HEADER: f"{deadline_s:.3f}"}
        answer: httpx.Response | None = None
        with trio.move_on_after(deadline_s):
            answer = await self._post(f"{address}/v1/run", headers, body, deadline_s)
        if answer is None:
            raise AnswerTimeoutError(
                codes.ResultCode.OUTCOME_UNKNOWN, "the executor did not answer by the deadline"
            )
        return _check_answer(answer, request_id)

    async def describe(self, address: str, *, deadline_s: float = MAX_CONNECT_S) -> Description:
        """Return the description of an executor.

        :param address: the executor's base URL
        :param deadline_s: seconds to wait for the answer
        :return: its description
        :raises RunError: no valid description was received in time
        """
        answer: httpx.Response | None = None
        with trio.move_on_after(deadline_s):
            try:
                answer = await self._http.get(f"{address}/v1/executor", timeout=deadline_s)
            except httpx.HTTPError as exc:
                raise NotSentError(codes.ResultCode.NO_EXECUTOR, _error_text(exc)) from exc
        if answer is None or answer.status_code != httpx.codes.OK:
            raise RunError(
                codes.ResultCode.NO_EXECUTOR, "the executor did not return its description"
            )
        try:
            return msgspec.json.decode(answer.content, type=Description)
        except msgspec.MsgspecError as exc:
            raise RunError(
                codes.ResultCode.NO_EXECUTOR, f"malformed executor description: {exc}"
            ) from exc

    async def _post(
        self, url: str, headers: Mapping[str, str], body: bytes, deadline_s: float
    ) -> httpx.Response:
        connect_s = min(MAX_CONNECT_S, deadline_s * CONNECT_FRACTION)
        # The connect phase ends before the deadline, so a request cut off by the deadline was sent.
        timeout = httpx.Timeout(None, connect=connect_s / 2, pool=connect_s / 2)
        try:
            if self._pool is None:
                return await self._http.post(url, headers=headers, content=body, timeout=timeout)
            return await self._pool.post(url, headers=headers, body=body, phase_timeouts=timeout)
        except _NOT_SENT_ERRORS as exc:
            raise NotSentError(codes.ResultCode.NO_EXECUTOR, _error_text(exc)) from exc
        except httpx.HTTPError as exc:
            raise UnknownOutcomeError(codes.ResultCode.OUTCOME_UNKNOWN, _error_text(exc)) from exc


def _check_answer(answer: httpx.Response, request_id: ids.RequestId) -> Answer:
    is_leaving = answer.headers.get(STATE_HEADER) == LEAVING
    if answer.headers.get(REQUEST_ID_HEADER) != request_id:
        raise UnknownOutcomeError(
            codes.ResultCode.OUTCOME_UNKNOWN, "the answer carries another request id"
        )
    if answer.status_code == httpx.codes.OK:
        return Answer(answer.content, _parse_busy(answer), answer.headers.get(STATE_HEADER))
    if answer.headers.get(NOT_RUN_HEADER) == "1":
        raise RefusedError(
            codes.ResultCode.NO_EXECUTOR, "the executor refused the request", is_leaving=is_leaving
        )
    if answer.status_code == httpx.codes.INTERNAL_SERVER_ERROR:
        raise RunFailedError(
            codes.ResultCode.EXECUTOR_FAILED,
            "the run failed on the executor",
            is_leaving=is_leaving,
        )
    raise UnknownOutcomeError(
        codes.ResultCode.OUTCOME_UNKNOWN, f"the executor answered with status {answer.status_code}"
    )


def _parse_busy(answer: httpx.Response) -> int | None:
    value = answer.headers.get(BUSY_HEADER, "")
    return int(value) if value.isdecimal() and len(value) <= MAX_BUSY_DIGITS else None


def _error_text(exc: httpx.HTTPError) -> str:
    return f"{type(exc).__name__}: {exc}" if str(exc) else type(exc).__name__


__all__ = [
    "Answer",
    "AnswerTimeoutError",
    "ConnectionPool",
    "Description",
    "ExecutorClient",
    "NotSentError",
    "RefusedError",
    "RunError",
    "RunFailedError",
    "UnknownOutcomeError",
    "connection_factory",
]
