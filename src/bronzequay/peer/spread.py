"""Spread of the newest version of a value, such as a bundle, among the instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.peer import members as member_views

MESSAGE_KIND = "spread"
PULL_TIMEOUT_S = 2.0

_log = structlog.get_logger()


class Versioned(msgspec.Struct, array_like=True, frozen=True):
    """A value and its version."""

    version: int
    body: bytes


class Spread:
    """Holds the highest known version and pulls a higher one from a peer that has it.

    Heartbeats carry only the version number; the body is sent once to each instance that
    lacks it. A lower version never replaces a higher one, whatever its source.

    :param mesh: makes calls to the peers
    :param on_new_version: called with each value that replaces an older one
    """

    def __init__(
        self, mesh: member_views.Mesh, *, on_new_version: Callable[[Versioned], None]
    ) -> None:
        self._mesh = mesh
        self._on_new_version = on_new_version
        self._current = Versioned(version=0, body=b"")
        self._members: member_views.Members | None = None
        self._newer_versions: dict[str, int] = {}
        self._wake = trio.Event()
        mesh.serve(MESSAGE_KIND, self._on_pull)

    @property
    def version(self) -> int:
        """Return the highest known version, 0 if there is none."""
        return self._current.version

    def attach_members(self, members: member_views.Members) -> None:
        """Read the peers' versions from their heartbeats, and announce new ones to them."""
        self._members = members
        members.add_version_listener(self._on_version)

    def offer(self, version: int, body: bytes) -> None:
        """Adopt a version from the store or an operator; a lower or equal one is ignored."""
        self._adopt(Versioned(version=version, body=body))

    async def run(self) -> None:
        """Pull newer versions until cancelled."""
        while True:
            self._wake = trio.Event()
            address = self._select_peer()
            if address is None:
                await self._wake.wait()
            else:
                await self._pull(address)

    def _select_peer(self) -> str | None:
        """Return the peer with the highest version above this instance's, None without one."""
        self._newer_versions = {
            address: version
            for address, version in self._newer_versions.items()
            if version > self.version
        }
        return max(
            self._newer_versions, key=lambda address: self._newer_versions[address], default=None
        )

    async def _pull(self, address: str) -> None:
        # If this pull fails, the peer's next heartbeat triggers another one.
        del self._newer_versions[address]
        try:
            body = await self._mesh.call(address, MESSAGE_KIND, b"", timeout_s=PULL_TIMEOUT_S)
            pulled = msgspec.msgpack.decode(body, type=Versioned)
        except (errors.BronzequayError, msgspec.MsgspecError) as exc:
            _log.warning("spread_pull_failed", peer=address, error=str(exc))
            return
        self._adopt(pulled)

    def _adopt(self, candidate: Versioned) -> None:
        if candidate.version <= self.version:
            return
        self._current = candidate
        self._on_new_version(candidate)
        if self._members is not None:
            self._members.send_heartbeats_now()

    def _on_version(self, address: str, version: int) -> None:
        if version > self.version:
            self._newer_versions[address] = version
            self._wake.set()

    async def _on_pull(self, _body: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        return msgspec.msgpack.encode(self._current)


__all__ = ["Spread", "Versioned"]
