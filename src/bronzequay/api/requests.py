"""Short requests to executors, served in plain ASGI because they are the hot path.

The body of ``POST /v1/services/SERVICE/requests`` is passed to the executor unread, and the
executor's answer is returned unread. Headers carry the request's attributes.
"""

from __future__ import annotations

import secrets
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import trio

from bronzequay import codes, errors, ids
from bronzequay.api import answers, auth
from bronzequay.policy import model
from bronzequay.route import model as route_model

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping, MutableMapping

    from bronzequay.api import services

    Scope = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
    Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
    App = Callable[[Scope, Receive, Send], Awaitable[None]]

PREFIX = "/v1/services/"
SUFFIX = "/requests"
MAX_BODY_BYTES = 16_000_000
DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_S = 3600.0
MAX_HEADER_CHARS = 128
BOOLEANS = {"true": True, "false": False}


def make_app(deps: services.Services, fallback: App) -> App:
    """Return an ASGI application that serves short requests and delegates all other paths.

    :param deps: the parts of the instance that the route uses
    :param fallback: the application that serves every other path
    """

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http" or not _is_request_path(scope["path"]):
            await fallback(scope, receive, send)
            return
        started_s = trio.current_time()
        code = codes.ResultCode.OK
        try:
            body, request_id = await _serve(deps, scope, receive)
            status, content_type = HTTPStatus.OK, b"application/octet-stream"
            extra_headers = [(b"x-request-id", request_id.encode())]
        except errors.BronzequayError as exc:
            code = exc.code
            body, status = answers.encode_error(exc), answers.http_status(exc.code)
            content_type, extra_headers = b"application/json", []
        deps.metrics.count(f"requests.{code.name}")
        deps.metrics.timing("requests.answer", trio.current_time() - started_s)
        headers = [
            (b"content-type", content_type),
            (b"content-length", str(len(body)).encode()),
            *extra_headers,
        ]
        await send({"type": "http.response.start", "status": status.value, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    return app


def _is_request_path(path: str) -> bool:
    return path.startswith(PREFIX) and path.endswith(SUFFIX)


async def _serve(
    deps: services.Services, scope: Scope, receive: Receive
) -> tuple[bytes, ids.RequestId]:
    body = await _read_body(receive)
    if scope["method"] != "POST":
        raise errors.BronzequayError(codes.ResultCode.METHOD_NOT_ALLOWED, "only POST is allowed")
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
    service = ids.ServiceId(scope["path"][len(PREFIX) : -len(SUFFIX)])
    identity = deps.registry.identify(headers.get("authorization"))
    req = _parse_request(headers, service, body, identity)
    auth.require(identity, auth.Right.SUBMIT, org=req.org)
    _require_known_org(deps, req.org)
    service_router = deps.routers.get(service)
    if service_router is None:
        raise errors.BronzequayError(
            codes.ResultCode.UNKNOWN_SERVICE, f"unknown service {service!r}"
        )
    response = await service_router.send(req)
    return response.body, response.request_id


def _require_known_org(deps: services.Services, org: ids.OrgId) -> None:
    rules = deps.holder.rules()
    if rules is None or org not in rules.orgs:
        raise errors.BronzequayError(codes.ResultCode.UNKNOWN_ORG, f"unknown organisation {org!r}")


async def _read_body(receive: Receive) -> bytes:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            raise errors.BronzequayError(
                codes.ResultCode.MALFORMED_BODY,
                "the caller disconnected before the whole body was received",
            )
        size += len(message.get("body", b""))
        if size <= MAX_BODY_BYTES:
            chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            break
    if size > MAX_BODY_BYTES:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_TOO_LARGE, f"the body is larger than {MAX_BODY_BYTES} bytes"
        )
    return b"".join(chunks)


def _parse_request(
    headers: Mapping[str, str], service: ids.ServiceId, body: bytes, identity: auth.Identity
) -> route_model.Request:
    org = headers.get("x-organisation") or identity.org
    if org is None:
        raise _invalid_header("x-organisation", "is required")
    return route_model.Request(
        request_id=ids.RequestId(_parse_text(headers, "x-request-id") or secrets.token_hex(8)),
        service=service,
        org=ids.OrgId(org),
        caller=ids.CallerId(_parse_text(headers, "x-caller") or identity.name),
        urgency=_parse_urgency(headers.get("x-urgency", model.Urgency.NORMAL.value)),
        idempotent=_parse_bool(headers, "x-idempotent"),
        key=_parse_text(headers, "x-key"),
        deadline_s=_parse_deadline_s(headers.get("x-deadline-s")),
        body=body,
    )


def _parse_text(headers: Mapping[str, str], name: str) -> str | None:
    value = headers.get(name)
    if value is not None and not 0 < len(value) <= MAX_HEADER_CHARS:
        raise _invalid_header(name, f"must have 1 to {MAX_HEADER_CHARS} characters")
    return value


def _parse_urgency(value: str) -> model.Urgency:
    try:
        return model.Urgency(value)
    except ValueError:
        raise _invalid_header("x-urgency", "must be one of low, normal, urgent") from None


def _parse_bool(headers: Mapping[str, str], name: str) -> bool:
    value = headers.get(name, "false")
    if value not in BOOLEANS:
        raise _invalid_header(name, "must be true or false")
    return BOOLEANS[value]


def _parse_deadline_s(value: str | None) -> float:
    if value is None:
        return DEFAULT_DEADLINE_S
    try:
        seconds = float(value)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= MAX_DEADLINE_S:
        raise _invalid_header(
            "x-deadline-s", f"must be more than 0 and at most {MAX_DEADLINE_S:g} seconds"
        )
    return seconds


def _invalid_header(field: str, message: str) -> errors.BronzequayError:
    return errors.BronzequayError(
        codes.ResultCode.VALUE_OUT_OF_RANGE, f"{field} {message}", field=field
    )


__all__ = ["make_app"]
