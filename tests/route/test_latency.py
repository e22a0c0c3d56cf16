from __future__ import annotations

import pytest

from bronzequay.route import latency


def test_percentile_keeps_its_initial_value_with_too_few_samples() -> None:
    window = latency.Latency()
    window.record(0.001)
    assert window.p95_s() == latency.INITIAL_P95_S


def test_percentile_follows_the_recent_answers() -> None:
    window = latency.Latency()
    for number in range(1000):
        window.record(number / 1000)
    assert window.p95_s() == pytest.approx(0.987, abs=0.02)


def test_percentile_has_a_minimum() -> None:
    window = latency.Latency()
    for _ in range(100):
        window.record(0.0)
    assert window.p95_s() == latency.MIN_P95_S
