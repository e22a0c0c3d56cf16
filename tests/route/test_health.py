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


class Bench:
    """Records on a clock that tests set."""

    def __init__(self) -> None:
        self.now_s = 1.0
        self.closed: Collection[ids.ExecutorId] = ()
        self.health = health.Health(on_change=self._set, clock=lambda: self.now_s)
        self.health.set_listed(NAMES)

    def fail(self, executor: ids.ExecutorId, times: int = health.FAILURES_TO_EJECT) -> None:
        for _ in range(times):
            self.health.note_connection_failure(executor)

    def _set(self, closed: Collection[ids.ExecutorId]) -> None:
        self.closed = closed


def test_consecutive_failures_eject_and_a_success_starts_the_count_again() -> None:
    bench = Bench()
    bench.fail(X0, health.FAILURES_TO_EJECT - 1)
    bench.health.note_success(X0)
    bench.fail(X0, health.FAILURES_TO_EJECT - 1)
    assert not bench.closed
    bench.fail(X0, 1)
    assert bench.closed == {X0}


def test_ejection_grows_with_each_failed_trial_up_to_its_bound() -> None:
    bench = Bench()
    bench.fail(X0)
    spans_s = []
    for _ in range(8):
        start_s = bench.now_s
        while not bench.health.due():
            bench.now_s += 0.5
        spans_s.append(bench.now_s - start_s)
        bench.health.note_live(X0)
        assert not bench.closed
        bench.fail(X0, 1)
        assert bench.closed == {X0}
    assert spans_s == [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0]


def test_success_on_trial_makes_the_next_ejection_short_again() -> None:
    bench = Bench()
    for _ in range(3):
        bench.fail(X0)
        bench.now_s += 100
        bench.health.note_live(X0)
    bench.health.note_success(X0)
    bench.fail(X0)
    bench.now_s += health.FIRST_EJECTION_S
    assert bench.health.due() == [X0]


def test_live_word_does_not_end_an_ejection_early() -> None:
    bench = Bench()
    bench.fail(X0)
    bench.health.note_live(X0)
    assert bench.closed == {X0}


def test_never_more_than_half_are_ejected() -> None:
    bench = Bench()
    for name in NAMES:
        bench.fail(name, 10)
    assert bench.closed == {X0, X1}


def test_shrinking_list_readmits_down_to_half() -> None:
    bench = Bench()
    bench.fail(X0)
    bench.now_s += 0.1
    bench.fail(X1)
    bench.health.set_listed([X0, X1])
    assert bench.closed == {X1}


def test_one_callers_failing_requests_eject_nothing() -> None:
    bench = Bench()
    for _ in range(50):
        bench.health.note_run_failure(X0, C1)
    assert not bench.closed
    bench.health.note_run_failure(X0, C2)
    assert bench.closed == {X0}


def test_silence_ejects_at_once() -> None:
    bench = Bench()
    bench.health.note_silence(X0)
    assert bench.closed == {X0}


def test_leaving_by_its_own_word_closes_until_it_says_otherwise() -> None:
    bench = Bench()
    bench.health.note_leaving(X0)
    bench.health.note_success(X0)
    assert bench.closed == {X0}
    assert bench.health.due() == []
    bench.now_s += health.RECHECK_LEAVING_S
    assert bench.health.due() == [X0]
    bench.health.note_live(X0)
    assert not bench.closed


def test_leaving_executors_do_not_count_against_the_ejected_half() -> None:
    bench = Bench()
    for name in (X0, X1, X2):
        bench.health.note_leaving(name)
    bench.fail(X3)
    assert bench.closed == set(NAMES)


@pytest.mark.parametrize("note", ["note_success", "note_leaving", "note_live", "note_silence"])
def test_unlisted_executors_are_ignored(note: str) -> None:
    bench = Bench()
    getattr(bench.health, note)(ids.ExecutorId("gone"))
    assert not bench.closed
