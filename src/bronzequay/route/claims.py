"""Claims of non-idempotent requests, so that a caller's key runs at most once.

A claim is durable before its request is sent. Claims of one instance are grouped: each of a
fixed number of buckets is written at most once an interval, whatever the rate of requests.
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


class _Send:
    """A send of this instance that asks for a claim or holds it.

    :param outcome: none when it ended without one
    """

    __slots__ = ("claim", "digest", "done", "outcome")

    def __init__(self, digest: bytes, claim: claim_bucket.Claim) -> None:
        self.digest = digest
        self.claim = claim
        self.done = trio.Event()
        self.outcome: Outcome | None = None


class Claims:
    """Claims of one service, shared by all instances through the store.

    :param store: the platform's key-value service
    :param service: the service that the requests are for
    :param instance: this instance
    :param wall_clock: seconds since the Unix epoch
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
        self._sends: dict[bytes, _Send] = {}
        self._writers = [
            claim_writer.Writer(
                store=store, key=f"claims/{service}/{number}", wall_clock=wall_clock
            )
            for number in range(BUCKETS)
        ]

    async def claim(self, req: model.Request, *, deadline_s: float) -> model.Response | None:
        """Claim a request, or return the recorded answer of the first send.

        A request without a key is not claimed: no second send could name it.

        :param deadline_s: seconds to wait for the store or for an earlier send
        :return: nothing when the request is to be sent; it must be settled then
        :raises BronzequayError: STORE_UNAVAILABLE or QUEUE_FULL: not run; KEY_REUSED,
            EXECUTOR_FAILED or OUTCOME_UNKNOWN: by the record of an earlier send
        """
        if req.key is None:
            return None
        digest = claim_bucket.digest_of(req)
        until_s = trio.current_time() + deadline_s
        while (earlier := self._sends.get(digest)) is not None:
            answer = await _wait(earlier, req, until_s)
            if answer is not None:
                return answer
        send = _Send(digest, self._new_claim(req))
        self._sends[digest] = send
        is_ours = False
        try:
            held = await self._ask(send, until_s)
            is_ours = held is None
        finally:
            if not is_ours:
                self._finish(send, None)
        return None if held is None else claim_bucket.recall(held, req)

    def settle(self, req: model.Request, outcome: Outcome) -> None:
        """Record the outcome of a claimed request soon, without waiting."""
        if req.key is None:
            return
        digest = claim_bucket.digest_of(req)
        send = self._sends[digest]
        record = claim_bucket.settled(send.claim, outcome)
        settlement = claim_bucket.Settlement(digest, send.claim.owner, record)
        self._writer(digest).settle(settlement)
        self._finish(send, outcome)

    async def run(self) -> None:
        """Write claims until cancelled."""
        async with trio.open_nursery() as nursery:
            for writer in self._writers:
                nursery.start_soon(writer.run)

    async def drain(self) -> None:
        """Wait until every outcome is recorded, for a bounded time."""
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            for writer in self._writers:
                await writer.drain()

    def dump(self) -> dict[str, object]:
        """Return the state for the operators' dump."""
        return {
            "in_progress": len(self._sends),
            "pending": sum(writer.pending() for writer in self._writers),
            "writes": sum(writer.writes for writer in self._writers),
            "reads": sum(writer.reads for writer in self._writers),
        }

    async def _ask(self, send: _Send, until_s: float) -> claim_bucket.Claim | None:
        """Ask until the claim is given or an earlier one has an outcome."""
        poll_s = FIRST_POLL_S
        while True:
            ask = claim_bucket.Ask(send.digest, send.claim, trio.Event())
            await self._writer(send.digest).ask(ask, until_s=until_s)
            held = ask.held
            if held is None or held.state is not claim_bucket.ClaimState.CLAIMED:
                return held
            if held.body != send.claim.body or trio.current_time() + poll_s >= until_s:
                return held
            await trio.sleep(poll_s)
            poll_s = min(2 * poll_s, MAX_POLL_S)

    def _finish(self, send: _Send, outcome: Outcome | None) -> None:
        del self._sends[send.digest]
        send.outcome = outcome
        send.done.set()

    def _new_claim(self, req: model.Request) -> claim_bucket.Claim:
        return claim_bucket.Claim(
            state=claim_bucket.ClaimState.CLAIMED,
            owner=f"{self._instance}/{self._incarnation}/{next(self._serial)}",
            body=claim_bucket.body_digest_of(req),
        )

    def _writer(self, digest: bytes) -> claim_writer.Writer:
        return self._writers[digest[0] % BUCKETS]


async def _wait(earlier: _Send, req: model.Request, until_s: float) -> model.Response | None:
    """Answer from an earlier send of this instance, or return none if it was not run."""
    if earlier.claim.body != claim_bucket.body_digest_of(req):
        return claim_bucket.recall(earlier.claim, req)
    with trio.move_on_at(until_s):
        await earlier.done.wait()
    if not earlier.done.is_set():
        return claim_bucket.recall(earlier.claim, req)
    outcome = earlier.outcome
    if isinstance(outcome, model.Response):
        return model.Response(req.request_id, outcome.body, outcome.executor, outcome.code)
    if outcome is None or claim_bucket.is_not_run(outcome.code):
        return None
    raise errors.BronzequayError(outcome.code, outcome.message)


__all__ = ["Claims"]
