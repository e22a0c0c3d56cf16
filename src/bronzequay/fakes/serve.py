"""Serves an ASGI app on a TCP port, or in process for tests under a mock clock."""

from __future__ import annotations

import itertools
import logging
import urllib.parse
from typing import TYPE_CHECKING, Any

import httpx
import hypercorn.config
import hypercorn.trio
import trio

if TYPE_CHECKING:
    import quart

GRACEFUL_TIMEOUT_S = 0.5
KEEP_ALIVE_TIMEOUT_S = 300.0
KEEP_ALIVE_MAX_REQUESTS = 1_000_000_000
BACKLOG = 1024


def _make_config(host: str, port: int) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.bind = [f"{host}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.backlog = BACKLOG
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.keep_alive_max_requests = KEEP_ALIVE_MAX_REQUESTS
    return config


async def serve(
    app: quart.Quart,
    *,
    host: str,
    port: int,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an app until cancelled.

    :param host: IP address to bind
    :param port: TCP port; 0 lets the kernel choose one
    :param task_status: receives the bound port once connections are accepted
    """
    logging.getLogger("hypercorn.error").setLevel(logging.ERROR)
    async with trio.open_nursery() as nursery:
        binds: list[str] = await nursery.start(hypercorn.trio.serve, app, _make_config(host, port))
        bound = urllib.parse.urlsplit(binds[0]).port
        task_status.started(bound or port)


class LocalTransport(httpx.AsyncBaseTransport):
    """HTTP transport that calls an app in the same task, without sockets.

    Each request is a connection of its own; a connection that the app cuts raises
    ``httpx.ReadError`` as on a socket.

    :param app: the ASGI app
    """

    def __init__(self, app: Any) -> None:
        self._app = app
        self._ports = itertools.count(1)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request to the app."""
        client = ("127.0.0.1", next(self._ports))
        transport = httpx.ASGITransport(app=self._app, client=client)
        try:
            return await transport.handle_async_request(request)
        except ConnectionError as exc:
            raise httpx.ReadError(str(exc), request=request) from exc


__all__ = ["LocalTransport", "serve"]
