"""HTTP responses: JSON bodies, and errors with numbered result codes."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec
import quart

from bronzequay import codes, errors

if TYPE_CHECKING:
    from collections.abc import Mapping

Code = codes.ResultCode

HTTP_STATUSES: Mapping[codes.ResultCode, HTTPStatus] = {
    Code.OK: HTTPStatus.OK,
    Code.ACCEPTED: HTTPStatus.ACCEPTED,
    Code.MALFORMED_BODY: HTTPStatus.BAD_REQUEST,
    Code.UNKNOWN_FIELD: HTTPStatus.BAD_REQUEST,
    Code.VALUE_OUT_OF_RANGE: HTTPStatus.BAD_REQUEST,
    Code.VALUE_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Code.UNKNOWN_ORG: HTTPStatus.UNPROCESSABLE_ENTITY,
    Code.UNKNOWN_JOB: HTTPStatus.NOT_FOUND,
    Code.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    Code.UNSUPPORTED_VERSION: HTTPStatus.NOT_FOUND,
    Code.KEY_REUSED: HTTPStatus.CONFLICT,
    Code.UNAUTHENTICATED: HTTPStatus.UNAUTHORIZED,
    Code.FORBIDDEN: HTTPStatus.FORBIDDEN,
    Code.NOT_FOUND: HTTPStatus.NOT_FOUND,
    Code.METHOD_NOT_ALLOWED: HTTPStatus.METHOD_NOT_ALLOWED,
    Code.ILLEGAL_TRANSITION: HTTPStatus.CONFLICT,
    Code.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
    Code.OVER_SHARE: HTTPStatus.TOO_MANY_REQUESTS,
    Code.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    Code.INFEASIBLE: HTTPStatus.UNPROCESSABLE_ENTITY,
    Code.RULE_REFUSED: HTTPStatus.TOO_MANY_REQUESTS,
    Code.EXECUTOR_FAILED: HTTPStatus.BAD_GATEWAY,
    Code.OUTCOME_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    Code.BUNDLE_INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    Code.BUNDLE_CONFLICT: HTTPStatus.CONFLICT,
    Code.GUARANTEES_UNMET: HTTPStatus.UNPROCESSABLE_ENTITY,
    Code.SIGN_OFF_REQUIRED: HTTPStatus.CONFLICT,
    Code.BUNDLE_UNKNOWN: HTTPStatus.NOT_FOUND,
    Code.STORE_CONFLICT: HTTPStatus.CONFLICT,
}
DEFAULT_HTTP_STATUS = HTTPStatus.SERVICE_UNAVAILABLE
"""HTTP status of result codes that are not in ``HTTP_STATUSES``."""

RANGE_ERROR_PARTS = (" > ", " < ", ">=", "<=", "length", "matching regex", "out of range")
"""Parts of msgspec's validation messages that show a value out of range."""

NOT_RUN_CODES = frozenset(code for code in Code if code > Code.OK and code // 100 in {2, 3})
"""Result codes which guarantee that nothing ran."""


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """JSON body of an error.

    :param is_not_run: whether it is certain that no part of the request ran
    """

    code: int
    name: str
    message: str
    is_not_run: bool
    field: str | None = None
    retry_after_s: float | None = None


def encode_error(exc: errors.BronzequayError) -> bytes:
    """Return the JSON body of an error."""
    body = ErrorBody(
        code=exc.code.value,
        name=exc.code.name,
        message=exc.message,
        is_not_run=exc.code in NOT_RUN_CODES,
        field=exc.field,
        retry_after_s=exc.retry_after_s,
    )
    return msgspec.json.encode(body)


def http_status(code: codes.ResultCode) -> HTTPStatus:
    """Return the HTTP status of a result code."""
    return HTTP_STATUSES.get(code, DEFAULT_HTTP_STATUS)


def json_response(value: Any, *, status: HTTPStatus = HTTPStatus.OK) -> quart.Response:
    """Return a response with a value encoded as JSON."""
    return quart.Response(
        msgspec.json.encode(value), status=status.value, content_type="application/json"
    )


def error_response(exc: errors.BronzequayError) -> quart.Response:
    """Return a response with an error encoded as JSON."""
    response = quart.Response(
        encode_error(exc), status=http_status(exc.code).value, content_type="application/json"
    )
    if exc.retry_after_s is not None:
        response.headers["retry-after"] = str(max(1, round(exc.retry_after_s)))
    return response


async def read_request_body() -> bytes:
    """Return the raw body of the current request."""
    raw = await quart.request.get_data(as_text=False)
    return raw if isinstance(raw, bytes) else raw.encode()


def decode_json(raw: bytes, body_type: Any) -> Any:
    """Decode and validate a JSON body.

    :param raw: the encoded body
    :param body_type: the type to decode to
    :raises errors.BronzequayError: MALFORMED_BODY, UNKNOWN_FIELD or VALUE_OUT_OF_RANGE
    """
    try:
        return msgspec.json.decode(raw, type=body_type, strict=True)
    except msgspec.ValidationError as exc:
        raise errors.BronzequayError(_validation_code(str(exc)), str(exc)) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.BronzequayError(
            Code.MALFORMED_BODY, f"the body is not valid JSON: {exc}"
        ) from None


def _validation_code(message: str) -> codes.ResultCode:
    if "unknown field" in message:
        return Code.UNKNOWN_FIELD
    if any(part in message for part in RANGE_ERROR_PARTS):
        return Code.VALUE_OUT_OF_RANGE
    return Code.MALFORMED_BODY


__all__ = [
    "HTTP_STATUSES",
    "NOT_RUN_CODES",
    "ErrorBody",
    "decode_json",
    "encode_error",
    "error_response",
    "http_status",
    "json_response",
    "read_request_body",
]
