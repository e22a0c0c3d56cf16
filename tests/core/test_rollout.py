"""Pattern: the workers of a service are replaced one after the other (``release``).

Seen on scale-1 of quispe-sort-large: gangs of 11 s were started on workers that drained seconds
later and lost the work of all their members, 348 runs in 34 s.
"""

from __future__ import annotations

import msgspec
import pytest

from bronzequay import ids
from bronzequay.core import lifecycle, model, rollout, schedule
from bronzequay.core import state as states
from tests.core import world

BEGAN_S = 100.0
OLD_S, NEW_S = 0.0, BEGAN_S - 1.0


@pytest.fixture
def state() -> states.State:
    """Return two racks of four workers: those of r1 have just replaced others; r0 is old.

    One more old worker is draining.
    """
    state = world.new_state()
    state.now_s = state.wall_s = BEGAN_S
    for number in range(9):
        spec = world.worker_spec(number)
        started_s = NEW_S if spec.rack == "r1" else OLD_S
        spec = msgspec.structs.replace(spec, started_s=started_s)
        lifecycle.add_worker(state, spec).is_ready = True
    drain(state, "w8@1")
    return state


def drain(state: states.State, name: str) -> None:
    worker = state.workers[ids.WorkerId(name)]
    worker.is_draining = True
    rollout.record_drain(state, worker)


def racks_of(state: states.State, job: model.JobSpec, now_s: float = BEGAN_S) -> set[str]:
    """Accept a job and return the racks on which its tasks are started."""
    state.now_s = state.wall_s = now_s
    lifecycle.accept(state, job)
    schedule.run(state)
    commands, state.commands = state.commands, []
    started = [command for command in commands if isinstance(command, model.Start)]
    assert len(started) == sum(step.count for step in job.steps)
    return {state.workers[start.worker].spec.rack for start in started}


def occupy_partly(state: states.State, rack: str) -> None:
    """Make a rack the tighter fit, which placement prefers otherwise."""
    small = world.step(12, estimate_s=60.0, data_rack=rack)
    assert racks_of(state, world.job(99, small)) == {rack}


@pytest.mark.parametrize("is_gang", [True, False])
def test_long_work_starts_on_workers_that_are_not_being_replaced(
    state: states.State, is_gang: bool
) -> None:
    occupy_partly(state, "r0")
    step = world.step(2, gpu=4, estimate_s=11.0, is_gang=is_gang, same_rack=is_gang)
    assert racks_of(state, world.job(1, step)) == {"r1"}


def test_short_work_still_starts_where_it_fits_best(state: states.State) -> None:
    occupy_partly(state, "r0")
    assert racks_of(state, world.job(1, world.step(2, gpu=2, estimate_s=2.0))) == {"r0"}


def test_long_work_starts_on_workers_being_replaced_when_no_others_have_room(
    state: states.State,
) -> None:
    filling = world.step(4, gpu=8, estimate_s=60.0, data_rack="r1")
    assert racks_of(state, world.job(1, filling)) == {"r1"}
    assert racks_of(state, world.job(2, world.step(1, gpu=8, estimate_s=11.0))) == {"r0"}


def test_a_fleet_that_only_shrinks_has_no_preferred_workers(state: states.State) -> None:
    for worker in state.workers.values():
        worker.spec = msgspec.structs.replace(worker.spec, started_s=OLD_S)
    occupy_partly(state, "r0")
    assert racks_of(state, world.job(1, world.step(2, gpu=2, estimate_s=11.0))) == {"r0"}


def test_a_roll_out_is_forgotten_some_time_after_its_last_drain(state: states.State) -> None:
    occupy_partly(state, "r0")
    job = world.job(1, world.step(2, gpu=2, estimate_s=11.0), accepted_s=BEGAN_S)
    assert racks_of(state, job, now_s=BEGAN_S + rollout.MAX_PAUSE_S + 0.1) == {"r0"}
