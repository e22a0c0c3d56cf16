"""Mesh addresses of the other entry instances, from their own health answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import msgspec
import trio

from bronzequay.api import admin

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay.store import entries

TIMEOUT_S = 2.0
ASK_AGAIN_S = 10.0


class Neighbours:
    """Asks each listed entry instance for its mesh address, again every ``ASK_AGAIN_S``.

    :param http: client for the health answers
    """

    def __init__(self, *, http: httpx.AsyncClient) -> None:
        self._http = http
        self._known: dict[str, str] = {}
        self._asked_s: dict[str, float] = {}

    def address_of(self, item: entries.InstanceEntry) -> str | None:
        """Return an instance's mesh address, None when it has not told it."""
        return self._known.get(item.address)

    async def learn(self, listed: Iterable[entries.InstanceEntry]) -> None:
        """Ask the instances whose answer is missing or old."""
        now_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for item in listed:
                if now_s - self._asked_s.get(item.address, -ASK_AGAIN_S) >= ASK_AGAIN_S:
                    self._asked_s[item.address] = now_s
                    nursery.start_soon(self._ask, item.address)

    async def _ask(self, address: str) -> None:
        try:
            answer = await self._http.get(f"{address}/healthz", timeout=TIMEOUT_S)
            health = msgspec.json.decode(answer.content, type=admin.Health)
        except (httpx.HTTPError, msgspec.MsgspecError):
            self._asked_s.pop(address, None)
            return
        self._known[address] = health.mesh


__all__ = ["Neighbours"]
