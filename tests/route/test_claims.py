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
    made = [
        fleets.make_router(fleet, instances=count, book=fleets.make_claims(store, f"i{number}"))
        for number in range(count)
    ]
    async with trio.open_nursery() as nursery:
        for each in made:
            nursery.start_soon(each.run)
        yield made
        nursery.cancel_scope.cancel()


async def told(made: router.Router, req: model.Request) -> Code | bytes:
    try:
        return (await made.send(req)).body
    except errors.BronzequayError as exc:
        return exc.code


def request(number: int, key: str = "k", **kw: float) -> model.Request:
    return fleets.make_request(number, key=key, body=b"bill", **kw)  # type: ignore[arg-type]


async def test_second_send_on_another_instance_gets_the_recorded_answer(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (one, two):
        assert await told(one, request(1)) == b"bill"
        await trio.sleep(1)
        assert await told(two, request(2)) == b"bill"
    assert fleet.runs.total() == 1


async def test_claim_is_durable_before_the_request_is_sent(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore(delay_s=1.0)
    async with instances(fleet, store) as (one, _):
        await told(one, request(1, deadline_s=20))
    assert fleet.calls[0].at_s >= 2.0
    assert store.writes >= 1


async def test_sends_at_once_on_all_instances_run_once_and_agree(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    answers: list[Code | bytes] = []

    async def send(made: router.Router, number: int) -> None:
        answers.append(await told(made, request(number, deadline_s=10)))

    async with instances(fleet, store, 7) as made, trio.open_nursery() as nursery:
        for number in range(21):
            nursery.start_soon(send, made[number % 7], number)
    assert answers == [b"bill"] * 21
    assert fleet.runs.total() == 1


async def test_send_waits_for_a_slow_earlier_one_on_another_instance(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    fleet.behave = lambda _name: fleets.Behaviour(delay_s=3.0)
    async with instances(fleet, store) as (one, two), trio.open_nursery() as nursery:
        nursery.start_soon(told, one, request(1, deadline_s=20))
        await trio.sleep(0.1)
        assert await told(two, request(2, deadline_s=20)) == b"bill"
    assert fleet.runs.total() == 1


async def test_key_used_for_another_body_is_refused(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    other = fleets.make_request(2, key="k", body=b"other")
    async with instances(fleet, store) as (one, two):
        await told(one, request(1))
        assert await told(one, other) is Code.KEY_REUSED
        assert await told(two, other) is Code.KEY_REUSED
    assert fleet.runs.total() == 1


async def test_same_key_of_another_caller_is_another_key(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (one, _):
        await told(one, request(1))
        await told(one, fleets.make_request(2, key="k", caller="c2"))
    assert fleet.runs.total() == 2


@pytest.mark.parametrize(
    ("fault", "code", "runs"),
    [
        (Fault.LOSE_ANSWER, Code.OUTCOME_UNKNOWN, 1),
        (Fault.LOSE_REQUEST, Code.OUTCOME_UNKNOWN, 0),
        (Fault.FAIL, Code.EXECUTOR_FAILED, 1),
    ],
)
async def test_second_send_is_told_what_became_of_the_first(
    fault: Fault, code: Code, runs: int, autojump_clock: trio.abc.Clock
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    faults = [fault]
    fleet.behave = lambda _name: fleets.Behaviour(faults.pop() if faults else Fault.NONE)
    async with instances(fleet, store) as (one, two):
        assert await told(one, request(1)) is code
        await trio.sleep(1)
        assert await told(one, request(2)) is code
        assert await told(two, request(3)) is code
    assert fleet.runs.total() == runs


async def test_send_that_was_not_run_frees_its_key(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    fleet.behave = lambda _name: fleets.Behaviour(Fault.REFUSE)
    async with instances(fleet, store) as (one, two):
        assert await told(one, request(1)) is Code.NO_EXECUTOR
        await trio.sleep(3)
        fleet.behave = lambda _name: fleets.Behaviour()
        assert await told(two, request(2)) == b"bill"
    assert fleet.runs == {"r2": 1}


async def test_cancelled_in_the_queue_frees_its_key_and_cancelled_later_does_not(
    autojump_clock: trio.abc.Clock,
) -> None:
    for is_sent in (False, True):
        fleet, store = fleets.Fleet(1), fleets.MemoryStore()
        fleet.behave = lambda _name: fleets.Behaviour(delay_s=3.0)
        async with instances(fleet, store, 64) as made, trio.open_nursery() as nursery:
            if not is_sent:
                nursery.start_soon(told, made[0], fleets.make_request(9))
                await trio.sleep(0.5)
            with trio.move_on_after(0.5):
                await made[0].send(request(1))
            await trio.sleep(5)
            expected = Code.OUTCOME_UNKNOWN if is_sent else b"bill"
            assert await told(made[1], request(2)) == expected
        assert fleet.runs.total() - fleet.runs[fleets.make_request(9).request_id] == 1


async def test_claim_outlives_its_instance(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    fleet.behave = lambda _name: fleets.Behaviour(delay_s=1.0)
    async with instances(fleet, store, 1) as (one,), trio.open_nursery() as nursery:
        nursery.start_soon(told, one, request(1))
        await trio.sleep(0.5)
        assert fleet.calls
        store.is_down = True
        nursery.cancel_scope.cancel()
    store.is_down = False
    async with instances(fleet, store, 1) as (two,):
        assert await told(two, request(2)) is Code.OUTCOME_UNKNOWN
    assert fleet.runs.total() == 1


async def test_store_down_refuses_claims_as_not_run_and_lets_idempotent_work_go_on(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (one, _):
        store.is_down = True
        for number in range(20):
            assert await told(one, request(number, f"k{number}")) is Code.STORE_UNAVAILABLE
        assert not fleet.runs
        assert await told(one, fleets.make_request(50)) == b"body 50"
        store.is_down = False
        await trio.sleep(claim_writer.DOWN_S * 2)
        assert await told(one, request(60, "k1")) == b"bill"
    assert fleet.runs == {"r50": 1, "r60": 1}


async def test_refusals_in_an_outage_are_early(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (one, _):
        store.is_silent = True
        await told(one, request(1, "a", deadline_s=30))
        start_s = trio.current_time()
        same = [key for key in (f"k{n}" for n in range(500)) if _bucket(key) == _bucket("a")]
        for number, key in enumerate(same[:20]):
            assert await told(one, request(number, key, deadline_s=30)) is Code.STORE_UNAVAILABLE
        assert trio.current_time() - start_s < 0.1


def _bucket(key: str) -> int:
    return claim_bucket.digest_of(request(0, key))[0] % claims.BUCKETS


async def test_outcome_of_an_outage_is_recorded_after_it(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    fleet.behave = lambda _name: fleets.Behaviour(delay_s=1.0)
    async with instances(fleet, store) as (one, two):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(told, one, request(1))
            await trio.sleep(0.5)
            store.is_down = True
        await trio.sleep(2 * claim_bucket.KEEP_S)
        store.is_down = False
        await trio.sleep(3)
        assert await told(two, request(2)) == b"bill"
    assert fleet.runs.total() == 1


async def test_lost_answer_of_a_claim_is_read_back(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (one, two):
        store.lose_next = 1
        assert await told(one, request(1)) == b"bill"
        await trio.sleep(1)
        assert await told(two, request(2)) == b"bill"
    assert fleet.runs.total() == 1


async def test_write_that_lands_late_claims_nothing_for_a_send_already_refused(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (one, two):
        store.late_s, store.lose_next = 5.0, 2
        assert await told(one, request(1)) is Code.STORE_UNAVAILABLE
        await trio.sleep(8)
        assert await told(two, request(2)) == b"bill"
    assert fleet.runs == {"r2": 1}


async def test_writes_do_not_grow_with_the_rate_of_requests(
    autojump_clock: trio.abc.Clock,
) -> None:
    for rate in (100, 1000):
        fleet, store = fleets.Fleet(24), fleets.MemoryStore()
        start_s = trio.current_time()
        async with instances(fleet, store, 1) as (one,), trio.open_nursery() as nursery:
            for number in range(rate * 2):
                nursery.start_soon(told, one, request(number, f"k{number}"))
                await trio.sleep(1 / rate)
        assert fleet.runs.total() == rate * 2
        intervals = (trio.current_time() - start_s) / claim_writer.INTERVAL_S
        assert store.writes <= claims.BUCKETS * (intervals + 1)


async def test_instances_writing_the_same_buckets_stay_inside_the_bound(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet, store = fleets.Fleet(24), fleets.MemoryStore(delay_s=0.005)
    start_s = trio.current_time()
    async with instances(fleet, store, 7) as made, trio.open_nursery() as nursery:
        for number in range(2000):
            nursery.start_soon(told, made[number % 7], request(number, f"k{number}"))
            await trio.sleep(1 / 400)
    assert fleet.runs.total() == 2000
    bound_per_s = 7 * claims.BUCKETS / claim_writer.INTERVAL_S
    assert store.writes / (trio.current_time() - start_s) <= 1.5 * bound_per_s


async def test_drain_records_every_outcome(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    async with instances(fleet, store) as (one, two):
        for number in range(10):
            assert await told(one, request(number, f"k{number}")) == b"bill"
        await one.drain()
        start_s = trio.current_time()
        for number in range(10):
            assert await told(two, request(20 + number, f"k{number}")) == b"bill"
        assert trio.current_time() - start_s < 10
    assert fleet.runs.total() == 10


async def test_request_without_key_needs_no_store(autojump_clock: trio.abc.Clock) -> None:
    fleet, store = fleets.Fleet(), fleets.MemoryStore()
    store.is_down = True
    async with instances(fleet, store) as (one, _):
        assert await told(one, fleets.make_request(1, idempotent=False)) == b"body 1"
    assert store.writes == 0
