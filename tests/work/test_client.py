from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import pytest
import trio

from bronzequay import codes, errors, ids
from bronzequay.work import client

if TYPE_CHECKING:
    from collections.abc import Callable

    from trio import testing

BASE = "http://x/w/w1"


def make_client(handler: Callable[[httpx.Request], httpx.Response]) -> client.WorkerClient:
    return client.WorkerClient(http=httpx.AsyncClient(transport=httpx.MockTransport(handler)))


def raise_on_request(exc: Exception) -> Callable[[httpx.Request], httpx.Response]:
    def handler(_req: httpx.Request) -> httpx.Response:
        raise exc

    return handler


@pytest.mark.parametrize(
    "handler",
    [
        raise_on_request(httpx.ConnectError("refused")),
        raise_on_request(httpx.ReadError("reset")),
        lambda _req: httpx.Response(500),
        lambda _req: httpx.Response(503),
        lambda _req: httpx.Response(200, content=b"{"),
        lambda _req: httpx.Response(200, json={"tasks": [{"task": "a", "state": "odd"}]}),
    ],
)
async def test_a_call_without_a_valid_answer_is_an_unknown_outcome(
    handler: Callable[[httpx.Request], httpx.Response],
) -> None:
    with pytest.raises(errors.BronzequayError) as caught:
        await make_client(handler).stop(BASE, [ids.TaskId("j.1.0")])
    assert client.is_unreachable(caught.value)


@pytest.mark.parametrize(
    ("status", "code"),
    [(409, codes.ResultCode.FENCED), (400, codes.ResultCode.EXECUTOR_FAILED)],
)
async def test_a_refusal_is_a_known_outcome(status: int, code: codes.ResultCode) -> None:
    with pytest.raises(errors.BronzequayError) as caught:
        await make_client(lambda _req: httpx.Response(status)).start(BASE, [])
    assert caught.value.code is code


async def test_a_renewal_without_answer_times_out_after_its_wait_time(
    autojump_clock: testing.MockClock,
) -> None:
    async def never_answer(_req: httpx.Request) -> httpx.Response:
        await trio.sleep_forever()

    worker_client = client.WorkerClient(
        http=httpx.AsyncClient(transport=httpx.MockTransport(never_answer))
    )
    with pytest.raises(errors.BronzequayError) as caught:
        await worker_client.renew(BASE, [], ttl_s=20.0, wait_s=6.0)
    assert client.is_unreachable(caught.value)
    assert trio.current_time() == pytest.approx(6.0 + client.CALL_TIMEOUT_S)
