"""Assignment of keys to the live instances, by rendezvous hashing."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay import ids

WEIGHT_BYTES = 8


def weight(key: str, member: ids.InstanceId) -> bytes:
    """Return a member's weight for a key; the member with the highest weight owns it."""
    return hashlib.blake2b(f"{member}\0{key}".encode(), digest_size=WEIGHT_BYTES).digest()


class KeyOwners:
    """Owner of each key among the members.

    A change of members moves only the keys that a removed member owned or that an added
    one gets. Two instances with different views may both consider themselves the owner of
    a key, so work that is assigned this way must be harmless when done twice.
    """

    def __init__(self) -> None:
        self._members: frozenset[ids.InstanceId] = frozenset()
        self._owners: dict[str, tuple[bytes, ids.InstanceId]] = {}

    def set_members(self, members: Iterable[ids.InstanceId]) -> None:
        """Replace the members and update the owners of the known keys."""
        new_members = frozenset(members)
        removed = self._members - new_members
        added = new_members - self._members
        self._members = new_members
        for key, (owner_weight, owner) in list(self._owners.items()):
            if owner in removed:
                del self._owners[key]
                continue
            candidates = [(weight(key, member), member) for member in added]
            self._owners[key] = max([(owner_weight, owner), *candidates])

    def owner(self, key: str) -> ids.InstanceId | None:
        """Return the member that owns a key, None if there are no members."""
        if not self._members:
            return None
        weighted_owner = self._owners.get(key)
        if weighted_owner is None:
            weighted_owner = max((weight(key, member), member) for member in self._members)
            self._owners[key] = weighted_owner
        return weighted_owner[1]

    def remove_key(self, key: str) -> None:
        """Remove a key whose owner is no longer needed."""
        self._owners.pop(key, None)


__all__ = ["KeyOwners", "weight"]
