"""Callers' requests, served from the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import msgspec
import pytest
import trio

from bronzequay.control import keys
from bronzequay.core import model
from bronzequay.fakes import kv
from tests.control.site import CONFIG, STORE, Site

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay.net import server

JOB = "00ff00ff00ff00ff"
BODY = {"spec": "x", "steps": [{"count": 2, "cpu": 1000, "memMb": 10, "gpu": 1}]}


@pytest.fixture
async def site(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery
) -> Site:
    return Site(monkeypatch, nursery)


def body_of(response: object) -> object:
    return json.loads(response.body)  # type: ignore[attr-defined]


async def test_an_accepted_job_is_stored_and_can_be_queried(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    assert (await send("POST", f"/q1/{JOB}", BODY)).status == 200
    spec = msgspec.msgpack.decode(site.kv.get(keys.JOBS + JOB) or b"", type=model.JobSpec)
    assert (spec.queue, spec.org, spec.payload, spec.steps[0].count) == ("q1", "one", "x", 2)
    assert body_of(await send("GET", f"/q1/{JOB}")) == {"state": "queued"}
    assert body_of(await send("GET", "/q1/")) == {"waiting": 1}
    assert body_of(await send("GET", "/q2/")) == {"waiting": 0}


async def test_submitting_a_job_again_writes_nothing(autojump_clock: MockClock, site: Site) -> None:
    send, other_send = await site.start_front("f"), await site.start_front("g")
    assert (await send("POST", f"/q1/{JOB}", BODY)).status == 200
    rev_before = site.kv.rev
    assert (await other_send("POST", f"/q1/{JOB}", BODY)).status == 200
    assert site.kv.rev == rev_before


@pytest.mark.parametrize(
    ("method", "path", "key", "status"),
    [
        ("POST", f"/none/{JOB}", "key-one", 404),
        ("POST", f"/q1/{JOB}", "wrong", 401),
        ("POST", "/q1/not-an-id", "key-one", 400),
        ("GET", f"/q1/{JOB}", "key-one", 410),
        ("PUT", f"/q1/{JOB}", "key-one", 405),
        ("POST", "/q1/", "key-one", 405),
    ],
)
async def test_an_invalid_request_gets_its_status_and_writes_nothing(  # noqa: PLR0917
    autojump_clock: MockClock, site: Site, method: str, path: str, key: str, status: int
) -> None:
    send = await site.start_front("f")
    assert (await send(method, path, BODY, key)).status == status
    assert site.kv.keys(keys.ROOT) == []


async def test_the_cancel_of_an_unknown_job_writes_a_tombstone_alone(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    assert (await send("DELETE", f"/q1/{JOB}")).status == 410
    assert site.kv.keys(keys.ROOT) == [keys.STATES + JOB]
    assert (await send("GET", f"/q1/{JOB}")).status == 410


@pytest.mark.parametrize("body", [None, [], {"steps": []}, {"steps": [{"count": "x"}]}])
async def test_a_malformed_job_is_rejected_with_a_result_code(
    autojump_clock: MockClock, site: Site, body: object
) -> None:
    send = await site.start_front("f")
    response = await send("POST", f"/q1/{JOB}", body)
    assert response.status == 400
    assert body_of(response)["code"] in (200, 202)  # type: ignore[index]


async def test_a_body_over_the_configured_limit_is_rejected(
    autojump_clock: MockClock, site: Site
) -> None:
    site.configure({**CONFIG, "limits": {"maxBodyBytes": 50}})
    send = await site.start_front("f")
    assert (await send("POST", f"/q1/{JOB}", {**BODY, "spec": "y" * 50})).status == 413


async def test_another_organisations_job_can_be_neither_queried_nor_cancelled(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    await send("POST", f"/q1/{JOB}", BODY)
    assert (await send("GET", f"/q1/{JOB}", None, "key-two")).status == 410
    assert (await send("DELETE", f"/q1/{JOB}", None, "key-two")).status == 410
    assert site.kv.keys(keys.CANCELS) == []


async def test_a_refusal_of_the_store_gives_503_immediately_with_retry_after(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    site.kv.faults = kv.Faults(busy=True)
    started_s = trio.current_time()
    response = await send("POST", f"/q1/{JOB}", BODY)
    assert (response.status, dict(response.headers)["Retry-After"]) == (503, "1")
    assert trio.current_time() - started_s < 0.1
    for method in ("GET", "DELETE"):
        assert (await send(method, f"/q1/{JOB}")).status == 503


async def test_a_write_with_unknown_outcome_gives_504(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    site.kv.faults = kv.Faults(lose=1.0)
    assert (await send("POST", f"/q1/{JOB}", BODY)).status == 504


@pytest.mark.parametrize("late_s", [0.0, 0.7])
async def test_a_write_whose_answer_is_lost_is_retried_and_takes_effect(
    autojump_clock: MockClock, site: Site, late_s: float
) -> None:
    send = await site.start_front("f")
    site.kv.faults = kv.Faults(lose=0.5, late_s=late_s)
    for number in range(20):
        response = await send("POST", f"/q1/{number:016x}", BODY)
        assert response.status in (200, 504)
    site.kv.faults = kv.Faults()
    await trio.sleep(2.0)
    assert len(site.kv.keys(keys.JOBS)) == 20


async def test_a_new_configuration_applies_immediately_and_an_older_one_never_does(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    site.configure({**CONFIG, "version": 9, "tenants": [{"name": "one", "apiKeys": ["new"]}]})
    await trio.sleep(0.1)
    assert (await send("GET", f"/q1/{JOB}", None, "key-one")).status == 401
    assert (await send("GET", f"/q1/{JOB}", None, "new")).status == 410
    site.configure({**CONFIG, "version": 8})
    site.kv.put("op/config", b"rubbish")
    await trio.sleep(0.1)
    assert (await send("GET", f"/q1/{JOB}", None, "key-one")).status == 401


async def test_an_instance_that_starts_refuses_a_key_that_was_withdrawn_before(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a withdrawn key that is accepted again after a restart, from a stale read."""
    old_item, handle = dict(site.kv.items["op/config"]), site.kv.handle

    async def with_stale_reads(req: server.Request) -> server.Response:
        new_item = site.kv.items["op/config"]
        if "serializable" in req.query:
            site.kv.items["op/config"] = old_item
        try:
            return await handle(req)
        finally:
            site.kv.items["op/config"] = new_item

    site.configure({**CONFIG, "version": 9, "tenants": [{"name": "one", "apiKeys": ["new"]}]})
    site.network.hosts[STORE] = with_stale_reads
    send = await site.start_front("f")
    for _ in range(5):
        assert (await send("GET", f"/q1/{JOB}", None, "key-one")).status == 401
        assert (await send("GET", f"/q1/{JOB}", None, "new")).status == 410
        await trio.sleep(1.0)


async def test_a_configuration_whose_change_was_compacted_before_the_watch_saw_it_is_read(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    await trio.sleep(5.0)
    site.kv.faults = kv.Faults(deaf=True)
    site.configure({**CONFIG, "version": 2, "tenants": []})
    await trio.sleep(1.0)
    site.kv.compact()
    site.kv.faults = kv.Faults()
    await trio.sleep(1.0)
    assert (await send("GET", f"/q1/{JOB}")).status == 401


async def test_a_cancellation_is_stored(autojump_clock: MockClock, site: Site) -> None:
    send = await site.start_front("f")
    await send("POST", f"/q1/{JOB}", BODY)
    assert (await send("DELETE", f"/q1/{JOB}")).status == 200
    assert site.kv.keys(keys.CANCELS) == [keys.CANCELS + JOB]


@pytest.mark.parametrize("text", ["", "-1", "\u00b2", "soon", "9" * 5000])
async def test_a_time_budget_that_is_no_number_counts_as_none(
    autojump_clock: MockClock, site: Site, text: str
) -> None:
    """Guards against a header that makes the handler fail with an unexpected error."""
    send = await site.start_front("f", headers={"deadline-ms": text})
    assert (await send("POST", f"/q1/{JOB}", BODY)).status == 200


async def test_a_public_route_shows_and_cancels_only_jobs_of_its_own_queue(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against callers without a key who reach jobs of private queues by their ids."""
    routes = [{**route, "public": route["name"] == "q2"} for route in CONFIG["routes"]]
    site.configure({**CONFIG, "version": 2, "routes": routes})
    send = await site.start_front("f")
    public_job = "11ff11ff11ff11ff"
    assert (await send("POST", f"/q1/{JOB}", BODY, "key-one")).status == 200
    assert (await send("POST", f"/q2/{public_job}", BODY, "")).status == 200
    for method in ("GET", "DELETE"):
        assert (await send(method, f"/q2/{JOB}", None, "")).status == 410
        assert (await send(method, f"/q1/{JOB}", None, "key-two")).status == 410
        assert (await send(method, f"/q1/{public_job}", None, "key-one")).status == 410
    assert body_of(await send("GET", f"/q1/{JOB}", None, "key-one")) == {"state": "queued"}
    assert (await send("GET", f"/q2/{public_job}", None, "")).status == 200
    assert site.kv.get(keys.CANCELS + JOB) is None
