from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpx
import pytest
import trio

from bronzequay import ids
from bronzequay.fakes import serve, worker
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from trio import testing

SPEC = model.WorkerSpec(
    worker=ids.WorkerId("w1"),
    rack=ids.RackId("r1"),
    data_centre=ids.DataCentreId("almacen-a"),
    accelerators=8,
    cpu=32,
    mem_gb=128,
)


@pytest.fixture
async def http() -> AsyncIterator[httpx.AsyncClient]:
    transport = serve.LocalTransport(worker.make_app([SPEC]))
    async with httpx.AsyncClient(transport=transport, base_url="http://x/w/w1") as client:
        yield client


def make_start(task: str = "j.1.0", **changes: Any) -> dict[str, Any]:
    values = {
        "task": task, "attempt": 1, "epoch": 1, "devices": [0], "accelerators": 1, "cpu": 1,
        "mem_gb": 1, "ttl_s": 10.0, "held": False, "resume_s": 0.0,
        "payload": {"actual_s": 5.0, "outcome": "ok", "cpu_used": 2.0, "mem_gb_used": 3.0},
    }  # fmt: skip
    return {**values, **changes}


async def post(http: httpx.AsyncClient, path: str, *tasks: Any, **fields: Any) -> list[Any]:
    resp = await http.post(f"/v1/{path}", json={"tasks": tasks, **fields})
    assert resp.status_code == 200, resp.text
    statuses: list[Any] = resp.json()["tasks"]
    return statuses


async def renew_and_list(http: httpx.AsyncClient, **fields: Any) -> dict[str, str]:
    statuses = await post(http, "renew", ttl_s=10.0, **fields)
    return {status["task"]: status["state"] for status in statuses}


async def test_a_task_ends_after_its_run_time(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    assert (await post(http, "tasks", make_start()))[0]["state"] == "running"
    await trio.sleep(4.9)
    assert await renew_and_list(http) == {"j.1.0": "running"}
    await trio.sleep(0.2)
    assert await renew_and_list(http) == {"j.1.0": "ok"}


async def test_a_task_with_the_outcome_fail_ends_as_failed(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    await post(http, "tasks", make_start(payload={"actual_s": 1.0, "outcome": "fail"}))
    await trio.sleep(1.1)
    assert await renew_and_list(http) == {"j.1.0": "failed"}


async def test_progress_of_earlier_attempts_shortens_the_run(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    await post(http, "tasks", make_start(resume_s=4.0))
    await trio.sleep(1.1)
    assert await renew_and_list(http) == {"j.1.0": "ok"}


async def test_a_held_task_waits_for_its_release(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    await post(http, "tasks", make_start(held=True))
    await trio.sleep(6.0)
    assert (await post(http, "tasks/release", "j.1.0"))[0]["state"] == "running"
    await trio.sleep(2.0)
    held = (await post(http, "tasks/throttle", "j.1.0"))[0]
    assert (held["state"], held["ran_s"]) == ("held", 2.0)


async def test_a_lease_that_is_not_renewed_stops_the_task(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    await post(http, "tasks", make_start(payload={"actual_s": 99.0}), make_start("j.1.1"))
    await trio.sleep(9.0)
    await post(http, "renew", "j.1.0", ttl_s=10.0)
    await trio.sleep(9.0)
    assert (await renew_and_list(http))["j.1.0"] == "running"
    await trio.sleep(2.0)
    assert (await renew_and_list(http))["j.1.0"] == "lapsed"


async def test_a_second_start_changes_nothing(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    await post(http, "tasks", make_start())
    await trio.sleep(2.0)
    repeated = (await post(http, "tasks", make_start(held=True)))[0]
    assert (repeated["state"], repeated["ran_s"]) == ("running", 2.0)


async def test_a_stopped_unknown_task_can_never_be_started(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    assert (await post(http, "tasks/stop", "j.1.0"))[0]["state"] == "unknown"
    assert (await post(http, "tasks", make_start()))[0]["state"] == "unknown"
    assert await renew_and_list(http) == {}


async def test_a_checkpoint_reports_the_progress(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    await post(http, "tasks", make_start())
    await trio.sleep(3.0)
    checkpointed = (await post(http, "tasks/checkpoint", "j.1.0"))[0]
    assert (checkpointed["state"], checkpointed["ran_s"]) == ("checkpointed", 3.0)


async def test_a_start_of_an_earlier_epoch_is_refused(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    await post(http, "tasks", make_start(epoch=5))
    resp = await http.post("/v1/tasks", json={"tasks": [make_start("j.2.0", epoch=4)]})
    assert resp.status_code == 409
    await post(http, "tasks", make_start("other.1.0", epoch=4))


async def test_a_renewal_waits_for_a_change(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    await post(http, "tasks", make_start())
    seen = (await http.post("/v1/renew", json={"ttl_s": 10.0})).json()["seq"]
    started_s = trio.current_time()
    assert await renew_and_list(http, wait_s=20.0, seen=seen) == {"j.1.0": "ok"}
    assert trio.current_time() - started_s == pytest.approx(5.0)
    seen = (await http.post("/v1/renew", json={"ttl_s": 10.0})).json()["seq"]
    await renew_and_list(http, wait_s=20.0, seen=seen)
    assert trio.current_time() - started_s == pytest.approx(25.0)


@pytest.mark.parametrize(
    ("switches", "status"), [({"down": True}, 503), ({"fail_starts": True}, 200)]
)
async def test_switches_take_effect_and_are_cleared(
    autojump_clock: testing.MockClock,
    http: httpx.AsyncClient,
    switches: dict[str, bool],
    status: int,
) -> None:
    await http.put("/faults", json=switches)
    resp = await http.post("/v1/tasks", json={"tasks": [make_start()]})
    assert resp.status_code == status
    if status == 200:
        assert resp.json()["tasks"][0]["state"] == "failed"
    await http.put("/faults", json={})
    assert (await post(http, "tasks", make_start("j.2.0")))[0]["state"] == "running"


async def test_a_lost_answer_comes_after_the_effect(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    await http.put("/faults", json={"lose_answers": 1.0})
    with trio.move_on_after(5.0) as waited:
        await post(http, "tasks", make_start())
    assert waited.cancelled_caught
    await http.put("/faults", json={})
    assert await renew_and_list(http) == {"j.1.0": "ok"}


async def test_silent_delay_leaving_and_usage_lag_take_effect(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    await post(http, "tasks", make_start())
    await http.put("/faults", json={"leaving": True, "delay_s": 2.0, "usage_lag_s": 1.5})
    described = (await http.get("/v1/worker")).json()
    assert described["state"] == "leaving"
    assert trio.current_time() == pytest.approx(2.0)
    status = (await post(http, "renew", ttl_s=1.0))[0]
    assert (status["ran_s"], status["cpu_used"]) == (pytest.approx(2.5), 2.0)
    await http.put("/faults", json={"silent": True})
    with trio.move_on_after(60.0) as waited:
        await http.get("/v1/worker")
    assert waited.cancelled_caught


async def test_the_log_records_every_change(
    autojump_clock: testing.MockClock, http: httpx.AsyncClient
) -> None:
    await post(http, "tasks", make_start(held=True), make_start("j.1.1"))
    await post(http, "tasks/release", "j.1.0")
    await post(http, "tasks/stop", "j.1.1")
    await trio.sleep(6.0)
    log = (await http.get("/log")).json()["log"]
    assert [(entry["task"], entry["event"]) for entry in log] == [
        ("j.1.0", "start"),
        ("j.1.1", "start"),
        ("j.1.1", "release"),
        ("j.1.0", "release"),
        ("j.1.1", "stop"),
        ("j.1.0", "end"),
    ]


async def test_bad_bodies_and_unknown_workers_are_refused(http: httpx.AsyncClient) -> None:
    assert (await http.post("/v1/tasks", content=b"{")).status_code == 400
    assert (await http.get("http://x/w/none/v1/worker")).status_code == 404
    assert (await http.put("/faults", json={"nonsense": 1})).status_code == 400
