"""Answers that say that a job does not run while the store may still carry out its submission."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import ids
from bronzequay.control import admission, keys, status, sweep
from bronzequay.core import model
from bronzequay.fakes import kv
from bronzequay.front import tombstones
from bronzequay.platform import kv as stores
from tests.control.site import STORE, Site
from tests.front.test_handler import BODY, JOB

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from trio.testing import MockClock

    from bronzequay.net import server

    Send = Callable[..., Awaitable[server.Response]]

LATE_S = 6.0
PATH = f"/q1/{JOB}"


@pytest.fixture
async def site(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery
) -> Site:
    return Site(monkeypatch, nursery)


async def submit_late(site: Site, send: Send, path: str = PATH) -> None:
    """Submit a job; the store carries out each attempt some seconds later and answers none."""
    site.kv.faults = kv.Faults(lose=1.0, late_s=LATE_S)
    assert (await send("POST", path, BODY)).status == 504
    site.kv.faults = kv.Faults()


def shown_state(response: server.Response) -> str:
    assert response.status == 200
    return str(json.loads(response.body)["state"])


async def test_a_job_whose_cancel_found_nothing_is_not_accepted_by_a_late_write(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a job that runs although its cancel was answered with 410 (UNASKED)."""
    site.add_executor(1)
    site.start_scheduler("a")
    first, second = await site.start_front("f"), await site.start_front("g")
    await submit_late(site, first)
    assert (await second("DELETE", PATH)).status == 410
    await trio.sleep(2 * LATE_S)
    assert site.kv.keys(keys.JOBS) == []
    assert site.events("start") == []
    assert (await first("GET", PATH)).status == 410


async def test_a_cancel_that_overtakes_its_submission_cancels_it(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a job that is accepted and run after its cancel was acknowledged."""
    site.add_executor(1)
    site.start_scheduler("a")
    first, second = await site.start_front("f"), await site.start_front("g")
    assert (await second("DELETE", PATH)).status == 410
    assert (await first("POST", PATH, BODY)).status == 200
    assert shown_state(await second("GET", PATH)) == "cancelled"
    assert (await first("POST", PATH, BODY)).status == 200
    assert (await second("DELETE", PATH)).status == 200
    await trio.sleep(2 * status.TOMBSTONE_S)
    assert shown_state(await second("GET", PATH)) == "cancelled"
    assert site.events("start") == []


async def test_a_job_accepted_while_its_cancel_looks_for_it_is_cancelled(
    autojump_clock: MockClock, site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cancel that is lost because the job was stored after it was looked up."""
    first, second = await site.start_front("f"), await site.start_front("g")
    handle = site.network.hosts[STORE]

    async def accept_after_read(req: server.Request) -> server.Response:
        answer = await handle(req)
        if req.path == "/kv-key" and JOB in req.query and answer.status == 404:
            site.network.hosts[STORE] = handle
            assert (await first("POST", PATH, BODY)).status == 200
        return answer

    monkeypatch.setitem(site.network.hosts, STORE, accept_after_read)
    assert (await second("DELETE", PATH)).status == 200
    assert site.kv.keys(keys.CANCELS) == [keys.CANCELS + JOB]


@pytest.mark.parametrize("state", [model.JobState.QUEUED, model.JobState.CANCELLED])
async def test_a_cancel_that_crosses_another_tombstone_still_bars_later_submissions(
    autojump_clock: MockClock, site: Site, monkeypatch: pytest.MonkeyPatch, state: model.JobState
) -> None:
    """Guards against a cancel that takes a refusal, or another caller's cancel, for its own."""
    first, second = await site.start_front("f"), await site.start_front("g")
    handle = site.network.hosts[STORE]
    org = ids.OrgId("one" if state is model.JobState.QUEUED else "two")
    other = tombstones.Placeholder(org, ids.QueueId("q1"), state)

    async def write_after_read(req: server.Request) -> server.Response:
        answer = await handle(req)
        if req.path == "/kv-key" and JOB in req.query:
            site.network.hosts[STORE] = handle
            site.kv.put(keys.STATES + JOB, other.encode())
        return answer

    monkeypatch.setitem(site.network.hosts, STORE, write_after_read)
    assert (await second("DELETE", PATH)).status == 410
    assert (await first("POST", PATH, BODY)).status == 200
    assert shown_state(await second("GET", PATH)) == "cancelled"


async def test_a_tombstone_of_another_organisation_keeps_no_job_from_being_accepted(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against an organisation that cancels the future jobs of another one."""
    send = await site.start_front("f")
    assert (await send("DELETE", PATH, None, "key-two")).status == 410
    assert (await send("POST", PATH, BODY)).status == 200
    assert shown_state(await send("GET", PATH)) == "queued"
    await trio.sleep(2 * status.TOMBSTONE_S)
    assert shown_state(await send("GET", PATH)) == "queued"


async def test_tombstones_are_removed_after_their_lifetime(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    assert (await send("DELETE", PATH)).status == 410
    await trio.sleep(status.TOMBSTONE_S + 2 * tombstones.REMOVAL_S)
    assert site.kv.keys(keys.ROOT) == []
    assert (await send("POST", PATH, BODY)).status == 200
    assert shown_state(await send("GET", PATH)) == "queued"


async def test_a_repeated_cancel_renews_an_old_tombstone(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a late submission just after the end of a tombstone found by a cancel."""
    first, second = await site.start_front("f"), await site.start_front("g")
    assert (await first("DELETE", PATH)).status == 410
    await trio.sleep(status.TOMBSTONE_S - LATE_S / 2)
    await submit_late(site, first)
    assert (await second("DELETE", PATH)).status == 410
    await trio.sleep(2 * LATE_S)
    assert site.kv.keys(keys.JOBS) == []


async def test_a_crowd_of_cancels_of_unknown_jobs_fills_neither_store_nor_instance(
    autojump_clock: MockClock, site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against callers who fill the store with cancels of jobs that do not exist."""
    monkeypatch.setattr(tombstones, "MAX_TOMBSTONES", 12)
    monkeypatch.setattr(tombstones, "MAX_PER_ORG", 8)
    send = await site.start_front("f")
    crowd = [await send("DELETE", f"/q1/{number:016x}") for number in range(20)]
    assert [answer.status for answer in crowd] == [410] * 8 + [503] * 12
    assert "Retry-After" in dict(crowd[-1].headers)
    others = [await send("DELETE", f"/q1/{99 + number:016x}", None, "key-two") for number in (1, 2)]
    assert [answer.status for answer in others] == [410, 410]
    assert len(site.kv.keys(keys.STATES)) == 10
    await trio.sleep(status.TOMBSTONE_S + 2 * tombstones.REMOVAL_S)
    assert site.kv.keys(keys.STATES) == []
    assert (await send("DELETE", PATH)).status == 410


async def test_tombstones_of_an_ended_instance_are_swept(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against tombstones that stay because the instance that wrote them has ended."""
    for number in range(3):
        cancelled = model.JobState.CANCELLED
        tombstone = tombstones.Placeholder(ids.OrgId("one"), ids.QueueId("q1"), cancelled)
        site.kv.put(f"{keys.STATES}{number:016x}", tombstone.encode())
    store = stores.Store(STORE)
    await trio.sleep(status.TOMBSTONE_S)
    assert await sweep.remove_expired(store, retention_s=3600.0) == 0
    await trio.sleep(2 * status.TOMBSTONE_S)
    assert await sweep.remove_expired(store, retention_s=3600.0) == 3


async def test_a_tombstone_that_was_written_without_an_answer_is_removed(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    site.kv.faults = kv.Faults(lose=1.0, late_s=LATE_S)
    assert (await send("DELETE", PATH)).status == 504
    site.kv.faults = kv.Faults()
    await trio.sleep(2 * LATE_S)
    assert site.kv.keys(keys.ROOT) == [keys.STATES + JOB]
    await trio.sleep(status.TOMBSTONE_S)
    assert site.kv.keys(keys.ROOT) == []


async def test_a_cancel_without_an_answer_of_the_store_is_not_acknowledged(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    site.kv.faults = kv.Faults(lose=1.0)
    assert (await send("DELETE", PATH)).status == 504
    site.kv.faults = kv.Faults()
    assert (await send("DELETE", PATH)).status == 410


def predict_wait(site: Site, wait_s: float) -> None:
    """Publish the predicted wait of a queue as the scheduler does."""
    waits = admission.Waits(1000.0 + trio.current_time(), {ids.QueueId("q1"): wait_s})
    site.kv.put(keys.ADMISSION, admission.encode(waits))


async def test_a_refused_job_is_not_accepted_by_a_late_write_and_can_be_submitted_again(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a 503, which says that a job never runs, while an earlier attempt may."""
    site.has_admission = True
    first, second = await site.start_front("f"), await site.start_front("g")
    await submit_late(site, first)
    predict_wait(site, 600.0)
    await trio.sleep(0.5)
    assert (await second("POST", PATH, BODY)).status == 503
    await trio.sleep(2 * LATE_S)
    assert site.kv.keys(keys.JOBS) == []
    assert (await second("GET", PATH)).status == 410
    assert (await second("DELETE", PATH)).status == 410
    other = f"/q1/{1:016x}"
    predict_wait(site, 600.0)
    await trio.sleep(0.5)
    assert (await second("POST", other, BODY)).status == 503
    predict_wait(site, 0.0)
    await trio.sleep(0.5)
    assert (await second("POST", other, BODY)).status == 200
    assert shown_state(await second("GET", other)) == "queued"
