from __future__ import annotations

import pytest

from bronzequay import ids
from bronzequay.route import model, slots

X0, X1 = ids.ExecutorId("x0"), ids.ExecutorId("x1")


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def make_executor(name: str, state: model.ExecutorState) -> model.Executor:
    return model.Executor(ids.ExecutorId(name), f"http://{name}", ids.DataCentreId("d"), state)


def make_table(*names: str, instances: int = 7, clock: Clock | None = None) -> slots.SlotTable:
    table = slots.SlotTable(instances=lambda: instances, clock=clock or Clock())
    table.set_executors([make_executor(name, model.ExecutorState.LIVE) for name in names])
    return table


def take_all(table: slots.SlotTable) -> int:
    taken = 0
    while table.acquire() is not None:
        taken += 1
    return taken


@pytest.mark.parametrize(("instances", "limit"), [(1, 64), (3, 21), (7, 9), (64, 1), (100, 1)])
def test_all_instances_together_stay_under_the_connection_limit(instances: int, limit: int) -> None:
    table = make_table("x0", instances=instances)
    assert take_all(table) == limit
    assert not table.has_free()


def test_hint_that_others_fill_the_executor_leaves_the_base_share() -> None:
    table = make_table("x0")
    table.acquire()
    table.observe(X0, busy=8)
    table.release(X0, run_s=0.05)
    assert take_all(table) == slots.BASE_SHARE


def test_hint_that_others_are_idle_opens_every_slot() -> None:
    table = make_table("x0")
    table.acquire()
    table.observe(X0, busy=0)
    table.release(X0, run_s=0.05)
    assert take_all(table) == slots.SLOTS_PER_EXECUTOR


def test_own_requests_are_not_taken_for_those_of_others() -> None:
    table = make_table("x0")
    for _ in range(4):
        table.acquire()
    table.observe(X0, busy=3)
    table.release(X0, run_s=0.05)
    assert take_all(table) == 5


def test_old_hint_counts_for_the_base_share_only() -> None:
    clock = Clock()
    table = make_table("x0", clock=clock)
    table.acquire()
    table.observe(X0, busy=0)
    table.release(X0, run_s=0.05)
    clock.now_s = 1.0
    assert [executor.executor for executor in table.stale()] == [X0]
    assert take_all(table) == slots.BASE_SHARE


def test_long_runs_keep_a_hint_for_longer() -> None:
    clock = Clock()
    table = make_table("x0", clock=clock)
    for _ in range(100):
        table.acquire()
        table.release(X0, run_s=10.0)
    table.observe(X0, busy=0)
    clock.now_s = 5.0
    assert table.stale() == []


def test_description_opens_a_share_of_the_free_slots() -> None:
    table = make_table("x0")
    table.observe_description(X0, busy=1)
    assert take_all(table) == 1
    table.observe_description(X0, busy=1)
    assert take_all(table) == 1


def test_less_loaded_of_two_is_taken() -> None:
    table = make_table("x0", "x1", instances=64)
    assert {table.acquire(), table.acquire()} == set(table.executors())


def test_leaving_and_closed_executors_take_no_new_work() -> None:
    table = make_table("x0", "x1")
    table.set_closed({X0})
    table.set_executors(
        [
            make_executor("x0", model.ExecutorState.LIVE),
            make_executor("x1", model.ExecutorState.LEAVING),
        ]
    )
    assert table.acquire() is None
    assert not table.is_open()
    table.set_closed(())
    assert table.is_open()


def test_executor_that_comes_back_on_the_list_keeps_its_count() -> None:
    table = make_table("x0", instances=32)
    table.acquire()
    table.set_executors([])
    table.set_executors([make_executor("x0", model.ExecutorState.LIVE)])
    assert take_all(table) == 1


def test_count_of_an_executor_off_the_list_goes_with_its_last_request() -> None:
    table = make_table("x0")
    table.acquire()
    table.set_executors([])
    assert "x0" in table.dump()
    table.release(X0, run_s=0.1)
    assert table.dump() == {}
