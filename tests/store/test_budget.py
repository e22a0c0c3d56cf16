from __future__ import annotations

import random
from typing import TYPE_CHECKING

import hypothesis
import pytest
import trio
import trio.testing
from hypothesis import strategies as st

from bronzequay import codes, errors
from bronzequay.store import budget
from bronzequay.store import purpose as purposes

if TYPE_CHECKING:
    from bronzequay.fakes import platform
    from bronzequay.store import client

JOURNAL = purposes.Purpose.JOURNAL
LEASE = purposes.Purpose.LEASE
READ = purposes.Purpose.READ


def max_calls_in_a_second(times: list[float]) -> int:
    ordered = sorted(times)
    return max(sum(1 for at in ordered if start <= at < start + 1.0) for start in ordered)


async def acquire_calls(
    limiter: budget.Limiter, purpose: purposes.Purpose, count: int, times: list[float]
) -> None:
    for _ in range(count):
        await limiter.acquire(purpose)
        times.append(trio.current_time())


async def acquire_at_random(limiter: budget.Limiter, seed: int) -> list[float]:
    rng = random.Random(seed)
    times: list[float] = []

    async def acquire_at(purpose: purposes.Purpose, start_s: float) -> None:
        await trio.sleep(start_s)
        await acquire_calls(limiter, purpose, 1, times)

    async with trio.open_nursery() as nursery:
        for _ in range(100):
            purpose = rng.choice(list(purposes.Purpose))
            nursery.start_soon(acquire_at, purpose, rng.choice([0.0, 1.0, 3 * rng.random()]))
    return times


@hypothesis.settings(derandomize=True, max_examples=15, deadline=None)
@hypothesis.given(seed=st.integers(0, 2**32), per_s=st.integers(16, 60))
def test_no_second_has_more_calls_than_the_limit(seed: int, per_s: int) -> None:
    async def main() -> None:
        times = await acquire_at_random(budget.Limiter(per_s), seed)
        assert len(times) == 100
        assert max_calls_in_a_second(times) <= per_s

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def test_single_purpose_can_use_the_whole_rate(
    autojump_clock: trio.testing.MockClock,
) -> None:
    times: list[float] = []
    await acquire_calls(budget.Limiter(100.0), JOURNAL, 1000, times)
    assert times[-1] - times[0] < 1000 / 100.0 * 1.2


async def test_urgent_call_overtakes_waiting_calls(autojump_clock: trio.testing.MockClock) -> None:
    limiter = budget.Limiter(50.0)
    reads: list[float] = []
    journals: list[float] = []
    async with trio.open_nursery() as nursery:
        for _ in range(500):
            nursery.start_soon(acquire_calls, limiter, READ, 1, reads)
        await trio.sleep(1.0)
        started_s = trio.current_time()
        await acquire_calls(limiter, JOURNAL, 5, journals)
        assert trio.current_time() - started_s < 0.1
        nursery.cancel_scope.cancel()


async def test_flood_of_urgent_calls_leaves_other_purposes_their_share(
    autojump_clock: trio.testing.MockClock,
) -> None:
    limiter = budget.Limiter(100.0)
    journals: list[float] = []
    leases: list[float] = []
    async with trio.open_nursery() as nursery:
        for _ in range(2000):
            nursery.start_soon(acquire_calls, limiter, JOURNAL, 1, journals)
        for _ in range(200):
            nursery.start_soon(acquire_calls, limiter, LEASE, 1, leases)
        await trio.sleep(10.0)
        nursery.cancel_scope.cancel()
    assert len(leases) >= 10 * 100.0 * 0.9 * budget.SHARES[LEASE] - 2


async def test_call_that_would_miss_its_deadline_is_refused_immediately(
    autojump_clock: trio.testing.MockClock,
) -> None:
    limiter = budget.Limiter(20.0)
    async with trio.open_nursery() as nursery:
        for _ in range(100):
            nursery.start_soon(acquire_calls, limiter, READ, 1, [])
        await trio.sleep(0.01)
        started_s = trio.current_time()
        with pytest.raises(errors.BronzequayError) as exc_info:
            await limiter.acquire(READ, deadline_s=started_s + 1.0)
        assert exc_info.value.code is codes.ResultCode.STORE_BUDGET
        assert trio.current_time() == started_s
        nursery.cancel_scope.cancel()


async def test_waiter_is_refused_by_its_deadline(autojump_clock: trio.testing.MockClock) -> None:
    limiter = budget.Limiter(20.0)
    async with trio.open_nursery() as nursery:
        for _ in range(400):
            nursery.start_soon(acquire_calls, limiter, JOURNAL, 1, [])
        await trio.sleep(0.5)
        deadline_s = trio.current_time() + 0.2
        with pytest.raises(errors.BronzequayError):
            await acquire_until(limiter, deadline_s)
        assert trio.current_time() <= deadline_s
        nursery.cancel_scope.cancel()


async def acquire_until(limiter: budget.Limiter, deadline_s: float) -> None:
    while True:
        await limiter.acquire(purposes.Purpose.WATCH, deadline_s=deadline_s)


async def test_next_waiter_is_admitted_after_a_waiter_is_cancelled(
    autojump_clock: trio.testing.MockClock,
) -> None:
    limiter = budget.Limiter(20.0)
    admitted: list[float] = []
    async with trio.open_nursery() as nursery:
        await acquire_calls(limiter, READ, 5, [])
        with trio.move_on_after(0.0001):
            nursery.start_soon(acquire_calls, limiter, READ, 3, admitted)
            await acquire_calls(limiter, READ, 100, [])
    assert len(admitted) == 3


async def test_refusals_of_the_platform_lower_the_rate(
    autojump_clock: trio.testing.MockClock,
) -> None:
    limiter = budget.Limiter(100.0)
    for _ in range(5):
        limiter.slow_down()
    times: list[float] = []
    await acquire_calls(limiter, JOURNAL, 100, times)
    assert times[-1] - times[0] > 2.0
    await trio.sleep(60.0)
    times.clear()
    await acquire_calls(limiter, JOURNAL, 100, times)
    assert times[-1] - times[0] < 1.2


async def test_calls_of_a_store_stay_within_its_budget(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    store.set_budget(budget.Budget(reads_per_s=20.0, writes_per_s=20.0))
    async with trio.open_nursery() as nursery:
        for _ in range(60):
            nursery.start_soon(get, store)
        await trio.sleep(1.0)
        assert stand.calls["GET kv"] <= 20
        nursery.cancel_scope.cancel()


async def get(store: client.Store) -> None:
    await store.get("a", purpose=READ)
