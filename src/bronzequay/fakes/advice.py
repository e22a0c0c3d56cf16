"""Stand-in for the advice service: answers one query at a time, with tickets for workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay.net import server

if TYPE_CHECKING:
    from bronzequay.fakes import executors

ANSWER_DELAY_S = 0.05
DELAY_PER_WORKER_S = 0.005


class Advice:
    """Issues tickets that let some executors run any step.

    :param world: its executors check the tickets
    :param allowed: names of the executors that get tickets
    :ivar answer_delay_s: time that each query takes
    :ivar valid_ms: validity of a ticket, in milliseconds
    :ivar unanswered_queries: number of queries still to leave unanswered; counts down
    :ivar queries: executor names of each query, in order of arrival
    """

    def __init__(self, world: executors.World, allowed: set[str]) -> None:
        self.allowed = allowed
        self.answer_delay_s = ANSWER_DELAY_S
        self.valid_ms = 3000
        self.unanswered_queries = 0
        self.queries: list[list[str]] = []
        self._world = world
        self._world.tickets = {}
        self._lock = trio.Lock()
        self._ticket_count = 0

    async def handle(self, req: server.Request) -> server.Response:
        """Answer a query."""
        body = msgspec.json.decode(req.body)
        names = body["workers"]
        self.queries.append(names)
        if self.unanswered_queries:
            self.unanswered_queries -= 1
            await trio.sleep_forever()
        async with self._lock:
            await trio.sleep(self.answer_delay_s + DELAY_PER_WORKER_S * len(names))
        tickets = [
            (name, self._issue_ticket(body["step"], name)) for name in names if name in self.allowed
        ]
        answer = {"good": tickets, "validMs": self.valid_ms}
        return server.Response(200, msgspec.json.encode(answer))

    def _issue_ticket(self, step: str, name: str) -> str:
        self._ticket_count += 1
        ticket = f"ticket-{self._ticket_count}"
        assert self._world.tickets is not None  # noqa: S101  # set in __init__
        self._world.tickets[step, name] = ticket
        return ticket


__all__ = ["Advice"]
