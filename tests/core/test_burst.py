"""Pattern: bursts of urgent gangs on a full fleet.

Seen on scale-2 of quispe-sort-large: urgent gangs reserved the room of gangs whose fast members
had ended, dropped the reservation 0.06 s later and searched again, 400 times in 34 s.
"""

from __future__ import annotations

import pytest

from bronzequay import ids
from bronzequay.core import lifecycle, model, schedule
from bronzequay.core import state as states
from tests.core import world

NOW_S = 4.0


def run_pass(state: states.State, now_s: float) -> list[model.Command]:
    state.now_s = state.wall_s = now_s
    schedule.run(state)
    commands, state.commands = state.commands, []
    return commands


def start_all(state: states.State, now_s: float = 0.0) -> None:
    for command in run_pass(state, now_s):
        assert isinstance(command, model.Start)
        lifecycle.confirm(state, command.worker, command.key, command.run)


def report(state: states.State, worker: str, percent: float) -> None:
    """Report progress of the tasks on a worker that have run since 0 s."""
    for task in state.workers[ids.WorkerId(worker)].tasks.values():
        task.first_sample, task.last_sample = (0.0, 0.0), (NOW_S, percent)


@pytest.fixture
def state() -> states.State:
    """Return three full workers: a gang on two of them, a task that saves progress on the third."""
    state = world.new_state()
    world.add_workers(state, 3)
    gang = world.step(2, gpu=8, is_gang=True, estimate_s=8.0)
    lifecycle.accept(state, world.job(1, gang))
    start_all(state)
    single = world.step(1, gpu=8, estimate_s=30.0, saves_progress=True)
    lifecycle.accept(state, world.job(2, single))
    start_all(state)
    report(state, "w2@1", 10.0)
    state.now_s = NOW_S
    return state


@pytest.mark.parametrize(("slower_percent", "stopped_jobs"), [(50.0, ["2"]), (99.0, [])])
def test_urgent_work_waits_for_a_gang_only_if_its_slowest_member_is_about_to_end(
    state: states.State, slower_percent: float, stopped_jobs: list[str]
) -> None:
    report(state, "w0@1", 99.0)
    report(state, "w1@1", slower_percent)
    urgent = world.job(3, world.step(1, gpu=8), priority=0, org="small", accepted_s=NOW_S)
    lifecycle.accept(state, urgent)
    stopped = [c for c in run_pass(state, NOW_S) if isinstance(c, model.Stop)]
    assert [stop.key.job for stop in stopped] == [job.zfill(16) for job in stopped_jobs]


def test_the_expected_end_of_a_gang_is_that_of_its_slowest_member(state: states.State) -> None:
    report(state, "w0@1", 80.0)
    report(state, "w1@1", 50.0)
    for name in ("w0@1", "w1@1"):
        (task,) = state.workers[ids.WorkerId(name)].tasks.values()
        step = state.step_of(task.key)
        assert step is not None
        assert states.remaining_s(step, task, NOW_S) == pytest.approx(4.0)


def test_a_dropped_reservation_is_logged_with_its_reason(state: states.State) -> None:
    report(state, "w0@1", 99.0)
    report(state, "w1@1", 99.0)
    urgent = world.job(3, world.step(1, gpu=8), priority=0, org="none", accepted_s=NOW_S)
    lifecycle.accept(state, urgent)
    run_pass(state, NOW_S)
    state.decisions.clear()
    run_pass(state, NOW_S + 0.5)
    dropped = [inputs for event, _, inputs in state.decisions if event == "reservation_dropped"]
    assert [inputs["why"] for inputs in dropped] == ["room not expected"]
