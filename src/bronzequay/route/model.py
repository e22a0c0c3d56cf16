"""Types of the router: requests, answers and executors."""

from __future__ import annotations

import enum

import msgspec

from bronzequay import codes, ids
from bronzequay.policy import model


class ExecutorState(enum.Enum):
    """Whether an executor takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Executor(msgspec.Struct, frozen=True):
    """An executor as the lagging list gives it.

    :param address: base URL
    """

    executor: ids.ExecutorId
    address: str
    data_centre: ids.DataCentreId
    state: ExecutorState = ExecutorState.LIVE


class Request(msgspec.Struct, frozen=True):
    """A short request of a caller.

    :param idempotent: whether it may run more than once
    :param key: the caller's deduplication key
    :param deadline_s: seconds that the caller waits
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
    """The whole answer to one request.

    :param executor: where it ran; empty when a recorded answer is repeated
    """

    request_id: ids.RequestId
    body: bytes
    executor: ids.ExecutorId
    code: codes.ResultCode = codes.ResultCode.OK


__all__ = ["Executor", "ExecutorState", "Request", "Response"]
