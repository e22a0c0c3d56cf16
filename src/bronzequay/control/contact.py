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


class _Question:
    """A call whose result counts for all who wait for it."""

    def __init__(self) -> None:
        self.is_over = trio.Event()
        self.has_answer = False


class Contact:
    """Asks one incarnation of a worker, for all starts that wait for that, whether it answers.

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
        self._question: _Question | None = None

    def is_fresh(self) -> bool:
        """Return whether the worker has just answered its session."""
        return self._answer_age_s() < FRESH_S

    async def ask(self) -> bool:
        """Return whether the worker answers this question, or its session meanwhile."""
        question = self._question
        if question is not None:
            await question.is_over.wait()
            return question.has_answer
        question = self._question = _Question()
        asked_s = clock.boot_s()
        try:
            reply = await self._client.hold(
                last_seen_end=0, deadline_ms=None, wait_s=0.0, timeout_s=TIMEOUT_S
            )
            is_heard = self._answer_age_s() < clock.boot_s() - asked_s
            question.has_answer = is_heard or self._is_here(reply)
        finally:
            self._question = None
            question.is_over.set()
        return question.has_answer

    def _is_here(self, reply: workers.Reply) -> bool:
        if reply.listing is None:
            return False
        executor = executor_entries.executor_of(self._worker)
        return executor_entries.worker_id(executor, reply.listing.started_ms) == self._worker


__all__ = ["Contact"]
