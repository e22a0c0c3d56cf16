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


def acquire_all(table: slots.SlotTable) -> int:
    count = 0
    while table.acquire() is not None:
        count += 1
    return count


@pytest.mark.parametrize(("instances", "limit"), [(1, 64), (3, 21), (7, 9), (64, 1), (100, 1)])
def test_all_instances_together_stay_under_the_connection_limit(instances: int, limit: int) -> None:
    table = make_table("x0", instances=instances)
    assert acquire_all(table) == limit
    assert not table.has_free()


def test_hint_of_a_full_executor_leaves_the_base_slots() -> None:
    table = make_table("x0")
    table.acquire()
    table.record_hint(X0, busy=8)
    table.release(X0, run_s=0.05)
    assert acquire_all(table) == slots.BASE_SLOTS


def test_hint_of_an_idle_executor_allows_every_slot() -> None:
    table = make_table("x0")
    table.acquire()
    table.record_hint(X0, busy=0)
    table.release(X0, run_s=0.05)
    assert acquire_all(table) == slots.SLOTS_PER_EXECUTOR


def test_own_requests_are_not_counted_as_those_of_others() -> None:
    table = make_table("x0")
    for _ in range(4):
        table.acquire()
    table.record_hint(X0, busy=3)
    table.release(X0, run_s=0.05)
    assert acquire_all(table) == 5


def test_expired_hint_allows_only_the_base_slots() -> None:
    clock = Clock()
    table = make_table("x0", clock=clock)
    table.acquire()
    table.record_hint(X0, busy=0)
    table.release(X0, run_s=0.05)
    clock.now_s = 1.0
    assert [executor.executor for executor in table.stale_executors()] == [X0]
    assert acquire_all(table) == slots.BASE_SLOTS


def test_hint_expires_later_when_runs_are_long() -> None:
    clock = Clock()
    table = make_table("x0", clock=clock)
    for _ in range(100):
        table.acquire()
        table.release(X0, run_s=10.0)
    table.record_hint(X0, busy=0)
    clock.now_s = 5.0
    assert table.stale_executors() == []


def test_description_allows_a_share_of_the_free_slots() -> None:
    table = make_table("x0")
    table.record_description(X0, busy=1)
    assert acquire_all(table) == 1
    table.record_description(X0, busy=1)
    assert acquire_all(table) == 1


def test_less_loaded_of_two_executors_is_chosen() -> None:
    table = make_table("x0", "x1", instances=64)
    assert {table.acquire(), table.acquire()} == set(table.executors())


def test_leaving_and_unavailable_executors_get_no_new_requests() -> None:
    table = make_table("x0", "x1")
    table.set_unavailable({X0})
    table.set_executors(
        [
            make_executor("x0", model.ExecutorState.LIVE),
            make_executor("x1", model.ExecutorState.LEAVING),
        ]
    )
    assert table.acquire() is None
    assert not table.has_available()
    table.set_unavailable(())
    assert table.has_available()


def test_executor_listed_again_keeps_its_count_of_requests() -> None:
    table = make_table("x0", instances=32)
    table.acquire()
    table.set_executors([])
    table.set_executors([make_executor("x0", model.ExecutorState.LIVE)])
    assert acquire_all(table) == 1


def test_estimate_of_a_delisted_executor_is_removed_with_its_last_request() -> None:
    table = make_table("x0")
    table.acquire()
    table.set_executors([])
    assert "x0" in table.dump()
    table.release(X0, run_s=0.1)
    assert table.dump() == {}
