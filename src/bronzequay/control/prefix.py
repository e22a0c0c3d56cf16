"""Follows the keys under a prefix across failed calls and lost watch history."""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn

import structlog
import trio

from bronzequay import codes, errors
from bronzequay.platform import kv

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids
    from bronzequay.platform.kv import Item, Snapshot, Store

RETRY_S = 0.2
"""Pause after a failed call."""

_log = structlog.get_logger()


async def read_with_retries(store: Store, prefix: str) -> Snapshot:
    """Read all items under a prefix; retry until the store answers."""
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
    on_snapshot: Callable[[tuple[Item, ...]], None],
    wait_s: float,
    pause_s: float = 0.0,
    rereads: bool = False,
) -> NoReturn:
    """Report every change of the keys under a prefix until cancelled.

    :param rev: the last revision seen
    :param on_change: called with the changed items; a deleted item has no value
    :param on_snapshot: called with all items when the store no longer has the changes since ``rev``
    :param wait_s: longest wait of one watch call
    :param pause_s: time between two watch calls, so that changes arrive in batches
    :param rereads: whether all items are read after a watch without an answer. Where many keys
        change all the time, the changes pile up until they take longer than any time limit.
    """
    while True:
        try:
            changes = await store.watch(
                prefix, after=rev, wait_s=wait_s, margin_s=kv.BULK_WATCH_MARGIN_S
            )
        except errors.BronzequayError as exc:
            is_lost = exc.code is codes.ResultCode.HISTORY_LOST
            is_behind = rereads and exc.code is codes.ResultCode.STORE_TIMEOUT
            if not is_lost and not is_behind:
                await trio.sleep(RETRY_S)
                continue
            _log.warning("history_lost" if is_lost else "watch_behind", prefix=prefix, after=rev)
            snapshot = await read_with_retries(store, prefix)
            rev = snapshot.rev
            on_snapshot(snapshot.items)
            continue
        rev = changes.rev
        if changes.items:
            on_change(changes.items)
        await trio.sleep(pause_s)


__all__ = ["follow", "read_with_retries"]
