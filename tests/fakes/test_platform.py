from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import httpx
import pytest
import trio
import trio.testing

from bronzequay.fakes import platform, serve

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ENTRY = {"id": "i", "kind": "entry", "address": "x", "data_centre": "d", "state": "live"}


@pytest.fixture
def http() -> httpx.AsyncClient:
    transport = serve.LocalTransport(platform.make_app())
    return httpx.AsyncClient(transport=transport, base_url="http://platform")


@contextlib.asynccontextmanager
async def served() -> AsyncIterator[httpx.AsyncClient]:
    async with trio.open_nursery() as nursery:

        async def start(task_status: trio.TaskStatus[int]) -> None:
            app = platform.make_app()
            await serve.serve(app, host="127.0.0.1", port=0, task_status=task_status)

        port = await nursery.start(start)
        async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{port}") as http:
            yield http
        nursery.cancel_scope.cancel()


async def set_faults(http: httpx.AsyncClient, **switches: Any) -> None:
    assert (await http.put("/faults", json=switches)).status_code == 200


async def test_serves_on_the_port_it_reports() -> None:
    async with served() as http:
        put = await http.put("/v1/kv/a/b?rev=0", content=b"one")
        read = await http.get("/v1/kv/a/b")
    assert (put.status_code, read.content, read.headers["x-revision"]) == (200, b"one", "1")


async def test_lost_answer_cuts_the_connection_after_the_effect() -> None:
    async with served() as http:
        await set_faults(http, lose_answers=1.0)
        with pytest.raises(httpx.TransportError):
            await http.put("/v1/kv/a?rev=0", content=b"one")
        assert (await http.get("/v1/kv/a")).content == b"one"


async def test_open_connections_stay_silent_while_new_ones_work() -> None:
    async with served() as http:
        await http.get("/healthz")
        await set_faults(http, silent_open=True)
        with pytest.raises(httpx.ReadTimeout):
            await http.get("/healthz", timeout=0.05)
        async with httpx.AsyncClient(base_url=http.base_url) as new_http:
            assert (await new_http.get("/healthz", timeout=5.0)).status_code == 200


async def test_conflict_reports_the_current_revision(http: httpx.AsyncClient) -> None:
    await http.put("/v1/kv/a?rev=0", content=b"one")
    resp = await http.put("/v1/kv/a?rev=0", content=b"two")
    assert (resp.status_code, resp.json()) == (409, {"rev": 1})


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("DELETE", "/v1/kv/none?rev=1", 404),
        ("GET", "/v1/kv/none", 404),
        ("PUT", "/v1/kv/a?rev=0&lease=none", 410),
        ("POST", "/v1/lease/none/renew", 410),
        ("PUT", "/v1/kv/a", 400),
        ("PUT", "/v1/kv/a?rev=x", 400),
    ],
)
async def test_invalid_calls_are_refused(
    http: httpx.AsyncClient, method: str, path: str, status: int
) -> None:
    assert (await http.request(method, path)).status_code == status


async def test_value_over_one_megabyte_is_refused(http: httpx.AsyncClient) -> None:
    full = await http.put("/v1/kv/a?rev=0", content=b"x" * 1_000_000)
    over = await http.put("/v1/kv/b?rev=0", content=b"x" * 1_000_001)
    assert (full.status_code, over.status_code) == (200, 413)


async def test_watch_reports_the_newest_change_of_each_key(http: httpx.AsyncClient) -> None:
    await http.put("/v1/kv/p/a?rev=0", content=b"one")
    await http.put("/v1/kv/p/a?rev=1", content=b"two")
    await http.put("/v1/kv/p/b?rev=0", content=b"")
    await http.delete("/v1/kv/p/b?rev=3")
    body = (await http.get("/v1/watch?prefix=p/&after=0&wait_s=5")).json()
    events = [(event["key"], event["rev"], event["value_b64"]) for event in body["events"]]
    assert events == [("p/a", 2, "dHdv"), ("p/b", 4, None)]


async def test_watch_reports_the_expiry_of_a_lease(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    lease = (await http.post("/v1/lease?ttl_s=3")).json()["lease"]
    await http.put(f"/v1/kv/a?rev=0&lease={lease}", content=b"")
    body = (await http.get("/v1/watch?prefix=&after=1&wait_s=60", timeout=None)).json()
    assert body["events"] == [{"key": "a", "rev": 2, "value_b64": None}]
    assert trio.current_time() == pytest.approx(3.0, abs=0.1)


async def test_cut_watch_answers_once_the_switch_is_cleared(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    await http.put("/v1/kv/a?rev=0", content=b"one")
    await set_faults(http, watch_cut=True)
    with trio.move_on_after(30) as scope:
        await http.get("/v1/watch?prefix=&after=0&wait_s=1", timeout=None)
    assert scope.cancelled_caught
    await set_faults(http)
    assert (await http.get("/v1/watch?prefix=&after=0&wait_s=1")).json()["events"]


async def test_down_refuses_and_silent_never_answers(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    await set_faults(http, down=True)
    assert (await http.get("/healthz")).status_code == 503
    await set_faults(http, silent=True)
    with trio.move_on_after(60) as scope:
        await http.get("/healthz")
    assert scope.cancelled_caught


async def test_late_effect_follows_the_cut_connection(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    await set_faults(http, lose_answers=1.0, late_effect_s=2.0)
    with pytest.raises(httpx.ReadError):
        await http.put("/v1/kv/a?rev=0", content=b"one")
    assert (await http.get("/v1/kv/a")).status_code == 404
    autojump_clock.jump(2.5)
    assert (await http.get("/v1/kv/a")).content == b"one"


async def test_calls_over_the_budget_of_a_second_are_refused(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    await set_faults(http, reads_per_s=2)
    assert [(await http.get("/v1/kv/a")).status_code for _ in range(3)] == [404, 404, 429]
    autojump_clock.jump(1.0)
    assert (await http.get("/v1/kv/a")).status_code == 404


async def test_instance_list_lags(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    await set_faults(http, lag_s=5.0)
    await http.put("/v1/instances/i", json=ENTRY)
    assert (await http.get("/v1/instances")).json() == {"instances": []}
    autojump_clock.jump(5.0)
    assert (await http.get("/v1/instances")).json() == {"instances": [ENTRY]}
    await http.delete("/v1/instances/i")
    autojump_clock.jump(5.0)
    assert (await http.get("/v1/instances")).json() == {"instances": []}


async def test_unknown_switch_is_refused(http: httpx.AsyncClient) -> None:
    assert (await http.put("/faults", json={"dwn": True})).status_code == 400


async def test_stats_count_calls_by_kind(http: httpx.AsyncClient) -> None:
    await http.get("/v1/kv/a")
    await http.get("/v1/kv/b")
    assert (await http.get("/stats")).json()["calls"] == {"GET kv": 2}
