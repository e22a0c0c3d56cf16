"""A network in memory: meshes under the paused clock, with cuts in one or both directions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

DELAY_S = 0.001


class Network:
    """Delivers calls; ``cuts`` holds the directions in which nothing passes."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.calls = 0

    def passes(self, source: str, target: str) -> bool:
        """Tell whether a message gets through."""
        return (source, target) not in self.cuts and not {source, target} & self.down

    def cut_both(self, one: str, two: str) -> None:
        """Cut a pair in both directions."""
        self.cuts |= {(one, two), (two, one)}

    def kill(self, address: str) -> None:
        """End a node; the others see their connections break."""
        self.down.add(address)
        for node in self.nodes.values():
            for listener in node.listeners:
                listener(address)


class Node:
    """One instance's mesh."""

    def __init__(self, network: Network, address: str) -> None:
        self.address = address
        self.listeners: list[Callable[[str], None]] = []
        self._network = network
        self._handlers: dict[str, Callable[[bytes], Awaitable[bytes]]] = {}
        network.nodes[address] = self

    def serve(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Answer calls of a kind."""
        self._handlers[kind] = handler

    def on_silence(self, listener: Callable[[str], None]) -> None:
        """Tell of broken connections."""
        self.listeners.append(listener)

    async def call(self, address: str, kind: str, body: bytes, *, timeout_s: float) -> bytes:
        """Call another node."""
        self._network.calls += 1
        try:
            with trio.fail_after(timeout_s):
                await self._travel(self.address, address)
                answer = await self._network.nodes[address]._handlers[kind](body)
                await self._travel(address, self.address)
                return answer
        except trio.TooSlowError:
            raise errors.BronzequayError(codes.ResultCode.PEER_TIMEOUT, "no answer") from None

    async def _travel(self, source: str, target: str) -> None:
        await trio.sleep(DELAY_S)
        if target not in self._network.nodes or not self._network.passes(source, target):
            await trio.sleep_forever()
