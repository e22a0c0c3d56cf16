"""Removes the statuses of jobs whose retention period is over, and tombstones that are left."""

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

SWEEP_INTERVAL_S = 600.0
"""Each sweep reads the status of every job that is still stored."""
BATCH_KEYS = kv.MAX_ENTRIES // 2
"""Each key takes two entries of a transaction: its deletion and its condition."""

_log = structlog.get_logger()


async def run(store: Store, *, retention_s: float) -> None:
    """Sweep at a fixed interval until cancelled.

    :param retention_s: time for which a job's status is kept after the job's end
    """
    while True:
        await trio.sleep(SWEEP_INTERVAL_S)
        try:
            await remove_expired(store, retention_s=retention_s)
        except errors.BronzequayError as exc:
            _log.warning("sweep_failed", error=str(exc))


async def remove_expired(store: Store, *, retention_s: float) -> int:
    """Remove the statuses of jobs that ended more than the retention period ago.

    :return: number of statuses removed
    """
    removed = 0
    after = ""
    while True:
        page = await store.page(keys.STATES, after=after, is_stale_ok=True)
        expired = [item for item in page.items if _is_expired(item, retention_s)]
        for first in range(0, len(expired), BATCH_KEYS):
            removed += await _remove(store, expired[first : first + BATCH_KEYS])
        if not page.has_more:
            break
        after = page.items[-1].key
    _log.info("sweep_completed", removed=removed, retention_s=retention_s)
    return removed


def _is_expired(item: Item, retention_s: float) -> bool:
    try:
        job_status = status.decode(item.value or b"")
    except msgspec.MsgspecError as exc:
        _log.error("status_unreadable", key=item.key, error=str(exc))
        return False
    # Their instances remove tombstones in time, unless they have ended.
    kept_s = 2 * status.TOMBSTONE_S if job_status.is_tombstone else retention_s
    return 0.0 < job_status.ended_s < clock.wall_s() - kept_s


async def _remove(store: Store, items: Sequence[Item]) -> int:
    expect = [(item.key, item.rev) for item in items]
    try:
        await store.txn(expect=expect, deletes=[item.key for item in items])
    except kv.Conflict:
        return 0
    return len(items)


__all__ = ["remove_expired", "run"]
