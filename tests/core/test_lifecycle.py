"""Ends of runs, failures, cancellation, occurrences, lost workers and restored records."""

from __future__ import annotations

import time

import msgspec
import pytest

from bronzequay import ids
from bronzequay.control import lease
from bronzequay.core import lifecycle, model, records
from bronzequay.core import state as states
from tests.core import world
from tests.core.test_schedule import (
    build_state,
    confirm_starts,
    finish,
    run_pass,
    starts,
    stops,
)


def only_job(state: states.State) -> states.Job:
    (job,) = state.jobs.values()
    return job


def test_a_job_is_completed_once_every_task_is_done() -> None:
    state = build_state(1)
    lifecycle.accept(state, world.job(1, world.step(2), world.step(1, after=(0,))))
    first = starts(run_pass(state))
    assert [start.key.step for start in first] == [0, 0]
    assert only_job(state).state is model.JobState.QUEUED
    confirm_starts(state, [*first])
    for start in first:
        assert only_job(state).state is model.JobState.RUNNING
        finish(state, start)
    (last,) = starts(run_pass(state, 1.0))
    assert last.key.step == 1
    finish(state, last)
    assert [job.state for job in state.retired_jobs] == [model.JobState.COMPLETED]
    assert state.jobs == {}


def test_a_retired_job_that_is_accepted_again_does_not_run_again() -> None:
    state = build_state(1)
    spec = world.job(1)
    lifecycle.accept(state, spec)
    finish(state, starts(run_pass(state))[0])
    lifecycle.accept(state, spec)
    assert run_pass(state, 1.0) == []


def test_one_done_member_completes_a_gang() -> None:
    state = build_state(2)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=8, is_gang=True)))
    first, second = starts(run_pass(state))
    finish(state, first)
    assert only_job(state).state is model.JobState.COMPLETED
    lifecycle.end_lost_runs(state, second.worker)
    assert state.jobs == {}
    assert run_pass(state, 1.0) == []


def test_a_lost_member_stops_and_restarts_the_whole_gang() -> None:
    state = build_state(3)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=8, is_gang=True)))
    first, second = starts(run_pass(state))
    lifecycle.remove_worker(state, first.worker)
    assert [stop.key for stop in stops(run_pass(state, 1.0))] == [second.key]
    finish(state, second, model.End.STOPPED)
    restarts = starts(run_pass(state, 2.0))
    assert {start.run for start in restarts} == {2}
    assert len(restarts) == 2


def test_a_partial_gang_is_stopped_after_a_grace_period() -> None:
    state = build_state(2)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=8, is_gang=True)))
    first, second = starts(run_pass(state))
    finish(state, first, model.End.FAILED)
    assert stops(run_pass(state, 0.5)) == []
    assert [stop.key for stop in stops(run_pass(state, 2.0))] == [second.key]


def test_a_job_fails_after_the_allowed_failed_runs_of_a_task() -> None:
    state = build_state(1)
    lifecycle.accept(state, world.job(1, world.step(2)))
    first, second = starts(run_pass(state))
    for run in (1, 2):
        finish(state, model.Start(first.worker, first.key, run, ""), model.End.FAILED)
        assert starts(run_pass(state, run))[0].run == run + 1
    finish(state, model.Start(first.worker, first.key, 3, ""), model.End.FAILED)
    assert only_job(state).state is model.JobState.FAILED
    assert [stop.key for stop in stops(run_pass(state, 9.0))] == [second.key]


def test_failed_members_of_one_run_count_as_one_failure() -> None:
    state = build_state(2)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=8, is_gang=True)))
    for start in starts(run_pass(state)):
        finish(state, start, model.End.FAILED)
    assert only_job(state).occurrences[0].steps[0].failures == 1


@pytest.mark.parametrize("how", [model.End.STOPPED, model.End.LAPSED, model.End.BROKEN])
def test_ends_other_than_failures_do_not_use_up_attempts(how: model.End) -> None:
    state = build_state(1)
    lifecycle.accept(state, world.job(1))
    for run in range(1, 9):
        (start,) = starts(run_pass(state, run))
        assert start.run == run
        finish(state, start, how)


def test_a_gang_resumes_from_its_newest_checkpoint() -> None:
    state = build_state(2)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=8, is_gang=True, saves_progress=True)))
    first, second = starts(run_pass(state))
    lifecycle.end_run(state, first.worker, first.key, 1, model.End.STOPPED, "00000bb8")
    lifecycle.end_run(state, second.worker, second.key, 1, model.End.BROKEN, "000003e8")
    assert {start.checkpoint for start in starts(run_pass(state, 1.0))} == {"00000bb8"}


def test_a_cancelled_job_is_stopped_and_never_started_again() -> None:
    state = build_state(1)
    lifecycle.accept(state, world.job(1, world.step(2), world.step(1, after=(0,))))
    started = starts(run_pass(state))
    lifecycle.cancel(state, only_job(state).spec.job)
    assert len(stops(run_pass(state, 1.0))) == 2
    for start in started:
        finish(state, start)
    assert [job.state for job in state.retired_jobs] == [model.JobState.CANCELLED]
    assert run_pass(state, 2.0) == []


def test_a_done_step_of_a_cancelled_job_opens_no_later_step() -> None:
    state = build_state(2)
    steps = (world.step(2, gpu=8, is_gang=True), world.step(1, after=(0,)))
    lifecycle.accept(state, world.job(1, *steps))
    first, _ = starts(run_pass(state))
    lifecycle.cancel(state, only_job(state).spec.job)
    finish(state, first)
    assert starts(run_pass(state, 1.0)) == []


def test_occurrences_start_when_they_are_due() -> None:
    state = build_state(1)
    spec = world.job(1)
    spec = model.JobSpec(
        spec.job,
        spec.queue,
        spec.org,
        "",
        spec.steps,
        0.0,
        times=2,
        first_due_s=5.0,
        interval_s=3.0,
    )
    lifecycle.accept(state, spec)
    assert run_pass(state, 4.9) == []
    (first,) = starts(run_pass(state, 5.0))
    (second,) = starts(run_pass(state, 8.1))
    assert (first.key.occurrence, second.key.occurrence) == (0, 1)
    finish(state, second)
    assert only_job(state).state is model.JobState.RUNNING
    finish(state, first)
    assert state.retired_jobs[0].state is model.JobState.COMPLETED


def test_endless_tasks_restart_however_they_end() -> None:
    state = build_state(1)
    lifecycle.accept(state, world.job(1, world.step(1, is_endless=True)))
    for number, how in enumerate([model.End.DONE, *[model.End.FAILED] * 5], start=1):
        (start,) = starts(run_pass(state, number))
        assert start.run == number
        finish(state, start, how)


def test_a_stray_run_is_stopped_once() -> None:
    state = build_state(1)
    worker = state.workers[ids.WorkerId("w0@1")]
    key = model.TaskKey(ids.JobId("f" * 16), 0, 0, 0)
    lifecycle.stop_stray_runs(state, worker, {(key, 4)})
    lifecycle.stop_stray_runs(state, worker, {(key, 4)})
    assert state.commands == [model.Stop(worker.spec.worker, key, 4)]


def test_an_end_of_an_earlier_run_is_ignored() -> None:
    state = build_state(2)
    lifecycle.accept(state, world.job(1))
    (first,) = starts(run_pass(state))
    lifecycle.end_lost_runs(state, first.worker)
    (second,) = starts(run_pass(state, 1.0))
    finish(state, first)
    assert second.run == 2
    assert only_job(state).state is model.JobState.QUEUED
    confirm_starts(state, [second])
    assert only_job(state).state is model.JobState.RUNNING


def test_tasks_on_an_unknown_worker_stay_placed_until_its_runs_are_lost() -> None:
    state = build_state(2)
    lifecycle.accept(state, world.job(1))
    (start,) = starts(run_pass(state))
    confirm_starts(state, [start])
    value = records.encode(only_job(state))
    restored = build_state(0)
    records.restore(restored, only_job(state).spec, value)
    other = next(name for name in state.workers if name != start.worker)
    lifecycle.add_worker(restored, state.workers[other].spec).is_ready = True
    assert run_pass(restored) == []
    assert list(restored.orphaned_tasks) == [start.worker]
    lifecycle.end_lost_runs(restored, start.worker)
    (second,) = starts(run_pass(restored, 1.0))
    assert (second.run, second.worker) == (2, other)


def test_a_final_job_without_placed_tasks_is_retired_when_it_is_restored() -> None:
    state = build_state(1)
    lifecycle.accept(state, world.job(1))
    job = only_job(state)
    job.state = model.JobState.CANCELLED
    restored = build_state(0)
    records.restore(restored, job.spec, records.encode(job))
    assert [job.state for job in restored.retired_jobs] == [model.JobState.CANCELLED]


def test_excluded_runs_of_a_removed_worker_stay_placed_until_they_end_separately() -> None:
    state = build_state(2)
    lifecycle.accept(state, world.job(1))
    (start,) = starts(run_pass(state))
    lifecycle.remove_worker(state, start.worker, {(start.key, start.run)})
    assert run_pass(state, 1.0) == []
    finish(state, start, model.End.LOST)
    assert starts(run_pass(state, 2.0))[0].run == 2


def test_overdue_occurrences_open_as_those_before_them_end() -> None:
    """Guards against a job with many overdue times, which holds up one scheduler after another."""
    state = build_state(1)
    spec = msgspec.structs.replace(
        world.job(1, world.step(model.MAX_TASKS_PER_JOB // 2)), times=3, interval_s=1.0
    )
    state.wall_s = 1e9
    lifecycle.accept(state, spec)
    job = state.jobs[spec.job]
    assert sorted(job.occurrences) == [0, 1]
    for task in job.occurrences[0].steps[0].tasks:
        task.phase = model.Phase.DONE
    job.occurrences[0].steps[0].is_done = True
    run_pass(state, 5.0)
    assert sorted(job.occurrences) == [0, 1, 2]


def test_a_pass_over_thousands_of_steps_of_one_job_takes_linear_time() -> None:
    """Guards against a job of many steps, which ends the term of one scheduler after another."""
    state = build_state(4)
    lifecycle.accept(state, world.job(1, *[world.step(1) for _ in range(5000)]))
    began_s = time.process_time()
    run_pass(state, 0.0)
    assert time.process_time() - began_s < lease.TTL_S


@pytest.mark.parametrize("is_gang", [False, True])
def test_a_task_without_attempts_left_is_not_started_when_its_queue_is_back(is_gang: bool) -> None:
    """Guards against one attempt too many after the queue was removed and added again."""
    state = build_state(4)
    lifecycle.accept(state, world.job(1, world.step(2, is_gang=is_gang)))
    queue = ids.QueueId("q1")
    attempts = state.rules.queues[queue].attempts
    for number in range(attempts):
        started = starts(run_pass(state, float(number)))
        confirm_starts(state, [*started])
        if number == attempts - 1:
            removed = state.rules.queues.pop(queue)
        finish(state, started[0], model.End.FAILED)
        for start in started[1:]:
            finish(state, start, model.End.BROKEN if is_gang else model.End.DONE)
    assert starts(run_pass(state, 10.0)) == []
    state.rules.queues[queue] = removed
    assert starts(run_pass(state, 11.0)) == []
    assert state.retired_jobs[0].state is model.JobState.FAILED
