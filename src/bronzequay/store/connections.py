"""Connections to the platform that are replaced when they go silent."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import httpx
import trio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_CONNECTIONS = 32
CONNECT_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0


class _Pool:
    """A pool of connections and the number of its answers in progress."""

    def __init__(self) -> None:
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=None,
        )
        self.transport = httpx.AsyncHTTPTransport(limits=limits)
        self.in_progress = 0
        self.is_retired = False

    async def release(self) -> None:
        """End one answer; the last one of a retired pool closes it."""
        self.in_progress -= 1
        if self.is_retired and not self.in_progress:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + CLOSE_TIMEOUT_S):
                await self.transport.aclose()


class _Stream(httpx.AsyncByteStream):
    """An answer's body; abandoning it before its end retires the connections."""

    def __init__(
        self, stream: httpx.AsyncByteStream, owner: RenewingTransport, pool: _Pool
    ) -> None:
        self._stream = stream
        self._owner = owner
        self._pool = pool
        self._is_closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            async for chunk in self._stream:
                yield chunk
        except trio.Cancelled:
            self._owner.retire(self._pool)
            raise

    async def aclose(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        try:
            await self._stream.aclose()
        finally:
            await self._pool.release()


class RenewingTransport(httpx.AsyncBaseTransport):
    """HTTP transport that opens new connections after a call was given up.

    What makes one open connection go silent mostly makes all of them silent, while new
    ones work. So the first call that its caller gives up retires every open connection;
    answers in progress are finished on the old ones.
    """

    def __init__(self) -> None:
        self._pool = _Pool()
        self.renewals = 0

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send one request."""
        pool = self._pool
        pool.in_progress += 1
        try:
            resp = await pool.transport.handle_async_request(request)
        except BaseException as exc:
            if isinstance(exc, trio.Cancelled):
                self.retire(pool)
            await pool.release()
            raise
        stream = cast("httpx.AsyncByteStream", resp.stream)
        resp.stream = _Stream(stream, self, pool)
        return resp

    def retire(self, pool: _Pool) -> None:
        """Use new connections from now on, unless that is so already."""
        if pool is self._pool:
            pool.is_retired = True
            self._pool = _Pool()
            self.renewals += 1

    async def aclose(self) -> None:
        """Close all connections of the present pool."""
        await self._pool.transport.aclose()


def open_client() -> httpx.AsyncClient:
    """Open an HTTP client for the platform's service; the caller closes it."""
    return httpx.AsyncClient(transport=RenewingTransport(), timeout=CONNECT_TIMEOUT_S)


__all__ = ["RenewingTransport", "open_client"]
