"""Follows the keys under a prefix through lost calls and lost history."""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn

import structlog
import trio

from bronzequay import codes, errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids
    from bronzequay.platform.kv import Item, Snapshot, Store

RETRY_S = 0.2
"""Pause after a call that failed."""

_log = structlog.get_logger()


async def read(store: Store, prefix: str) -> Snapshot:
    """Read all items under a prefix, as often as it takes."""
    while True:
        try:
            return await store.range(prefix)
        except errors.BronzequayError as exc:
            _log.warning("prefix_unreadable", prefix=prefix, error=str(exc))
            await trio.sleep(RETRY_S)


async def follow(
    store: Store,
    prefix: str,
    rev: ids.Revision,
    *,
    on_change: Callable[[tuple[Item, ...]], None],
    on_reading: Callable[[tuple[Item, ...]], None],
    wait_s: float,
    pause_s: float = 0.0,
) -> NoReturn:
    """Pass on every change, for ever.

    :param rev: the revision seen last
    :param on_change: gets items that changed; deleted ones have no value
    :param on_reading: gets all items when the changes between are not kept any more
    :param wait_s: wait of one watch
    :param pause_s: time between two watches, in which changes gather
    """
    while True:
        try:
            changes = await store.watch(prefix, after=rev, wait_s=wait_s)
        except errors.BronzequayError as exc:
            if exc.code is not codes.ResultCode.HISTORY_LOST:
                await trio.sleep(RETRY_S)
                continue
            _log.warning("history_lost", prefix=prefix, after=rev)
            found = await read(store, prefix)
            rev = found.rev
            on_reading(found.items)
            continue
        rev = changes.rev
        if changes.items:
            on_change(changes.items)
        await trio.sleep(pause_s)


__all__ = ["follow", "read"]
