"""Questions to the advice service, one at a time as it answers them."""

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
"""A question about 30 workers takes a few tenths of a second; a timely start is lost after this."""

_log = structlog.get_logger()


class Advisor:
    """Puts the core's questions.

    :param address: of the advice service, empty when there is none
    :param term: whose questions these are
    """

    def __init__(self, address: str, term: Term) -> None:
        self._calls = advisory.AdviceClient(address) if address else None
        self._term = term
        self._send, self._receive = trio.open_memory_channel[model.Ask](float("inf"))

    def put(self, question: model.Ask) -> None:
        """Take a question."""
        if self._calls is None:
            _log.error("advice_not_configured", job=question.step.job, step=question.step[1:])
            return
        self._send.send_nowait(question)

    async def run(self) -> None:
        """Put the questions in turn until cancelled."""
        async for question in self._receive:
            if self._calls is None:
                continue
            tickets = await self._calls.request_tickets(question, timeout_s=TIMEOUT_S)
            _log.info(
                "advice",
                job=question.step.job,
                step=question.step[1:],
                asked=len(question.workers),
                allowed=None if tickets is None else len(tickets.by_worker),
            )
            self._term.post(functools.partial(_note, question=question, tickets=tickets))


def _note(state: State, question: model.Ask, tickets: advisory.Tickets | None) -> None:
    if tickets is None:
        advice.note_silence(state, question)
    else:
        advice.note_answer(state, question, tickets.by_worker, tickets.valid_s)


__all__ = ["Advisor"]
