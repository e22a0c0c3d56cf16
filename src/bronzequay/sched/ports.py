"""Interfaces that the scheduler needs of the store and the mesh."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from bronzequay import codes
from bronzequay.store import purpose as purposes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bronzequay import errors, ids


Purpose = purposes.Purpose


class Entry(Protocol):
    """A key's value and the revision of its last change."""

    @property
    def key(self) -> str:
        """Return the key."""

    @property
    def value(self) -> bytes:
        """Return the value."""

    @property
    def rev(self) -> ids.Revision:
        """Return the revision of the last change."""


class InstanceEntry(Protocol):
    """One entry of the platform's list of instances, which lags behind."""

    @property
    def id(self) -> str:
        """Return the instance's id."""

    @property
    def kind(self) -> str:
        """Return ``entry``, ``worker`` or ``executor``."""

    @property
    def address(self) -> str:
        """Return the base URL or mesh address."""

    @property
    def state(self) -> str:
        """Return ``live`` or ``leaving``."""


class Store(Protocol):
    """The part of the platform's store that the scheduler uses."""

    async def get(self, key: str, *, purpose: Any) -> Entry | None:
        """Read a key, None if absent."""

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        rev: ids.Revision,
        purpose: Any,
        lease: ids.LeaseId | None = None,
    ) -> ids.Revision:
        """Write a key if its revision is ``rev``, else raise STORE_CONFLICT."""

    async def grant(self, ttl_s: float) -> ids.LeaseId:
        """Create a lease."""

    async def renew(self, lease: ids.LeaseId) -> None:
        """Renew a lease; raises LEASE_LOST if it has expired."""

    async def revoke(self, lease: ids.LeaseId) -> None:
        """Revoke a lease and delete the keys bound to it."""

    async def instances(self) -> tuple[Any, ...]:
        """Read the platform's list of ``InstanceEntry``, which lags behind."""


class Mesh(Protocol):
    """Messages between instances."""

    def serve(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Register the handler of a message kind."""

    async def call(self, address: str, kind: str, body: bytes, *, timeout_s: float) -> bytes:
        """Call a peer; raises PEER_TIMEOUT if the outcome is unknown."""


UNANSWERED_CODES = frozenset(
    {
        codes.ResultCode.STORE_TIMEOUT,
        codes.ResultCode.STORE_UNAVAILABLE,
        codes.ResultCode.STORE_BUDGET,
    }
)


def is_unanswered(exc: errors.BronzequayError) -> bool:
    """Return whether a store call may have taken effect although it failed."""
    return exc.code in UNANSWERED_CODES


__all__ = [
    "UNANSWERED_CODES",
    "Entry",
    "InstanceEntry",
    "Mesh",
    "Purpose",
    "Store",
    "is_unanswered",
]
