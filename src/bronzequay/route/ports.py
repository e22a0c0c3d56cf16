"""Interfaces that the router needs from other packages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from bronzequay import errors, ids
    from bronzequay.route import model
    from bronzequay.store import client, purpose
    from bronzequay.work import executor


class RunClient(Protocol):
    """The part of the executor adapter that the router uses."""

    async def call(
        self, address: str, *, request_id: ids.RequestId, body: bytes, deadline_s: float
    ) -> executor.Answer:
        """Run one request; see ``bronzequay.work.executor.ExecutorClient.call``."""
        ...

    async def describe(self, address: str, *, deadline_s: float = 1.0) -> executor.Description:
        """Ask an executor about itself."""
        ...


class ClaimBook(Protocol):
    """Durable claims of non-idempotent requests."""

    async def claim(self, req: model.Request, *, deadline_s: float) -> model.Response | None:
        """Claim a request, or return the recorded answer of the first send.

        :raises BronzequayError: refused as not run, or the outcome is not known
        """
        ...

    def settle(self, req: model.Request, outcome: model.Response | errors.BronzequayError) -> None:
        """Record the outcome of a claimed request soon, without waiting."""
        ...

    async def run(self) -> None:
        """Write claims until cancelled."""
        ...

    async def drain(self) -> None:
        """Wait until every outcome is recorded, for a bounded time."""
        ...

    def dump(self) -> dict[str, object]:
        """Return the state for the operators' dump."""
        ...


class ClaimStore(Protocol):
    """The part of the store client that claims use."""

    async def get(self, key: str, *, purpose: purpose.Purpose) -> client.Entry | None:
        """Read a key."""
        ...

    async def put(
        self, key: str, value: bytes, *, rev: ids.Revision, purpose: purpose.Purpose
    ) -> ids.Revision:
        """Write a key if its revision is still ``rev``."""
        ...


__all__ = ["ClaimBook", "ClaimStore", "RunClient"]
