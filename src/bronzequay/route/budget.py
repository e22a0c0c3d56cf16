"""Retry budget: retries and hedges stay a fixed share of the requests."""

from __future__ import annotations

RETRY_SHARE = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Tokens earned by requests and spent by retries and hedges.

    :param share: retries allowed a request, on average
    :param max_tokens: retries that may follow one another after quiet times
    """

    def __init__(self, *, share: float = RETRY_SHARE, max_tokens: float = MAX_TOKENS) -> None:
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def earn(self) -> None:
        """Count a request's first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def spend(self) -> bool:
        """Take a token for one retry or hedge.

        :return: whether there was one
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def tokens(self) -> float:
        """Return the tokens left."""
        return self._tokens


__all__ = ["MAX_TOKENS", "RETRY_SHARE", "RetryBudget"]
