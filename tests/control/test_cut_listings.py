"""Listings that an executor cuts at its limit of ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay.control import session
from bronzequay.core import model
from bronzequay.fakes import tasks

if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.control.site import Site

STARTED = session.MAX_LISTED_ENDS + 100
UNSENT = 100
RUN_S = 0.5


async def test_starts_that_were_recorded_and_not_sent_are_made_up_for_after_a_cut_listing(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against tasks that wait for ever if the first listing after a takeover is cut."""
    executor = site.add_executor(1)
    handle = site.network.hosts[executor.address]

    async def take_some(req: object) -> object:
        while req.path == "/run-start" and len(site.events("start")) >= STARTED:  # type: ignore[attr-defined]
            await trio.sleep_forever()
        return await handle(req)  # type: ignore[arg-type]

    site.network.hosts[executor.address] = take_some  # type: ignore[assignment]
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    tiny = model.Step(count=STARTED + UNSENT, need=model.Resources(10, 10, 0), estimate_s=RUN_S)
    job = site.submit(tiny, plan=tasks.Plan(run_s=RUN_S))
    await site.wait_until(lambda: len(site.events("start")) >= STARTED)
    site.kill("a")
    await trio.sleep(2 * RUN_S)
    site.network.hosts[executor.address] = handle
    site.start_scheduler("b")
    await site.wait_for(job, "completed", timeout_s=10.0)
    site.check_runs()
