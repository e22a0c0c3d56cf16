from __future__ import annotations

from bronzequay.route import budget


def test_retries_stay_a_share_of_requests_under_lasting_failure() -> None:
    tokens = budget.RetryBudget()
    retries = 0
    for _ in range(10_000):
        tokens.earn()
        retries += tokens.spend()
    assert retries <= 10_000 * budget.RETRY_SHARE + budget.MAX_TOKENS


def test_quiet_times_allow_a_bounded_burst() -> None:
    tokens = budget.RetryBudget()
    for _ in range(10_000):
        tokens.earn()
    assert sum(tokens.spend() for _ in range(100)) == budget.MAX_TOKENS
