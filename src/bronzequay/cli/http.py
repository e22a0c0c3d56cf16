"""HTTP client of the command line for calls to an entry instance."""

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
    options: registry.CommonOptions,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    params: Mapping[str, str | int] | None = None,
    headers: Mapping[str, str] | None = None,
) -> bytes:
    """Send a request to an entry instance and return the response body.

    :param options: options with the instance's URL
    :param method: HTTP method
    :param path: path with a leading slash
    :param body: request body
    :param params: query parameters
    :param headers: headers to send besides the authorization
    :raises errors.BronzequayError: the error that the instance returned, or INSTANCE_UNREACHABLE
    """
    token = os.environ.get(TOKEN_VARIABLE, "")
    request_headers = {"authorization": f"Bearer {token}", **(headers or {})}
    try:
        response = httpx.request(
            method,
            options.url.rstrip("/") + path,
            content=body,
            params=params,
            headers=request_headers,
            timeout=TIMEOUT_S,
        )
    except (httpx.HTTPError, httpx.InvalidURL) as exc:
        raise errors.BronzequayError(
            codes.ResultCode.INSTANCE_UNREACHABLE, f"no response from {options.url}: {exc}"
        ) from None
    if response.is_error:
        raise _decode_error(response)
    return response.content


def _decode_error(response: httpx.Response) -> errors.BronzequayError:
    try:
        body = msgspec.json.decode(response.content)
        code = codes.ResultCode(body["code"])
        return errors.BronzequayError(
            code,
            body["message"],
            field=body.get("field"),
            retry_after_s=body.get("retry_after_s"),
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return errors.BronzequayError(
            codes.ResultCode.INTERNAL,
            f"the instance returned an unreadable error with HTTP status {response.status_code}",
        )


def encode(value: Any) -> bytes:
    """Encode a value as a JSON body."""
    return msgspec.json.encode(value)


__all__ = ["call", "encode"]
