"""Watch of the store by one long poll, shared by all subscribers of this process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

import trio

from bronzequay import errors, ids
from bronzequay.store import client

if TYPE_CHECKING:
    from collections.abc import Iterable

LONG_POLL_S = 4.0
SNAPSHOT_INTERVAL_S = 5.0
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 5.0


class WatchedStore(Protocol):
    """Methods of the store that a watch needs."""

    async def poll_changes(
        self, prefix: str, *, after: ids.Revision, wait_s: float
    ) -> client.Changes:
        """Wait for changes."""

    async def snapshot(self, prefix: str, *, purpose: client.Purpose) -> client.Changes:
        """Read all keys under a prefix."""


class Watch:
    """Sends subscribers the latest change of each key under their prefixes.

    Each long poll has a deadline. If none has been answered for ``SNAPSHOT_INTERVAL_S``
    seconds, all keys are read instead, so that changes also arrive while watches fail.

    :param store: the store to watch
    :param prefix: common prefix of all subscribers' prefixes
    """

    def __init__(self, store: WatchedStore, *, prefix: str = "") -> None:
        self._store = store
        self._prefix = prefix
        self._rev = ids.Revision(0)
        self._latest: dict[str, client.Change] = {}
        self._subscribers: list[tuple[str, trio.MemorySendChannel[client.Change]]] = []
        self._answered_s = -math.inf

    def subscribe(self, prefix: str) -> trio.MemoryReceiveChannel[client.Change]:
        """Open a channel that delivers current values under a prefix, then their changes."""
        send, receive = trio.open_memory_channel[client.Change](math.inf)
        self._subscribers.append((prefix, send))
        for change in self._latest.values():
            if change.value is not None and change.key.startswith(prefix):
                send.send_nowait(change)
        return receive

    async def run(self) -> None:
        """Watch until cancelled."""
        self._answered_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_watch)
            nursery.start_soon(self._run_snapshots)

    async def _run_watch(self) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                answer = await self._store.poll_changes(
                    self._prefix, after=self._rev, wait_s=LONG_POLL_S
                )
            except errors.BronzequayError:
                await trio.sleep(pause_s)
                pause_s = min(MAX_PAUSE_S, 2 * pause_s)
                continue
            pause_s = FIRST_PAUSE_S
            self._handle_answer(answer)
            self._rev = max(self._rev, answer.rev)

    async def _run_snapshots(self) -> None:
        while True:
            due_s = self._answered_s + SNAPSHOT_INTERVAL_S
            if trio.current_time() < due_s:
                await trio.sleep_until(due_s)
                continue
            await self._read_snapshot()

    async def _read_snapshot(self) -> None:
        started_s = trio.current_time()
        try:
            answer = await self._store.snapshot(self._prefix, purpose=client.Purpose.WATCH)
        except errors.BronzequayError:
            await trio.sleep_until(started_s + SNAPSHOT_INTERVAL_S)
            return
        self._handle_answer(answer)
        self._publish(self._deletions(answer))

    def _handle_answer(self, answer: client.Changes) -> None:
        self._answered_s = trio.current_time()
        self._publish(answer.changes)

    def _deletions(self, answer: client.Changes) -> list[client.Change]:
        """Return deletions of the known keys that are missing in a snapshot."""
        present = {change.key for change in answer.changes}
        return [
            client.Change(key=key, value=None, rev=answer.rev)
            for key, known in self._latest.items()
            if key not in present and known.value is not None and known.rev < answer.rev
        ]

    def _publish(self, changes: Iterable[client.Change]) -> None:
        for change in changes:
            known = self._latest.get(change.key)
            if known is None or change.rev > known.rev:
                self._latest[change.key] = change
                self._send(change)

    def _send(self, change: client.Change) -> None:
        for subscriber in list(self._subscribers):
            prefix, send = subscriber
            if not change.key.startswith(prefix):
                continue
            try:
                send.send_nowait(change)
            except trio.BrokenResourceError:
                self._subscribers.remove(subscriber)


__all__ = ["LONG_POLL_S", "SNAPSHOT_INTERVAL_S", "Watch", "WatchedStore"]
