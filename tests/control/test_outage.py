"""Pattern: the store carries out writes and loses their answers (``platform_lost``).

Each lost answer of a journal write held up all scheduling for 1.5 s, and one of the write that
acquires the leader lease left the term to nobody until the lease expired.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import ids
from bronzequay.control import keys, lease, prefix
from bronzequay.fakes import kv
from bronzequay.platform import kv as stores
from tests.control.site import STORE, Site

if TYPE_CHECKING:
    from collections.abc import Callable

    from trio.testing import MockClock

    from bronzequay.net import server


@pytest.fixture
async def site(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery
) -> Site:
    return Site(monkeypatch, nursery)


def lose_answers(site: Site, is_lost: Callable[[server.Request], bool]) -> list[float]:
    """Carry out the calls that ``is_lost`` selects without answering them; return their times."""
    lost_s: list[float] = []

    async def handle(req: server.Request) -> server.Response:
        answer = await site.kv.handle(req)
        if is_lost(req):
            lost_s.append(trio.current_time())
            await trio.sleep_forever()
        return answer

    site.network.hosts[STORE] = handle
    return lost_s


async def test_a_leader_lease_whose_acquisition_went_unanswered_is_held(
    autojump_clock: MockClock, site: Site
) -> None:
    lose_answers(site, lambda req: req.path == "/kv-txn")
    with trio.fail_after(1.0):
        held = await lease.campaign(
            stores.Store(STORE), ids.InstanceId("a"), ttl_s=lease.TTL_S, address="10.0.0.9:70"
        )
    assert held.is_trusted
    assert site.leader() == "a"
    item = site.kv.items[keys.LEADER]
    assert held.epoch == item["revision"]


async def test_a_lost_answer_of_a_journal_write_delays_a_start_by_under_a_second(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(2.0)
    pending = [True]

    def is_first_start(req: server.Request) -> bool:
        is_lost = pending[0] and req.path == "/kv-txn" and req.body.count(b"bronzequay/") > 1
        pending[0] &= not is_lost
        return is_lost

    lost_s = lose_answers(site, is_first_start)
    job = site.submit()
    await site.wait_until(lambda: site.state(job) == "running", timeout_s=1.0)
    await site.wait_until(lambda: site.events("start"), timeout_s=1.0)
    assert lost_s
    assert trio.current_time() - lost_s[0] < 1.0
    await site.wait_for(job, "completed")
    site.check_runs()


async def test_a_watch_of_many_keys_whose_answer_takes_over_a_second_reports_changes(
    autojump_clock: MockClock, site: Site, nursery: trio.Nursery
) -> None:
    site.kv.faults = kv.Faults(delay_s=1.2)
    failed: list[float] = []

    async def follow() -> None:
        await prefix.follow(
            stores.Store(STORE),
            "servers/",
            ids.Revision(site.kv.rev),
            on_change=lambda items: seen.extend(item.key for item in items),
            on_snapshot=lambda _: failed.append(trio.current_time()),
            wait_s=1.5,
        )

    seen: list[str] = []
    nursery.start_soon(follow)
    await trio.sleep(2.6)
    site.kv.put("servers/i-1", b"{}")
    await trio.sleep(0.2)
    assert (seen, failed) == (["servers/i-1"], [])


async def test_items_are_read_anew_where_the_changes_of_many_keys_never_arrive_in_time(
    autojump_clock: MockClock, site: Site, nursery: trio.Nursery
) -> None:
    """Guards against a watch that falls behind further with each attempt."""
    handle, snapshots = site.kv.handle, []

    async def without_watches(req: server.Request) -> server.Response:
        if req.path == "/kv-watch":
            await trio.sleep_forever()
        return await handle(req)

    async def follow() -> None:
        await prefix.follow(
            stores.Store(STORE),
            "servers/",
            ids.Revision(site.kv.rev),
            on_change=lambda _: None,
            on_snapshot=lambda items: snapshots.append([item.key for item in items]),
            wait_s=1.5,
            answer_s=1.0,
        )

    site.network.hosts[STORE] = without_watches
    site.kv.put("servers/i-1", b"{}")
    nursery.start_soon(follow)
    await trio.sleep(3.5)
    site.kv.put("servers/i-2", b"{}")
    await trio.sleep(3.5)
    assert snapshots == [["servers/i-1"], ["servers/i-1", "servers/i-2"]]


async def test_a_scheduler_suspended_past_its_lease_sends_no_start_before_it_holds_the_lease_again(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    """Guards against a process that acts on a lease which ran out while it was suspended."""
    handle, is_renewal_held = site.kv.handle, False

    async def hold_renewals(req: server.Request) -> server.Response:
        while is_renewal_held and req.path.startswith("/kv-keep"):
            await trio.sleep(0.1)
        return await handle(req)

    site.network.hosts[STORE] = hold_renewals
    site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_for(site.submit(), "completed")
    suspended_s = lease.TTL_S + 1.0
    monkeypatch.setattr("bronzequay.clock.boot_s", lambda: trio.current_time() + suspended_s)
    is_renewal_held = True
    starts = len(site.events("start"))
    job = site.submit()
    await trio.sleep(2.0)
    assert len(site.events("start")) == starts
    is_renewal_held = False
    await site.wait_for(job, "completed", timeout_s=20.0)
    site.check_runs()
