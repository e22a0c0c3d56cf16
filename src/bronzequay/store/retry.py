"""How long an attempt may take, and when to try again."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import errors

MIN_ATTEMPT_S = 1.0
MAX_ATTEMPT_S = 8.0
LATENCY_FACTOR = 4.0
CALL_TIMEOUT_S = 12.0
MARGIN_S = 0.01
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 2.0
RETRY_RATIO = 0.2
RETRY_TOKENS_PER_S = 1.0
MAX_RETRY_TOKENS = 20.0


class AttemptTimeout:
    """Timeout of one attempt: doubles when attempts time out, follows latency when not."""

    def __init__(self) -> None:
        self.timeout_s = MIN_ATTEMPT_S

    def on_answer(self, latency_s: float) -> None:
        """Take in the latency of an answer."""
        wanted_s = max(MIN_ATTEMPT_S, LATENCY_FACTOR * latency_s)
        self.timeout_s = min(MAX_ATTEMPT_S, (self.timeout_s + wanted_s) / 2)

    def on_timeout(self) -> None:
        """Take in an attempt without an answer."""
        self.timeout_s = min(MAX_ATTEMPT_S, 2 * self.timeout_s)


class RetryBudget:
    """Limits retries to a share of the calls, and to a small rate besides."""

    def __init__(self) -> None:
        self._tokens = MAX_RETRY_TOKENS
        self._at_s = trio.current_time()

    def on_call(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_RATIO)

    def take(self) -> bool:
        """Take one retry; False when there is none left."""
        now_s = trio.current_time()
        earned = (now_s - self._at_s) * RETRY_TOKENS_PER_S
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + earned)
        self._at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Tries:
    """The attempts of one call, up to its deadline.

    :param budget: the budget of retries
    :param timeout_s: seconds for the whole call, if the caller's deadline is no earlier
    :param rng: random numbers from 0 to 1 for the jitter
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
        self.deadline_s = min(now_s + timeout_s, trio.current_effective_deadline() - MARGIN_S)
        budget.on_call()

    async def pause(self, exc: errors.BronzequayError) -> None:
        """Wait before another attempt.

        :param exc: raised when there is no other attempt
        """
        pause_s = self._pause_s * (0.5 + self._rng() / 2)
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)
        is_late = trio.current_time() + pause_s >= self.deadline_s
        if is_late or not self._budget.take():
            raise exc
        await trio.sleep(pause_s)


__all__ = ["AttemptTimeout", "RetryBudget", "Tries"]
