"""The hot path: short requests to executors, handled before the web framework.

``POST /v1/services/SERVICE/requests`` carries the caller's bytes; the answer carries the
executor's. Everything about the request stands in headers.
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
TRUTH = {"true": True, "false": False}


def make_app(deps: services.Services, fallback: App) -> App:
    """Return an ASGI application that serves requests and hands on all else.

    :param deps: what the route works on
    :param fallback: serves every other path
    """

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http" or not _is_request_path(scope["path"]):
            await fallback(scope, receive, send)
            return
        began_s = trio.current_time()
        code = codes.ResultCode.OK
        try:
            body, request_id = await _serve(deps, scope, receive)
            status, kind = HTTPStatus.OK, b"application/octet-stream"
            extra = [(b"x-request-id", request_id.encode())]
        except errors.BronzequayError as exc:
            code = exc.code
            body, status = answers.error_body(exc), answers.status_of(exc.code)
            kind, extra = b"application/json", []
        deps.metrics.count(f"requests.{code.name}")
        deps.metrics.timing("requests.answer", trio.current_time() - began_s)
        headers = [
            (b"content-type", kind),
            (b"content-length", str(len(body)).encode()),
            *extra,
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
        raise errors.BronzequayError(codes.ResultCode.METHOD_NOT_ALLOWED, "only POST")
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
    service = ids.ServiceId(scope["path"][len(PREFIX) : -len(SUFFIX)])
    identity = deps.registry.identify(headers.get("authorization"))
    req = _parse(headers, service, body, identity)
    auth.require(identity, auth.Right.SUBMIT, org=req.org)
    _require_known_org(deps, req.org)
    found = deps.routers.get(service)
    if found is None:
        raise errors.BronzequayError(codes.ResultCode.UNKNOWN_SERVICE, f"no service {service!r}")
    answer = await found.send(req)
    return answer.body, answer.request_id


def _require_known_org(deps: services.Services, org: ids.OrgId) -> None:
    rules = deps.holder.rules()
    if rules is None or org not in rules.orgs:
        raise errors.BronzequayError(codes.ResultCode.UNKNOWN_ORG, f"no organisation {org!r}")


async def _read_body(receive: Receive) -> bytes:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            raise errors.BronzequayError(codes.ResultCode.MALFORMED_BODY, "the caller left")
        size += len(message.get("body", b""))
        if size <= MAX_BODY_BYTES:
            chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            break
    if size > MAX_BODY_BYTES:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_TOO_LARGE, f"a body is at most {MAX_BODY_BYTES} bytes"
        )
    return b"".join(chunks)


def _parse(
    headers: Mapping[str, str], service: ids.ServiceId, body: bytes, identity: auth.Identity
) -> route_model.Request:
    org = headers.get("x-organisation") or identity.org
    if org is None:
        raise _bad("x-organisation", "is required")
    return route_model.Request(
        request_id=ids.RequestId(_text(headers, "x-request-id") or secrets.token_hex(8)),
        service=service,
        org=ids.OrgId(org),
        caller=ids.CallerId(_text(headers, "x-caller") or identity.name),
        urgency=_urgency(headers.get("x-urgency", model.Urgency.NORMAL.value)),
        idempotent=_truth(headers, "x-idempotent"),
        key=_text(headers, "x-key"),
        deadline_s=_deadline(headers.get("x-deadline-s")),
        body=body,
    )


def _text(headers: Mapping[str, str], name: str) -> str | None:
    value = headers.get(name)
    if value is not None and not 0 < len(value) <= MAX_HEADER_CHARS:
        raise _bad(name, f"has 1 to {MAX_HEADER_CHARS} characters")
    return value


def _urgency(value: str) -> model.Urgency:
    try:
        return model.Urgency(value)
    except ValueError:
        raise _bad("x-urgency", "is one of low, normal, urgent") from None


def _truth(headers: Mapping[str, str], name: str) -> bool:
    value = headers.get(name, "false")
    if value not in TRUTH:
        raise _bad(name, "is true or false")
    return TRUTH[value]


def _deadline(value: str | None) -> float:
    if value is None:
        return DEFAULT_DEADLINE_S
    try:
        seconds = float(value)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= MAX_DEADLINE_S:
        raise _bad("x-deadline-s", f"is more than 0 and at most {MAX_DEADLINE_S:g} seconds")
    return seconds


def _bad(field: str, message: str) -> errors.BronzequayError:
    return errors.BronzequayError(
        codes.ResultCode.VALUE_OUT_OF_RANGE, f"{field} {message}", field=field
    )


__all__ = ["make_app"]
