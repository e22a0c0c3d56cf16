"""Adopts newly rolled-out bundles on this instance, from a watch on the head and a slow poll."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import errors
from bronzequay.cfg import holder, rollout

if TYPE_CHECKING:
    from bronzequay.store import client

POLL_S = 5.0

_log = structlog.get_logger()


async def follow_watch(
    store: rollout.Store,
    bundle_holder: holder.Holder,
    changes: trio.MemoryReceiveChannel[client.Change],
) -> None:
    """Adopt the bundle of each head that the watch reports, until cancelled."""
    async for change in changes:
        if change.value is not None:
            await _adopt(store, bundle_holder, msgspec.json.decode(change.value, type=rollout.Head))


async def follow_poll(store: rollout.Store, bundle_holder: holder.Holder) -> None:
    """Poll the head, in case the watch is cut off, until cancelled."""
    while True:
        try:
            head, _ = await rollout.read_head(store)
            if head is not None:
                await _adopt(store, bundle_holder, head)
        except errors.BronzequayError as exc:
            _log.warning("bundle_poll_failed", code=exc.code.value)
        await trio.sleep(POLL_S)


async def _adopt(store: rollout.Store, bundle_holder: holder.Holder, head: rollout.Head) -> None:
    entry = head.current
    if entry.version <= bundle_holder.version:
        return
    try:
        text = await rollout.read_body(store, entry.digest)
        bundle_holder.adopt(entry.version, text)
    except errors.BronzequayError as exc:
        _log.error("bundle_not_adopted", version=entry.version, code=exc.code.value)


__all__ = ["POLL_S", "follow_poll", "follow_watch"]
