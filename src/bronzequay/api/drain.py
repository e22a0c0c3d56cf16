"""Closes HTTP connections before the server stops, so that no request in progress is cut off."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, MutableMapping

    from bronzequay.api import requests

IDLE_S = 0.5
"""Time without a request after which no connection is considered in use."""
CLOSE_HEADER = (b"connection", b"close")


class RequestTracker:
    """Counts the requests in progress and records when the last one ended."""

    def __init__(self) -> None:
        self.in_progress = 0
        self.last_ended_s = trio.current_time()

    async def wait_idle(self) -> None:
        """Wait until no request has been in progress for ``IDLE_S``."""
        while True:
            idle_s = trio.current_time() - self.last_ended_s
            if not self.in_progress and idle_s >= IDLE_S:
                return
            await trio.sleep(IDLE_S / 5)


def track_requests(
    app: requests.App, tracker: RequestTracker, is_draining: Callable[[], bool]
) -> requests.App:
    """Wrap an application to count its requests and, while draining, close its connections.

    While the instance drains, each response carries ``connection: close``.

    :param app: the application
    :param tracker: counts the requests
    :param is_draining: returns whether the instance is draining
    """

    async def tracked_app(
        scope: requests.Scope, receive: requests.Receive, send: requests.Send
    ) -> None:
        async def send_response(message: MutableMapping[str, Any]) -> None:
            if message["type"] == "http.response.start" and is_draining():
                message["headers"] = [*message.get("headers", ()), CLOSE_HEADER]
            await send(message)

        if scope["type"] != "http":
            await app(scope, receive, send)
            return
        tracker.in_progress += 1
        try:
            await app(scope, receive, send_response)
        finally:
            tracker.in_progress -= 1
            tracker.last_ended_s = trio.current_time()

    return tracked_app


__all__ = ["RequestTracker", "track_requests"]
