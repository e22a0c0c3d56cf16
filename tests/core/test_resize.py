"""Starts on workers whose capacity changes, and on those whose capacity may have changed."""

from __future__ import annotations

import pytest

from bronzequay import ids
from bronzequay.core import lifecycle, model, resize, schedule
from bronzequay.core import state as states
from tests.core import world
from tests.core.test_schedule import build_state, confirm_starts, run_pass, starts


def shrink(state: states.State, name: str, gpu: int) -> list[model.Command]:
    """Shrink a worker; return the orders that follow."""
    worker = state.workers[ids.WorkerId(name)]
    spec = worker.spec
    capacity = model.Resources(spec.capacity.cpu, spec.capacity.mem_mb, gpu)
    resized = model.WorkerSpec(
        spec.worker, spec.service, capacity, spec.labels, spec.rack, spec.machine, spec.started_s
    )
    resize.apply(state, worker, resized)
    commands, state.commands = state.commands, []
    return commands


def test_unanswered_starts_that_no_longer_fit_are_withdrawn() -> None:
    """Guards against a start that is sent again after its worker has stated less capacity."""
    state = build_state(1)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=2)))
    confirm_starts(state, run_pass(state, 0.0))
    lifecycle.accept(state, world.job(2, world.step(1, gpu=2)))
    run_pass(state, 1.0)
    lifecycle.accept(state, world.job(3, world.step(1, gpu=2)))
    run_pass(state, 2.0)
    stops = shrink(state, "w0@1", 6)
    assert [stop.key.job for stop in stops if isinstance(stop, model.Stop)] == ["3".zfill(16)]
    assert starts(run_pass(state, 3.0)) == []
    assert shrink(state, "w0@1", 8) == []


def test_a_gang_is_withdrawn_as_a_whole() -> None:
    """Guards against a gang that is left with only part of its members."""
    state = build_state(2)
    lifecycle.accept(state, world.job(1, world.step(2, gpu=8, is_gang=True)))
    run_pass(state, 0.0)
    stops = shrink(state, "w0@1", 4)
    assert len(stops) == 2


def test_confirmed_runs_stay_when_capacity_shrinks() -> None:
    """Guards against work that is thrown away though its worker goes on with it."""
    state = build_state(1)
    lifecycle.accept(state, world.job(1, world.step(4, gpu=2)))
    confirm_starts(state, run_pass(state, 0.0))
    assert shrink(state, "w0@1", 2) == []
    assert state.workers[ids.WorkerId("w0@1")].free_gpu == -6


@pytest.mark.parametrize(("lag_s", "is_started"), [(0.4, False), (6.0, True)])
def test_work_starts_while_all_entries_arrive_late(lag_s: float, is_started: bool) -> None:
    """Guards against a fleet that starts nothing because its many entries arrive late."""
    state = states.State(world.rules(), max_entry_age_s=4.0)
    world.add_workers(state, 1)
    lifecycle.accept(state, world.job(1))
    (worker,) = state.workers.values()
    state.now_s, worker.stated_s, state.entry_lag_s = 20.0, 12.0, lag_s
    schedule.run(state)
    assert bool(state.commands) == is_started
