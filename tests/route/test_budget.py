from __future__ import annotations

from bronzequay.route import budget


def test_retries_stay_a_fixed_share_of_requests_while_all_fail() -> None:
    retry_budget = budget.RetryBudget()
    retries = 0
    for _ in range(10_000):
        retry_budget.earn()
        retries += retry_budget.try_spend()
    assert retries <= 10_000 * budget.RETRY_SHARE + budget.MAX_TOKENS


def test_burst_of_retries_is_bounded_after_requests_without_retries() -> None:
    retry_budget = budget.RetryBudget()
    for _ in range(10_000):
        retry_budget.earn()
    assert sum(retry_budget.try_spend() for _ in range(100)) == budget.MAX_TOKENS
