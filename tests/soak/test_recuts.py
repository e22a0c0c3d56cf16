"""What the soak's executors do with calls to a life that ends, and their clocks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio
import trio.testing

from bronzequay.fakes import executors, kv
from bronzequay.net import server
from soak import recuts

if TYPE_CHECKING:
    from trio.testing import MockClock

LATE_S = 3.0


def make_executor() -> recuts.Executor:
    executor = recuts.World(kv.Kv(), seed=1).add("i-1", "127.0.0.1:1")
    assert isinstance(executor, recuts.Executor)
    return executor


async def test_each_life_has_a_clock_of_its_own() -> None:
    """Guards against a soak in which a deadline means the same on every life."""
    executor = make_executor()
    clocks_ms = []
    for _ in range(20):
        executor.boot()
        clocks_ms.append(executor.clock_ms)
    assert len(set(clocks_ms)) == len(clocks_ms)
    assert sorted(clocks_ms) != clocks_ms


async def test_a_renewal_that_the_next_life_carries_out_is_shortened_to_the_longest_lease(
    mock_clock: MockClock, nursery: trio.Nursery
) -> None:
    """Guards against a soak that loses the calls to a life that ends, and so finds nothing."""
    executor = make_executor()
    executor.held_calls = []
    deadline_ms = executor.clock_ms + 10 * recuts.MAX_CLOCK_START_MS
    body = msgspec.json.encode({"deadlineMs": deadline_ms, "fencingToken": 1})
    req = server.Request("POST", "/hold", {}, body)
    nursery.start_soon(executor.handle, req)
    await trio.testing.wait_all_tasks_blocked()
    executor.crash(keeps_entry=True)
    assert executor.world.store.get("servers/i-1") is not None
    executor.boot()
    assert executor.deadline_ms == 0.0
    ((held, _),) = executor.held_calls
    nursery.start_soon(executor.carry_out, held, trio.current_time() + LATE_S)
    await trio.testing.wait_all_tasks_blocked()
    mock_clock.jump(LATE_S)
    await trio.testing.wait_all_tasks_blocked()
    assert executor.deadline_ms == executor.clock_ms + executors.MAX_LEASE_MS
    nursery.cancel_scope.cancel()
