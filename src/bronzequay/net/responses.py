"""Encoding of HTTP/1.1 responses."""

from __future__ import annotations

import functools

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    410: "Gone",
    413: "Content Too Large",
    414: "URI Too Long",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


def encode(
    status: int, body: bytes, headers: tuple[tuple[str, str], ...], *, keep_alive: bool
) -> bytes:
    """Return a complete response.

    :param headers: in addition to those for the connection and the body
    """
    lines = [_status_line(status), f"Content-Length: {len(body)}"]
    if body and not any(name == "Content-Type" for name, _ in headers):
        lines.append("Content-Type: application/json")
    lines.extend(f"{name}: {value}" for name, value in headers)
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


@functools.cache
def _status_line(status: int) -> str:
    return f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}"


__all__ = ["encode"]
