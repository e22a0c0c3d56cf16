"""Stand-in for the platform's interface to machines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay.net import server

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.fakes import executors

UPKEEP_S = 2.0


class Machines:
    """Takes machines down and brings them back as new executors.

    :param world: whose executors stand on the machines
    :param spawn: runs a task beside the calls
    :param rejoin: lists an executor again at its address
    :ivar silent: calls that are carried out and not answered; counts down
    :ivar down: machines that are down
    :ivar most_down: machines that were down at once, at most
    :ivar orders: holder, epoch and machine of each call
    """

    def __init__(
        self,
        world: executors.World,
        spawn: Callable[..., None],
        rejoin: Callable[[executors.Executor], None],
    ) -> None:
        self.silent = 0
        self.down: set[str] = set()
        self.done: set[tuple[str, int]] = set()
        self.most_down = 0
        self.orders: list[tuple[str, str, str]] = []
        self._world = world
        self._spawn = spawn
        self._rejoin = rejoin

    async def handle(self, req: server.Request) -> server.Response:
        """Answer one call."""
        body = msgspec.json.decode(req.body)
        machine, wave = body["machine"], body["wave"]
        self.orders.append((req.headers["duty-holder"], req.headers["fencing-token"], machine))
        if (machine, wave) in self.done:
            return server.Response(200, b"{}")
        found = [each for each in self._world.executors.values() if each.machine == machine]
        if not found:
            return server.Response(400)
        if not found[0].is_up:
            return server.Response(409, b'{"reason":"busy"}')
        self.done.add((machine, wave))
        self.down.add(machine)
        self.most_down = max(self.most_down, len(self.down))
        self._spawn(self._maintain, found[0])
        if self.silent:
            self.silent -= 1
            await trio.sleep_forever()
        return server.Response(200, b"{}")

    async def _maintain(self, executor: executors.Executor) -> None:
        executor.crash()
        await trio.sleep(UPKEEP_S)
        del self._world.executors[executor.name]
        executor.name += "n"
        self._world.executors[executor.name] = executor
        self.down.discard(executor.machine)
        self._rejoin(executor)


__all__ = ["Machines"]
