"""Workers that fail all they start, and runs that make no progress."""

from __future__ import annotations

from bronzequay import ids
from bronzequay.core import health, lifecycle, model
from bronzequay.core import state as states
from tests.core import world
from tests.core.test_schedule import confirm_all, decided, finish, ready, starts, stops

W0, W1 = ids.WorkerId("w0@1"), ids.WorkerId("w1@1")


def test_a_task_that_failed_is_tried_on_another_machine() -> None:
    state = ready(3)
    lifecycle.accept(state, world.job(1))
    tried = []
    for number in range(3):
        (begun,) = starts(decided(state, number))
        tried.append(begun.worker)
        finish(state, begun, model.End.FAILED)
    assert sorted(tried) == ["w0@1", "w1@1", "w2@1"]


def test_a_worker_on_which_two_jobs_failed_rests_for_a_while() -> None:
    state = ready(1)
    for number in (1, 2):
        lifecycle.accept(state, world.job(number))
    for begun in starts(decided(state)):
        finish(state, begun, model.End.FAILED)
    assert starts(decided(state, 1.0)) == []
    (again, _) = starts(decided(state, 6.0))
    finish(state, again)
    assert state.workers[W0].quarantine_count == 0


def test_one_job_that_fails_again_and_again_is_not_its_workers_fault() -> None:
    state = ready(1)
    lifecycle.accept(state, world.job(1, world.step(2)))
    for begun in starts(decided(state)):
        finish(state, begun, model.End.FAILED)
    assert len(starts(decided(state, 0.1))) == 2


def list_progress(
    state: states.State, worker: ids.WorkerId, now_s: float, percents: dict[int, float]
) -> None:
    state.now_s = now_s
    for key, task in state.workers[worker].tasks.items():
        if key.number in percents:
            health.record_progress(state, task, percents[key.number])
    health.stop_stalled_runs(state, state.workers[worker])


def test_a_run_without_progress_is_stopped_and_its_worker_rests() -> None:
    state = ready(2)
    lifecycle.accept(state, world.job(1, world.step(1, gpu=8, estimate_s=10.0)))
    confirm_all(state, decided(state))
    for second in range(1, 5):
        list_progress(state, W0, second, {0: 5.0})
    (stopped,) = stops(decided(state, 4.0))
    lifecycle.end_run(state, stopped.worker, stopped.key, stopped.run, model.End.STOPPED)
    (again,) = starts(decided(state, 4.5))
    assert (stopped.worker, again.worker) == (W0, W1)


def test_a_run_that_moves_is_left_alone() -> None:
    state = ready(1)
    lifecycle.accept(state, world.job(1, world.step(1, estimate_s=10.0)))
    confirm_all(state, decided(state))
    for second in range(1, 30):
        list_progress(state, W0, second, {0: float(second)})
    assert stops(decided(state, 30.0)) == []


def test_a_worker_that_cannot_be_asked_is_not_taken_for_stalled() -> None:
    state = ready(1)
    lifecycle.accept(state, world.job(1, world.step(1, estimate_s=10.0)))
    confirm_all(state, decided(state))
    list_progress(state, W0, 1.0, {0: 5.0})
    list_progress(state, W0, 9.0, {})
    assert stops(decided(state, 9.0)) == []


def test_a_stalled_member_has_the_gang_stopped_and_only_its_worker_rests() -> None:
    state = ready(2)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=8, is_gang=True, estimate_s=10.0)))
    confirm_all(state, decided(state))
    for second in range(1, 5):
        list_progress(state, W0, second, {0: 5.0})
        list_progress(state, W1, second, {1: 5.0 + 10 * second})
    assert len(stops(decided(state, 5.0))) == 2
    assert state.workers[W0].quarantined_until_s > 5.0
    assert state.workers[W1].quarantined_until_s == 0.0
