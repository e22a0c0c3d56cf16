"""Pattern: the store is down or cut off for seconds while callers submit jobs.

Seen on trouble-3 of tallgrass-prairie and trouble-1 of quispe-sort-large: writes that were tried
without an answer had to end with 504, after which a caller can't safely submit again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import errors
from bronzequay.control import keys
from bronzequay.fakes import kv
from bronzequay.front import config_watcher
from bronzequay.net import client, server
from bronzequay.platform import config
from bronzequay.platform import kv as stores
from tests.control.site import CONFIG, STORE, Site

if TYPE_CHECKING:
    from trio.testing import MockClock

JOB = "00ff00ff00ff00ff"
BODY = {"spec": "x", "steps": [{"count": 2, "cpu": 1000, "memMb": 10, "gpu": 1}]}


@pytest.fixture
async def site(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery
) -> Site:
    return Site(monkeypatch, nursery)


async def test_a_job_submitted_while_the_store_is_silent_is_refused_and_never_stored(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    await trio.sleep(1.0)
    site.kv.faults = kv.Faults(silent=True)
    started_s = trio.current_time()
    resp = await send("POST", f"/q1/{JOB}", BODY)
    assert (resp.status, dict(resp.headers)["Retry-After"]) == (503, "1")
    assert trio.current_time() - started_s < 0.5
    site.kv.faults = kv.Faults()
    await trio.sleep(10.0)
    assert site.kv.keys(keys.JOBS) == []
    assert (await send("POST", f"/q1/{JOB}", BODY)).status == 200


async def test_a_job_submitted_late_in_an_outage_is_refused_without_a_wait(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    site.kv.faults = kv.Faults(silent=True)
    await trio.sleep(6.0)
    started_s = trio.current_time()
    assert (await send("POST", f"/q1/{JOB}", BODY)).status == 503
    assert trio.current_time() - started_s < 0.05


async def test_one_refused_call_does_not_refuse_later_jobs(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f")
    await trio.sleep(0.1)
    site.kv.faults = kv.Faults(busy=True)
    assert (await send("POST", f"/q1/{JOB}", BODY)).status == 503
    site.kv.faults = kv.Faults()
    await trio.sleep(1.2)
    assert (await send("POST", f"/q1/{JOB}", BODY)).status == 200


async def test_a_job_is_refused_while_the_store_resets_every_connection(
    autojump_clock: MockClock, site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    send = await site.start_front("f")
    await trio.sleep(1.0)

    async def reset(req: server.Request) -> server.Response:
        raise client.NoResponseError("the connection broke before the response was complete")

    monkeypatch.setitem(site.network.hosts, STORE, reset)
    for _ in range(3):
        assert (await send("POST", f"/q1/{JOB}", BODY)).status == 503
        await trio.sleep(0.3)


async def test_a_write_is_answered_within_the_time_that_its_caller_has_left(
    autojump_clock: MockClock, site: Site
) -> None:
    send = await site.start_front("f", headers={"deadline-ms": "700"})
    site.kv.faults = kv.Faults(lose=1.0)
    started_s = trio.current_time()
    assert (await send("POST", f"/q1/{JOB}", BODY)).status == 504
    assert trio.current_time() - started_s < 0.7


async def test_a_configuration_written_in_an_outage_is_adopted_soon_after_it(
    autojump_clock: MockClock, site: Site, nursery: trio.Nursery
) -> None:
    store = stores.Store(STORE)
    watcher = config_watcher.ConfigurationWatcher(store)
    nursery.start_soon(watcher.run)
    await watcher.loaded.wait()
    site.kv.faults = kv.Faults(silent=True)
    await trio.sleep(8.0)
    site.configure({**CONFIG, "version": 2})
    site.kv.faults = kv.Faults()
    await site.wait_until(lambda: watcher.current and watcher.current.version == 2, timeout_s=1.8)


async def test_an_instance_started_in_an_outage_reads_the_configuration_soon_after_it(
    autojump_clock: MockClock, site: Site, nursery: trio.Nursery
) -> None:
    site.kv.faults = kv.Faults(silent=True)
    watcher = config_watcher.ConfigurationWatcher(stores.Store(STORE))
    nursery.start_soon(watcher.run)
    await trio.sleep(0.5)
    site.kv.faults = kv.Faults()
    with trio.fail_after(0.3):
        await watcher.loaded.wait()


async def test_a_watch_left_waiting_by_an_outage_ends_once_another_call_is_answered(
    autojump_clock: MockClock, site: Site, nursery: trio.Nursery
) -> None:
    store = stores.Store(STORE)
    site.kv.faults = kv.Faults(silent=True)
    ended_s: list[float] = []

    async def watch() -> None:
        with pytest.raises(errors.BronzequayError):
            await store.watch(config.KEY, after=stores.ABSENT, wait_s=20.0)
        ended_s.append(trio.current_time())

    nursery.start_soon(watch)
    for _ in range(3):
        with pytest.raises(errors.BronzequayError):
            await store.get(config.KEY, timeout_s=0.4)
    site.kv.faults = kv.Faults()
    regained_s = trio.current_time()
    await store.get(config.KEY)
    await trio.sleep(0.1)
    assert ended_s
    assert ended_s[0] - regained_s < 0.1
