"""Removes what is told of jobs that ended long ago."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import clock, errors
from bronzequay.control import keys, status
from bronzequay.platform import kv

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bronzequay.platform.kv import Item, Store

PAUSE_S = 600.0
"""Time between two sweeps; each reads every job that is still told of."""
BATCH = kv.MAX_ENTRIES // 2
"""Keys of one transaction, each with its condition."""

_log = structlog.get_logger()


async def run(store: Store, *, keep_s: float) -> None:
    """Sweep again and again until cancelled.

    :param keep_s: time after its end for which a job is told of
    """
    while True:
        await trio.sleep(PAUSE_S)
        try:
            await sweep(store, keep_s=keep_s)
        except errors.BronzequayError as exc:
            _log.warning("sweep_failed", error=str(exc))


async def sweep(store: Store, *, keep_s: float) -> int:
    """Remove what is told of jobs that ended too long ago; return how many there were."""
    removed = 0
    after = ""
    while True:
        page = await store.page(keys.STATES, after=after, is_stale_ok=True)
        old = [item for item in page.items if _is_old(item, keep_s)]
        for first in range(0, len(old), BATCH):
            removed += await _remove(store, old[first : first + BATCH])
        if not page.has_more:
            break
        after = page.items[-1].key
    _log.info("swept", removed=removed, keep_s=keep_s)
    return removed


def _is_old(item: Item, keep_s: float) -> bool:
    try:
        told = status.decode(item.value or b"")
    except msgspec.MsgspecError as exc:
        _log.error("status_unreadable", key=item.key, error=str(exc))
        return False
    return 0.0 < told.ended_s < clock.wall_s() - keep_s


async def _remove(store: Store, items: Sequence[Item]) -> int:
    expect = [(item.key, item.rev) for item in items]
    try:
        await store.txn(expect=expect, deletes=[item.key for item in items])
    except kv.Conflict:
        return 0
    return len(items)


__all__ = ["run", "sweep"]
