"""Interfaces between the request router and its dependencies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from bronzequay import errors, ids
    from bronzequay.route import model
    from bronzequay.store import client, purpose
    from bronzequay.work import executor


class RunClient(Protocol):
    """The calls of the executor client that the router uses."""

    async def call(
        self, address: str, *, request_id: ids.RequestId, body: bytes, deadline_s: float
    ) -> executor.Answer:
        """Run one request; see ``bronzequay.work.executor.ExecutorClient.call``."""
        ...

    async def describe(self, address: str, *, deadline_s: float = 1.0) -> executor.Description:
        """Return the executor's description of itself."""
        ...


class Claims(Protocol):
    """Durable claims on the deduplication keys of non-idempotent requests."""

    async def claim(self, req: model.Request, *, deadline_s: float) -> model.Response | None:
        """Claim the key of a request, or return the recorded answer of an earlier request.

        :raises BronzequayError: the request was not run, or the earlier request with this key
            failed, has an unknown outcome or had another body
        """
        ...

    def settle(self, req: model.Request, outcome: model.Response | errors.BronzequayError) -> None:
        """Queue the outcome of a claimed request for writing; does not wait for the write."""
        ...

    async def run(self) -> None:
        """Write claims and outcomes until cancelled."""
        ...

    async def drain(self) -> None:
        """Wait, up to a time limit, until every outcome is written."""
        ...

    def dump(self) -> dict[str, object]:
        """Return the state for the operators' state dump."""
        ...


class ClaimStore(Protocol):
    """The calls of the store client that claims use."""

    async def get(self, key: str, *, purpose: purpose.Purpose) -> client.Entry | None:
        """Return the entry of a key, or none if it does not exist."""
        ...

    async def put(
        self, key: str, value: bytes, *, rev: ids.Revision, purpose: purpose.Purpose
    ) -> ids.Revision:
        """Write a key if its revision is still ``rev`` and return the new revision."""
        ...


__all__ = ["ClaimStore", "Claims", "RunClient"]
