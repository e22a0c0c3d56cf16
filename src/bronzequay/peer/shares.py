"""Shares of many keys among the live instances, by rendezvous hashing."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay import ids

WEIGHT_BYTES = 8


def weight(key: str, member: ids.InstanceId) -> bytes:
    """Return a member's weight for a key; the highest owns it."""
    return hashlib.blake2b(f"{member}\0{key}".encode(), digest_size=WEIGHT_BYTES).digest()


class Shares:
    """Owner of each key among the members.

    A change of members moves only the keys that a lost member owned, or that a new one
    wins. Two instances with different views may both take a key for their own: what is
    done by shares has to be harmless when done twice.
    """

    def __init__(self) -> None:
        self._members: frozenset[ids.InstanceId] = frozenset()
        self._owners: dict[str, tuple[bytes, ids.InstanceId]] = {}

    def set_members(self, members: Iterable[ids.InstanceId]) -> None:
        """Change the members."""
        wanted = frozenset(members)
        lost = self._members - wanted
        new = wanted - self._members
        self._members = wanted
        for key, (best, owner) in list(self._owners.items()):
            if owner in lost:
                del self._owners[key]
                continue
            rivals = [(weight(key, member), member) for member in new]
            self._owners[key] = max([(best, owner), *rivals])

    def owner(self, key: str) -> ids.InstanceId | None:
        """Return the member that owns a key, None without members."""
        if not self._members:
            return None
        found = self._owners.get(key)
        if found is None:
            found = max((weight(key, member), member) for member in self._members)
            self._owners[key] = found
        return found[1]

    def forget(self, key: str) -> None:
        """Drop a key that is no longer asked for."""
        self._owners.pop(key, None)


__all__ = ["Shares", "weight"]
