"""Whether a worker answers now, asked right before a start is sent to it.

A start that goes unanswered may be carried out much later by another incarnation, so its run has to
be waited for. A worker that has just lost power, or was cut off, still counts as in contact. A call
that only asks for its runs has no such consequence.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import clock
from bronzequay.platform import executor_entries

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids
    from bronzequay.platform import workers

FRESH_S = 0.25
"""Age of an answer after which a worker is asked again before it gets a start. Idle workers
answer once a second."""
TIMEOUT_S = 0.6
"""Timeout of the question, as of an order."""


class Contact:
    """Asks one incarnation of a worker, once at a time, whether it answers.

    :param worker: the incarnation
    :param client: client of its executor
    :param answer_age_s: returns the time since the last answer to the worker's session
    """

    def __init__(
        self,
        worker: ids.WorkerId,
        client: workers.OrderClient,
        answer_age_s: Callable[[], float],
    ) -> None:
        self._worker = worker
        self._client = client
        self._answer_age_s = answer_age_s
        self._answered_s = float("-inf")
        self._asking: trio.Event | None = None

    async def is_answering(self) -> bool:
        """Return whether the worker has just answered, or answers now."""
        if self._is_fresh():
            return True
        if self._asking is None:
            await self._ask()
        else:
            await self._asking.wait()
        return self._is_fresh()

    def _is_fresh(self) -> bool:
        return min(self._answer_age_s(), clock.boot_s() - self._answered_s) < FRESH_S

    async def _ask(self) -> None:
        asking = self._asking = trio.Event()
        try:
            reply = await self._client.hold(
                last_seen_end=0, deadline_ms=None, wait_s=0.0, timeout_s=TIMEOUT_S
            )
        finally:
            self._asking = None
            asking.set()
        listing = reply.listing
        if listing is None:
            return
        executor = executor_entries.executor_of(self._worker)
        if executor_entries.worker_id(executor, listing.started_ms) == self._worker:
            self._answered_s = clock.boot_s()


__all__ = ["Contact"]
