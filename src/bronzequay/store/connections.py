"""HTTP connections to the platform that are replaced when they stop answering."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import httpx
import trio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_IDLE_CONNECTIONS = 32
CONNECT_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0


class _Pool:
    """A connection pool and the number of its requests in progress."""

    def __init__(self) -> None:
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS,
            keepalive_expiry=None,
        )
        self.transport = httpx.AsyncHTTPTransport(limits=limits)
        self.in_progress = 0
        self.is_retired = False

    async def finish_request(self) -> None:
        """Count a request as finished; close a retired pool after its last request."""
        self.in_progress -= 1
        if self.is_retired and not self.in_progress:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + CLOSE_TIMEOUT_S):
                await self.transport.aclose()


class _ResponseStream(httpx.AsyncByteStream):
    """Body of a response; cancelling its reader retires the connection pool."""

    def __init__(
        self, stream: httpx.AsyncByteStream, transport: ReconnectingTransport, pool: _Pool
    ) -> None:
        self._stream = stream
        self._transport = transport
        self._pool = pool
        self._is_closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            async for chunk in self._stream:
                yield chunk
        except trio.Cancelled:
            self._transport.retire(self._pool)
            raise

    async def aclose(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        try:
            await self._stream.aclose()
        finally:
            await self._pool.finish_request()


class ReconnectingTransport(httpx.AsyncBaseTransport):
    """HTTP transport that opens new connections after a request was cancelled.

    What silences one open connection usually silences all of them, while new ones work.
    The first cancelled request, for instance after its timeout, therefore retires every
    open connection; responses in progress are finished on the old ones.
    """

    def __init__(self) -> None:
        self._pool = _Pool()
        self.reconnects = 0

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send one request; retire the connections if it is cancelled."""
        pool = self._pool
        pool.in_progress += 1
        try:
            resp = await pool.transport.handle_async_request(request)
        except BaseException as exc:
            if isinstance(exc, trio.Cancelled):
                self.retire(pool)
            await pool.finish_request()
            raise
        stream = cast("httpx.AsyncByteStream", resp.stream)
        resp.stream = _ResponseStream(stream, self, pool)
        return resp

    def retire(self, pool: _Pool) -> None:
        """Replace a pool by a new one, unless it has already been replaced."""
        if pool is self._pool:
            pool.is_retired = True
            self._pool = _Pool()
            self.reconnects += 1

    async def aclose(self) -> None:
        """Close all connections of the current pool."""
        await self._pool.transport.aclose()


def open_client() -> httpx.AsyncClient:
    """Create an HTTP client for the platform's service; the caller closes it."""
    return httpx.AsyncClient(transport=ReconnectingTransport(), timeout=CONNECT_TIMEOUT_S)


__all__ = ["ReconnectingTransport", "open_client"]
