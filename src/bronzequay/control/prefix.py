"""Follows the keys under a prefix across failed calls and lost watch history."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NoReturn

import structlog
import trio

from bronzequay import clock, codes, errors
from bronzequay.platform import kv

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids
    from bronzequay.platform.kv import Item, Snapshot, Store

RETRY_S = 0.2
"""Pause after a failed call."""

_log = structlog.get_logger()


def _ignore(_read_s: float) -> None:
    """Take no note of an answered call."""


async def read_with_retries(
    store: Store, prefix: str, *, on_answer: Callable[[float], None] = _ignore
) -> Snapshot:
    """Read all items under a prefix; retry until the store answers.

    :param on_answer: called with a time, on the boot clock, whose changes the answer contains
    """
    while True:
        sent_s = clock.boot_s()
        try:
            snapshot = await store.range(prefix)
        except errors.BronzequayError as exc:
            _log.warning("prefix_unreadable", prefix=prefix, error=str(exc))
            await trio.sleep(RETRY_S)
        else:
            on_answer(sent_s)
            return snapshot


async def follow(
    store: Store,
    prefix: str,
    rev: ids.Revision,
    *,
    on_change: Callable[[tuple[Item, ...]], None],
    on_snapshot: Callable[[tuple[Item, ...]], None],
    wait_s: float,
    margin_s: float = kv.BULK_WATCH_MARGIN_S,
    pause_s: float = 0.0,
    answer_s: float = float("inf"),
    reread_s: float = float("inf"),
    on_answer: Callable[[float], None] = _ignore,
) -> NoReturn:
    """Report every change of the keys under a prefix until cancelled.

    :param rev: the last revision seen
    :param on_change: called with the changed items; a deleted item has no value
    :param on_snapshot: called with all items when the store no longer has the changes since
        ``rev``, or they are read again for another reason
    :param wait_s: longest wait of one watch call
    :param margin_s: time allowed for the answer of a watch call to begin, beyond its wait
    :param pause_s: time between two watch calls, so that changes arrive in batches
    :param answer_s: limit on the time that the answer of a watch call takes to arrive, after which
        all items are read instead. Where many keys change all the time, answers contain more
        superseded changes the longer the previous one took.
    :param reread_s: time after which all items are read again, also if every watch is answered
    :param on_answer: called after each answered call, once its changes have been reported, with a
        time, on the boot clock, whose changes are reported
    """
    read_s = clock.boot_s()
    while True:
        sent_s = clock.boot_s()
        try:
            if sent_s - read_s >= reread_s:
                snapshot = await store.range(prefix)
                rev, read_s = snapshot.rev, sent_s
                on_snapshot(snapshot.items)
                on_answer(sent_s)
            changes = await store.watch(
                prefix, after=rev, wait_s=wait_s, margin_s=margin_s, answer_s=answer_s
            )
        except errors.BronzequayError as exc:
            is_lost = exc.code is codes.ResultCode.HISTORY_LOST
            is_behind = math.isfinite(answer_s) and exc.code is codes.ResultCode.STORE_TIMEOUT
            if not is_lost and not is_behind:
                await trio.sleep(RETRY_S)
                continue
            _log.warning("history_lost" if is_lost else "watch_behind", prefix=prefix, after=rev)
            snapshot = await read_with_retries(store, prefix, on_answer=on_answer)
            rev, read_s = snapshot.rev, clock.boot_s()
            on_snapshot(snapshot.items)
            continue
        rev = changes.rev
        if changes.items:
            on_change(changes.items)
        on_answer(sent_s)
        await trio.sleep(pause_s)


__all__ = ["follow", "read_with_retries"]
