"""Rate limits of calls to the store, with a guaranteed share for each purpose."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors
from bronzequay.store import purpose as purposes

if TYPE_CHECKING:
    from collections.abc import Mapping

Purpose = purposes.Purpose

SHARES: Mapping[Purpose, float] = {
    Purpose.JOURNAL: 0.25,
    Purpose.CLAIM: 0.15,
    Purpose.BUNDLE: 0.05,
    Purpose.LEASE: 0.10,
    Purpose.MEMBERSHIP: 0.05,
    Purpose.READ: 0.10,
    Purpose.WATCH: 0.05,
}
COMMON_SHARE = 1.0 - sum(SHARES.values())
BURST_SHARE = 0.1
MIN_CALLS_PER_S = 2.0 * (len(Purpose) + 1)
SLOW_DOWN_FACTOR = 0.7
MIN_RATE_FACTOR = 0.1
RATE_RECOVERY_PER_S = 0.05
DEADLINE_MARGIN_S = 0.001
# Tolerance for rounding errors: without it a waiter could sleep although a token is available.
TOKEN_TOLERANCE = 1e-9


class _Bucket:
    """Token bucket that refills at a share of the rate, with a capacity of at least one."""

    def __init__(self, share: float, capacity: float) -> None:
        self.share = share
        self.capacity = capacity
        self.tokens = capacity

    def add(self, tokens: float) -> float:
        """Add tokens.

        :return: the number of tokens beyond the capacity
        """
        total = self.tokens + tokens
        self.tokens = min(self.capacity, total)
        return total - self.tokens

    def try_consume(self) -> bool:
        """Consume a token if one is available, and return whether it did."""
        if self.tokens < 1.0 - TOKEN_TOLERANCE:
            return False
        self.tokens -= 1.0
        return True


class Limiter:
    """Rate limiter whose limit holds for every interval of one second.

    Each purpose has its own share of the rate. The unused part goes to a common bucket,
    whose tokens go to the most urgent waiter first.

    :param calls_per_s: maximum number of calls in any second; values below 16 count as 16
    """

    def __init__(self, calls_per_s: float) -> None:
        self._limit_per_s = 0.0
        self._rate_per_s = 0.0
        self._rate_factor = 1.0
        self._refilled_s = trio.current_time()
        self._common = _Bucket(COMMON_SHARE, 1.0)
        self._buckets = {purpose: _Bucket(SHARES[purpose], 1.0) for purpose in Purpose}
        self._queues: dict[Purpose, collections.deque[trio.Event]] = {
            purpose: collections.deque() for purpose in Purpose
        }
        self.admitted: collections.Counter[Purpose] = collections.Counter()
        self.refused: collections.Counter[Purpose] = collections.Counter()
        self.set_limit(calls_per_s)

    def set_limit(self, calls_per_s: float) -> None:
        """Change the limit, for instance after the number of instances has changed."""
        self._limit_per_s = max(calls_per_s, MIN_CALLS_PER_S)
        burst = max(BURST_SHARE * self._limit_per_s, MIN_CALLS_PER_S / 2)
        # A full burst and the tokens of one second together stay within the limit.
        self._rate_per_s = self._limit_per_s - burst
        extra_capacity = burst - (len(self._buckets) + 1)
        for bucket in (*self._buckets.values(), self._common):
            bucket.capacity = 1.0 + extra_capacity * bucket.share
            bucket.tokens = min(bucket.tokens, bucket.capacity)

    def slow_down(self) -> None:
        """Lower the rate temporarily after the platform has refused a call."""
        self._refill()
        self._rate_factor = max(MIN_RATE_FACTOR, SLOW_DOWN_FACTOR * self._rate_factor)
        for bucket in (*self._buckets.values(), self._common):
            bucket.tokens = min(bucket.tokens, 1.0)

    async def acquire(self, purpose: Purpose, *, deadline_s: float = math.inf) -> None:
        """Wait until one call may start.

        :param deadline_s: time on the runtime's clock by which the call must start
        :raises BronzequayError: STORE_BUDGET if it cannot start by then
        """
        queue = self._queues[purpose]
        first_in_queue = trio.Event()
        queue.append(first_in_queue)
        if len(queue) == 1:
            first_in_queue.set()
        try:
            self._check_deadline(purpose, len(queue), deadline_s)
            await self._wait_for_token(purpose, first_in_queue, deadline_s)
        finally:
            was_first = queue[0] is first_in_queue
            queue.remove(first_in_queue)
            if was_first and queue:
                queue[0].set()
        self.admitted[purpose] += 1

    async def _wait_for_token(
        self, purpose: Purpose, first_in_queue: trio.Event, deadline_s: float
    ) -> None:
        with trio.move_on_at(deadline_s - DEADLINE_MARGIN_S):
            await first_in_queue.wait()
            while True:
                self._refill()
                if self._try_consume(purpose):
                    return
                await trio.sleep(self._token_wait_s(purpose))
        raise self._new_refusal(purpose)

    def _check_deadline(self, purpose: Purpose, queue_position: int, deadline_s: float) -> None:
        """Refuse a call that could not start by its deadline even if it had the whole rate."""
        self._refill()
        missing_tokens = queue_position - self._buckets[purpose].tokens - self._common.tokens
        wait_s = missing_tokens / (self._rate_per_s * self._rate_factor)
        if trio.current_time() + wait_s > deadline_s:
            raise self._new_refusal(purpose)

    def _new_refusal(self, purpose: Purpose) -> errors.BronzequayError:
        self.refused[purpose] += 1
        return errors.BronzequayError(
            codes.ResultCode.STORE_BUDGET, f"call budget exhausted for purpose {purpose.name}"
        )

    def _try_consume(self, purpose: Purpose) -> bool:
        if self._buckets[purpose].try_consume():
            return True
        if any(queue for other_purpose, queue in self._queues.items() if other_purpose < purpose):
            return False
        return self._common.try_consume()

    def _token_wait_s(self, purpose: Purpose) -> float:
        """Return the seconds until a token may be available."""
        own_bucket = self._buckets[purpose]
        rate_per_s = self._rate_per_s * self._rate_factor
        own_wait_s = (1.0 - own_bucket.tokens) / (rate_per_s * own_bucket.share)
        common_wait_s = max(1.0 - self._common.tokens, TOKEN_TOLERANCE) / rate_per_s
        return max(min(own_wait_s, common_wait_s), 1.0 / self._limit_per_s / 4)

    def _refill(self) -> None:
        now_s = trio.current_time()
        elapsed_s = now_s - self._refilled_s
        self._refilled_s = now_s
        self._rate_factor = min(1.0, self._rate_factor + RATE_RECOVERY_PER_S * elapsed_s)
        new_tokens = elapsed_s * self._rate_per_s * self._rate_factor
        surplus = new_tokens * self._common.share
        for bucket in self._buckets.values():
            surplus += bucket.add(new_tokens * bucket.share)
        self._common.add(surplus)


class Budget:
    """Rate limits of reads and of writes; a long poll counts as one read.

    :param reads_per_s: maximum number of reads in any second
    :param writes_per_s: maximum number of writes in any second
    """

    def __init__(self, *, reads_per_s: float, writes_per_s: float) -> None:
        self.reads = Limiter(reads_per_s)
        self.writes = Limiter(writes_per_s)

    async def acquire(
        self, purpose: Purpose, *, is_write: bool, deadline_s: float = math.inf
    ) -> None:
        """Wait until one call may start.

        :raises BronzequayError: STORE_BUDGET if it cannot start by ``deadline_s``
        """
        await self._limiter(is_write=is_write).acquire(purpose, deadline_s=deadline_s)

    def slow_down(self, *, is_write: bool) -> None:
        """Lower the rate of reads or writes temporarily after the platform has refused a call."""
        self._limiter(is_write=is_write).slow_down()

    def _limiter(self, *, is_write: bool) -> Limiter:
        return self.writes if is_write else self.reads


__all__ = ["SHARES", "Budget", "Limiter"]
