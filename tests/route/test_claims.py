from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import codes, errors
from bronzequay.route import claim_bucket, claim_writer, claims
from tests.route import fleet as fleets

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bronzequay.route import model, router

Code = codes.ResultCode
Fault = fleets.Fault


@contextlib.asynccontextmanager
async def instances(
    fleet: fleets.Fleet, store: fleets.MemoryStore, count: int = 2
) -> AsyncIterator[list[router.Router]]:
    """Run instances that share the executors and the store."""
    routers = [
        fleets.make_router(fleet, instances=count, claims=fleets.make_claims(store, f"i{number}"))
        for number in range(count)
    ]
    async with trio.open_nursery() as nursery:
        for instance in routers:
            nursery.start_soon(instance.run)
        yield routers
        nursery.cancel_scope.cancel()


async def send_result(instance: router.Router, req: model.Request) -> Code | bytes:
    try:
        return (await instance.send(req)).body
    except errors.BronzequayError as exc:
        return exc.code


def request(number: int, key: str = "k", **kw: float) -> model.Request:
    return fleets.make_request(number, key=key, body=b"bill", **kw)  # type: ignore[arg-type]


async def test_second_request_on_another_instance_gets_the_recorded_answer(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (first, second):
        assert await send_result(first, request(1)) == b"bill"
        await trio.sleep(1)
        assert await send_result(second, request(2)) == b"bill"
    assert fleet.runs.total() == 1


async def test_claim_is_durable_before_the_request_is_sent(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore(delay_s=1.0)
    async with instances(fleet, store) as (first, _):
        await send_result(first, request(1, deadline_s=20))
    assert fleet.calls[0].at_s >= 2.0
    assert store.writes >= 1


async def test_concurrent_requests_on_all_instances_run_once_and_get_the_same_answer(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    answers: list[Code | bytes] = []

    async def send(instance: router.Router, number: int) -> None:
        answers.append(await send_result(instance, request(number, deadline_s=10)))

    async with instances(fleet, store, 7) as routers, trio.open_nursery() as nursery:
        for number in range(21):
            nursery.start_soon(send, routers[number % 7], number)
    assert answers == [b"bill"] * 21
    assert fleet.runs.total() == 1


async def test_request_waits_for_a_slow_earlier_one_on_another_instance(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    fleet.behave = lambda _name: fleets.Behaviour(delay_s=3.0)
    async with instances(fleet, store) as (first, second), trio.open_nursery() as nursery:
        nursery.start_soon(send_result, first, request(1, deadline_s=20))
        await trio.sleep(0.1)
        assert await send_result(second, request(2, deadline_s=20)) == b"bill"
    assert fleet.runs.total() == 1


async def test_key_used_for_another_body_is_refused(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    other = fleets.make_request(2, key="k", body=b"other")
    async with instances(fleet, store) as (first, second):
        await send_result(first, request(1))
        assert await send_result(first, other) is Code.KEY_REUSED
        assert await send_result(second, other) is Code.KEY_REUSED
    assert fleet.runs.total() == 1


async def test_same_key_of_another_caller_is_a_different_key(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (first, _):
        await send_result(first, request(1))
        await send_result(first, fleets.make_request(2, key="k", caller="c2"))
    assert fleet.runs.total() == 2


@pytest.mark.parametrize(
    ("fault", "code", "runs"),
    [
        (Fault.LOSE_ANSWER, Code.OUTCOME_UNKNOWN, 1),
        (Fault.LOSE_REQUEST, Code.OUTCOME_UNKNOWN, 0),
        (Fault.FAIL, Code.EXECUTOR_FAILED, 1),
    ],
)
async def test_second_request_gets_the_outcome_of_the_first(
    fault: Fault, code: Code, runs: int, autojump_clock: trio.abc.Clock
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    faults = [fault]
    fleet.behave = lambda _name: fleets.Behaviour(faults.pop() if faults else Fault.NONE)
    async with instances(fleet, store) as (first, second):
        assert await send_result(first, request(1)) is code
        await trio.sleep(1)
        assert await send_result(first, request(2)) is code
        assert await send_result(second, request(3)) is code
    assert fleet.runs.total() == runs


async def test_request_that_was_not_run_releases_its_claim(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    fleet.behave = lambda _name: fleets.Behaviour(Fault.REFUSE)
    async with instances(fleet, store) as (first, second):
        assert await send_result(first, request(1)) is Code.NO_EXECUTOR
        await trio.sleep(3)
        fleet.behave = lambda _name: fleets.Behaviour()
        assert await send_result(second, request(2)) == b"bill"
    assert fleet.runs == {"r2": 1}


async def test_cancellation_releases_the_claim_only_before_the_request_is_sent(
    autojump_clock: trio.abc.Clock,
) -> None:
    for is_sent in (False, True):
        fleet, store = fleets.Fleet(1), fleets.MemoryStore()
        fleet.behave = lambda _name: fleets.Behaviour(delay_s=3.0)
        async with instances(fleet, store, 64) as routers, trio.open_nursery() as nursery:
            if not is_sent:
                nursery.start_soon(send_result, routers[0], fleets.make_request(9))
                await trio.sleep(0.5)
            with trio.move_on_after(0.5):
                await routers[0].send(request(1))
            await trio.sleep(5)
            expected = Code.OUTCOME_UNKNOWN if is_sent else b"bill"
            assert await send_result(routers[1], request(2)) == expected
        assert fleet.runs.total() - fleet.runs[fleets.make_request(9).request_id] == 1


async def test_claim_outlives_its_instance(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    fleet.behave = lambda _name: fleets.Behaviour(delay_s=1.0)
    async with instances(fleet, store, 1) as (first,), trio.open_nursery() as nursery:
        nursery.start_soon(send_result, first, request(1))
        await trio.sleep(0.5)
        assert fleet.calls
        store.is_down = True
        nursery.cancel_scope.cancel()
    store.is_down = False
    async with instances(fleet, store, 1) as (second,):
        assert await send_result(second, request(2)) is Code.OUTCOME_UNKNOWN
    assert fleet.runs.total() == 1


async def test_store_outage_refuses_claims_as_not_run_but_idempotent_requests_still_run(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (first, _):
        store.is_down = True
        for number in range(20):
            assert await send_result(first, request(number, f"k{number}")) is Code.STORE_UNAVAILABLE
        assert not fleet.runs
        assert await send_result(first, fleets.make_request(50)) == b"body 50"
        store.is_down = False
        await trio.sleep(claim_writer.OUTAGE_BACKOFF_S * 2)
        assert await send_result(first, request(60, "k1")) == b"bill"
    assert fleet.runs == {"r50": 1, "r60": 1}


async def test_claims_are_refused_at_once_during_a_store_outage(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (first, _):
        store.is_silent = True
        await send_result(first, request(1, "a", deadline_s=30))
        start_s = trio.current_time()
        same_bucket_keys = [
            key for key in (f"k{n}" for n in range(500)) if _bucket(key) == _bucket("a")
        ]
        for number, key in enumerate(same_bucket_keys[:20]):
            assert (
                await send_result(first, request(number, key, deadline_s=30))
                is Code.STORE_UNAVAILABLE
            )
        assert trio.current_time() - start_s < 0.1


def _bucket(key: str) -> int:
    return claim_bucket.digest_of(request(0, key))[0] % claims.BUCKETS


async def test_outcome_during_a_store_outage_is_written_after_it(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    fleet.behave = lambda _name: fleets.Behaviour(delay_s=1.0)
    async with instances(fleet, store) as (first, second):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_result, first, request(1))
            await trio.sleep(0.5)
            store.is_down = True
        await trio.sleep(2 * claim_bucket.RETENTION_S)
        store.is_down = False
        await trio.sleep(3)
        assert await send_result(second, request(2)) == b"bill"
    assert fleet.runs.total() == 1


async def test_claim_whose_write_got_no_answer_is_read_back(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (first, second):
        store.lost_writes = 1
        assert await send_result(first, request(1)) == b"bill"
        await trio.sleep(1)
        assert await send_result(second, request(2)) == b"bill"
    assert fleet.runs.total() == 1


async def test_delayed_write_leaves_no_claim_of_a_request_already_refused(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (first, second):
        store.delayed_write_s, store.lost_writes = 5.0, 2
        assert await send_result(first, request(1)) is Code.STORE_UNAVAILABLE
        await trio.sleep(8)
        assert await send_result(second, request(2)) == b"bill"
    assert fleet.runs == {"r2": 1}


async def test_writes_do_not_grow_with_the_rate_of_requests(
    autojump_clock: trio.abc.Clock,
) -> None:
    for rate in (100, 1000):
        fleet, store = fleets.Fleet(24), fleets.MemoryStore()
        start_s = trio.current_time()
        async with instances(fleet, store, 1) as (first,), trio.open_nursery() as nursery:
            for number in range(rate * 2):
                nursery.start_soon(send_result, first, request(number, f"k{number}"))
                await trio.sleep(1 / rate)
        assert fleet.runs.total() == rate * 2
        intervals = (trio.current_time() - start_s) / claim_writer.WRITE_INTERVAL_S
        assert store.writes <= claims.BUCKETS * (intervals + 1)


async def test_write_rate_of_instances_sharing_buckets_stays_within_its_bound(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(24), fleets.MemoryStore(delay_s=0.005)
    start_s = trio.current_time()
    async with instances(fleet, store, 7) as routers, trio.open_nursery() as nursery:
        for number in range(2000):
            nursery.start_soon(send_result, routers[number % 7], request(number, f"k{number}"))
            await trio.sleep(1 / 400)
    assert fleet.runs.total() == 2000
    bound_per_s = 7 * claims.BUCKETS / claim_writer.WRITE_INTERVAL_S
    assert store.writes / (trio.current_time() - start_s) <= 1.5 * bound_per_s


async def test_drain_writes_every_outcome(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (first, second):
        for number in range(10):
            assert await send_result(first, request(number, f"k{number}")) == b"bill"
        await first.drain()
        start_s = trio.current_time()
        for number in range(10):
            assert await send_result(second, request(20 + number, f"k{number}")) == b"bill"
        assert trio.current_time() - start_s < 10
    assert fleet.runs.total() == 10


async def test_request_without_key_needs_no_store(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    store.is_down = True
    async with instances(fleet, store) as (first, _):
        assert await send_result(first, fleets.make_request(1, idempotent=False)) == b"body 1"
    assert store.writes == 0
