from __future__ import annotations

import base64
import functools
from typing import Any

import httpx
import pytest
import trio

from bronzequay import ids
from bronzequay.fakes import executor as fake
from bronzequay.fakes import serve

X1 = ids.ExecutorId("x1")
X2 = ids.ExecutorId("x2")


def make_http() -> httpx.AsyncClient:
    app = fake.make_app(
        [X1, X2], service=ids.ServiceId("hire-desk"), data_centre=ids.DataCentreId("nottm-yard")
    )
    transport = httpx.ASGITransport(app=app)  # type: ignore[arg-type]
    return httpx.AsyncClient(transport=transport, base_url="http://fake", timeout=1e6)


async def post(http: httpx.AsyncClient, request: str, **kw: Any) -> httpx.Response:
    headers = {"x-request-id": request, "x-deadline-s": "5"}
    return await http.post("/e/x1/v1/run", headers=headers, content=b"sack", **kw)


async def test_run_is_answered_and_counted() -> None:
    http = make_http()
    answer = await post(http, "r1")
    assert answer.headers["x-request-id"] == "r1"
    assert (answer.headers["x-busy"], answer.headers["x-state"]) == ("0", "live")
    assert answer.json() == {
        "request": "r1",
        "echo_b64": base64.b64encode(b"sack").decode(),
        "executor": "x1",
        "runs": 1,
    }
    await post(http, "r1")
    assert (await http.get("/runs")).json() == {"r1": 2}


async def test_refused_request_is_marked_not_run_and_not_counted() -> None:
    http = make_http()
    await http.put("/e/x1/faults", json={"refuse": True})
    answer = await post(http, "r1")
    assert (answer.status_code, answer.headers["x-not-run"]) == (503, "1")
    assert (await http.get("/runs")).json() == {}


async def test_failed_run_is_counted() -> None:
    http = make_http()
    await http.put("/faults", json={"fail": True})
    assert (await post(http, "r1")).status_code == 500
    assert (await http.get("/runs")).json() == {"r1": 1}


async def test_a_ninth_request_waits_for_a_slot(autojump_clock: trio.abc.Clock) -> None:
    http = make_http()
    await http.put("/faults", json={"delay_s": 1.0})
    async with trio.open_nursery() as nursery:
        for number in range(9):
            nursery.start_soon(post, http, f"r{number}")
        await trio.sleep(0.5)
        described = (await http.get("/e/x1/v1/executor")).json()
        assert (described["busy"], described["slots"]) == (8, 8)
    assert trio.current_time() >= 2.0


async def test_switches_apply_to_one_executor_or_all() -> None:
    http = make_http()
    await http.put("/e/x1/faults", json={"leaving": True})
    assert (await http.get("/e/x1/v1/executor")).json()["state"] == "leaving"
    assert (await http.get("/e/x2/v1/executor")).json()["state"] == "live"
    await http.put("/faults", json={})
    assert (await http.get("/e/x1/v1/executor")).json()["state"] == "live"


async def test_unknown_switches_and_executors_are_refused() -> None:
    http = make_http()
    assert (await http.put("/faults", json={"silnt": True})).status_code == 400
    assert (await http.put("/e/x9/faults", json={})).status_code == 404


async def test_silent_executor_never_answers(autojump_clock: trio.abc.Clock) -> None:
    http = make_http()
    await http.put("/faults", json={"silent": True})
    with trio.move_on_after(100) as scope:
        await post(http, "r1")
    assert scope.cancelled_caught
    assert (await http.get("/runs")).json() == {}


async def test_lost_answer_cuts_the_connection_after_the_run() -> None:
    http = make_http()
    await http.put("/faults", json={"lose_answers": 1.0})
    with pytest.raises(ConnectionResetError):
        await post(http, "r1")
    assert (await http.get("/runs")).json() == {"r1": 1}


async def test_connections_over_the_limit_are_cut(autojump_clock: trio.abc.Clock) -> None:
    http = make_http()
    await http.put("/faults", json={"delay_s": 1.0})
    cut_count = 0

    async def send(number: int) -> None:
        nonlocal cut_count
        try:
            await post(http, f"r{number}")
        except ConnectionResetError:
            cut_count += 1

    async with trio.open_nursery() as nursery:
        for number in range(65):
            nursery.start_soon(send, number)
    assert cut_count == 1
    assert len((await http.get("/runs")).json()) == 64


async def test_lost_answer_closes_a_real_connection() -> None:
    app = fake.make_app(
        [X1], service=ids.ServiceId("hire-desk"), data_centre=ids.DataCentreId("nottm-yard")
    )
    async with trio.open_nursery() as nursery:
        port = await nursery.start(functools.partial(serve.serve, app, host="127.0.0.1", port=0))
        async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{port}", timeout=30) as http:
            await http.put("/faults", json={"lose_answers": 1.0})
            with pytest.raises(httpx.RemoteProtocolError):
                await post(http, "r1")
            assert (await http.get("/runs")).json() == {"r1": 1}
        nursery.cancel_scope.cancel()
