"""Which version was in force on which instance, and since when, kept for the analyst.

Key ``bundle/adopted/INSTANCE`` holds the instance's latest adoptions. A write that fails is made
up for by the next one, so an outage delays the record and loses none that memory still holds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec
import structlog
import trio

from bronzequay import errors, ids
from bronzequay.store import client

if TYPE_CHECKING:
    from collections.abc import Callable

PREFIX = "bundle/adopted/"
KEPT = 256
"""Adoptions kept an instance."""
RETRY_S = 5.0
ABSENT = ids.Revision(0)

_log = structlog.get_logger()


class Adoption(msgspec.Struct, frozen=True):
    """One version that an instance put in force.

    :param at_s: seconds since the Unix epoch
    """

    version: ids.BundleVersion
    at_s: float


class InstanceAdoptions(msgspec.Struct, frozen=True):
    """Adoptions of one instance, oldest first."""

    instance: ids.InstanceId
    adoptions: tuple[Adoption, ...]


class Store(Protocol):
    """What this module needs of the store client."""

    async def get(self, key: str, *, purpose: client.Purpose) -> client.Entry | None:
        """Read one key."""

    async def put(
        self, key: str, value: bytes, *, rev: ids.Revision, purpose: client.Purpose
    ) -> ids.Revision:
        """Compare and swap one key."""

    async def range(self, prefix: str, *, purpose: client.Purpose) -> tuple[client.Entry, ...]:
        """Read all keys under a prefix."""


class Log:
    """Writes this instance's adoptions to the platform's service.

    :param store: the platform's service
    :param instance: this instance
    :param wall_clock: seconds since the Unix epoch
    """

    def __init__(
        self, *, store: Store, instance: ids.InstanceId, wall_clock: Callable[[], float]
    ) -> None:
        self._store = store
        self._key = PREFIX + instance
        self._wall_clock = wall_clock
        self._pending: list[Adoption] = []
        self._wake = trio.Event()

    def note(self, version: ids.BundleVersion) -> None:
        """Note that a version is in force here from now on."""
        self._pending.append(Adoption(version, self._wall_clock()))
        del self._pending[:-KEPT]
        self._wake.set()

    async def run(self) -> None:
        """Write what was noted until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._pending:
                try:
                    await self._write()
                except errors.BronzequayError as exc:
                    _log.warning("adoption_not_written", code=exc.code.value)
                    await trio.sleep(RETRY_S)

    async def _write(self) -> None:
        entry = await self._store.get(self._key, purpose=client.Purpose.BUNDLE)
        known = _decode(entry.value) if entry else ()
        noted = tuple(self._pending)
        value = msgspec.json.encode((*known, *noted)[-KEPT:])
        rev = entry.rev if entry else ABSENT
        await self._store.put(self._key, value, rev=rev, purpose=client.Purpose.BUNDLE)
        del self._pending[: len(noted)]


def _decode(value: bytes) -> tuple[Adoption, ...]:
    return msgspec.json.decode(value, type=tuple[Adoption, ...])


async def read_all(store: Store) -> tuple[InstanceAdoptions, ...]:
    """Return the kept adoptions of every instance."""
    entries = await store.range(PREFIX, purpose=client.Purpose.READ)
    return tuple(
        InstanceAdoptions(ids.InstanceId(entry.key.removeprefix(PREFIX)), _decode(entry.value))
        for entry in entries
    )


__all__ = ["KEPT", "Adoption", "InstanceAdoptions", "Log", "read_all"]
