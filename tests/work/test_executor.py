from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import pytest
import trio

from bronzequay import ids
from bronzequay.work import executor

if TYPE_CHECKING:
    from collections.abc import Callable

REQUEST = ids.RequestId("r1")


def make_client(handler: Callable[[httpx.Request], httpx.Response]) -> executor.ExecutorClient:
    return executor.ExecutorClient(http=httpx.AsyncClient(transport=httpx.MockTransport(handler)))


async def run(client: executor.ExecutorClient) -> bytes:
    return await client.run("http://x1", request_id=REQUEST, body=b"in", deadline_s=5.0)


async def test_answer_with_the_requests_own_id_is_returned() -> None:
    def handler(req: httpx.Request) -> httpx.Response:
        assert float(req.headers["x-deadline-s"]) == 5.0
        return httpx.Response(200, content=b"out", headers={"x-request-id": "r1"})

    assert await run(make_client(handler)) == b"out"


async def test_answer_says_what_the_executor_holds_and_whether_it_leaves() -> None:
    headers = {"x-request-id": "r1", "x-busy": "5", "x-state": "leaving"}
    client = make_client(lambda _req: httpx.Response(200, content=b"out", headers=headers))
    answer = await client.call("http://x1", request_id=REQUEST, body=b"in", deadline_s=5.0)
    assert answer == executor.Answer(b"out", busy=5, state="leaving")


@pytest.mark.parametrize("busy", ["", "-1", "many", "9" * 5000])
async def test_bad_count_is_taken_for_none(busy: str) -> None:
    headers = {"x-request-id": "r1", "x-busy": busy}
    client = make_client(lambda _req: httpx.Response(200, headers=headers))
    answer = await client.call("http://x1", request_id=REQUEST, body=b"in", deadline_s=5.0)
    assert answer.busy is None


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, {"x-request-id": "r2"}, executor.UnknownOutcomeError),
        (200, {}, executor.UnknownOutcomeError),
        (503, {"x-request-id": "r1", "x-not-run": "1"}, executor.RefusedError),
        (503, {"x-request-id": "r2", "x-not-run": "1"}, executor.UnknownOutcomeError),
        (503, {"x-request-id": "r1"}, executor.UnknownOutcomeError),
        (500, {"x-request-id": "r1"}, executor.FailedError),
        (500, {}, executor.UnknownOutcomeError),
        (404, {"x-request-id": "r1"}, executor.UnknownOutcomeError),
    ],
)
async def test_answers_are_sorted_by_what_is_known(
    status: int, headers: dict[str, str], expected: type[executor.RunError]
) -> None:
    with pytest.raises(executor.RunError) as caught:
        await run(make_client(lambda _req: httpx.Response(status, headers=headers)))
    assert type(caught.value) is expected


@pytest.mark.parametrize(
    ("raised", "expected"),
    [
        (httpx.ConnectError("refused"), executor.NeverSentError),
        (httpx.ConnectTimeout("slow"), executor.NeverSentError),
        (httpx.PoolTimeout("full"), executor.NeverSentError),
        (httpx.WriteError("reset"), executor.UnknownOutcomeError),
        (httpx.ReadError("reset"), executor.UnknownOutcomeError),
        (httpx.RemoteProtocolError("cut"), executor.UnknownOutcomeError),
    ],
)
async def test_only_what_never_left_is_told_so(
    raised: httpx.HTTPError, expected: type[executor.RunError]
) -> None:
    def handler(_req: httpx.Request) -> httpx.Response:
        raise raised

    with pytest.raises(executor.RunError) as caught:
        await run(make_client(handler))
    assert type(caught.value) is expected


async def test_silent_connection_is_given_up_at_the_deadline(
    autojump_clock: trio.abc.Clock,
) -> None:
    async def handler(_req: httpx.Request) -> httpx.Response:
        await trio.sleep_forever()
        raise AssertionError

    client = executor.ExecutorClient(http=httpx.AsyncClient(transport=httpx.MockTransport(handler)))
    with pytest.raises(executor.UnknownOutcomeError):
        await run(client)
    assert trio.current_time() == pytest.approx(5.0)
