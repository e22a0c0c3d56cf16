"""Writes the changes to one bucket of claims in groups."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors, ids
from bronzequay.route import claim_bucket
from bronzequay.store import purpose

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.route import ports

WRITE_INTERVAL_S = 0.4
OUTAGE_BACKOFF_S = 1.0
MAX_ATTEMPTS = 6
MAX_TIMEOUTS = 2
BASE_BACKOFF_S = 0.005
MAX_PENDING = 10_000
ABSENT = ids.Revision(0)
CLAIM = purpose.Purpose.CLAIM

Code = codes.ResultCode


class BucketWriter:
    """Group commit of one bucket.

    :param store: client of the platform's key-value service
    :param key: key of the bucket in the store
    :param wall_clock: returns seconds since the Unix epoch
    """

    def __init__(
        self, *, store: ports.ClaimStore, key: str, wall_clock: Callable[[], float]
    ) -> None:
        self._store = store
        self._key = key
        self._wall_clock = wall_clock
        self._rng = random.Random(key)  # noqa: S311 - spreads retries, no secret
        self._claim_requests: list[claim_bucket.ClaimRequest] = []
        self._settlements: list[claim_bucket.Settlement] = []
        self._wake = trio.Event()
        self._flushed = trio.Event()
        self._bucket: claim_bucket.Bucket | None = None
        self._rev = ABSENT
        self._is_contended = False
        self._needs_fence = False
        self._backoff_until_s = 0.0
        self.writes = 0
        self.reads = 0

    async def request_claim(
        self, claim_request: claim_bucket.ClaimRequest, *, deadline: float
    ) -> None:
        """Wait until a claim is written or refused.

        It is refused if ``claim_request.existing`` is set: another request holds the key.

        :param deadline: time on trio's clock, in seconds
        :raises BronzequayError: STORE_UNAVAILABLE or QUEUE_FULL; nothing is claimed
        """
        if trio.current_time() < self._backoff_until_s:
            raise _unavailable_error()
        self._claim_requests.append(claim_request)
        self._wake.set()
        try:
            with trio.move_on_at(deadline):
                await claim_request.done.wait()
        finally:
            if not claim_request.done.is_set():
                self._abandon(claim_request)
        if claim_request.is_store_failed or not claim_request.done.is_set():
            raise _unavailable_error()
        if claim_request.is_bucket_full:
            raise errors.BronzequayError(
                Code.QUEUE_FULL,
                "the bucket of claims for this key is full",
                retry_after_s=claim_bucket.RETENTION_S,
            )

    def settle(self, settlement: claim_bucket.Settlement) -> None:
        """Queue an outcome for the next write.

        Beyond ``MAX_PENDING`` outcomes, as in a long outage of the store, the oldest are dropped.
        """
        self._settlements.append(settlement)
        del self._settlements[:-MAX_PENDING]
        self._wake.set()

    async def run(self) -> None:
        """Write pending changes until cancelled, at most once an interval."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            is_written = await self._flush()
            await trio.sleep(WRITE_INTERVAL_S if is_written else OUTAGE_BACKOFF_S)
            if self.pending_count():
                self._wake.set()

    async def drain(self) -> None:
        """Wait until no change is pending."""
        while self.pending_count():
            await self._flushed.wait()

    def pending_count(self) -> int:
        """Return the number of pending changes."""
        return len(self._claim_requests) + len(self._settlements)

    def _abandon(self, claim_request: claim_bucket.ClaimRequest) -> None:
        """Remove a claim that nobody waits for any more; it may be written already."""
        claim_request.is_abandoned = True
        self.settle(claim_bucket.Settlement(claim_request.digest, claim_request.claim.owner, None))

    async def _flush(self) -> bool:
        claim_requests = [
            claim_request
            for claim_request in self._claim_requests
            if not claim_request.is_abandoned
        ]
        settlements = list(self._settlements)
        self._claim_requests.clear()
        try:
            await self._write(claim_requests, settlements)
        except errors.BronzequayError:
            self._backoff_until_s = trio.current_time() + OUTAGE_BACKOFF_S
            for claim_request in claim_requests:
                claim_request.is_store_failed = True
                self._abandon(claim_request)
            return False
        finally:
            for claim_request in claim_requests:
                claim_request.done.set()
            self._flushed.set()
            self._flushed = trio.Event()
        written = {id(settlement) for settlement in settlements}
        self._settlements = [
            settlement for settlement in self._settlements if id(settlement) not in written
        ]
        return True

    async def _write(
        self,
        claim_requests: list[claim_bucket.ClaimRequest],
        settlements: list[claim_bucket.Settlement],
    ) -> None:
        was_read = False
        timeouts = 0
        if self._is_contended:
            self._bucket = None
        for attempt in range(MAX_ATTEMPTS):
            try:
                if self._bucket is None:
                    await self._read()
                    was_read = True
                if await self._apply(claim_requests, settlements, was_read=was_read):
                    return
            except errors.BronzequayError as exc:
                timeouts += exc.code is Code.STORE_TIMEOUT
                self._handle_error(exc, timeouts)
                await trio.sleep(self._rng.uniform(0, BASE_BACKOFF_S * 2**attempt))
        raise _unavailable_error()

    async def _apply(
        self,
        claim_requests: list[claim_bucket.ClaimRequest],
        settlements: list[claim_bucket.Settlement],
        *,
        was_read: bool,
    ) -> bool:
        bucket, self._bucket = self._bucket, None
        if bucket is None:
            raise AssertionError("the bucket was not read")
        is_changed = bucket.apply(claim_requests, settlements, now_s=self._wall_clock())
        if not is_changed and not self._needs_fence:
            if was_read:
                self._bucket = bucket
            return was_read
        self.writes += 1
        self._rev = await self._store.put(
            self._key, claim_bucket.encode(bucket), rev=self._rev, purpose=CLAIM
        )
        self._needs_fence = False
        self._bucket = bucket
        return True

    async def _read(self) -> None:
        self.reads += 1
        entry = await self._store.get(self._key, purpose=CLAIM)
        rev = ABSENT if entry is None else entry.rev
        self._is_contended = self._is_contended and rev != self._rev
        self._rev = rev
        self._bucket = claim_bucket.decode(None if entry is None else entry.value)

    def _handle_error(self, exc: errors.BronzequayError, timeouts: int) -> None:
        """Return if the write may be retried, otherwise raise the error.

        A write that timed out may take effect later. The next write fences it: that write
        changes the revision, so the late one fails.
        """
        if exc.code is Code.STORE_TIMEOUT:
            self._needs_fence = True
        if exc.code is Code.STORE_CONFLICT:
            self._is_contended = True
        elif exc.code is not Code.STORE_TIMEOUT or timeouts >= MAX_TIMEOUTS:
            raise exc


def _unavailable_error() -> errors.BronzequayError:
    return errors.BronzequayError(
        Code.STORE_UNAVAILABLE,
        "the key of the request could not be claimed in the store; the request was not run",
        retry_after_s=OUTAGE_BACKOFF_S,
    )


__all__ = ["BucketWriter"]
