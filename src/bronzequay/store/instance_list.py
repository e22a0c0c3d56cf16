"""Cache of the platform's list of instances, shared by all parts of a process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from bronzequay.store import client, entries

ENTRY_BYTES = 130
"""Approximate size of an entry of the list."""
MAX_BYTES_PER_S = 1024.0
"""Maximum traffic for reads of the list, out of a node's 2 KB per second."""
MIN_INTERVAL_S = 1.0
MAX_INTERVAL_S = 60.0
STARTUP_PERIOD_S = 15.0
"""Period after the start in which the list is read every ``MIN_INTERVAL_S``."""


class CachedInstanceList:
    """Caches the list of instances; a longer list is read less often.

    :param store: client of the platform's service
    """

    def __init__(self, store: client.Store) -> None:
        self._store = store
        self._entries: tuple[entries.InstanceEntry, ...] = ()
        self._read_s = -math.inf
        self._started_s: float | None = None
        self._read_lock = trio.Lock()

    async def instances(self) -> tuple[entries.InstanceEntry, ...]:
        """Return the list, read at most ``interval_s`` seconds ago.

        :raises errors.BronzequayError: if the list is older and the service does not answer
        """
        async with self._read_lock:
            now_s = trio.current_time()
            if now_s - self._read_s >= self.interval_s():
                self._entries = await self._store.instances()
                self._read_s = now_s
            return self._entries

    def interval_s(self) -> float:
        """Return the seconds between reads, which grow with the size of the list."""
        now_s = trio.current_time()
        self._started_s = now_s if self._started_s is None else self._started_s
        if now_s - self._started_s < STARTUP_PERIOD_S:
            return MIN_INTERVAL_S
        size_interval_s = len(self._entries) * ENTRY_BYTES / MAX_BYTES_PER_S
        return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, size_interval_s))


__all__ = ["CachedInstanceList"]
