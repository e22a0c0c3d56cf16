"""Stand-in for the platform's key-value store, with fault switches."""

from __future__ import annotations

import base64
import collections
import random
import urllib.parse
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from bronzequay.net import server

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PAGE_ITEMS = 500
MAX_TXN = 32
MIN_TTL_MS = 1000
SEED = 1


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches of the store.

    :param busy: whether every call is answered with 503
    :param silent: whether calls are neither carried out nor answered
    :param delay_s: duration of each call, in seconds
    :param lose: share of writes that are carried out and not answered
    :param late_s: delay after which a write without an answer is carried out, in seconds
    :param deaf: whether watches report no events
    """

    busy: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose: float = 0.0
    late_s: float = 0.0
    deaf: bool = False


class Kv:
    """Items, leases and history; ``handle`` implements the published protocol.

    :param spawn: starts a background task, for delayed writes
    :param seed: seed of the draws of lost answers
    """

    def __init__(self, spawn: Callable[..., None] | None = None, *, seed: int = SEED) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.rev = 1
        self.faults = Faults()
        self.refused: set[str] = set()
        self.calls: collections.Counter[str] = collections.Counter()
        self._spawn = spawn
        self._rng = random.Random(seed)  # noqa: S311  # faults need a seed, not secrecy
        self._history: list[dict[str, Any]] = []
        self._oldest_watchable = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 100
        self._changed = trio.Event()

    # Direct access for tests and other stand-ins.

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item and return its revision."""
        self.rev += 1
        self._put(key, base64.b64encode(value).decode(), lease)
        self._wake_watches()
        return self.rev

    def delete(self, key: str) -> None:
        """Remove an item."""
        if key in self.items:
            self.rev += 1
            self._delete(key)
            self._wake_watches()

    def get(self, key: str) -> bytes | None:
        """Return an item's value, or None if it does not exist."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix, sorted."""
        return sorted(key for key in self.items if key.startswith(prefix))

    def compact(self) -> None:
        """Drop the history; watches that still need it end with 410."""
        self._history.clear()
        self._oldest_watchable = self.rev + 1
        self._wake_watches()

    async def run(self) -> None:
        """Expire leases every 50 ms until cancelled."""
        while True:
            await trio.sleep(0.05)
            self.expire()

    def expire(self) -> None:
        """End the leases that have expired and remove their keys."""
        now_s = trio.current_time()
        expired = [lease for lease, (end_s, _) in self._leases.items() if end_s <= now_s]
        for lease in expired:
            self._end_lease(lease)

    async def handle(self, req: server.Request) -> server.Response:
        """Answer a call."""
        self.calls[f"{req.method} {req.path}"] += 1
        if self.faults.silent:
            await trio.sleep_forever()
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if self.faults.busy:
            return server.Response(503)
        self.expire()
        if req.method == "GET":
            return await self._read(req)
        if self.faults.lose and self._rng.random() < self.faults.lose:
            await self._write_unanswered(req)
        return self._write(req)

    async def _write_unanswered(self, req: server.Request) -> None:
        if self.faults.late_s and self._spawn is not None:
            self._spawn(self._write_late, req, self.faults.late_s)
        else:
            self._write(req)
        await trio.sleep_forever()

    async def _write_late(self, req: server.Request, late_s: float) -> None:
        await trio.sleep(late_s)
        self._write(req)

    async def _read(self, req: server.Request) -> server.Response:
        query = {key: values[0] for key, values in urllib.parse.parse_qs(req.query).items()}
        if req.path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return server.Response(404, msgspec.json.encode({"at": self.rev}))
            return _json({**item, "at": self.rev})
        if req.path == "/kv-range":
            return self._range(query["prefix"], query.get("after", ""))
        if req.path == "/kv-watch":
            return await self._watch(
                query["prefix"], int(query["after"]), int(query.get("waitMs", 0)) / 1000
            )
        return server.Response(404)

    def _range(self, prefix: str, after: str) -> server.Response:
        keys = [key for key in self.keys(prefix) if key > after]
        page = [self.items[key] for key in keys[:MAX_PAGE_ITEMS]]
        return _json({"items": page, "hasMore": len(keys) > MAX_PAGE_ITEMS, "at": self.rev})

    async def _watch(self, prefix: str, after: int, wait_s: float) -> server.Response:
        until_s = trio.current_time() + wait_s
        while True:
            if after + 1 < self._oldest_watchable:
                return server.Response(410)
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if (events and not self.faults.deaf) or trio.current_time() >= until_s:
                at = after if self.faults.deaf else self.rev
                return _json({"events": [] if self.faults.deaf else events, "at": at})
            with trio.move_on_at(until_s):
                await self._changed.wait()

    def _write(self, req: server.Request) -> server.Response:
        if req.path == "/kv-txn":
            return self._txn(msgspec.json.decode(req.body))
        if req.path == "/kv-lease":
            ttl_ms = max(MIN_TTL_MS, msgspec.json.decode(req.body)["ttlMs"])
            self._last_lease += 1
            self._leases[self._last_lease] = (trio.current_time() + ttl_ms / 1000, ttl_ms)
            return _json({"lease": self._last_lease, "ttlMs": ttl_ms})
        lease = int(req.path.rpartition("/")[2])
        if lease not in self._leases:
            return server.Response(404)
        if req.path.startswith("/kv-keep/"):
            ttl_ms = self._leases[lease][1]
            self._leases[lease] = (trio.current_time() + ttl_ms / 1000, ttl_ms)
            return _json({"ttlMs": ttl_ms})
        self._end_lease(lease)
        return _json({})

    def _txn(self, body: dict[str, Any]) -> server.Response:
        expected = body.get("expectRev", [])
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        if len(expected) + len(puts) + len(deletes) > MAX_TXN:
            return server.Response(400)
        if any(self._revision_of(row["key"]) != row["revision"] for row in expected):
            current = [
                self.items.get(row["key"], {"key": row["key"], "revision": 0}) for row in expected
            ]
            return server.Response(412, msgspec.json.encode({"items": current}))
        if any(put.get("lease", 0) and put["lease"] not in self._leases for put in puts):
            return server.Response(404)
        self.rev += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in deletes:
            self._delete(key)
        self._wake_watches()
        return _json({"revision": self.rev})

    def _revision_of(self, key: str) -> int:
        return int(self.items[key]["revision"]) if key in self.items else 0

    def _put(self, key: str, value: str, lease: int) -> None:
        created = self.items[key]["created"] if key in self.items else self.rev
        item = {
            "key": key,
            "value": value,
            "revision": self.rev,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._history.append(item)

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._history.append({"key": key, "revision": self.rev, "deleted": True})

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.rev += 1
            self._delete(key)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _json(body: dict[str, Any]) -> server.Response:
    return server.Response(200, msgspec.json.encode(body))


__all__ = ["Faults", "Kv"]
