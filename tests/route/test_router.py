from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import codes, errors, ids
from bronzequay.route import claims, model, router
from bronzequay.work import executor as adapter

if TYPE_CHECKING:
    from bronzequay.work.executor import Description

SERVICE = ids.ServiceId("clasificador")


class EchoClient:
    """Answers each request with its own body after a delay."""

    def __init__(self, *, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.runs: list[ids.RequestId] = []

    async def call(
        self, address: str, *, request_id: ids.RequestId, body: bytes, deadline_s: float
    ) -> adapter.Answer:
        del address, deadline_s
        self.runs.append(request_id)
        await trio.sleep(self.delay_s)
        return adapter.Answer(body)

    async def describe(self, address: str, *, deadline_s: float = 1.0) -> Description:
        del address, deadline_s
        raise adapter.RunError(codes.ResultCode.NO_EXECUTOR, "not asked")


def make_router(client: EchoClient, *, executors: int = 2, instances: int = 7) -> router.Router:
    made = router.Router(
        service=SERVICE,
        client=client,
        claims=claims.LocalClaims(),
        instances=lambda: instances,
    )
    made.set_executors(
        [
            model.Executor(ids.ExecutorId(f"x{n}"), f"http://x{n}", ids.DataCentreId("almacen-a"))
            for n in range(executors)
        ]
    )
    return made


def make_request(number: int, *, deadline_s: float = 5.0, key: str | None = None) -> model.Request:
    return model.Request(
        request_id=ids.RequestId(f"r{number}"),
        service=SERVICE,
        org=ids.OrgId("org-a"),
        caller=ids.CallerId("c1"),
        idempotent=key is None,
        key=key,
        deadline_s=deadline_s,
        body=f"body {number}".encode(),
    )


async def test_every_request_gets_its_own_answer_when_more_wait_than_fit(
    autojump_clock: trio.abc.Clock,
) -> None:
    made = make_router(EchoClient(delay_s=0.1))
    answers: dict[int, bytes] = {}

    async def send(number: int) -> None:
        answers[number] = (await made.send(make_request(number))).body

    async with trio.open_nursery() as nursery:
        for number in range(100):
            nursery.start_soon(send, number)
    assert answers == {number: f"body {number}".encode() for number in range(100)}


async def test_deadline_in_the_queue_is_refused_as_not_run(
    autojump_clock: trio.abc.Clock,
) -> None:
    client = EchoClient(delay_s=60)
    made = make_router(client, executors=1, instances=64)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.send, make_request(1, deadline_s=100))
        await trio.testing.wait_all_tasks_blocked()
        with pytest.raises(errors.BronzequayError) as caught:
            await made.send(make_request(2, deadline_s=3))
        assert caught.value.code is codes.ResultCode.DEADLINE_PASSED
        assert client.runs == ["r1"]


async def test_drain_waits_for_requests_in_progress_and_refuses_new_ones(
    autojump_clock: trio.abc.Clock,
) -> None:
    made = make_router(EchoClient(delay_s=2))
    answers: list[bytes] = []

    async def send() -> None:
        answers.append((await made.send(make_request(1))).body)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(made.drain)
        await trio.testing.wait_all_tasks_blocked()
        with pytest.raises(errors.BronzequayError) as caught:
            await made.send(make_request(2))
        assert caught.value.code is codes.ResultCode.SHUTTING_DOWN
        await made.drain()
        await trio.testing.wait_all_tasks_blocked()
        assert answers == [b"body 1"]


async def test_second_send_with_a_key_gets_the_recorded_answer(
    autojump_clock: trio.abc.Clock,
) -> None:
    client = EchoClient()
    made = make_router(client)
    first = await made.send(make_request(1, key="k"))
    second = await made.send(make_request(2, key="k"))
    assert (first.body, second.body) == (b"body 1", b"body 1")
    assert second.request_id == "r2"
    assert client.runs == ["r1"]
