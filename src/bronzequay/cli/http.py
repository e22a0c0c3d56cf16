"""Calls of the command line to an entry instance."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import httpx
import msgspec

from bronzequay import codes, errors

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bronzequay.cli import registry

TIMEOUT_S = 30.0
TOKEN_VARIABLE = "BRONZEQUAY_TOKEN"  # noqa: S105 - the name of the variable


def call(
    common: registry.Common,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    params: Mapping[str, str | int] | None = None,
    headers: Mapping[str, str] | None = None,
) -> bytes:
    """Call an entry instance and return the answer's body.

    :param common: the address
    :param method: HTTP method
    :param path: path with a leading slash
    :raises errors.BronzequayError: the instance's own error, or INSTANCE_UNREACHABLE
    """
    token = os.environ.get(TOKEN_VARIABLE, "")
    sent = {"authorization": f"Bearer {token}", **(headers or {})}
    try:
        answer = httpx.request(
            method,
            common.url.rstrip("/") + path,
            content=body,
            params=params,
            headers=sent,
            timeout=TIMEOUT_S,
        )
    except (httpx.HTTPError, httpx.InvalidURL) as exc:
        raise errors.BronzequayError(
            codes.ResultCode.INSTANCE_UNREACHABLE, f"no answer from {common.url}: {exc}"
        ) from None
    if answer.is_error:
        raise _error(answer)
    return answer.content


def _error(answer: httpx.Response) -> errors.BronzequayError:
    try:
        body = msgspec.json.decode(answer.content)
        code = codes.ResultCode(body["code"])
        return errors.BronzequayError(
            code,
            body["message"],
            field=body.get("field"),
            retry_after_s=body.get("retry_after_s"),
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return errors.BronzequayError(
            codes.ResultCode.INTERNAL, f"the instance answered {answer.status_code}"
        )


def encode(value: Any) -> bytes:
    """Return a value as a JSON body."""
    return msgspec.json.encode(value)


__all__ = ["call", "encode"]
