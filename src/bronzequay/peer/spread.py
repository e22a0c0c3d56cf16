"""Spread of the newest version of one value among the instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.peer import members as member_views

KIND = "spread"
PULL_TIMEOUT_S = 2.0

_log = structlog.get_logger()


class Versioned(msgspec.Struct, array_like=True, frozen=True):
    """A value and its version."""

    version: int
    body: bytes


class Spread:
    """Keeps the highest version known, and pulls a higher one from any peer that has it.

    Heartbeats carry the version alone; a body travels once to each instance that lacks
    it. A lower version never replaces a higher one, from whatever source it comes.

    :param mesh: calls to the others
    :param on_newer: called with each version that replaces the last
    """

    def __init__(self, mesh: member_views.Caller, *, on_newer: Callable[[Versioned], None]) -> None:
        self._mesh = mesh
        self._on_newer = on_newer
        self._current = Versioned(version=0, body=b"")
        self._members: member_views.Members | None = None
        self._wanted: dict[str, int] = {}
        self._wake = trio.Event()
        mesh.serve(KIND, self._on_pull)

    @property
    def version(self) -> int:
        """Return the highest version known, 0 for none."""
        return self._current.version

    def follow(self, members: member_views.Members) -> None:
        """Learn the peers' versions from their heartbeats, and tell them of new ones."""
        self._members = members
        members.on_version(self._on_version)

    def offer(self, version: int, body: bytes) -> None:
        """Take in a version from the store or an operator; a lower one changes nothing."""
        self._adopt(Versioned(version=version, body=body))

    async def run(self) -> None:
        """Pull newer versions until cancelled."""
        while True:
            self._wake = trio.Event()
            address = self._best()
            if address is None:
                await self._wake.wait()
            else:
                await self._pull(address)

    def _best(self) -> str | None:
        """Return the peer with the highest version beyond ours."""
        self._wanted = {
            address: version for address, version in self._wanted.items() if version > self.version
        }
        return max(self._wanted, key=lambda address: self._wanted[address], default=None)

    async def _pull(self, address: str) -> None:
        # Its next heartbeat asks again if this pull fails.
        del self._wanted[address]
        try:
            body = await self._mesh.call(address, KIND, b"", timeout_s=PULL_TIMEOUT_S)
            found = msgspec.msgpack.decode(body, type=Versioned)
        except (errors.BronzequayError, msgspec.MsgspecError) as exc:
            _log.warning("spread_pull_failed", peer=address, error=str(exc))
            return
        self._adopt(found)

    def _adopt(self, found: Versioned) -> None:
        if found.version <= self.version:
            return
        self._current = found
        self._on_newer(found)
        if self._members is not None:
            self._members.nudge()

    def _on_version(self, address: str, version: int) -> None:
        if version > self.version:
            self._wanted[address] = version
            self._wake.set()

    async def _on_pull(self, _body: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        return msgspec.msgpack.encode(self._current)


__all__ = ["Spread", "Versioned"]
