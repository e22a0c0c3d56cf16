"""Timeouts of attempts, retry budget and backoff of calls to the store."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import errors

MIN_ATTEMPT_TIMEOUT_S = 1.0
MAX_ATTEMPT_TIMEOUT_S = 8.0
LATENCY_FACTOR = 4.0
CALL_TIMEOUT_S = 12.0
DEADLINE_MARGIN_S = 0.01
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 2.0
RETRY_RATIO = 0.2
RETRY_TOKENS_PER_S = 1.0
MAX_RETRY_TOKENS = 20.0


class AttemptTimeout:
    """Timeout of one attempt: doubles after a timeout, otherwise follows the latency."""

    def __init__(self) -> None:
        self.timeout_s = MIN_ATTEMPT_TIMEOUT_S

    def on_answer(self, latency_s: float) -> None:
        """Adjust the timeout to the latency of an answer."""
        target_s = max(MIN_ATTEMPT_TIMEOUT_S, LATENCY_FACTOR * latency_s)
        self.timeout_s = min(MAX_ATTEMPT_TIMEOUT_S, (self.timeout_s + target_s) / 2)

    def on_timeout(self) -> None:
        """Double the timeout after an attempt without an answer."""
        self.timeout_s = min(MAX_ATTEMPT_TIMEOUT_S, 2 * self.timeout_s)


class RetryBudget:
    """Limits retries to a share of the calls, plus a small constant rate."""

    def __init__(self) -> None:
        self._tokens = MAX_RETRY_TOKENS
        self._refilled_s = trio.current_time()

    def on_call(self) -> None:
        """Add ``RETRY_RATIO`` of a retry to the budget, for each call."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_RATIO)

    def try_consume(self) -> bool:
        """Consume one retry; return False if none is left."""
        now_s = trio.current_time()
        earned = (now_s - self._refilled_s) * RETRY_TOKENS_PER_S
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + earned)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Backoff:
    """Deadline of one call and the jittered, exponential pauses between its attempts.

    :param budget: retry budget, shared by the calls of a client
    :param timeout_s: seconds for the whole call; an earlier deadline of the caller applies
    :param rng: returns random numbers from 0 to 1, for the jitter
    """

    def __init__(
        self,
        budget: RetryBudget,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        rng: Callable[[], float] = random.random,
    ) -> None:
        self._budget = budget
        self._rng = rng
        self._pause_s = FIRST_PAUSE_S
        now_s = trio.current_time()
        self.deadline_s = min(
            now_s + timeout_s, trio.current_effective_deadline() - DEADLINE_MARGIN_S
        )
        budget.on_call()

    async def wait(self, exc: errors.BronzequayError) -> None:
        """Wait before the next attempt.

        :param exc: error of the last attempt; raised if the deadline or the retry budget
            leaves no further attempt
        """
        pause_s = self._pause_s * (0.5 + self._rng() / 2)
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)
        is_past_deadline = trio.current_time() + pause_s >= self.deadline_s
        if is_past_deadline or not self._budget.try_consume():
            raise exc
        await trio.sleep(pause_s)


__all__ = ["AttemptTimeout", "Backoff", "RetryBudget"]
