"""Stand-in for the advice service: one question at a time, tickets for the workers allowed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay.net import server

if TYPE_CHECKING:
    from bronzequay.fakes import executors

DECIDE_S = 0.05
EACH_S = 0.005


class Advice:
    """Allows some executors to run any step.

    :param world: whose executors check the tickets
    :param allowed: names of the executors
    :ivar valid_ms: for how long tickets hold
    :ivar silent: questions that are not answered; counts down
    :ivar asked: names of each question
    """

    def __init__(self, world: executors.World, allowed: set[str]) -> None:
        self.allowed = allowed
        self.valid_ms = 3000
        self.silent = 0
        self.asked: list[list[str]] = []
        self._world = world
        self._world.tickets = {}
        self._turn = trio.Lock()
        self._number = 0

    async def handle(self, req: server.Request) -> server.Response:
        """Answer one question."""
        body = msgspec.json.decode(req.body)
        names = body["workers"]
        self.asked.append(names)
        if self.silent:
            self.silent -= 1
            await trio.sleep_forever()
        async with self._turn:
            await trio.sleep(DECIDE_S + EACH_S * len(names))
        good = [(name, self._ticket(body["step"], name)) for name in names if name in self.allowed]
        answer = {"good": good, "validMs": self.valid_ms}
        return server.Response(200, msgspec.json.encode(answer))

    def _ticket(self, step: str, name: str) -> str:
        self._number += 1
        text = f"ticket-{self._number}"
        assert self._world.tickets is not None  # noqa: S101  # set at the start
        self._world.tickets[step, name] = text
        return text


__all__ = ["Advice"]
