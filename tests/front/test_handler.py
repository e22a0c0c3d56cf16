"""Callers' requests, answered from the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import msgspec
import pytest
import trio

from bronzequay.control import keys
from bronzequay.core import model
from bronzequay.fakes import kv
from tests.control.site import CONFIG, Site

if TYPE_CHECKING:
    from trio.testing import MockClock

JOB = "00ff00ff00ff00ff"
BODY = {"spec": "x", "steps": [{"count": 2, "cpu": 1000, "memMb": 10, "gpu": 1}]}


@pytest.fixture
async def site(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery
) -> Site:
    return Site(monkeypatch, nursery)


def body_of(answer: object) -> object:
    return json.loads(answer.body)  # type: ignore[attr-defined]


async def test_an_accepted_job_is_stored_and_shown(autojump_clock: MockClock, site: Site) -> None:
    ask = await site.start_front("f")
    assert (await ask("POST", f"/q1/{JOB}", BODY)).status == 200
    spec = msgspec.msgpack.decode(site.kv.get(keys.JOBS + JOB) or b"", type=model.JobSpec)
    assert (spec.queue, spec.org, spec.payload, spec.steps[0].count) == ("q1", "one", "x", 2)
    assert body_of(await ask("GET", f"/q1/{JOB}")) == {"state": "queued"}
    assert body_of(await ask("GET", "/q1/")) == {"waiting": 1}
    assert body_of(await ask("GET", "/q2/")) == {"waiting": 0}


async def test_a_job_handed_in_again_is_one_job(autojump_clock: MockClock, site: Site) -> None:
    ask, other = await site.start_front("f"), await site.start_front("g")
    assert (await ask("POST", f"/q1/{JOB}", BODY)).status == 200
    before = site.kv.rev
    assert (await other("POST", f"/q1/{JOB}", BODY)).status == 200
    assert site.kv.rev == before


@pytest.mark.parametrize(
    ("method", "path", "key", "status"),
    [
        ("POST", f"/none/{JOB}", "key-one", 404),
        ("POST", f"/q1/{JOB}", "wrong", 401),
        ("POST", "/q1/not-an-id", "key-one", 400),
        ("GET", f"/q1/{JOB}", "key-one", 410),
        ("DELETE", f"/q1/{JOB}", "key-one", 410),
        ("PUT", f"/q1/{JOB}", "key-one", 405),
        ("POST", "/q1/", "key-one", 405),
    ],
)
async def test_what_cannot_be_done_is_refused(  # noqa: PLR0917
    autojump_clock: MockClock, site: Site, method: str, path: str, key: str, status: int
) -> None:
    ask = await site.start_front("f")
    assert (await ask(method, path, BODY, key)).status == status
    assert site.kv.keys(keys.ROOT) == []


@pytest.mark.parametrize("body", [None, [], {"steps": []}, {"steps": [{"count": "x"}]}])
async def test_a_malformed_job_is_refused_with_a_number(
    autojump_clock: MockClock, site: Site, body: object
) -> None:
    ask = await site.start_front("f")
    answer = await ask("POST", f"/q1/{JOB}", body)
    assert answer.status == 400
    assert body_of(answer)["code"] in (200, 202)  # type: ignore[index]


async def test_a_body_over_the_configured_limit_is_refused(
    autojump_clock: MockClock, site: Site
) -> None:
    site.configure({**CONFIG, "limits": {"maxBodyBytes": 50}})
    ask = await site.start_front("f")
    assert (await ask("POST", f"/q1/{JOB}", {**BODY, "spec": "y" * 50})).status == 413


async def test_another_organisations_job_is_not_shown(
    autojump_clock: MockClock, site: Site
) -> None:
    ask = await site.start_front("f")
    await ask("POST", f"/q1/{JOB}", BODY)
    assert (await ask("GET", f"/q1/{JOB}", None, "key-two")).status == 410
    assert (await ask("DELETE", f"/q1/{JOB}", None, "key-two")).status == 410
    assert site.kv.keys(keys.CANCELS) == []


async def test_a_refusal_of_the_store_is_told_at_once_with_a_time_to_come_back(
    autojump_clock: MockClock, site: Site
) -> None:
    ask = await site.start_front("f")
    site.kv.faults = kv.Faults(busy=True)
    began_s = trio.current_time()
    answer = await ask("POST", f"/q1/{JOB}", BODY)
    assert (answer.status, dict(answer.headers)["Retry-After"]) == (503, "1")
    assert trio.current_time() - began_s < 0.1
    for method in ("GET", "DELETE"):
        assert (await ask(method, f"/q1/{JOB}")).status == 503


async def test_a_write_that_may_be_done_is_never_told_as_not_accepted(
    autojump_clock: MockClock, site: Site
) -> None:
    ask = await site.start_front("f")
    site.kv.faults = kv.Faults(silent=True)
    assert (await ask("POST", f"/q1/{JOB}", BODY)).status == 504


@pytest.mark.parametrize("late_s", [0.0, 0.7])
async def test_a_write_whose_answer_is_lost_is_repeated_until_it_is_known(
    autojump_clock: MockClock, site: Site, late_s: float
) -> None:
    ask = await site.start_front("f")
    site.kv.faults = kv.Faults(lose=0.5, late_s=late_s)
    for number in range(20):
        answer = await ask("POST", f"/q1/{number:016x}", BODY)
        assert answer.status in (200, 504)
    site.kv.faults = kv.Faults()
    await trio.sleep(2.0)
    assert len(site.kv.keys(keys.JOBS)) == 20


async def test_a_new_configuration_is_in_force_at_once_and_never_goes_back(
    autojump_clock: MockClock, site: Site
) -> None:
    ask = await site.start_front("f")
    site.configure({**CONFIG, "version": 9, "tenants": [{"name": "one", "apiKeys": ["new"]}]})
    await trio.sleep(0.1)
    assert (await ask("GET", f"/q1/{JOB}", None, "key-one")).status == 401
    assert (await ask("GET", f"/q1/{JOB}", None, "new")).status == 410
    site.configure({**CONFIG, "version": 8})
    site.kv.put("op/config", b"rubbish")
    await trio.sleep(0.1)
    assert (await ask("GET", f"/q1/{JOB}", None, "key-one")).status == 401


async def test_a_configuration_that_the_watch_did_not_hear_of_is_found(
    autojump_clock: MockClock, site: Site
) -> None:
    ask = await site.start_front("f")
    await trio.sleep(5.0)
    site.kv.faults = kv.Faults(deaf=True)
    site.configure({**CONFIG, "version": 2, "tenants": []})
    await trio.sleep(1.0)
    site.kv.compact()
    site.kv.faults = kv.Faults()
    await trio.sleep(1.0)
    assert (await ask("GET", f"/q1/{JOB}")).status == 401


async def test_the_wish_to_cancel_is_stored_until_the_job_has_ended(
    autojump_clock: MockClock, site: Site
) -> None:
    ask = await site.start_front("f")
    await ask("POST", f"/q1/{JOB}", BODY)
    assert (await ask("DELETE", f"/q1/{JOB}")).status == 200
    assert site.kv.keys(keys.CANCELS) == [keys.CANCELS + JOB]
