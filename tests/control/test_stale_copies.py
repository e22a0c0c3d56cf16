"""Starts while the scheduler cannot read the keys that may forbid them."""

from __future__ import annotations

import urllib.parse
from typing import TYPE_CHECKING

import trio

from bronzequay.control import keys
from bronzequay.core import model
from bronzequay.fakes import tasks
from tests.control.site import EIGHT_GPUS, STORE

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay.net import server
    from tests.control.site import Site

DRAIN_S = 2.0
"""Time after its announcement from which a worker may be sent nothing."""
CANCEL_S = 3.0
"""Time after the cancellation of a job from which none of its tasks may start."""
CALM_S = 5.0
"""Time in which two new workers have been taken up."""


WATCH_S = 2.0
"""Time after which a watch that had begun before has been answered."""


async def hold_reads(site: Site, prefix: str) -> None:
    """Have the store answer no read under a prefix from now on."""

    async def call(req: server.Request) -> server.Response:
        if f"prefix={urllib.parse.quote_plus(prefix)}&" in f"{req.query}&":
            await trio.sleep_forever()
        return await site.kv.handle(req)

    site.network.hosts[STORE] = call
    await trio.sleep(WATCH_S)


async def test_nothing_starts_on_a_worker_whose_drain_could_not_be_read(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against starts by entries that were read any time ago."""
    first = site.add_executor(1)
    site.add_executor(2)
    site.start_scheduler("a")
    await trio.sleep(CALM_S)
    await hold_reads(site, "servers/")
    first.state = "draining"
    first.list_entry()
    announced_s = trio.current_time()
    await trio.sleep(DRAIN_S)
    job = site.submit(model.Step(count=2, need=EIGHT_GPUS), plan=tasks.Plan(run_s=1.0))
    await trio.sleep(4.0)
    assert "i-1" not in {name for _, event, name, _, _ in site.world.log if event == "start"}
    site.network.hosts[STORE] = site.kv.handle
    await site.wait_for(job, "completed", timeout_s=12.0)
    assert {
        name
        for at_s, event, name, _, _ in site.world.log
        if event == "start" and at_s > announced_s + DRAIN_S
    } == {"i-2"}
    site.check_runs()


async def test_no_task_of_a_job_starts_whose_cancellation_could_not_be_read(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against starts by cancellations that were read any time ago."""
    site.add_executor(1)
    site.start_scheduler("a")
    first = site.submit(model.Step(need=EIGHT_GPUS), plan=tasks.Plan(run_s=10.0))
    await site.wait_for(first, "running")
    waiting = site.submit(model.Step(need=EIGHT_GPUS))
    await trio.sleep(1.0)
    await hold_reads(site, keys.INBOX)
    site.cancel(waiting)
    cancelled_s = trio.current_time()
    await site.wait_for(first, "completed", timeout_s=15.0)
    await trio.sleep(2.0)
    assert trio.current_time() > cancelled_s + CANCEL_S
    assert not [task for task, _ in site.events("start") if task.startswith(waiting)]
    site.network.hosts[STORE] = site.kv.handle
    await site.wait_for(waiting, "cancelled")
    site.check_runs()
