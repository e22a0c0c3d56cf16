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


def make(handler: Callable[[httpx.Request], httpx.Response]) -> client.WorkerClient:
    return client.WorkerClient(http=httpx.AsyncClient(transport=httpx.MockTransport(handler)))


def raising(exc: Exception) -> Callable[[httpx.Request], httpx.Response]:
    def handler(_req: httpx.Request) -> httpx.Response:
        raise exc

    return handler


@pytest.mark.parametrize(
    "handler",
    [
        raising(httpx.ConnectError("refused")),
        raising(httpx.ReadError("cut")),
        lambda _req: httpx.Response(500),
        lambda _req: httpx.Response(503),
        lambda _req: httpx.Response(200, content=b"{"),
        lambda _req: httpx.Response(200, json={"tasks": [{"task": "a", "state": "odd"}]}),
    ],
)
async def test_an_unknown_outcome_is_told_apart(
    handler: Callable[[httpx.Request], httpx.Response],
) -> None:
    with pytest.raises(errors.BronzequayError) as caught:
        await make(handler).stop(BASE, [ids.TaskId("j.1.0")])
    assert client.is_unreachable(caught.value)


@pytest.mark.parametrize(
    ("status", "code"),
    [(409, codes.ResultCode.FENCED), (400, codes.ResultCode.EXECUTOR_FAILED)],
)
async def test_a_refusal_is_a_known_outcome(status: int, code: codes.ResultCode) -> None:
    with pytest.raises(errors.BronzequayError) as caught:
        await make(lambda _req: httpx.Response(status)).start(BASE, [])
    assert caught.value.code is code


async def test_a_silent_worker_times_out_after_its_waiting_time(
    autojump_clock: testing.MockClock,
) -> None:
    async def silent(_req: httpx.Request) -> httpx.Response:
        await trio.sleep_forever()

    quiet = client.WorkerClient(http=httpx.AsyncClient(transport=httpx.MockTransport(silent)))
    with pytest.raises(errors.BronzequayError) as caught:
        await quiet.renew(BASE, [], ttl_s=20.0, wait_s=6.0)
    assert client.is_unreachable(caught.value)
    assert trio.current_time() == pytest.approx(6.0 + client.CALL_TIMEOUT_S)
