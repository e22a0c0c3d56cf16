"""One long poll of the store, shared by all subscribers of this process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from bronzequay import errors, ids
from bronzequay.store import client

if TYPE_CHECKING:
    from collections.abc import Iterable

WAIT_S = 10.0
RETRY_S = 0.5


class Watch:
    """Tells subscribers the newest change of each key under their prefixes.

    :param store: the store to watch
    :param prefix: the prefix that covers every subscriber's
    """

    def __init__(self, store: client.Store, *, prefix: str = "") -> None:
        self._store = store
        self._prefix = prefix
        self._rev = ids.Revision(0)
        self._seen: dict[str, ids.Revision] = {}
        self._subscribers: list[tuple[str, trio.MemorySendChannel[client.Change]]] = []

    def subscribe(self, prefix: str) -> trio.MemoryReceiveChannel[client.Change]:
        """Open a channel of the changes under a prefix, from the keys' present values on."""
        send, receive = trio.open_memory_channel[client.Change](math.inf)
        self._subscribers.append((prefix, send))
        return receive

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                answer = await self._store.changes(self._prefix, after=self._rev, wait_s=WAIT_S)
            except errors.BronzequayError:
                await trio.sleep(RETRY_S)
                continue
            self._rev = max(self._rev, answer.rev)
            self._publish(answer.changes)

    def _publish(self, changes: Iterable[client.Change]) -> None:
        for change in changes:
            if change.rev <= self._seen.get(change.key, 0):
                continue
            self._seen[change.key] = change.rev
            for prefix, send in self._subscribers:
                if change.key.startswith(prefix):
                    send.send_nowait(change)


__all__ = ["Watch"]
