from __future__ import annotations

import pytest

from bronzequay.route import latency


def test_too_few_answers_leave_the_first_guess() -> None:
    recent = latency.Latency()
    recent.add(0.001)
    assert recent.p95_s() == latency.INITIAL_P95_S


def test_percentile_follows_the_recent_answers() -> None:
    recent = latency.Latency()
    for number in range(1000):
        recent.add(number / 1000)
    assert recent.p95_s() == pytest.approx(0.987, abs=0.02)


def test_percentile_has_a_floor() -> None:
    recent = latency.Latency()
    for _ in range(100):
        recent.add(0.0)
    assert recent.p95_s() == latency.MIN_P95_S
