"""Schedulers on slow links: reads of many keys take longer than an ordinary call."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay.core import model
from bronzequay.fakes import tasks
from tests.control.site import STORE

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay import ids
    from tests.control.site import Site

SLOW_LINK = 5_000_000 / 8
"""Bytes a second on the slowest links of the users' sheets."""
RECOVER_S = 15.0
"""Time of the same sheets after which work has to go on."""
LARGE_JOB = "x" * 4000
"""Size of the largest ``spec`` that the platform permits."""


def submit_large_jobs(site: Site, count: int) -> ids.JobId:
    """Submit jobs of 5 KB each, and return the last."""
    step = model.Step(need=model.Resources(1000, 1000, 1), estimate_s=1.0, label=LARGE_JOB)
    for _ in range(count - 1):
        site.submit(step)
    return site.submit(plan=tasks.Plan())


async def test_a_scheduler_on_a_slow_link_takes_up_many_jobs(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a term that cannot begin: pages of 1 MB were cut off and read again."""
    site.add_executor(1)
    site.network.bytes_per_s["a", STORE] = SLOW_LINK
    last = submit_large_jobs(site, 250)
    site.start_scheduler("a")
    await site.wait_for(last, "completed", timeout_s=RECOVER_S)


async def test_jobs_that_arrive_together_on_a_slow_link_are_taken_up(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a watch that is cut off and begins again with more to read."""
    site.add_executor(1)
    site.network.bytes_per_s["a", STORE] = SLOW_LINK
    site.start_scheduler("a")
    await trio.sleep(5.0)
    last = submit_large_jobs(site, 450)
    await site.wait_for(last, "completed", timeout_s=RECOVER_S)
