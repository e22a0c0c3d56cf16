"""The platform's list of instances, read once for all parts of a process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from bronzequay.store import client, entries

LINE_BYTES = 130
"""Size of a line of the list, about."""
MAX_BYTES_PER_S = 1024.0
"""Share of a node's 2 KB a second that the list may take."""
MIN_INTERVAL_S = 1.0
MAX_INTERVAL_S = 60.0
BRISK_S = 15.0
"""Time after the start in which the list is read every ``MIN_INTERVAL_S``."""


class Listing:
    """Keeps the last answer for as long as its size allows.

    :param store: client of the platform's service
    """

    def __init__(self, store: client.Store) -> None:
        self._store = store
        self._entries: tuple[entries.InstanceEntry, ...] = ()
        self._read_s = -math.inf
        self._began_s: float | None = None
        self._reading = trio.Lock()

    async def instances(self) -> tuple[entries.InstanceEntry, ...]:
        """Return the list, at most ``interval_s`` old.

        :raises errors.BronzequayError: when it is older and the service does not answer
        """
        async with self._reading:
            now_s = trio.current_time()
            if now_s - self._read_s >= self.interval_s():
                self._entries = await self._store.instances()
                self._read_s = now_s
            return self._entries

    def interval_s(self) -> float:
        """Return the time between reads, in seconds; it grows with the list."""
        now_s = trio.current_time()
        self._began_s = now_s if self._began_s is None else self._began_s
        if now_s - self._began_s < BRISK_S:
            return MIN_INTERVAL_S
        by_size_s = len(self._entries) * LINE_BYTES / MAX_BYTES_PER_S
        return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, by_size_s))


__all__ = ["Listing"]
