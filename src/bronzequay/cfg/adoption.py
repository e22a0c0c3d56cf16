"""Records for the analyst which instance adopted which bundle version, and when.

Key ``bundle/adopted/INSTANCE`` holds the instance's latest adoptions. A failed write is repeated
together with later adoptions, so an outage of the platform's service delays the record and loses
no adoption that is still held in memory.
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
MAX_ADOPTIONS = 256
"""Latest adoptions stored per instance; older ones are dropped."""
RETRY_S = 5.0
ABSENT = ids.Revision(0)

_log = structlog.get_logger()


class Adoption(msgspec.Struct, frozen=True):
    """Adoption of one bundle version by an instance.

    :param at_s: seconds since the Unix epoch
    """

    version: ids.BundleVersion
    at_s: float


class InstanceAdoptions(msgspec.Struct, frozen=True):
    """Adoptions of one instance, oldest first."""

    instance: ids.InstanceId
    adoptions: tuple[Adoption, ...]


class Store(Protocol):
    """The part of the store client that this module uses."""

    async def get(self, key: str, *, purpose: client.Purpose) -> client.Entry | None:
        """Read one key."""

    async def put(
        self, key: str, value: bytes, *, rev: ids.Revision, purpose: client.Purpose
    ) -> ids.Revision:
        """Compare and swap one key."""

    async def range(self, prefix: str, *, purpose: client.Purpose) -> tuple[client.Entry, ...]:
        """Read all keys under a prefix."""


class AdoptionLog:
    """Writes this instance's adoptions to the platform's service.

    :param store: client of the platform's service
    :param instance: this instance
    :param wall_clock: returns seconds since the Unix epoch
    """

    def __init__(
        self, *, store: Store, instance: ids.InstanceId, wall_clock: Callable[[], float]
    ) -> None:
        self._store = store
        self._key = PREFIX + instance
        self._wall_clock = wall_clock
        self._pending: list[Adoption] = []
        self._pending_added = trio.Event()

    def record(self, version: ids.BundleVersion) -> None:
        """Record that this instance has just adopted a version."""
        self._pending.append(Adoption(version, self._wall_clock()))
        del self._pending[:-MAX_ADOPTIONS]
        self._pending_added.set()

    async def run(self) -> None:
        """Write recorded adoptions until cancelled."""
        while True:
            await self._pending_added.wait()
            self._pending_added = trio.Event()
            while self._pending:
                try:
                    await self._write()
                except errors.BronzequayError as exc:
                    _log.warning("adoption_not_written", code=exc.code.value)
                    await trio.sleep(RETRY_S)

    async def _write(self) -> None:
        entry = await self._store.get(self._key, purpose=client.Purpose.BUNDLE)
        stored = _decode(entry.value) if entry else ()
        pending = tuple(self._pending)
        value = msgspec.json.encode((*stored, *pending)[-MAX_ADOPTIONS:])
        rev = entry.rev if entry else ABSENT
        await self._store.put(self._key, value, rev=rev, purpose=client.Purpose.BUNDLE)
        del self._pending[: len(pending)]


def _decode(value: bytes) -> tuple[Adoption, ...]:
    return msgspec.json.decode(value, type=tuple[Adoption, ...])


async def read_all(store: Store) -> tuple[InstanceAdoptions, ...]:
    """Return the stored adoptions of every instance."""
    entries = await store.range(PREFIX, purpose=client.Purpose.READ)
    return tuple(
        InstanceAdoptions(ids.InstanceId(entry.key.removeprefix(PREFIX)), _decode(entry.value))
        for entry in entries
    )


__all__ = ["MAX_ADOPTIONS", "Adoption", "AdoptionLog", "InstanceAdoptions", "read_all"]
