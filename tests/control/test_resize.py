"""Workers whose capacity shrinks and grows while they run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay.core import model
from bronzequay.fakes import tasks
from tests.control.site import ONE_GPU

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay import ids
    from bronzequay.fakes import executors
    from tests.control.site import Site

NOTICE_S = 1.0
"""Time in which a scheduler that reaches the store has to follow a change of capacity."""


def resize(executor: executors.Executor, gpu: int) -> None:
    executor.capacity = {**executor.capacity, "gpu": gpu}
    executor.list_entry()


def submit(site: Site, count: int, run_s: float) -> ids.JobId:
    step = model.Step(count=count, need=ONE_GPU, estimate_s=run_s)
    return site.submit(step, plan=tasks.Plan(run_s=run_s, gpu=1))


async def largest_count(executor: executors.Executor, for_s: float) -> int:
    """Return the largest number of runs on an executor during some time."""
    largest = 0
    with trio.move_on_after(for_s):
        while True:
            largest = max(largest, len(executor.runs))
            await trio.sleep(0.02)
    return largest


async def test_no_start_exceeds_a_capacity_that_has_shrunk(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against starts that count on the capacity which a worker had when it joined."""
    executor = site.add_executor(0)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await site.wait_for(submit(site, 8, 2.0), "completed")
    resize(executor, 3)
    await trio.sleep(NOTICE_S)
    job = submit(site, 8, 2.0)
    assert await largest_count(executor, 5.0) == 3
    resize(executor, 8)
    await site.wait_for(job, "completed", timeout_s=4.0)


async def test_running_work_goes_on_when_capacity_shrinks_below_it(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against stops, and against starts before enough of the work has ended."""
    executor = site.add_executor(0)
    site.start_scheduler("a")
    running = submit(site, 6, 6.0)
    await site.wait_until(lambda: len(executor.runs) == 6)
    await trio.sleep(NOTICE_S)
    resize(executor, 2)
    await trio.sleep(NOTICE_S)
    later = submit(site, 1, 1.0)
    await site.wait_for(running, "completed", timeout_s=6.0)
    assert site.state(later) != "completed"
    await site.wait_for(later, "completed", timeout_s=4.0)
    starts = site.events("start")
    assert len(starts) == 7
    site.check_runs()


async def test_a_new_scheduler_counts_inherited_runs_against_a_capacity_that_has_shrunk(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a takeover that starts work beside runs that exceed the capacity."""
    executor = site.add_executor(0)
    site.start_scheduler("a")
    submit(site, 4, 30.0)
    await site.wait_until(lambda: len(executor.runs) == 4)
    await trio.sleep(NOTICE_S)
    site.kill("a")
    resize(executor, 3)
    site.start_scheduler("b")
    submit(site, 2, 1.0)
    assert await largest_count(executor, 12.0) == 4
    resize(executor, 5)
    await trio.sleep(NOTICE_S)
    assert len(executor.runs) == 5


async def test_nothing_starts_after_an_outage_of_the_store_until_capacity_is_known_again(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against starts that exceed a capacity which has shrunk while the store was down."""
    executor = site.add_executor(0)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_for(submit(site, 8, 1.0), "completed")
    jobs = [submit(site, 8, run_s) for run_s in (4.0, 2.0)]
    await site.wait_until(lambda: len(executor.runs) == 8)
    site.kv.faults.silent = True
    executor.capacity = {**executor.capacity, "gpu": 3}
    await trio.sleep(6.0)
    assert not executor.runs
    site.kv.faults.silent = False
    assert await largest_count(executor, 7.0) == 3
    for job in jobs:
        await site.wait_for(job, "completed", timeout_s=8.0)
