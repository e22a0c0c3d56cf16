"""Retry budget: limits retries and hedges to a fixed share of the requests."""

from __future__ import annotations

RETRY_SHARE = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket that requests fill and retries and hedges drain.

    :param share: tokens earned by each request
    :param max_tokens: capacity of the bucket: the largest burst of retries and hedges
    """

    def __init__(self, *, share: float = RETRY_SHARE, max_tokens: float = MAX_TOKENS) -> None:
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def earn(self) -> None:
        """Add the tokens of one request; called once a request."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Remove the token of one retry or hedge.

        :return: whether a token was available
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def balance(self) -> float:
        """Return the number of tokens available."""
        return self._tokens


__all__ = ["MAX_TOKENS", "RETRY_SHARE", "RetryBudget"]
