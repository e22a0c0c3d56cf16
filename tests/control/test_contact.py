"""Starts on workers that have just gone silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay.core import model
from bronzequay.fakes import tasks
from tests.control import test_leases

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay import ids
    from tests.control.site import Site

GPUS = 8
RUN_S = 0.5
LONGEST_S = 4.0
"""Far below the time for which the run of an unanswered start is waited for."""


def submit_for_one_worker(site: Site) -> ids.JobId:
    step = model.Step(need=model.Resources(1000, 1000, GPUS), estimate_s=RUN_S)
    return site.submit(step, plan=tasks.Plan(run_s=RUN_S, gpu=GPUS))


async def test_no_start_is_sent_to_a_worker_that_has_gone_silent_since_its_last_answer(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against tasks that wait for the run of a start to a worker without power."""
    lost, sound = (site.add_executor(number) for number in (1, 2))
    lost.beats = sound.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(10.0)
    test_leases.cut(site, lost)
    jobs = [submit_for_one_worker(site) for _ in range(2)]
    for job in jobs:
        await site.wait_for(job, "completed", timeout_s=LONGEST_S)
    assert not lost.runs
    site.check_runs()
