"""Budget of calls to the store: a rate never exceeded, with a share for each purpose."""

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
SLOW_FACTOR = 0.7
MIN_SCALE = 0.1
RECOVERY_PER_S = 0.05
DEADLINE_MARGIN_S = 0.001
# Rounding must not leave a waiter asleep for a token that is there.
EPSILON = 1e-9


class _Bucket:
    """Tokens that grow at a share of the rate, up to a capacity of at least one."""

    def __init__(self, share: float, capacity: float) -> None:
        self.share = share
        self.capacity = capacity
        self.tokens = capacity

    def add(self, tokens: float) -> float:
        """Add tokens.

        :return: those beyond the capacity
        """
        total = self.tokens + tokens
        self.tokens = min(self.capacity, total)
        return total - self.tokens

    def take(self) -> bool:
        """Take a token if there is one."""
        if self.tokens < 1.0 - EPSILON:
            return False
        self.tokens -= 1.0
        return True


class Limiter:
    """Lets calls pass at a rate that no second exceeds.

    Each purpose has a share of its own; what it leaves unused goes to a common bucket,
    from which the most urgent waiter takes first.

    :param calls_per_s: the most calls in any second, at least 16
    """

    def __init__(self, calls_per_s: float) -> None:
        self._limit_per_s = 0.0
        self._rate_per_s = 0.0
        self._scale = 1.0
        self._at_s = trio.current_time()
        self._common = _Bucket(COMMON_SHARE, 1.0)
        self._buckets = {purpose: _Bucket(SHARES[purpose], 1.0) for purpose in Purpose}
        self._queues: dict[Purpose, collections.deque[trio.Event]] = {
            purpose: collections.deque() for purpose in Purpose
        }
        self.passed: collections.Counter[Purpose] = collections.Counter()
        self.refused: collections.Counter[Purpose] = collections.Counter()
        self.set_limit(calls_per_s)

    def set_limit(self, calls_per_s: float) -> None:
        """Change the rate, for a changed number of instances."""
        self._limit_per_s = max(calls_per_s, MIN_CALLS_PER_S)
        burst = max(BURST_SHARE * self._limit_per_s, MIN_CALLS_PER_S / 2)
        self._rate_per_s = self._limit_per_s - burst
        spare = burst - (len(self._buckets) + 1)
        for bucket in (*self._buckets.values(), self._common):
            bucket.capacity = 1.0 + spare * bucket.share
            bucket.tokens = min(bucket.tokens, bucket.capacity)

    def slow_down(self) -> None:
        """Lower the rate for a while, after the platform refused a call."""
        self._refill()
        self._scale = max(MIN_SCALE, SLOW_FACTOR * self._scale)
        for bucket in (*self._buckets.values(), self._common):
            bucket.tokens = min(bucket.tokens, 1.0)

    async def acquire(self, purpose: Purpose, *, deadline_s: float = math.inf) -> None:
        """Wait for the right to make one call.

        :param deadline_s: time on the runtime's clock by which the call must begin
        :raises BronzequayError: STORE_BUDGET when it cannot begin by then
        """
        queue = self._queues[purpose]
        turn = trio.Event()
        queue.append(turn)
        if len(queue) == 1:
            turn.set()
        try:
            self._check(purpose, len(queue), deadline_s)
            await self._wait(purpose, turn, deadline_s)
        finally:
            was_first = queue[0] is turn
            queue.remove(turn)
            if was_first and queue:
                queue[0].set()
        self.passed[purpose] += 1

    async def _wait(self, purpose: Purpose, turn: trio.Event, deadline_s: float) -> None:
        with trio.move_on_at(deadline_s - DEADLINE_MARGIN_S):
            await turn.wait()
            while True:
                self._refill()
                if self._take(purpose):
                    return
                await trio.sleep(self._pause_s(purpose))
        raise self._refusal(purpose)

    def _check(self, purpose: Purpose, place: int, deadline_s: float) -> None:
        """Refuse a call that cannot begin by its deadline even at the whole rate."""
        self._refill()
        missing = place - self._buckets[purpose].tokens - self._common.tokens
        wait_s = missing / (self._rate_per_s * self._scale)
        if trio.current_time() + wait_s > deadline_s:
            raise self._refusal(purpose)

    def _refusal(self, purpose: Purpose) -> errors.BronzequayError:
        self.refused[purpose] += 1
        return errors.BronzequayError(
            codes.ResultCode.STORE_BUDGET, f"no call of the budget is left for {purpose.name}"
        )

    def _take(self, purpose: Purpose) -> bool:
        if self._buckets[purpose].take():
            return True
        if any(queue for urgent, queue in self._queues.items() if urgent < purpose):
            return False
        return self._common.take()

    def _pause_s(self, purpose: Purpose) -> float:
        """Return the time until a token may be there."""
        own = self._buckets[purpose]
        rate_per_s = self._rate_per_s * self._scale
        own_s = (1.0 - own.tokens) / (rate_per_s * own.share)
        common_s = max(1.0 - self._common.tokens, EPSILON) / rate_per_s
        return max(min(own_s, common_s), 1.0 / self._limit_per_s / 4)

    def _refill(self) -> None:
        now_s = trio.current_time()
        passed_s = now_s - self._at_s
        self._at_s = now_s
        self._scale = min(1.0, self._scale + RECOVERY_PER_S * passed_s)
        grown = passed_s * self._rate_per_s * self._scale
        excess = grown * self._common.share
        for bucket in self._buckets.values():
            excess += bucket.add(grown * bucket.share)
        self._common.add(excess)


class Budget:
    """The limits of reads and of writes; a waiting watch counts as one read.

    :param reads_per_s: the most reads in any second
    :param writes_per_s: the most writes in any second
    """

    def __init__(self, *, reads_per_s: float, writes_per_s: float) -> None:
        self.reads = Limiter(reads_per_s)
        self.writes = Limiter(writes_per_s)

    async def acquire(
        self, purpose: Purpose, *, is_write: bool, deadline_s: float = math.inf
    ) -> None:
        """Wait for the right to make one call.

        :raises BronzequayError: STORE_BUDGET when it cannot begin by its deadline
        """
        await self._limiter(is_write=is_write).acquire(purpose, deadline_s=deadline_s)

    def slow_down(self, *, is_write: bool) -> None:
        """Lower a rate for a while, after the platform refused a call."""
        self._limiter(is_write=is_write).slow_down()

    def _limiter(self, *, is_write: bool) -> Limiter:
        return self.writes if is_write else self.reads


__all__ = ["SHARES", "Budget", "Limiter"]
