"""Types of the request router: requests, responses and executors."""

from __future__ import annotations

import enum

import msgspec

from bronzequay import codes, ids
from bronzequay.policy import model


class ExecutorState(enum.Enum):
    """Whether an executor accepts new requests."""

    LIVE = "live"
    LEAVING = "leaving"


class Executor(msgspec.Struct, frozen=True):
    """An executor as listed by service discovery, which lags behind the executor's state.

    :param address: base URL of the executor
    """

    executor: ids.ExecutorId
    address: str
    data_centre: ids.DataCentreId
    state: ExecutorState = ExecutorState.LIVE


class Request(msgspec.Struct, frozen=True):
    """A short request from a caller.

    :param idempotent: whether the request may run more than once
    :param key: deduplication key chosen by the caller; without one, a resend is not recognised
    :param deadline_s: seconds that the caller waits for the response
    """

    request_id: ids.RequestId
    service: ids.ServiceId
    org: ids.OrgId
    caller: ids.CallerId
    urgency: model.Urgency = model.Urgency.NORMAL
    idempotent: bool = False
    key: str | None = None
    deadline_s: float = 10.0
    body: bytes = b""


class Response(msgspec.Struct, frozen=True):
    """The complete response to one request.

    :param executor: executor that ran the request, also in a replayed answer
    """

    request_id: ids.RequestId
    body: bytes
    executor: ids.ExecutorId
    code: codes.ResultCode = codes.ResultCode.OK


__all__ = ["Executor", "ExecutorState", "Request", "Response"]
