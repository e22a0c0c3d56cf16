"""Watches the configuration, and tracks whether the store can be reached."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay import clock, errors, figures
from bronzequay.net import client
from bronzequay.platform import config, kv

if TYPE_CHECKING:
    from bronzequay.platform.kv import Item, Store

WATCH_S = 2.0
"""Longest wait of one watch call; a dead connection is detected after it."""
RETRY_DELAY_S = 0.2
REACHABLE_S = 2.5
"""Time without an answer of the store after which an instance is not ready, so that the load
balancer sends callers to others."""

_log = structlog.get_logger()


class ConfigurationWatcher:
    """Holds the latest configuration seen; never returns to an earlier version.

    :param store: the platform's store
    :ivar current: None until the first valid configuration is read
    :ivar loaded: set once there is a current configuration
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self.current: config.Configuration | None = None
        self.loaded = trio.Event()
        self._last_answer_s = float("-inf")
        self._confirmed_s = float("-inf")
        self._transfer = client.Transfer()

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
        """Return the time since which changes may be missing, infinity before the first answer.

        It counts from when the latest answered call was sent, on the boot clock.
        """
        return clock.boot_s() - self._confirmed_s

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the store has answered recently, or its answer is arriving."""
        is_receiving = self._transfer.received_bytes > 0 and self._transfer.idle_s < REACHABLE_S
        return is_receiving or trio.current_time() - self._last_answer_s < REACHABLE_S

    async def run(self) -> None:
        """Read the configuration, then watch it, until cancelled."""
        timeout_s = kv.FIRST_TIMEOUT_S
        while True:
            self._transfer, sent_s = client.Transfer(), clock.boot_s()
            try:
                item = await self._store.get(
                    config.KEY, timeout_s=timeout_s, transfer=self._transfer
                )
                timeout_s = kv.FIRST_TIMEOUT_S
                self._last_answer_s = trio.current_time()
                if item is None:
                    await trio.sleep(RETRY_DELAY_S)
                    continue
                self._adopt(item)
                self._confirmed_s = sent_s
                rev = item.seen_rev
                while True:
                    self._transfer, sent_s = client.Transfer(), clock.boot_s()
                    changes = await self._store.watch(
                        config.KEY, after=rev, wait_s=WATCH_S, transfer=self._transfer
                    )
                    self._last_answer_s = trio.current_time()
                    rev = changes.rev
                    for change in changes.items:
                        self._adopt(change)
                    self._confirmed_s = sent_s
            except errors.BronzequayError as exc:
                figures.count("configuration_reads_failed")
                _log.info(
                    "configuration_unreachable",
                    error=str(exc),
                    received_bytes=self._transfer.received_bytes,
                    receiving_s=round(self._transfer.receiving_s, 3),
                    version=self.version,
                    age_s=round(self.age_s, 3),
                )
                # Other answers may occupy a slow link for longer.
                timeout_s = min(kv.CALL_TIMEOUT_S, 2 * timeout_s)
                await trio.sleep(RETRY_DELAY_S)

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
        self.loaded.set()
        figures.observe("configuration_transfer", self._transfer.receiving_s)
        _log.info(
            "configuration_adopted",
            version=decoded.version,
            revision=item.rev,
            value_bytes=len(item.value),
            received_bytes=self._transfer.received_bytes,
            receiving_s=round(self._transfer.receiving_s, 3),
            applying_s=round(self._transfer.idle_s, 3),
            age_s=round(self.age_s, 3),
        )


__all__ = ["ConfigurationWatcher"]
