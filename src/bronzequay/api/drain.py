"""Lets connections go before the server stops, so that no request in progress is cut."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, MutableMapping

    from bronzequay.api import requests

QUIET_S = 0.5
"""Time without a request after which no connection is in use."""
CLOSE = (b"connection", b"close")


class Traffic:
    """Requests in progress, and when the last one ended."""

    def __init__(self) -> None:
        self.in_progress = 0
        self.last_s = trio.current_time()

    async def wait_quiet(self) -> None:
        """Wait until no request has been in progress for ``QUIET_S``."""
        while True:
            quiet_s = trio.current_time() - self.last_s
            if not self.in_progress and quiet_s >= QUIET_S:
                return
            await trio.sleep(QUIET_S / 5)


def watch(app: requests.App, traffic: Traffic, is_draining: Callable[[], bool]) -> requests.App:
    """Count an application's requests; while draining, each answer closes its connection.

    :param app: the application
    :param traffic: the count
    :param is_draining: whether the instance is leaving
    """

    async def watched(
        scope: requests.Scope, receive: requests.Receive, send: requests.Send
    ) -> None:
        async def closing(message: MutableMapping[str, Any]) -> None:
            if message["type"] == "http.response.start" and is_draining():
                message["headers"] = [*message.get("headers", ()), CLOSE]
            await send(message)

        if scope["type"] != "http":
            await app(scope, receive, send)
            return
        traffic.in_progress += 1
        try:
            await app(scope, receive, closing)
        finally:
            traffic.in_progress -= 1
            traffic.last_s = trio.current_time()

    return watched


__all__ = ["Traffic", "watch"]
