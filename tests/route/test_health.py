from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from bronzequay import ids
from bronzequay.route import health

if TYPE_CHECKING:
    from collections.abc import Collection

NAMES = [ids.ExecutorId(f"x{n}") for n in range(4)]
X0, X1, X2, X3 = NAMES
C1, C2 = ids.CallerId("c1"), ids.CallerId("c2")


class Harness:
    """Health of four executors on a clock that tests set."""

    def __init__(self) -> None:
        self.now_s = 1.0
        self.unavailable: Collection[ids.ExecutorId] = ()
        self.health = health.Health(on_change=self._set, clock=lambda: self.now_s)
        self.health.set_listed(NAMES)

    def fail(self, executor: ids.ExecutorId, times: int = health.FAILURES_TO_EJECT) -> None:
        for _ in range(times):
            self.health.record_connection_failure(executor)

    def _set(self, unavailable: Collection[ids.ExecutorId]) -> None:
        self.unavailable = unavailable


def test_consecutive_failures_eject_and_a_success_resets_the_count() -> None:
    harness = Harness()
    harness.fail(X0, health.FAILURES_TO_EJECT - 1)
    harness.health.record_success(X0)
    harness.fail(X0, health.FAILURES_TO_EJECT - 1)
    assert not harness.unavailable
    harness.fail(X0, 1)
    assert harness.unavailable == {X0}


def test_ejection_time_doubles_with_each_failed_trial_up_to_its_bound() -> None:
    harness = Harness()
    harness.fail(X0)
    spans_s = []
    for _ in range(8):
        start_s = harness.now_s
        while not harness.health.due_for_probe():
            harness.now_s += 0.5
        spans_s.append(harness.now_s - start_s)
        harness.health.record_live(X0)
        assert not harness.unavailable
        harness.fail(X0, 1)
        assert harness.unavailable == {X0}
    assert spans_s == [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0]


def test_success_on_trial_resets_the_ejection_time() -> None:
    harness = Harness()
    for _ in range(3):
        harness.fail(X0)
        harness.now_s += 100
        harness.health.record_live(X0)
    harness.health.record_success(X0)
    harness.fail(X0)
    harness.now_s += health.FIRST_EJECTION_S
    assert harness.health.due_for_probe() == [X0]


def test_live_report_does_not_end_an_ejection_early() -> None:
    harness = Harness()
    harness.fail(X0)
    harness.health.record_live(X0)
    assert harness.unavailable == {X0}


def test_at_most_half_of_the_executors_are_ejected() -> None:
    harness = Harness()
    for name in NAMES:
        harness.fail(name, 10)
    assert harness.unavailable == {X0, X1}


def test_shorter_list_readmits_executors_until_half_are_ejected() -> None:
    harness = Harness()
    harness.fail(X0)
    harness.now_s += 0.1
    harness.fail(X1)
    harness.health.set_listed([X0, X1])
    assert harness.unavailable == {X1}


def test_failed_runs_of_one_caller_alone_do_not_eject() -> None:
    harness = Harness()
    for _ in range(50):
        harness.health.record_run_failure(X0, C1)
    assert not harness.unavailable
    harness.health.record_run_failure(X0, C2)
    assert harness.unavailable == {X0}


def test_failed_probe_ejects_at_once() -> None:
    harness = Harness()
    harness.health.record_probe_failure(X0)
    assert harness.unavailable == {X0}


def test_executor_that_reports_leaving_is_unavailable_until_it_reports_live() -> None:
    harness = Harness()
    harness.health.record_leaving(X0)
    harness.health.record_success(X0)
    assert harness.unavailable == {X0}
    assert harness.health.due_for_probe() == []
    harness.now_s += health.RECHECK_LEAVING_S
    assert harness.health.due_for_probe() == [X0]
    harness.health.record_live(X0)
    assert not harness.unavailable


def test_leaving_executors_do_not_count_towards_the_ejected_half() -> None:
    harness = Harness()
    for name in (X0, X1, X2):
        harness.health.record_leaving(name)
    harness.fail(X3)
    assert harness.unavailable == set(NAMES)


@pytest.mark.parametrize(
    "method", ["record_success", "record_leaving", "record_live", "record_probe_failure"]
)
def test_unlisted_executors_are_ignored(method: str) -> None:
    harness = Harness()
    getattr(harness.health, method)(ids.ExecutorId("gone"))
    assert not harness.unavailable
