"""Small versions of the days in deploy/days that the users gave."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay.core import model
from bronzequay.fakes import tasks
from tests.control.site import ONE_GPU
from tests.control.test_crash import TOLERATED_STARTS, deadly, start_counts
from tests.control.test_resize import NOTICE_S, resize, submit

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay.fakes import executors
    from tests.control.site import Site

SHRUNK_GPUS = 4


async def test_deadly_task(autojump_clock: MockClock, site: Site) -> None:
    """Guards against deadly tasks that go on after the scheduler which ordered them is killed."""
    for number in range(8):
        site.add_executor(number).keeps_id = number % 2 == 0
    for name in ("a", "b"):
        site.start_scheduler(name)
    await site.wait_until(site.leader)
    sound = [submit(site, 4, 3.0) for _ in range(4)]
    bad = [site.submit(plan=deadly()) for _ in range(2)]
    await site.wait_until(lambda: any(start_counts(site, job) for job in bad))
    site.kill(str(site.leader()))
    for job in bad:
        await site.wait_for(job, "failed", timeout_s=90.0)
        assert max(start_counts(site, job).values()) <= TOLERATED_STARTS
    for job in sound:
        await site.wait_for(job, "completed", timeout_s=60.0)
    site.check_runs()


def check_room(executors_: list[executors.Executor]) -> None:
    for executor in executors_:
        assert len(executor.runs) <= executor.capacity["gpu"]


async def test_shrunk(autojump_clock: MockClock, site: Site) -> None:
    """Guards against a burst that is started on room which some workers no longer have."""
    workers = [site.add_executor(number) for number in range(4)]
    site.start_scheduler("a")
    await site.wait_for(submit(site, 8, 1.0), "completed")
    for worker in workers[:2]:
        resize(worker, SHRUNK_GPUS)
    await trio.sleep(NOTICE_S)
    step = model.Step(count=20, need=ONE_GPU, estimate_s=1.0)
    burst = [site.submit(step, plan=tasks.Plan(run_s=1.0, gpu=1)) for _ in range(3)]
    while not all(site.state(job) == "completed" for job in burst):
        check_room(workers)
        await trio.sleep(0.05)
    for worker in workers[:2]:
        resize(worker, 8)
    await site.wait_for(submit(site, 30, 1.0), "completed", timeout_s=5.0)
    site.check_runs()
