"""In-memory network: calls of the real clients reach the handlers of the fakes."""

from __future__ import annotations

import contextvars
from typing import TYPE_CHECKING

import trio

from bronzequay.net import client, server

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    import pytest

    Handler = Callable[[server.Request], Awaitable[server.Response]]

DELAY_S = 0.002
PACKET_BYTES = 16_384
SOURCE = contextvars.ContextVar("SOURCE", default="")
"""Name of the instance that a trio task belongs to."""


class Network:
    """Routes calls by address; single links, pairs of instance and address, can fail.

    :ivar hosts: handler of each address
    :ivar cut: links on which calls hang until their timeout
    :ivar refused: links on which connections are refused
    :ivar bytes_per_s: bandwidth of links on which answers take time to arrive
    """

    def __init__(self) -> None:
        self.hosts: dict[str, Handler] = {}
        self.cut: set[tuple[str, str]] = set()
        self.refused: set[tuple[str, str]] = set()
        self.bytes_per_s: dict[tuple[str, str], float] = {}

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Route the calls of every client through this network."""
        network = self

        async def request(
            this: client.Client,
            method: str,
            path: str,
            *,
            body: bytes = b"",
            headers: Mapping[str, str] | None = None,
            timeout_s: float,
            transfer: client.Transfer | None = None,
        ) -> client.Response:
            return await network.call(
                this.address, method, path, body, headers, timeout_s, transfer
            )

        monkeypatch.setattr(client.Client, "request", request)

    async def call(  # noqa: PLR0917
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None,
        timeout_s: float,
        transfer: client.Transfer | None = None,
    ) -> client.Response:
        """Deliver one call and return its answer."""
        link = (SOURCE.get(), address)
        await trio.sleep(DELAY_S)
        if address not in self.hosts or link in self.refused:
            raise client.NotSentError("refused", is_refused=True)
        target, _, query = path.partition("?")
        lower = {name.lower(): value for name, value in (headers or {}).items()}
        req = server.Request(method, target, lower, body, query)
        with trio.move_on_after(timeout_s) as scope:
            if transfer is not None:
                transfer.limit(scope)
            if link in self.cut:
                await trio.sleep_forever()
            answer = await self.hosts[address](req)
            if link in self.cut:
                await trio.sleep_forever()
            await trio.sleep(DELAY_S)
            progress = transfer or client.Transfer()
            progress.expect(len(answer.body))
            await self._transmit(link, len(answer.body), progress)
            return client.Response(answer.status, dict(answer.headers), answer.body)
        raise client.NoResponseError("no answer")

    async def _transmit(self, link: tuple[str, str], size: int, transfer: client.Transfer) -> None:
        bytes_per_s = self.bytes_per_s.get(link, float("inf"))
        for start in range(0, size, PACKET_BYTES):
            packet_bytes = min(PACKET_BYTES, size - start)
            await trio.sleep(packet_bytes / bytes_per_s)
            transfer.record(packet_bytes)
