"""Tasks that fail after each start, beside sound work: quarantines never take the fleet from it."""

from __future__ import annotations

import pytest

from bronzequay import ids
from bronzequay.core import health, lifecycle, model
from bronzequay.core import state as states
from tests.core import world
from tests.core.test_spread import LostChecker

TICK_S = 0.1
LOOPS_S = 30.0
MAX_START_S = 3.0
"""Time within which work that an idle fleet could run twice over must begin."""
SOUND_STEPS = {
    "gang": world.step(4, gpu=8, is_gang=True, estimate_s=1.0),
    "wide_gang": world.step(11, gpu=8, is_gang=True, estimate_s=1.0),
    "urgent": world.step(2, gpu=8, estimate_s=1.0),
    "filler": world.step(4, gpu=1, is_filler=True, estimate_s=1.0),
    "lasting": world.step(4, gpu=1, is_endless=True),
}


def fleet_with_loops(workers: int, loops: int) -> world.Fleet:
    """Return a fleet on which lasting tasks have failed after each start for a while."""
    state = world.new_state()
    for number in range(workers):
        lifecycle.add_worker(state, world.worker_spec(number, per_rack=6)).is_ready = True
    fleet = world.Fleet(state)
    for number in range(loops):
        spec = world.job(number, world.step(1, is_endless=True), org="none")
        fleet.failing_jobs.add(spec.job)
        lifecycle.accept(state, spec)
    for _ in range(int(LOOPS_S / TICK_S)):
        fleet.advance(TICK_S)
        check_paused_share(state, workers)
    return fleet


def check_paused_share(state: states.State, workers: int) -> None:
    paused = sum(worker.quarantined_until_s > state.now_s for worker in state.workers.values())
    assert paused <= health.MAX_QUARANTINED_SHARE * workers


@pytest.mark.parametrize("workers", [24, 176])
@pytest.mark.parametrize("loops", [1, 2, 10])
@pytest.mark.parametrize("kind", sorted(SOUND_STEPS))
def test_sound_work_starts_beside_tasks_that_fail_after_each_start(
    workers: int, loops: int, kind: str
) -> None:
    """Guards against an idle fleet that is paused as a whole because of two failing tasks."""
    fleet = fleet_with_loops(workers, loops)
    priority = 0 if kind == "urgent" else 1
    spec = world.job(900, SOUND_STEPS[kind], priority=priority, accepted_s=fleet.now_s)
    lifecycle.accept(fleet.state, spec)
    accepted_s = fleet.now_s
    job, checker = fleet.state.jobs[spec.job], LostChecker(fleet.state)
    while not all(task.run for step in job.steps() for task in step.tasks):
        fleet.advance(TICK_S)
        checker.check()
        assert fleet.now_s - accepted_s < MAX_START_S
    assert all(lost in fleet.state.jobs for lost in fleet.failing_jobs)


@pytest.mark.parametrize("loops", [2, 10])
def test_the_pauses_that_failing_tasks_cause_come_to_an_end(loops: int) -> None:
    """Guards against failing tasks that keep a part of the fleet paused for ever."""
    fleet = fleet_with_loops(24, loops)
    for _ in range(int(2 * health.MAX_QUARANTINE_S / 0.5)):
        fleet.advance(0.5)
    paused = [
        worker
        for worker in fleet.state.workers.values()
        if worker.quarantined_until_s > fleet.now_s
    ]
    assert paused == []


def test_workers_on_which_everything_fails_are_paused_and_the_others_are_not() -> None:
    state = world.new_state()
    for number in range(24):
        lifecycle.add_worker(state, world.worker_spec(number)).is_ready = True
    fleet = world.Fleet(state)
    faulty = {ids.WorkerId(f"w{number}@1") for number in range(0, 24, 6)}
    for tick in range(200):
        if tick % 2 == 0:
            spec = world.job(tick, world.step(22, gpu=4, estimate_s=0.5), accepted_s=fleet.now_s)
            lifecycle.accept(state, spec)
        fleet.advance(0.25)
        for key, (start, end_s, _) in list(fleet.live_runs.items()):
            if start.worker in faulty:
                fleet.live_runs[key] = (start, end_s, model.End.FAILED.value)
    paused = {name for name, worker in state.workers.items() if worker.quarantine_count}
    assert paused == faulty
