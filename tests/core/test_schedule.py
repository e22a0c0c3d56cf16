"""Who is started first, where, and who is stopped for whom."""

from __future__ import annotations

import pytest

from bronzequay import ids
from bronzequay.core import lifecycle, model, order, schedule
from bronzequay.core import state as states
from tests.core import world


def decided(state: states.State, now_s: float = 0.0) -> list[model.Command]:
    state.now_s = state.wall_s = now_s
    schedule.run(state)
    commands, state.commands = state.commands, []
    return commands


def starts(commands: list[model.Command]) -> list[model.Start]:
    return [each for each in commands if isinstance(each, model.Start)]


def stops(commands: list[model.Command]) -> list[model.Stop]:
    return [each for each in commands if isinstance(each, model.Stop)]


def ready(count: int = 4, **options: int) -> states.State:
    state = world.new_state()
    for number in range(count):
        lifecycle.add_worker(state, world.worker_spec(number, **options)).is_ready = True
    return state


def confirm_all(state: states.State, commands: list[model.Command]) -> None:
    for each in starts(commands):
        lifecycle.confirm(state, each.worker, each.key, each.run)


def finish(state: states.State, start: model.Start, how: model.End = model.End.DONE) -> None:
    lifecycle.end_run(state, start.worker, start.key, start.run, how)


def test_a_gang_starts_whole_or_not_at_all() -> None:
    state = ready(2)
    lifecycle.accept(state, world.job(1, world.step(3, gpu=8, is_gang=True)))
    lifecycle.accept(state, world.job(2, world.step(2, gpu=8, is_gang=True)))
    begun = starts(decided(state))
    assert [(each.key.job, each.run) for each in begun] == [(ids.JobId("2".zfill(16)), 1)] * 2


def test_a_gang_that_belongs_together_starts_in_one_rack() -> None:
    state = ready(4, per_rack=2)
    lifecycle.accept(state, world.job(1, world.step(1, gpu=4)))
    decided(state)
    lifecycle.accept(state, world.job(2, world.step(4, gpu=4, is_gang=True, same_rack=True)))
    begun = starts(decided(state))
    assert {state.workers[each.worker].spec.rack for each in begun} == {"r1"}


def test_a_gang_wider_than_every_rack_is_spread() -> None:
    state = ready(4, per_rack=2)
    lifecycle.accept(state, world.job(1, world.step(3, gpu=8, is_gang=True, same_rack=True)))
    assert len(starts(decided(state))) == 3


def test_no_more_tasks_than_allowed_share_a_worker() -> None:
    state = ready(2)
    lifecycle.accept(state, world.job(1, world.step(6, max_per_worker=2)))
    begun = starts(decided(state))
    assert sorted(each.worker for each in begun) == ["w0@1", "w0@1", "w1@1", "w1@1"]


def test_the_label_and_the_rack_near_the_data_are_kept_to() -> None:
    state = ready(4, per_rack=2)
    lifecycle.accept(state, world.job(1, world.step(2, label="b")))
    lifecycle.accept(state, world.job(2, world.step(2, data_rack="r1")))
    begun = starts(decided(state))
    assert {state.workers[each.worker].spec.rack for each in begun} == {"r1"}
    assert {each.key.job for each in begun} == {"2".zfill(16)}


@pytest.mark.parametrize("change", ["is_draining", "is_ready", "stray_runs", "avoid"])
def test_a_worker_that_takes_no_work_gets_none(change: str) -> None:
    state = ready(1)
    worker = state.workers[ids.WorkerId("w0@1")]
    if change == "is_draining":
        worker.is_draining = True
    elif change == "is_ready":
        worker.is_ready = False
    elif change == "stray_runs":
        worker.stray_runs.add((model.TaskKey(ids.JobId("x"), 0, 0, 0), 1))
    else:
        worker.quarantined_until_s = 5.0
    lifecycle.accept(state, world.job(1))
    assert starts(decided(state)) == []


def test_urgent_work_stops_the_cheapest_unsaved_work() -> None:
    state = ready(2)
    slow = world.step(1, gpu=8, estimate_s=30.0)
    lifecycle.accept(state, world.job(1, slow))
    lifecycle.accept(
        state, world.job(2, world.step(1, gpu=8, estimate_s=30.0, saves_progress=True))
    )
    confirm_all(state, decided(state))
    lifecycle.accept(state, world.job(3, world.step(1, gpu=8), priority=0, accepted_s=10.0))
    stopped = stops(decided(state, 10.0))
    assert [each.key.job for each in stopped] == ["2".zfill(16)]
    finish(state, model.Start(stopped[0].worker, stopped[0].key, 1, ""), model.End.STOPPED)
    begun = starts(decided(state, 10.5))
    assert begun[0].key.job == "3".zfill(16)
    assert begun[0].worker == stopped[0].worker


def test_work_of_the_same_urgency_is_not_stopped_beyond_the_guarantee() -> None:
    state = ready(1)
    lifecycle.accept(state, world.job(1, world.step(1, gpu=8), priority=0, org="none"))
    confirm_all(state, decided(state))
    lifecycle.accept(state, world.job(2, world.step(1, gpu=8), priority=0, org="none"))
    assert stops(decided(state, 0.1)) == []


def test_guaranteed_work_stops_urgent_work_that_is_not_guaranteed() -> None:
    state = ready(1)
    lifecycle.accept(
        state, world.job(1, world.step(1, gpu=8, estimate_s=9.0), priority=0, org="none")
    )
    confirm_all(state, decided(state))
    lifecycle.accept(state, world.job(2, world.step(1, gpu=8), priority=0, org="small"))
    assert [each.key.job for each in stops(decided(state, 0.1))] == ["1".zfill(16)]


def test_a_step_that_others_were_stopped_for_gets_the_room() -> None:
    state = ready(1)
    lifecycle.accept(state, world.job(1, world.step(1, gpu=8, estimate_s=30.0)))
    begun = starts(decided(state))
    lifecycle.accept(state, world.job(2, world.step(1, gpu=8), priority=0, org="none"))
    assert len(stops(decided(state, 0.1))) == 1
    lifecycle.accept(state, world.job(3, world.step(1, gpu=8), priority=0, org="none"))
    assert stops(decided(state, 0.2)) == []
    finish(state, begun[0], model.End.STOPPED)
    assert starts(decided(state, 0.5))[0].key.job == "2".zfill(16)


def test_small_work_does_not_fill_the_room_that_a_gang_waits_for() -> None:
    state = ready(2)
    lifecycle.accept(state, world.job(1, world.step(8, estimate_s=4.0)))
    first = starts(decided(state))
    lifecycle.accept(state, world.job(2, world.step(2, gpu=8, is_gang=True), accepted_s=0.1))
    lifecycle.accept(state, world.job(3, world.step(8, estimate_s=30.0), accepted_s=0.2))
    assert starts(decided(state, 0.3)) == []
    lifecycle.accept(state, world.job(4, world.step(1, estimate_s=1.0), accepted_s=0.4))
    assert [each.key.job for each in starts(decided(state, 0.5))] == ["4".zfill(16)]
    assert first


def test_tiers_come_before_priorities_and_waiting_time() -> None:
    state = ready(0)
    specs = [
        world.job(1, priority=2, accepted_s=99.0),
        world.job(2, priority=1, accepted_s=99.0),
        world.job(3, priority=1, accepted_s=90.0),
        world.job(4, priority=0, org="none", accepted_s=99.9),
        world.job(5, priority=0, org="none", accepted_s=93.0),
        world.job(6, priority=0, org="small", accepted_s=20.0),
        world.job(7, priority=0, org="none", accepted_s=0.0),
    ]
    for spec in specs:
        lifecycle.accept(state, spec)
    state.wall_s = 100.0
    guaranteed = order.guaranteed_jobs(state)
    ranks = {
        int(key[0]): order.rank(state, step, guaranteed)[0]
        for key, step in state.open_steps.items()
    }
    assert ranks == {
        1: order.Tier.IN_TIME,
        2: order.Tier.IN_TIME,
        3: order.Tier.LATE,
        4: order.Tier.URGENT,
        5: order.Tier.URGENT_LATE,
        6: order.Tier.GUARANTEED,
        7: order.Tier.HOPELESS,
    }


def test_the_longest_path_through_the_steps_counts() -> None:
    steps = (
        model.Step(estimate_s=1.0),
        model.Step(estimate_s=5.0),
        model.Step(estimate_s=2.0, after=(0, 1)),
    )
    assert order.critical_path_s(steps) == 7.0


def test_guaranteed_work_does_not_go_on_waiting_for_ends_that_do_not_come() -> None:
    state = ready(4)
    for number in range(4):
        overrun = world.step(1, gpu=8, estimate_s=1.0 + number)
        lifecycle.accept(state, world.job(number, overrun, priority=2))
    begun = starts(decided(state))
    confirm_all(state, [*begun])
    accepted_s = 0.9
    lifecycle.accept(state, world.job(9, world.step(1, gpu=8), priority=0, org="small"))
    ends: dict[model.Stop, float] = {}
    for tick in range(26):
        now_s = accepted_s + tick * 0.1
        for stop, end_s in list(ends.items()):
            if end_s <= now_s:
                lifecycle.end_run(state, stop.worker, stop.key, stop.run, model.End.STOPPED)
                del ends[stop]
        commands = decided(state, now_s)
        ends |= dict.fromkeys(stops(commands), now_s + 0.9)
        if any(each.key.job == "9".zfill(16) for each in starts(commands)):
            return
    pytest.fail("not begun 2.6 s after it was accepted; 3.4 s are promised")


def serving(state: states.State, step: model.Step) -> None:
    lifecycle.accept(state, world.job(1, step))
    begun = decided(state)
    confirm_all(state, begun)
    for each in starts(begun):
        task = state.task_of(each.key)
        assert task is not None
        task.last_sample = (0.0, 100.0)


@pytest.mark.parametrize(("may_miss", "stopped"), [(0, 2), (1, 0), (2, 2)])
def test_guaranteed_work_stops_no_more_of_a_service_than_it_may_miss(
    may_miss: int, stopped: int
) -> None:
    state = ready(2)
    serving(state, world.step(4, gpu=4, is_endless=True, may_miss=may_miss))
    lifecycle.accept(state, world.job(2, world.step(1, gpu=8), priority=0, org="small"))
    assert len(stops(decided(state, 2.0))) == stopped


def test_a_service_is_not_stopped_for_work_that_is_not_guaranteed() -> None:
    state = ready(1)
    serving(state, world.step(2, gpu=4, is_endless=True))
    lifecycle.accept(state, world.job(2, world.step(1, gpu=8), priority=0, org="none"))
    assert stops(decided(state, 2.0)) == []


def test_a_task_of_a_service_that_is_away_counts_against_what_it_may_miss() -> None:
    state = ready(1)
    serving(state, world.step(2, gpu=4, is_endless=True, may_miss=1))
    task = next(iter(state.workers[ids.WorkerId("w0@1")].tasks.values()))
    task.last_sample = (0.0, 40.0)
    lifecycle.accept(state, world.job(2, world.step(1, gpu=4), priority=0, org="small"))
    assert [each.key for each in stops(decided(state, 2.0))] == []


@pytest.mark.parametrize(("percent", "stopped"), [(95.0, 0), (50.0, 1), (None, 1)])
def test_urgent_work_waits_only_for_ends_that_measured_progress_promises(
    percent: float | None, stopped: int
) -> None:
    state = ready(1)
    lifecycle.accept(state, world.job(1, world.step(1, gpu=8, estimate_s=2.0), priority=2))
    confirm_all(state, decided(state))
    (task,) = state.workers[ids.WorkerId("w0@1")].tasks.values()
    if percent is not None:
        task.first_sample, task.last_sample = (0.0, 0.0), (1.9, percent)
    urgent = world.job(2, world.step(1, gpu=8), priority=0, org="none", accepted_s=1.9)
    lifecycle.accept(state, urgent)
    assert len(stops(decided(state, 1.9))) == stopped
