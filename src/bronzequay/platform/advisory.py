"""Client of the advice service, which decides which workers may run the steps of some queues."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import codec, figures, ids
from bronzequay.net import client
from bronzequay.platform import executor_entries, workers

if TYPE_CHECKING:
    from bronzequay.core import model

HTTP_OK = 200


class Tickets(msgspec.Struct, frozen=True):
    """Permissions to run the tasks of a step.

    :param by_worker: ticket of each worker that may run the step
    :param valid_s: seconds for which the tickets are valid
    """

    by_worker: dict[ids.WorkerId, str]
    valid_s: float


class _Answer(msgspec.Struct, rename="camel"):
    good: list[tuple[str, str]]
    valid_ms: codec.Amount


class AdviceClient:
    """Client of the advice service.

    :param address: ``IP:PORT``
    """

    def __init__(self, address: str) -> None:
        self._http = client.Client(address, max_response_bytes=client.MAX_SHORT_RESPONSE_BYTES)

    async def request_tickets(
        self, query: model.AdviceQuery, *, timeout_s: float
    ) -> Tickets | None:
        """Query which workers may run a step.

        :return: the tickets of these workers, None without a usable answer
        """
        by_executor = {executor_entries.executor_of(worker): worker for worker in query.workers}
        body = msgspec.json.encode(
            {"step": workers.step_name(query.step), "workers": list(by_executor)}
        )
        try:
            resp = await self._http.request("POST", "/advise", body=body, timeout_s=timeout_s)
        except (client.NotSentError, client.NoResponseError):
            figures.count('advice_calls{outcome="no_answer"}')
            return None
        figures.count(f'advice_calls{{outcome="{resp.status}"}}')
        if resp.status != HTTP_OK:
            return None
        try:
            answer = codec.from_json(resp.body, _Answer)
        except msgspec.DecodeError:
            figures.count('advice_calls{outcome="unreadable"}')
            return None
        tickets = {
            by_executor[ids.ExecutorId(executor)]: ticket
            for executor, ticket in answer.good
            if executor in by_executor
        }
        return Tickets(tickets, answer.valid_ms / 1000)


__all__ = ["AdviceClient", "Tickets"]
