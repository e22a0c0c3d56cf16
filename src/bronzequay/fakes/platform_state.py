"""State of the platform's stand-in: keys, leases and the instance list with its lag."""

from __future__ import annotations

import dataclasses
import math
import uuid
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_VALUE_BYTES = 1_000_000


class RefusedError(Exception):
    """Refusal of a call.

    :param status: HTTP status
    :param rev: current revision of the key, for a conflict
    """

    def __init__(self, status: int, *, rev: int = 0) -> None:
        super().__init__(status)
        self.status = status
        self.rev = rev


@dataclasses.dataclass(slots=True)
class Item:
    """The newest value of a key; ``value`` is None once the key is deleted."""

    key: str
    rev: int
    value: bytes | None
    lease: str | None = None


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease with its duration and the time at which it expires, in seconds of the clock."""

    ttl_s: float
    expires_s: float


class PlatformState:
    """Keys, leases and instances, held in memory.

    :param clock: returns the monotonic time, in seconds
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.rev = 0
        self.items: dict[str, Item] = {}
        self.leases: dict[str, Lease] = {}
        self._instances: dict[str, list[tuple[float, dict[str, str] | None]]] = {}
        self.on_change: Callable[[], None] = lambda: None

    def expire(self) -> None:
        """Revoke the leases that have expired and delete their keys."""
        now_s = self._clock()
        for lease_id in [name for name, lease in self.leases.items() if lease.expires_s <= now_s]:
            self.revoke(lease_id)

    def next_expiry_s(self) -> float:
        """Return the time at which the next lease expires, or infinity without leases."""
        return min((lease.expires_s for lease in self.leases.values()), default=math.inf)

    def get(self, key: str) -> Item | None:
        """Return the item of a key, or None if the key does not exist or is deleted."""
        item = self.items.get(key)
        return item if item is not None and item.value is not None else None

    def put(self, key: str, value: bytes, *, rev: int, lease: str | None) -> int:
        """Write a key if its revision is ``rev``.

        :return: the new revision
        :raises RefusedError: 409 on a conflict, 410 without the lease, 413 for too large a value
        """
        if len(value) > MAX_VALUE_BYTES:
            raise RefusedError(413)
        if lease is not None and lease not in self.leases:
            raise RefusedError(410)
        self._check_rev(key, rev)
        return self._write_item(key, value, lease)

    def delete(self, key: str, *, rev: int) -> int:
        """Delete a key if its revision is ``rev``.

        :return: the new revision
        :raises RefusedError: 404 if it does not exist, 409 on a conflict
        """
        if self.get(key) is None:
            raise RefusedError(404)
        self._check_rev(key, rev)
        return self._write_item(key, None, None)

    def range(self, prefix: str) -> list[Item]:
        """Return the existing items under a prefix, sorted by key."""
        keys = sorted(key for key in self.items if key.startswith(prefix))
        return [item for key in keys if (item := self.get(key)) is not None]

    def changes(self, prefix: str, after: int) -> list[Item]:
        """Return the items under a prefix that changed after a revision, deleted ones too.

        Each key appears once, with its newest change; the items are sorted by revision.
        """
        changes = [
            item for item in self.items.values() if item.rev > after and item.key.startswith(prefix)
        ]
        return sorted(changes, key=lambda item: item.rev)

    def grant(self, ttl_s: float) -> str:
        """Grant a lease and return its id."""
        lease_id = uuid.uuid4().hex
        self.leases[lease_id] = Lease(ttl_s=ttl_s, expires_s=self._clock() + ttl_s)
        return lease_id

    def renew(self, lease_id: str) -> None:
        """Renew a lease for its full duration.

        :raises RefusedError: 410 if the lease does not exist
        """
        lease = self.leases.get(lease_id)
        if lease is None:
            raise RefusedError(410)
        lease.expires_s = self._clock() + lease.ttl_s

    def revoke(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease_id, None)
        keys = [item.key for item in self.items.values() if item.lease == lease_id]
        for key in keys:
            self._write_item(key, None, None)

    def set_instance(self, instance_id: str, entry: dict[str, str] | None) -> None:
        """Record an instance's entry, or its removal if the entry is None."""
        self._instances.setdefault(instance_id, []).append((self._clock(), entry))

    def instances(self, lag_s: float) -> list[dict[str, str]]:
        """Return the instances as they were ``lag_s`` seconds ago."""
        as_of_s = self._clock() - lag_s
        entries = []
        for history in self._instances.values():
            past = [entry for at_s, entry in history if at_s <= as_of_s]
            if past and past[-1] is not None:
                entries.append(past[-1])
        return entries

    def _check_rev(self, key: str, rev: int) -> None:
        item = self.get(key)
        current_rev = item.rev if item is not None else 0
        if current_rev != rev:
            raise RefusedError(409, rev=current_rev)

    def _write_item(self, key: str, value: bytes | None, lease: str | None) -> int:
        self.rev += 1
        self.items[key] = Item(key=key, rev=self.rev, value=value, lease=lease)
        self.on_change()
        return self.rev


__all__ = ["MAX_VALUE_BYTES", "Item", "Lease", "PlatformState", "RefusedError"]
