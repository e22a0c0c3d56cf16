"""Writes on behalf of callers, retried while their time lasts."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

import structlog
import trio

from bronzequay import codes, errors
from bronzequay.platform import kv

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bronzequay import ids
    from bronzequay.net import server

ATTEMPT_TIMEOUT_S = 0.5
"""Timeout of one attempt to write; a slow store takes 0.25 s."""
MIN_ATTEMPT_TIMEOUT_S = 0.05
"""Timeout of an attempt whose caller has hardly any time left; an answer usually takes 4 ms."""
PROBE_TIMEOUT_S = 0.4
"""Timeout of the check that the store answers; a slow store takes 0.25 s."""
WRITE_TIMEOUT_S = 1.1
"""Time for which an unanswered write is retried before the caller gets a 504."""
RETRY_DELAY_S = 0.05
RESPONSE_MARGIN_S = 0.2
"""Part of the caller's timeout that is reserved for sending the response."""
DEFAULT_TIMEOUT_S = 3.0
_MILLISECONDS = re.compile(r"[0-9]{1,15}")

_log = structlog.get_logger()


class Outcome(NamedTuple):
    """What became of a write.

    :param rev: its revision; None if it has not taken effect, or by an attempt without an answer
    :param found: the item under the key of the first condition that did not hold, which an earlier
        attempt or another writer has written; None if there was none
    :param error: why it has not taken effect or may not have
    :param is_unknown: whether it may have taken effect, or may do so later
    """

    rev: ids.Revision | None = None
    found: kv.Item | None = None
    error: errors.BronzequayError | None = None
    is_unknown: bool = False


async def write(
    store: kv.Store,
    *,
    expect: Sequence[tuple[str, ids.Revision]],
    puts: Sequence[kv.Put],
    deadline_s: float,
) -> Outcome:
    """Retry a write until its outcome is known or the time left for it has passed.

    A write is not tried while the store does not answer: it may take effect later, and its caller
    can safely submit again only after a refusal.

    :param deadline_s: when the last attempt begins, at the latest
    """
    is_unknown = False
    while True:
        remaining_s = max(MIN_ATTEMPT_TIMEOUT_S, deadline_s - trio.current_time())
        timeout_s = min(ATTEMPT_TIMEOUT_S, remaining_s)
        try:
            if not is_unknown:
                await store.ensure_answering(timeout_s=min(PROBE_TIMEOUT_S, remaining_s))
            rev = await store.txn(expect=expect, puts=puts, timeout_s=timeout_s)
        except kv.Conflict as exc:
            expected = dict(expect)
            found = next((item for item in exc.items if item.rev != expected.get(item.key)), None)
            return Outcome(found=found)
        except errors.BronzequayError as exc:
            is_unknown |= exc.code is codes.ResultCode.STORE_TIMEOUT
            if not is_unknown or trio.current_time() >= deadline_s:
                return Outcome(error=exc, is_unknown=is_unknown)
            await trio.sleep(RETRY_DELAY_S)
        else:
            return Outcome(rev=rev)


def deadline_s(req: server.Request) -> float:
    """Return until when attempts to write may begin, so that the caller gets an answer in time."""
    text = req.headers.get("deadline-ms", "")
    is_number = _MILLISECONDS.fullmatch(text) is not None
    timeout_s = int(text) / 1000 if is_number else DEFAULT_TIMEOUT_S
    return trio.current_time() + min(WRITE_TIMEOUT_S, timeout_s - RESPONSE_MARGIN_S)


__all__ = ["PROBE_TIMEOUT_S", "Outcome", "deadline_s", "write"]
