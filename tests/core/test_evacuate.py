"""Work on workers that are about to leave."""

from __future__ import annotations

from bronzequay import ids
from bronzequay.core import evacuate, lifecycle, model
from bronzequay.core import state as states
from tests.core import world
from tests.core.test_schedule import confirm_all, decided, ready, starts

W0 = ids.WorkerId("w0@1")


def left(state: states.State, *steps: model.Step, departure_s: float) -> list[str]:
    """Return the tasks that are stopped when their worker says that it leaves."""
    lifecycle.accept(state, world.job(1, *steps))
    confirm_all(state, decided(state))
    worker = state.workers[W0]
    worker.is_draining, worker.departure_s = True, departure_s
    evacuate.stop_unfinishable_runs(state, worker)
    commands, state.commands = state.commands, []
    return [f"{each.worker}:{each.key.number}" for each in commands]


def test_what_ends_before_its_worker_leaves_goes_on() -> None:
    assert left(ready(1), world.step(1, estimate_s=2.0), departure_s=3.0) == []


def test_what_would_be_lost_is_stopped_to_go_on_elsewhere() -> None:
    assert left(ready(1), world.step(1, estimate_s=9.0), departure_s=3.0) == ["w0@1:0"]


def test_work_without_an_end_is_stopped_however_long_its_worker_stays() -> None:
    assert left(ready(1), world.step(1, is_endless=True), departure_s=60.0) == ["w0@1:0"]


def test_a_gang_leaves_as_a_whole() -> None:
    gang = world.step(2, gpu=8, estimate_s=9.0, is_gang=True)
    assert sorted(left(ready(2), gang, departure_s=3.0)) == ["w0@1:0", "w1@1:1"]


def test_a_worker_that_leaves_gets_no_work() -> None:
    state = ready(1)
    left(state, world.step(1, estimate_s=9.0), departure_s=3.0)
    lifecycle.accept(state, world.job(2))
    assert starts(decided(state, 0.1)) == []
