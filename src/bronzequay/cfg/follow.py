"""Brings the bundle in force to this instance: from the watch and from a slow poll."""

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
    target: holder.Holder,
    changes: trio.MemoryReceiveChannel[client.Change],
) -> None:
    """Adopt each head that the watch tells of, until cancelled."""
    async for change in changes:
        if change.value is not None:
            await _adopt(store, target, msgspec.json.decode(change.value, type=rollout.Head))


async def follow_poll(store: rollout.Store, target: holder.Holder) -> None:
    """Read the head now and then, for a watch that is cut, until cancelled."""
    while True:
        try:
            head, _ = await rollout.read_head(store)
            if head is not None:
                await _adopt(store, target, head)
        except errors.BronzequayError as exc:
            _log.warning("bundle_poll_failed", code=exc.code.value)
        await trio.sleep(POLL_S)


async def _adopt(store: rollout.Store, target: holder.Holder, head: rollout.Head) -> None:
    entry = head.current
    if entry.version <= target.version:
        return
    try:
        text = await rollout.read_body(store, entry.digest)
        target.adopt(entry.version, text)
    except errors.BronzequayError as exc:
        _log.error("bundle_not_adopted", version=entry.version, code=exc.code.value)


__all__ = ["POLL_S", "follow_poll", "follow_watch"]
