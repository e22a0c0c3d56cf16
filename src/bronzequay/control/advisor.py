"""Sends queries to the advice service, one at a time because it answers them in turn."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay.core import advice, model
from bronzequay.platform import advisory

if TYPE_CHECKING:
    from bronzequay.control.term import Term
    from bronzequay.core.state import State

MIN_TIMEOUT_S = 3.0
"""Timeout of a query that the service answers within a few tenths of a second, as most."""
TIMEOUT_FACTOR = 1.5
"""Timeout of a slower query, as a multiple of the time that the configuration states for it."""

_log = structlog.get_logger()


class Advisor:
    """Sends the core's queries and applies the answers.

    :param address: ``IP:PORT`` of the advice service, empty when there is none
    :param term: the term whose core makes the queries
    """

    def __init__(self, address: str, term: Term) -> None:
        self._client = advisory.AdviceClient(address) if address else None
        self._term = term
        self._send, self._receive = trio.open_memory_channel[model.AdviceQuery](float("inf"))

    def enqueue(self, query: model.AdviceQuery) -> None:
        """Queue a query for sending."""
        if self._client is None:
            _log.error("advice_not_configured", job=query.step.job, step=query.step[1:])
            return
        self._send.send_nowait(query)

    async def run(self) -> None:
        """Send the queries in order until cancelled."""
        async for query in self._receive:
            if self._client is None:
                continue
            permitted = self._term.without_withheld(query.workers)
            if not permitted:
                self._term.post(functools.partial(advice.record_no_answer, query=query))
                continue
            query = msgspec.structs.replace(query, workers=permitted)  # noqa: PLW2901
            timeout_s = max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * query.expected_s)
            tickets = await self._client.request_tickets(query, timeout_s=timeout_s)
            _log.info(
                "advice",
                job=query.step.job,
                step=query.step[1:],
                asked=len(query.workers),
                allowed=None if tickets is None else len(tickets.by_worker),
            )
            self._term.post(functools.partial(_apply_answer, query=query, tickets=tickets))


def _apply_answer(state: State, query: model.AdviceQuery, tickets: advisory.Tickets | None) -> None:
    if tickets is None:
        advice.record_no_answer(state, query)
    else:
        advice.record_answer(state, query, tickets.by_worker, tickets.valid_s)


__all__ = ["Advisor"]
