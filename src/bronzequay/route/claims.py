"""Durable claims on deduplication keys: a non-idempotent request runs at most once for a key.

A claim is durable before its request is sent to an executor. Claims are written in groups:
each instance writes each of a fixed number of buckets at most once an interval, whatever the
rate of requests.
"""

from __future__ import annotations

import itertools
import secrets
import time
from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors
from bronzequay.route import claim_bucket, claim_writer, model

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids
    from bronzequay.route import ports

BUCKETS = 8
FIRST_POLL_S = 0.25
MAX_POLL_S = 4.0
DRAIN_TIMEOUT_S = 5.0
INCARNATION_BYTES = 4

Code = codes.ResultCode
Outcome = model.Response | errors.BronzequayError


class _KeyedRequest:
    """A request with a key in progress on this instance.

    :param outcome: outcome of the request; none if it got no claim
    """

    __slots__ = ("claim", "digest", "done", "outcome")

    def __init__(self, digest: bytes, claim: claim_bucket.Claim) -> None:
        self.digest = digest
        self.claim = claim
        self.done = trio.Event()
        self.outcome: Outcome | None = None


class Claims:
    """Claims of one service, shared by all instances through the store.

    :param store: client of the platform's key-value service
    :param service: the service that the requests are for
    :param instance: id of this instance
    :param wall_clock: returns seconds since the Unix epoch
    """

    def __init__(
        self,
        *,
        store: ports.ClaimStore,
        service: ids.ServiceId,
        instance: ids.InstanceId,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._instance = instance
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._serial = itertools.count()
        self._in_progress: dict[bytes, _KeyedRequest] = {}
        self._writers = [
            claim_writer.BucketWriter(
                store=store, key=f"claims/{service}/{number}", wall_clock=wall_clock
            )
            for number in range(BUCKETS)
        ]

    async def claim(self, req: model.Request, *, deadline_s: float) -> model.Response | None:
        """Claim the key of a request, or return the recorded answer of an earlier request.

        A request without a key needs no claim: no later request can refer to it.

        :param deadline_s: seconds to wait for the store or for an earlier request
        :return: none if the request is to be sent; it must be settled afterwards
        :raises BronzequayError: STORE_UNAVAILABLE or QUEUE_FULL if the request was not run;
            KEY_REUSED, EXECUTOR_FAILED or OUTCOME_UNKNOWN by the record of an earlier request
        """
        if req.key is None:
            return None
        digest = claim_bucket.digest_of(req)
        deadline = trio.current_time() + deadline_s
        while (earlier := self._in_progress.get(digest)) is not None:
            answer = await _wait_for_earlier(earlier, req, deadline)
            if answer is not None:
                return answer
        entry = _KeyedRequest(digest, self._new_claim(req))
        self._in_progress[digest] = entry
        has_claim = False
        try:
            existing = await self._request_claim(entry, deadline)
            has_claim = existing is None
        finally:
            if not has_claim:
                self._finish(entry, None)
        return None if existing is None else claim_bucket.replay_outcome(existing, req)

    def settle(self, req: model.Request, outcome: Outcome) -> None:
        """Queue the outcome of a claimed request for writing; does not wait for the write."""
        if req.key is None:
            return
        digest = claim_bucket.digest_of(req)
        entry = self._in_progress[digest]
        record = claim_bucket.settled_claim(entry.claim, outcome)
        settlement = claim_bucket.Settlement(digest, entry.claim.owner, record)
        self._writer(digest).settle(settlement)
        self._finish(entry, outcome)

    async def run(self) -> None:
        """Write claims and outcomes until cancelled."""
        async with trio.open_nursery() as nursery:
            for writer in self._writers:
                nursery.start_soon(writer.run)

    async def drain(self) -> None:
        """Wait up to ``DRAIN_TIMEOUT_S`` until every outcome is written."""
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            for writer in self._writers:
                await writer.drain()

    def dump(self) -> dict[str, object]:
        """Return the state for the operators' state dump."""
        return {
            "in_progress": len(self._in_progress),
            "pending": sum(writer.pending_count() for writer in self._writers),
            "writes": sum(writer.writes for writer in self._writers),
            "reads": sum(writer.reads for writer in self._writers),
        }

    async def _request_claim(
        self, entry: _KeyedRequest, deadline: float
    ) -> claim_bucket.Claim | None:
        """Request a claim until it is granted or the existing claim has an outcome.

        :return: the existing claim; none if the claim was granted
        """
        poll_s = FIRST_POLL_S
        while True:
            claim_request = claim_bucket.ClaimRequest(entry.digest, entry.claim, trio.Event())
            await self._writer(entry.digest).request_claim(claim_request, deadline=deadline)
            existing = claim_request.existing
            if existing is None or existing.state is not claim_bucket.ClaimState.CLAIMED:
                return existing
            if (
                existing.body_digest != entry.claim.body_digest
                or trio.current_time() + poll_s >= deadline
            ):
                return existing
            await trio.sleep(poll_s)
            poll_s = min(2 * poll_s, MAX_POLL_S)

    def _finish(self, entry: _KeyedRequest, outcome: Outcome | None) -> None:
        del self._in_progress[entry.digest]
        entry.outcome = outcome
        entry.done.set()

    def _new_claim(self, req: model.Request) -> claim_bucket.Claim:
        return claim_bucket.Claim(
            state=claim_bucket.ClaimState.CLAIMED,
            owner=f"{self._instance}/{self._incarnation}/{next(self._serial)}",
            body_digest=claim_bucket.body_digest_of(req),
        )

    def _writer(self, digest: bytes) -> claim_writer.BucketWriter:
        return self._writers[digest[0] % BUCKETS]


async def _wait_for_earlier(
    earlier: _KeyedRequest, req: model.Request, deadline: float
) -> model.Response | None:
    """Return the answer of an earlier request on this instance, or none if it was not run."""
    if earlier.claim.body_digest != claim_bucket.body_digest_of(req):
        return claim_bucket.replay_outcome(earlier.claim, req)
    with trio.move_on_at(deadline):
        await earlier.done.wait()
    if not earlier.done.is_set():
        return claim_bucket.replay_outcome(earlier.claim, req)
    outcome = earlier.outcome
    if isinstance(outcome, model.Response):
        return model.Response(req.request_id, outcome.body, outcome.executor, outcome.code)
    if outcome is None or claim_bucket.is_not_run(outcome.code):
        return None
    raise errors.BronzequayError(outcome.code, outcome.message)


__all__ = ["Claims"]
