"""State of the platform's stand-in: keys, leases and the lagging instance list."""

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
    :param rev: the key's present revision, for a conflict
    """

    def __init__(self, status: int, *, rev: int = 0) -> None:
        super().__init__(status)
        self.status = status
        self.rev = rev


@dataclasses.dataclass(slots=True)
class Item:
    """A key's newest value; ``value`` is None once the key is deleted."""

    key: str
    rev: int
    value: bytes | None
    lease: str | None = None


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease and the time at which it runs out, in seconds of the clock."""

    ttl_s: float
    expires_s: float


class PlatformState:
    """Everything the stand-in keeps, in memory.

    :param clock: seconds, monotonic
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.rev = 0
        self.items: dict[str, Item] = {}
        self.leases: dict[str, Lease] = {}
        self._instances: dict[str, list[tuple[float, dict[str, str] | None]]] = {}
        self.on_change: Callable[[], None] = lambda: None

    def expire(self) -> None:
        """Drop the leases that have run out, with their keys."""
        now = self._clock()
        for lease_id in [name for name, lease in self.leases.items() if lease.expires_s <= now]:
            self.revoke(lease_id)

    def next_expiry_s(self) -> float:
        """Return the time at which the next lease runs out, or infinity."""
        return min((lease.expires_s for lease in self.leases.values()), default=math.inf)

    def get(self, key: str) -> Item | None:
        """Return the key's present item."""
        item = self.items.get(key)
        return item if item is not None and item.value is not None else None

    def put(self, key: str, value: bytes, *, rev: int, lease: str | None) -> int:
        """Write if the key's revision is ``rev``.

        :return: the new revision
        :raises RefusedError: 409, 410 or 413
        """
        if len(value) > MAX_VALUE_BYTES:
            raise RefusedError(413)
        if lease is not None and lease not in self.leases:
            raise RefusedError(410)
        self._check_rev(key, rev)
        return self._change(key, value, lease)

    def delete(self, key: str, *, rev: int) -> int:
        """Delete if the key's revision is ``rev``.

        :raises RefusedError: 404 or 409
        """
        if self.get(key) is None:
            raise RefusedError(404)
        self._check_rev(key, rev)
        return self._change(key, None, None)

    def range(self, prefix: str) -> list[Item]:
        """Return the present items under a prefix, sorted by key."""
        keys = sorted(key for key in self.items if key.startswith(prefix))
        return [item for key in keys if (item := self.get(key)) is not None]

    def changes(self, prefix: str, after: int) -> list[Item]:
        """Return the newest change of each key under a prefix since a revision."""
        found = [
            item for item in self.items.values() if item.rev > after and item.key.startswith(prefix)
        ]
        return sorted(found, key=lambda item: item.rev)

    def grant(self, ttl_s: float) -> str:
        """Make a lease."""
        lease_id = uuid.uuid4().hex
        self.leases[lease_id] = Lease(ttl_s=ttl_s, expires_s=self._clock() + ttl_s)
        return lease_id

    def renew(self, lease_id: str) -> None:
        """Start the lease's time anew.

        :raises RefusedError: 410
        """
        lease = self.leases.get(lease_id)
        if lease is None:
            raise RefusedError(410)
        lease.expires_s = self._clock() + lease.ttl_s

    def revoke(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease_id, None)
        bound = [item.key for item in self.items.values() if item.lease == lease_id]
        for key in bound:
            self._change(key, None, None)

    def set_instance(self, instance_id: str, entry: dict[str, str] | None) -> None:
        """Record an instance's entry, or its removal with None."""
        self._instances.setdefault(instance_id, []).append((self._clock(), entry))

    def instances(self, lag_s: float) -> list[dict[str, str]]:
        """Return the instances as they were ``lag_s`` seconds ago."""
        horizon = self._clock() - lag_s
        seen = []
        for history in self._instances.values():
            past = [entry for at_s, entry in history if at_s <= horizon]
            if past and past[-1] is not None:
                seen.append(past[-1])
        return seen

    def _check_rev(self, key: str, rev: int) -> None:
        item = self.get(key)
        present = item.rev if item is not None else 0
        if present != rev:
            raise RefusedError(409, rev=present)

    def _change(self, key: str, value: bytes | None, lease: str | None) -> int:
        self.rev += 1
        self.items[key] = Item(key=key, rev=self.rev, value=value, lease=lease)
        self.on_change()
        return self.rev


__all__ = ["MAX_VALUE_BYTES", "Item", "Lease", "PlatformState", "RefusedError"]
