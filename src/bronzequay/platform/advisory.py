"""Calls to the advice service, which knows the policies of some queues."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import figures, ids
from bronzequay.net import client
from bronzequay.platform import workers

if TYPE_CHECKING:
    from bronzequay.core import model

HTTP_OK = 200


class Tickets(msgspec.Struct, frozen=True):
    """Permissions to run the tasks of a step.

    :param valid_s: for how long they hold
    """

    by_worker: dict[ids.WorkerId, str]
    valid_s: float


class _Answer(msgspec.Struct, rename="camel"):
    good: list[tuple[str, str]]
    valid_ms: float


class Advice:
    """Asks the advice service.

    :param address: ``IP:PORT``
    """

    def __init__(self, address: str) -> None:
        self._http = client.Client(address)

    async def ask(self, question: model.AdviceQuery, *, timeout_s: float) -> Tickets | None:
        """Ask which workers may run a step.

        :return: their tickets, None without an answer
        """
        by_executor = {workers.executor_of(worker): worker for worker in question.workers}
        body = msgspec.json.encode(
            {"step": workers.step_name(question.step), "workers": list(by_executor)}
        )
        try:
            resp = await self._http.request("POST", "/advise", body=body, timeout_s=timeout_s)
        except (client.NotSentError, client.NoAnswerError):
            figures.count('advice_calls{outcome="no_answer"}')
            return None
        figures.count(f'advice_calls{{outcome="{resp.status}"}}')
        if resp.status != HTTP_OK:
            return None
        try:
            answer = msgspec.json.decode(resp.body, type=_Answer)
        except msgspec.MsgspecError:
            figures.count('advice_calls{outcome="unreadable"}')
            return None
        tickets = {
            by_executor[ids.ExecutorId(executor)]: text
            for executor, text in answer.good
            if executor in by_executor
        }
        return Tickets(tickets, answer.valid_ms / 1000)


__all__ = ["Advice", "Tickets"]
