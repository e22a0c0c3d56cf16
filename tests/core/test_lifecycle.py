"""Ends of runs, failures, cancellation, occurrences and workers that are lost."""

from __future__ import annotations

import pytest

from bronzequay import ids
from bronzequay.core import lifecycle, model, records
from bronzequay.core import state as states
from tests.core import world
from tests.core.test_schedule import confirm_all, decided, finish, ready, starts, stops


def only_job(state: states.State) -> states.Job:
    (job,) = state.jobs.values()
    return job


def test_a_job_is_completed_once_every_task_is_done() -> None:
    state = ready(1)
    lifecycle.accept(state, world.job(1, world.step(2), world.step(1, after=(0,))))
    first = starts(decided(state))
    assert [each.key.step for each in first] == [0, 0]
    for each in first:
        assert only_job(state).state is model.JobState.RUNNING
        finish(state, each)
    (last,) = starts(decided(state, 1.0))
    assert last.key.step == 1
    finish(state, last)
    assert [job.state for job in state.retired_jobs] == [model.JobState.COMPLETED]
    assert state.jobs == {}


def test_an_ended_job_that_is_handed_in_again_does_not_run_again() -> None:
    state = ready(1)
    spec = world.job(1)
    lifecycle.accept(state, spec)
    finish(state, starts(decided(state))[0])
    lifecycle.accept(state, spec)
    assert decided(state, 1.0) == []


def test_one_done_member_is_the_whole_gang() -> None:
    state = ready(2)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=8, is_gang=True)))
    first, second = starts(decided(state))
    finish(state, first)
    assert only_job(state).state is model.JobState.COMPLETED
    lifecycle.end_lost_runs(state, second.worker)
    assert state.jobs == {}
    assert decided(state, 1.0) == []


def test_a_lost_member_has_the_others_stopped_and_the_gang_started_again_whole() -> None:
    state = ready(3)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=8, is_gang=True)))
    first, second = starts(decided(state))
    lifecycle.remove_worker(state, first.worker)
    assert [each.key for each in stops(decided(state, 1.0))] == [second.key]
    finish(state, second, model.End.STOPPED)
    again = starts(decided(state, 2.0))
    assert {each.run for each in again} == {2}
    assert len(again) == 2


def test_a_gang_left_with_part_of_its_members_is_stopped() -> None:
    state = ready(2)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=8, is_gang=True)))
    first, second = starts(decided(state))
    finish(state, first, model.End.FAILED)
    assert stops(decided(state, 0.5)) == []
    assert [each.key for each in stops(decided(state, 2.0))] == [second.key]


def test_failed_runs_are_counted_and_end_the_job() -> None:
    state = ready(1)
    lifecycle.accept(state, world.job(1, world.step(2)))
    one, two = starts(decided(state))
    for run in (1, 2):
        finish(state, model.Start(one.worker, one.key, run, ""), model.End.FAILED)
        assert starts(decided(state, run))[0].run == run + 1
    finish(state, model.Start(one.worker, one.key, 3, ""), model.End.FAILED)
    assert only_job(state).state is model.JobState.FAILED
    assert [each.key for each in stops(decided(state, 9.0))] == [two.key]


def test_failed_members_of_one_run_count_as_one_failure() -> None:
    state = ready(2)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=8, is_gang=True)))
    for each in starts(decided(state)):
        finish(state, each, model.End.FAILED)
    assert only_job(state).occurrences[0].steps[0].failures == 1


@pytest.mark.parametrize("how", [model.End.STOPPED, model.End.LAPSED, model.End.BROKEN])
def test_runs_that_did_not_fail_are_not_counted(how: model.End) -> None:
    state = ready(1)
    lifecycle.accept(state, world.job(1))
    for run in range(1, 9):
        (begun,) = starts(decided(state, run))
        assert begun.run == run
        finish(state, begun, how)


def test_a_run_goes_on_from_its_newest_checkpoint() -> None:
    state = ready(2)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=8, is_gang=True, saves_progress=True)))
    first, second = starts(decided(state))
    lifecycle.end_run(state, first.worker, first.key, 1, model.End.STOPPED, "00000bb8")
    lifecycle.end_run(state, second.worker, second.key, 1, model.End.BROKEN, "000003e8")
    assert {each.checkpoint for each in starts(decided(state, 1.0))} == {"00000bb8"}


def test_a_cancelled_job_is_stopped_and_never_started_again() -> None:
    state = ready(1)
    lifecycle.accept(state, world.job(1, world.step(2), world.step(1, after=(0,))))
    begun = starts(decided(state))
    lifecycle.cancel(state, only_job(state).spec.job)
    assert len(stops(decided(state, 1.0))) == 2
    for each in begun:
        finish(state, each)
    assert [job.state for job in state.retired_jobs] == [model.JobState.CANCELLED]
    assert decided(state, 2.0) == []


def test_a_done_step_of_a_cancelled_job_opens_no_later_step() -> None:
    state = ready(2)
    steps = (world.step(2, gpu=8, is_gang=True), world.step(1, after=(0,)))
    lifecycle.accept(state, world.job(1, *steps))
    first, _ = starts(decided(state))
    lifecycle.cancel(state, only_job(state).spec.job)
    finish(state, first)
    assert starts(decided(state, 1.0)) == []


def test_occurrences_start_when_they_are_due() -> None:
    state = ready(1)
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
    assert decided(state, 4.9) == []
    (first,) = starts(decided(state, 5.0))
    (second,) = starts(decided(state, 8.1))
    assert (first.key.occurrence, second.key.occurrence) == (0, 1)
    finish(state, second)
    assert only_job(state).state is model.JobState.RUNNING
    finish(state, first)
    assert state.retired_jobs[0].state is model.JobState.COMPLETED


def test_endless_tasks_are_started_again_however_they_end() -> None:
    state = ready(1)
    lifecycle.accept(state, world.job(1, world.step(1, is_endless=True)))
    for number, how in enumerate([model.End.DONE, *[model.End.FAILED] * 5], start=1):
        (begun,) = starts(decided(state, number))
        assert begun.run == number
        finish(state, begun, how)


def test_a_run_that_no_task_accounts_for_is_stopped() -> None:
    state = ready(1)
    worker = state.workers[ids.WorkerId("w0@1")]
    key = model.TaskKey(ids.JobId("f" * 16), 0, 0, 0)
    lifecycle.stop_stray_runs(state, worker, {(key, 4)})
    lifecycle.stop_stray_runs(state, worker, {(key, 4)})
    assert state.commands == [model.Stop(worker.spec.worker, key, 4)]


def test_an_end_of_an_earlier_run_changes_nothing() -> None:
    state = ready(2)
    lifecycle.accept(state, world.job(1))
    (first,) = starts(decided(state))
    lifecycle.end_lost_runs(state, first.worker)
    (second,) = starts(decided(state, 1.0))
    finish(state, first)
    assert second.run == 2
    assert only_job(state).state is model.JobState.RUNNING


def test_tasks_on_a_worker_that_is_not_known_stay_placed_until_it_is_lost() -> None:
    state = ready(2)
    lifecycle.accept(state, world.job(1))
    (begun,) = starts(decided(state))
    confirm_all(state, [begun])
    value = records.encode(only_job(state))
    again = ready(0)
    records.restore(again, only_job(state).spec, value)
    other = next(name for name in state.workers if name != begun.worker)
    lifecycle.add_worker(again, state.workers[other].spec).is_ready = True
    assert decided(again) == []
    assert list(again.orphaned_tasks) == [begun.worker]
    lifecycle.end_lost_runs(again, begun.worker)
    (second,) = starts(decided(again, 1.0))
    assert (second.run, second.worker) == (2, other)


def test_a_final_job_without_placed_tasks_is_retired_when_it_is_restored() -> None:
    state = ready(1)
    lifecycle.accept(state, world.job(1))
    job = only_job(state)
    job.state = model.JobState.CANCELLED
    again = ready(0)
    records.restore(again, job.spec, records.encode(job))
    assert [each.state for each in again.retired_jobs] == [model.JobState.CANCELLED]


def test_barred_runs_of_an_ended_life_stay_until_they_are_ended_separately() -> None:
    state = ready(2)
    lifecycle.accept(state, world.job(1))
    (begun,) = starts(decided(state))
    lifecycle.remove_worker(state, begun.worker, {(begun.key, begun.run)})
    assert decided(state, 1.0) == []
    finish(state, begun, model.End.LOST)
    assert starts(decided(state, 2.0))[0].run == 2
