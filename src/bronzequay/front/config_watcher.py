"""Watches the configuration, and tracks whether the store can be reached."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay import clock, codes, errors, figures
from bronzequay.net import client
from bronzequay.platform import config, kv

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.platform.kv import Item, Store

WATCH_S = 2.0
"""Longest wait of one watch call; a dead connection is detected after it."""
MIN_WATCH_S = 0.25
"""Shortest wait of a watch that follows one without changes; it bounds the calls to the store."""
MAX_CLOCK_DRIFT = 0.02
"""How much slower than the store's this machine's clock may run."""
RETRY_DELAY_S = 0.2
REREAD_DELAY_S = 0.05
"""Pause before the configuration is read instead of its changes."""
ENCODED_RATIO = 4 / 3
"""Size of a value in an answer relative to its own, by base64."""
MAX_VERSIONS = 1.5
"""Size of a watch's answer, in configurations, from which the latest version is read instead."""
SMALL_BYTES = 65_536
"""Size of an answer that arrives within 0.1 s on the slowest links."""
LOST_WATCH_S = kv.WATCH_MARGIN_S + RETRY_DELAY_S + 0.25
"""Time from the end of a lost watch's wait to the answer of the read that follows, which a slow
store gives in 0.25 s."""
REACHABLE_S = 2.5
"""Time without an answer of the store after which an instance is not ready, so that the load
balancer sends callers to others."""

_log = structlog.get_logger()


class ConfigurationWatcher:
    """Holds the latest configuration seen; never returns to an earlier version.

    :param store: the platform's store
    :param config_s: time within which a configuration has to be in force, infinity for no limit
    :ivar current: None until the first valid configuration is read
    :ivar loaded: set once there is a current configuration
    """

    def __init__(self, store: Store, *, config_s: float = math.inf) -> None:
        self._store = store
        self._limit_s = config_s * (1 - MAX_CLOCK_DRIFT)
        self.current: config.Configuration | None = None
        self.loaded = trio.Event()
        self._last_answer_s = float("-inf")
        self._confirmed_s = float("-inf")
        self._transfer = client.Transfer()
        self._transfer_s = 0.0
        self._size_bytes = 0.0

    def register_gauges(self) -> None:
        """Add version and age of the configuration to the metrics."""
        figures.gauge("configuration_version", lambda: self.version or 0)
        figures.gauge("configuration_age_seconds", lambda: self.age_s)

    @property
    def version(self) -> int | None:
        """Return the version of the current configuration, None before the first."""
        return None if self.current is None else self.current.version

    @property
    def age_s(self) -> float:
        """Return the time for which changes may be missing, infinity before the first answer.

        The boot clock also counts the time for which the machine was suspended.
        """
        return clock.boot_s() - self._confirmed_s

    @property
    def confirmed(self) -> config.Configuration | None:
        """Return the current configuration, None if a later one may have to be in force."""
        return self.current if self.age_s <= self._limit_s else None

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the store has answered recently, or its answer is arriving."""
        is_receiving = self._transfer.received_bytes > 0 and self._transfer.idle_s < REACHABLE_S
        return is_receiving or trio.current_time() - self._last_answer_s < REACHABLE_S

    async def run(self) -> None:
        """Read the configuration, then watch it, until cancelled."""
        timeout_s = kv.FIRST_TIMEOUT_S
        while True:
            try:
                rev = await self._read(timeout_s)
                timeout_s = kv.FIRST_TIMEOUT_S
                if rev is None:
                    await trio.sleep(RETRY_DELAY_S)
                    continue
                wait_s = 0.0
                while True:
                    rev, wait_s = await self._watch(rev, wait_s)
            except errors.BronzequayError as exc:
                if exc.code is codes.ResultCode.HISTORY_LOST:
                    _log.info("configuration_reread", why=str(exc), version=self.version)
                    await trio.sleep(REREAD_DELAY_S)
                    continue
                self._record_failure(exc)
                # Other answers may occupy a slow link for longer.
                timeout_s = min(kv.CALL_TIMEOUT_S, 2 * timeout_s)
                await trio.sleep(RETRY_DELAY_S)

    async def _read(self, timeout_s: float) -> ids.Revision | None:
        """Read the configuration; return the revision to watch from, None if there is none."""
        self._transfer, sent_s = client.Transfer(), clock.boot_s()
        item = await self._store.get(config.KEY, timeout_s=timeout_s, transfer=self._transfer)
        self._last_answer_s = trio.current_time()
        if item is None:
            return None
        self._adopt(item)
        self._confirmed_s = sent_s
        return item.seen_rev

    async def _watch(self, rev: ids.Revision, wait_s: float) -> tuple[ids.Revision, float]:
        """Watch the configuration once; return revision and wait of the next watch.

        An answer with several versions takes longer than reading the last of them.
        """
        max_bytes = MAX_VERSIONS * self._size_bytes + SMALL_BYTES
        self._transfer, sent_s = client.Transfer(max_bytes=max_bytes), clock.boot_s()
        changes = await self._store.watch(
            config.KEY, after=rev, wait_s=wait_s, transfer=self._transfer
        )
        self._last_answer_s = trio.current_time()
        for change in changes.items:
            self._adopt(change)
        # The store waits for the whole time only if nothing changes in it.
        has_waited = not changes.items and clock.boot_s() - sent_s >= wait_s
        self._confirmed_s = sent_s + wait_s if has_waited else sent_s
        return changes.rev, self._next_wait_s(has_changed=bool(changes.items))

    def _next_wait_s(self, *, has_changed: bool) -> float:
        """Return how long to watch, so that one lost watch leaves the configuration confirmed."""
        left_s = self._limit_s - self.age_s - LOST_WATCH_S - self._transfer_s
        if has_changed and left_s < MIN_WATCH_S:
            return 0.0
        return max(MIN_WATCH_S, min(WATCH_S, left_s))

    def _record_failure(self, exc: errors.BronzequayError) -> None:
        figures.count("configuration_reads_failed")
        _log.info(
            "configuration_unreachable",
            error=str(exc),
            received_bytes=self._transfer.received_bytes,
            receiving_s=round(self._transfer.receiving_s, 3),
            version=self.version,
            age_s=round(self.age_s, 3),
        )

    def _adopt(self, item: Item) -> None:
        if item.value is None or item.key != config.KEY:
            return
        try:
            decoded = config.decode(item.value)
        except errors.BronzequayError as exc:
            _log.error("configuration_invalid", revision=item.rev, error=str(exc))
            return
        if self.current is not None and decoded.version <= self.current.version:
            return
        self.current = decoded
        self._transfer_s = self._transfer.receiving_s
        self._size_bytes = ENCODED_RATIO * len(item.value)
        self.loaded.set()
        figures.observe("configuration_transfer", self._transfer_s)
        _log.info(
            "configuration_adopted",
            version=decoded.version,
            revision=item.rev,
            value_bytes=len(item.value),
            received_bytes=self._transfer.received_bytes,
            receiving_s=round(self._transfer_s, 3),
            applying_s=round(self._transfer.idle_s, 3),
            age_s=round(self.age_s, 3),
        )


__all__ = ["ConfigurationWatcher"]
