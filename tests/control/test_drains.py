"""Workers that announce their departure while the scheduler cannot read their entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay.core import model
from bronzequay.fakes import tasks
from tests.control.site import EIGHT_GPUS, STORE

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay.net import server
    from tests.control.site import Site

DRAIN_S = 2.0
"""Time after its announcement from which a worker may be sent nothing."""
CALM_S = 5.0
"""Time in which two new workers have been taken up."""


WATCH_S = 1.5
"""Time after which a watch that had begun before has been answered."""


async def hold_entries(site: Site) -> None:
    """Have the store answer no read of the workers' entries from now on."""

    async def call(req: server.Request) -> server.Response:
        if "servers" in req.query:
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
    await hold_entries(site)
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
