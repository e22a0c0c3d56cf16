"""Writes one bucket of claims, many changes at a time."""

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

INTERVAL_S = 0.4
DOWN_S = 1.0
MAX_TRIES = 6
MAX_TIMEOUTS = 2
BACKOFF_S = 0.005
MAX_PENDING = 10_000
ABSENT = ids.Revision(0)
CLAIM = purpose.Purpose.CLAIM

Code = codes.ResultCode


class Writer:
    """Group commit of one bucket.

    :param store: the platform's key-value service
    :param key: the bucket's key
    :param wall_clock: seconds since the Unix epoch
    """

    def __init__(
        self, *, store: ports.ClaimStore, key: str, wall_clock: Callable[[], float]
    ) -> None:
        self._store = store
        self._key = key
        self._wall_clock = wall_clock
        self._rng = random.Random(key)  # noqa: S311 - spreads retries, no secret
        self._asks: list[claim_bucket.Ask] = []
        self._settlements: list[claim_bucket.Settlement] = []
        self._wake = trio.Event()
        self._flushed = trio.Event()
        self._bucket: claim_bucket.Bucket | None = None
        self._rev = ABSENT
        self._is_contended = False
        self._needs_fence = False
        self._down_until_s = 0.0
        self.writes = 0
        self.reads = 0

    async def ask(self, ask: claim_bucket.Ask, *, until_s: float) -> None:
        """Have a claim written; ``ask.held`` tells the claim in its way.

        :param until_s: time on the runtime's clock
        :raises BronzequayError: STORE_UNAVAILABLE or QUEUE_FULL; nothing is claimed
        """
        if trio.current_time() < self._down_until_s:
            raise _unavailable()
        self._asks.append(ask)
        self._wake.set()
        try:
            with trio.move_on_at(until_s):
                await ask.done.wait()
        finally:
            if not ask.done.is_set():
                self._give_up(ask)
        if ask.is_failed or not ask.done.is_set():
            raise _unavailable()
        if ask.is_full:
            raise errors.BronzequayError(
                Code.QUEUE_FULL, "too many claims are kept", retry_after_s=claim_bucket.KEEP_S
            )

    def settle(self, settlement: claim_bucket.Settlement) -> None:
        """Write an outcome with the next group; in a long outage the oldest are dropped."""
        self._settlements.append(settlement)
        del self._settlements[:-MAX_PENDING]
        self._wake.set()

    async def run(self) -> None:
        """Write groups until cancelled, at most one an interval."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            is_written = await self._flush()
            await trio.sleep(INTERVAL_S if is_written else DOWN_S)
            if self.pending():
                self._wake.set()

    async def drain(self) -> None:
        """Wait until nothing is left to write."""
        while self.pending():
            await self._flushed.wait()

    def pending(self) -> int:
        """Return the number of changes to write."""
        return len(self._asks) + len(self._settlements)

    def _give_up(self, ask: claim_bucket.Ask) -> None:
        """Release a claim that nobody waits for; it may be written already."""
        ask.is_given_up = True
        self.settle(claim_bucket.Settlement(ask.digest, ask.claim.owner, None))

    async def _flush(self) -> bool:
        asks = [ask for ask in self._asks if not ask.is_given_up]
        settlements = list(self._settlements)
        self._asks.clear()
        try:
            await self._write(asks, settlements)
        except errors.BronzequayError:
            self._down_until_s = trio.current_time() + DOWN_S
            for ask in asks:
                ask.is_failed = True
                self._give_up(ask)
            return False
        finally:
            for ask in asks:
                ask.done.set()
            self._flushed.set()
            self._flushed = trio.Event()
        written = {id(settlement) for settlement in settlements}
        self._settlements = [each for each in self._settlements if id(each) not in written]
        return True

    async def _write(
        self, asks: list[claim_bucket.Ask], settlements: list[claim_bucket.Settlement]
    ) -> None:
        is_fresh = False
        timeouts = 0
        if self._is_contended:
            self._bucket = None
        for number in range(MAX_TRIES):
            try:
                if self._bucket is None:
                    await self._read()
                    is_fresh = True
                if await self._apply(asks, settlements, is_fresh=is_fresh):
                    return
            except errors.BronzequayError as exc:
                timeouts += exc.code is Code.STORE_TIMEOUT
                self._note_error(exc, timeouts)
                await trio.sleep(self._rng.uniform(0, BACKOFF_S * 2**number))
        raise _unavailable()

    async def _apply(
        self,
        asks: list[claim_bucket.Ask],
        settlements: list[claim_bucket.Settlement],
        *,
        is_fresh: bool,
    ) -> bool:
        bucket, self._bucket = self._bucket, None
        if bucket is None:
            raise AssertionError("the bucket was not read")
        is_changed = bucket.apply(asks, settlements, now_s=self._wall_clock())
        if not is_changed and not self._needs_fence:
            if is_fresh:
                self._bucket = bucket
            return is_fresh
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

    def _note_error(self, exc: errors.BronzequayError, timeouts: int) -> None:
        """Decide whether to try again.

        A write without an answer may take effect later; the next write fences it.
        """
        if exc.code is Code.STORE_TIMEOUT:
            self._needs_fence = True
        if exc.code is Code.STORE_CONFLICT:
            self._is_contended = True
        elif exc.code is not Code.STORE_TIMEOUT or timeouts >= MAX_TIMEOUTS:
            raise exc


def _unavailable() -> errors.BronzequayError:
    return errors.BronzequayError(
        Code.STORE_UNAVAILABLE,
        "the request could not be claimed and was not run",
        retry_after_s=DOWN_S,
    )


__all__ = ["Writer"]
