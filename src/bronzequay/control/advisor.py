"""Sends questions to the advice service, one at a time because it answers them in turn."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay.core import advice, model
from bronzequay.platform import advisory

if TYPE_CHECKING:
    from bronzequay.control.term import Term
    from bronzequay.core.state import State

TIMEOUT_S = 3.0
"""An answer about 30 workers takes a few tenths of a second; after 3 s a start in time is lost."""

_log = structlog.get_logger()


class Advisor:
    """Sends the core's questions and applies the answers.

    :param address: ``IP:PORT`` of the advice service, empty when there is none
    :param term: the term whose core asks
    """

    def __init__(self, address: str, term: Term) -> None:
        self._service = advisory.Advice(address) if address else None
        self._term = term
        self._send, self._receive = trio.open_memory_channel[model.AdviceQuery](float("inf"))

    def enqueue(self, question: model.AdviceQuery) -> None:
        """Queue a question for sending."""
        if self._service is None:
            _log.error("advice_not_configured", job=question.step.job, step=question.step[1:])
            return
        self._send.send_nowait(question)

    async def run(self) -> None:
        """Send the questions in order until cancelled."""
        async for question in self._receive:
            if self._service is None:
                continue
            tickets = await self._service.ask(question, timeout_s=TIMEOUT_S)
            _log.info(
                "advice",
                job=question.step.job,
                step=question.step[1:],
                asked=len(question.workers),
                allowed=None if tickets is None else len(tickets.by_worker),
            )
            self._term.post(functools.partial(_apply_answer, question=question, tickets=tickets))


def _apply_answer(
    state: State, question: model.AdviceQuery, tickets: advisory.Tickets | None
) -> None:
    if tickets is None:
        advice.record_no_answer(state, question)
    else:
        advice.record_answer(state, question, tickets.by_worker, tickets.valid_s)


__all__ = ["Advisor"]
