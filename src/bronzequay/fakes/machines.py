"""Stand-in for the platform's interface to machines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay.net import server

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.fakes import executors

UPKEEP_DURATION_S = 2.0


class Machines:
    """Takes machines down for upkeep; their executors come back under new names.

    :param world: its executors run on the machines
    :param spawn: starts a background task
    :param rejoin: lists an executor again at its address
    :ivar unanswered_calls: number of calls to carry out without an answer; counts down
    :ivar down: machines that are down
    :ivar accepted: machine and wave of each accepted order
    :ivar max_down: largest number of machines that were down at once
    :ivar orders: lease holder, fencing token and machine of each call
    """

    def __init__(
        self,
        world: executors.World,
        spawn: Callable[..., None],
        rejoin: Callable[[executors.Executor], None],
    ) -> None:
        self.unanswered_calls = 0
        self.down: set[str] = set()
        self.accepted: set[tuple[str, int]] = set()
        self.max_down = 0
        self.orders: list[tuple[str, str, str]] = []
        self._world = world
        self._spawn = spawn
        self._rejoin = rejoin

    async def handle(self, req: server.Request) -> server.Response:
        """Answer a call."""
        body = msgspec.json.decode(req.body)
        machine, wave = body["machine"], body["wave"]
        self.orders.append((req.headers["duty-holder"], req.headers["fencing-token"], machine))
        if (machine, wave) in self.accepted:
            return server.Response(200, b"{}")
        executors_on_machine = [
            executor for executor in self._world.executors.values() if executor.machine == machine
        ]
        if not executors_on_machine:
            return server.Response(400)
        if not executors_on_machine[0].is_up:
            return server.Response(409, b'{"reason":"busy"}')
        self.accepted.add((machine, wave))
        self.down.add(machine)
        self.max_down = max(self.max_down, len(self.down))
        self._spawn(self._maintain, executors_on_machine[0])
        if self.unanswered_calls:
            self.unanswered_calls -= 1
            await trio.sleep_forever()
        return server.Response(200, b"{}")

    async def _maintain(self, executor: executors.Executor) -> None:
        executor.crash()
        await trio.sleep(UPKEEP_DURATION_S)
        del self._world.executors[executor.name]
        executor.name += "n"
        self._world.executors[executor.name] = executor
        self.down.discard(executor.machine)
        self._rejoin(executor)


__all__ = ["Machines"]
