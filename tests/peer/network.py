"""In-memory network of meshes for a mock clock, with cuts in one or both directions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

DELAY_S = 0.001


class Network:
    """Delivers calls between nodes, except in the directions in ``cuts``."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.calls = 0

    def is_passable(self, source: str, target: str) -> bool:
        """Return whether a message reaches its target."""
        return (source, target) not in self.cuts and not {source, target} & self.down

    def cut_both(self, address_1: str, address_2: str) -> None:
        """Cut the connection of two nodes in both directions."""
        self.cuts |= {(address_1, address_2), (address_2, address_1)}

    def kill(self, address: str) -> None:
        """Kill a node; the others observe that their connections break."""
        self.down.add(address)
        for node in self.nodes.values():
            for listener in node.listeners:
                listener(address)


class Node:
    """Mesh of one instance."""

    def __init__(self, network: Network, address: str) -> None:
        self.address = address
        self.listeners: list[Callable[[str], None]] = []
        self._network = network
        self._handlers: dict[str, Callable[[bytes], Awaitable[bytes]]] = {}
        network.nodes[address] = self

    def serve(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Register the handler for calls of a kind."""
        self._handlers[kind] = handler

    def add_silence_listener(self, listener: Callable[[str], None]) -> None:
        """Register a listener for broken connections."""
        self.listeners.append(listener)

    async def call(self, address: str, kind: str, body: bytes, *, timeout_s: float) -> bytes:
        """Call another node."""
        self._network.calls += 1
        try:
            with trio.fail_after(timeout_s):
                await self._deliver(self.address, address)
                answer = await self._network.nodes[address]._handlers[kind](body)
                await self._deliver(address, self.address)
                return answer
        except trio.TooSlowError:
            raise errors.BronzequayError(codes.ResultCode.PEER_TIMEOUT, "no answer") from None

    async def _deliver(self, source: str, target: str) -> None:
        await trio.sleep(DELAY_S)
        if target not in self._network.nodes or not self._network.is_passable(source, target):
            await trio.sleep_forever()
