"""Lookup of the other entry instances' mesh addresses through their health endpoints."""

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
REFRESH_INTERVAL_S = 10.0


class MeshAddresses:
    """Mesh addresses of the listed entry instances, queried every ``REFRESH_INTERVAL_S``.

    :param http: client for the health endpoints
    """

    def __init__(self, *, http: httpx.AsyncClient) -> None:
        self._http = http
        self._addresses: dict[str, str] = {}
        self._queried_s: dict[str, float] = {}

    def address_of(self, item: entries.InstanceEntry) -> str | None:
        """Return an instance's mesh address, None when it is not known."""
        return self._addresses.get(item.address)

    async def refresh(self, listed: Iterable[entries.InstanceEntry]) -> None:
        """Query the instances whose address is missing or older than the interval."""
        now_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for item in listed:
                if (
                    now_s - self._queried_s.get(item.address, -REFRESH_INTERVAL_S)
                    >= REFRESH_INTERVAL_S
                ):
                    self._queried_s[item.address] = now_s
                    nursery.start_soon(self._query, item.address)

    async def _query(self, address: str) -> None:
        try:
            response = await self._http.get(f"{address}/healthz", timeout=TIMEOUT_S)
            health = msgspec.json.decode(response.content, type=admin.Health)
        except (httpx.HTTPError, msgspec.MsgspecError):
            self._queried_s.pop(address, None)
            return
        self._addresses[address] = health.mesh


__all__ = ["MeshAddresses"]
