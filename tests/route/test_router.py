from __future__ import annotations

import pytest
import trio

from bronzequay import codes, errors
from tests.route import fleet as fleets


async def test_every_request_gets_its_own_answer_when_requests_exceed_the_slots(
    autojump_clock: trio.abc.Clock,
) -> None:
    instance = fleets.make_router(fleets.Fleet())
    answers: dict[int, bytes] = {}

    async def send(number: int) -> None:
        answers[number] = (await instance.send(fleets.make_request(number))).body

    async with trio.open_nursery() as nursery:
        for number in range(100):
            nursery.start_soon(send, number)
    assert answers == {number: f"body {number}".encode() for number in range(100)}


async def test_deadline_in_the_queue_is_refused_as_not_run(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(1)
    fleet.behaviours[fleet.names[0]].delay_s = 60
    instance = fleets.make_router(fleet, instances=64)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.send, fleets.make_request(1, deadline_s=100))
        await trio.sleep(1)
        with pytest.raises(errors.BronzequayError) as caught:
            await instance.send(fleets.make_request(2, deadline_s=3))
        assert caught.value.code is codes.ResultCode.DEADLINE_PASSED
        assert set(fleet.runs) == {"r1"}


async def test_drain_waits_for_requests_in_progress_and_refuses_new_ones(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet()
    instance = fleets.make_router(fleet)
    fleet.behave = lambda _name: fleets.Behaviour(delay_s=2.0)
    answers: list[bytes] = []

    async def send() -> None:
        answers.append((await instance.send(fleets.make_request(1))).body)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await trio.sleep(0.1)
        nursery.start_soon(instance.drain)
        await trio.sleep(0.1)
        with pytest.raises(errors.BronzequayError) as caught:
            await instance.send(fleets.make_request(2))
        assert caught.value.code is codes.ResultCode.SHUTTING_DOWN
        await instance.drain()
        await trio.testing.wait_all_tasks_blocked()
        assert answers == [b"body 1"]


async def test_second_request_with_a_key_gets_the_recorded_answer(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet()
    instance = fleets.make_router(fleet, claims=fleets.make_claims(fleets.MemoryStore()))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        first = await instance.send(fleets.make_request(1, key="k", body=b"body 1"))
        second = await instance.send(fleets.make_request(2, key="k", body=b"body 1"))
        nursery.cancel_scope.cancel()
    assert (first.body, second.body) == (b"body 1", b"body 1")
    assert second.request_id == "r2"
    assert set(fleet.runs) == {"r1"}


async def test_concurrent_requests_with_the_same_id_each_get_their_own_answer(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet()
    instance = fleets.make_router(fleet)
    answers: list[bytes] = []

    async def send(body: bytes) -> None:
        answer = await instance.send(fleets.make_request(1, body=body))
        assert answer.request_id == "r1"
        answers.append(answer.body)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, b"one")
        nursery.start_soon(send, b"two")
    assert sorted(answers) == [b"one", b"two"]
    assert len({call.request_id for call in fleet.calls}) == 2


async def test_request_is_refused_at_once_without_any_executor() -> None:
    fleet = fleets.Fleet()
    instance = fleets.make_router(fleet)
    instance.set_executors([])
    with pytest.raises(errors.BronzequayError) as caught:
        await instance.send(fleets.make_request(1))
    assert caught.value.code is codes.ResultCode.NO_EXECUTOR
    assert caught.value.retry_after_s is not None


async def test_instance_opens_no_more_connections_to_an_executor_than_its_share(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(1, hints=False)
    instance = fleets.make_router(fleet, instances=7)
    async with trio.open_nursery() as nursery:
        for number in range(60):
            nursery.start_soon(instance.send, fleets.make_request(number))
    assert fleet.max_open_calls <= 64 // 7
