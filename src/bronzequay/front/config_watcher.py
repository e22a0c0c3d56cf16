"""Watches the configuration, and tracks whether the store can be reached."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay import errors
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

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the store has answered recently."""
        return trio.current_time() - self._last_answer_s < REACHABLE_S

    async def run(self) -> None:
        """Read the configuration, then watch it, until cancelled."""
        timeout_s = kv.FIRST_TIMEOUT_S
        while True:
            try:
                item = await self._store.get(config.KEY, timeout_s=timeout_s)
                timeout_s = kv.FIRST_TIMEOUT_S
                self._last_answer_s = trio.current_time()
                if item is None:
                    await trio.sleep(RETRY_DELAY_S)
                    continue
                self._adopt(item)
                rev = item.seen_rev
                while True:
                    changes = await self._store.watch(config.KEY, after=rev, wait_s=WATCH_S)
                    self._last_answer_s = trio.current_time()
                    rev = changes.rev
                    for change in changes.items:
                        self._adopt(change)
            except errors.BronzequayError as exc:
                _log.info("configuration_unreachable", error=str(exc))
                # A configuration of several hundred KB takes longer on a slow link.
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
        _log.info("configuration_adopted", version=decoded.version, revision=item.rev)


__all__ = ["ConfigurationWatcher"]
