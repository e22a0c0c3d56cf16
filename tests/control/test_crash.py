"""Tasks that crash the workers they start on, and sound work beside them."""

from __future__ import annotations

import collections
import functools
from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import figures
from bronzequay.core import model
from bronzequay.fakes import tasks
from tests.control.site import ONE_GPU, STORE, gang

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay import ids
    from bronzequay.net import server
    from tests.control.site import Site

AT_ONCE = 0.0
UNANSWERED = -1.0
TOLERATED_STARTS = 5
"""Starts of a task that crashes its workers: three, and two more after the third crash."""


def start_counts(site: Site, job: ids.JobId) -> collections.Counter[str]:
    """Return how often each task of a job has begun on an executor."""
    return collections.Counter(task for task, _ in site.events("start") if task.startswith(job))


def has_begun_or_failed(site: Site, job: ids.JobId, count: int) -> bool:
    """Return whether the first task of a job has begun some times, or its job has failed."""
    return start_counts(site, job)[f"{job}.0.0.0"] >= count or site.state(job) == "failed"


def deadly(run_s: float = 5.0, *, after_s: float = AT_ONCE, gang_size: int = 0) -> tasks.Plan:
    return tasks.Plan(run_s=run_s, gang=gang_size, crashes_after_s=after_s)


@pytest.mark.parametrize("keeps_id", [False, True])
@pytest.mark.parametrize("after_s", [AT_ONCE, UNANSWERED, 3.0])
async def test_a_task_that_crashes_its_workers_is_given_up(
    autojump_clock: MockClock, site: Site, after_s: float, keeps_id: bool
) -> None:
    """Guards against a task that brings down worker after worker until the day ends."""
    for number in range(6):
        site.add_executor(number).keeps_id = keeps_id
    site.start_scheduler("a")
    job = site.submit(plan=deadly(after_s=after_s))
    await site.wait_for(job, "failed", timeout_s=60.0)
    await trio.sleep(20.0)
    assert 2 <= start_counts(site, job)[f"{job}.0.0.0"] <= TOLERATED_STARTS


async def test_a_gang_whose_member_crashes_its_workers_is_given_up(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a gang that is started without limit as its member crashes each worker."""
    for number in range(6):
        site.add_executor(number)
    site.start_scheduler("a")
    job = site.submit(gang(3), plan=deadly(gang_size=3))
    await site.wait_for(job, "failed", timeout_s=60.0)
    assert max(start_counts(site, job).values()) <= TOLERATED_STARTS


async def test_crashes_are_counted_over_changes_of_the_scheduler(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a new scheduler that begins to count the crashes of a task anew."""
    for number in range(8):
        site.add_executor(number)
    site.start_scheduler("s0")
    await site.wait_until(site.leader)
    job = site.submit(plan=deadly())
    for number in range(1, 8):
        await site.wait_until(
            functools.partial(has_begun_or_failed, site, job, number), timeout_s=60.0
        )
        await trio.sleep(0.1)
        await site.wait_until(lambda: site.leader() in site.scopes)
        site.kill(str(site.leader()))
        site.start_scheduler(f"s{number}")
    await site.wait_for(job, "failed", timeout_s=60.0)
    assert start_counts(site, job)[f"{job}.0.0.0"] <= TOLERATED_STARTS


async def test_sound_work_survives_its_neighbours_crashes(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against sound jobs that are given up because other tasks crash their workers."""
    for number in range(4):
        site.add_executor(number)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    bad, good = [], []
    for _ in range(4):
        good.append(site.submit(model.Step(count=3, need=ONE_GPU, estimate_s=4.0),
                                plan=tasks.Plan(run_s=4.0)))  # fmt: skip
        bad.append(site.submit(model.Step(count=1, need=ONE_GPU, estimate_s=4.0), plan=deadly()))
    for job in bad:
        await site.wait_for(job, "failed", timeout_s=90.0)
        assert start_counts(site, job)[f"{job}.0.0.0"] <= TOLERATED_STARTS
    for job in good:
        await site.wait_for(job, "completed", timeout_s=90.0)
        assert max(start_counts(site, job).values()) <= TOLERATED_STARTS
    site.check_runs()


async def test_a_job_whose_rack_loses_power_again_and_again_is_not_given_up(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against giving up sound work because the power of its rack fails."""
    for number in range(8):
        site.add_executor(number, rack=f"r{number % 2}")
    site.start_scheduler("a")
    job = site.submit(model.Step(count=8, need=ONE_GPU, estimate_s=9.0, max_per_worker=1),
                      plan=tasks.Plan(run_s=9.0))  # fmt: skip
    for failure in range(6):
        await trio.sleep(6.0)
        for executor in list(site.world.executors.values()):
            if executor.is_up and executor.labels[1] == f"r{failure % 2}":
                site.world.crash(executor)
    await site.wait_for(job, "completed", timeout_s=60.0)
    site.check_runs()


async def test_runs_on_a_worker_that_was_only_silent_are_not_counted_as_crashed(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against giving up work because its workers could not be reached for a while."""
    for number in range(2):
        site.add_executor(number)
    site.start_scheduler("a")
    job = site.submit(plan=tasks.Plan(run_s=12.0))
    for _ in range(6):
        await site.wait_for(job, "running")
        await site.wait_until(lambda: any(e.runs for e in site.world.executors.values()))
        await trio.sleep(2.0)
        (busy,) = [e for e in site.world.executors.values() if e.runs]
        site.network.cut.add(("a", busy.address))
        await trio.sleep(8.0)
        site.network.cut.clear()
        await trio.sleep(2.0)
    await site.wait_for(job, "completed", timeout_s=60.0)
    site.check_runs()


async def test_an_unanswered_start_does_not_hold_a_gang_up_once_its_worker_is_replaced(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a gang that waits 15 s for a start which the next executor would refuse."""
    first, second = site.add_executor(0), site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    first.unanswered_calls["/run-start"] = 3
    job = site.submit(gang(2), plan=tasks.Plan(run_s=2.0, gang=2))
    await site.wait_until(lambda: second.runs)
    site.world.crash(first)
    await site.wait_for(job, "completed", timeout_s=10.0)
    site.check_runs()


async def test_no_work_starts_on_a_worker_that_has_stopped_answering(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against jobs that wait on a crashed worker until its run leases have expired."""
    for number in range(2):
        site.add_executor(number)
    site.start_scheduler("a")
    site.submit(plan=tasks.Plan(run_s=60.0))
    await site.wait_until(lambda: any(e.runs for e in site.world.executors.values()))
    (busy,) = [e for e in site.world.executors.values() if e.runs]
    site.network.cut.add(("a", busy.address))
    await trio.sleep(2.5)
    await site.wait_for(site.submit(plan=tasks.Plan(run_s=1.0)), "completed", timeout_s=2.0)
    site.network.cut.clear()
    await trio.sleep(2.0)
    filling = site.submit(gang(1), model.Step(count=7, need=ONE_GPU, estimate_s=1.0))
    await site.wait_for(filling, "completed", timeout_s=5.0)
    site.check_runs()


async def test_a_rack_that_loses_power_while_writes_hang_is_no_fault_of_its_tasks(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against listings that look recent because a hanging write delayed their use."""
    are_writes_hanging = False

    async def handle(req: server.Request) -> server.Response:
        if are_writes_hanging and req.path == "/kv-txn":
            await trio.sleep_forever()
        return await site.kv.handle(req)

    site.network.hosts[STORE] = handle
    for number in range(8):
        site.add_executor(number, rack=f"r{number % 2}")
    site.start_scheduler("a")
    step = model.Step(need=model.Resources(1000, 1000, 7), estimate_s=40.0)
    jobs = [site.submit(step, plan=tasks.Plan(run_s=40.0)) for _ in range(8)]
    await site.wait_until(lambda: all(e.runs for e in site.world.executors.values()))
    site.submit(plan=tasks.Plan(run_s=3.0))
    await trio.sleep(2.5)
    are_writes_hanging = True
    await trio.sleep(1.6)
    for executor in list(site.world.executors.values()):
        if executor.labels[1] == "r0":
            site.world.crash(executor)
    await trio.sleep(4.0)
    are_writes_hanging = False
    await trio.sleep(2.0)
    state = site.terms["a"]._state
    again = [task for job in jobs for task in next(state.jobs[job].steps()).tasks if task.run > 1]
    assert [task.crashes for task in again] == [0] * 4


async def test_a_worker_that_is_gone_for_good_is_counted_as_lost_once(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a metric that counts a worker when its leases lapse and when it is removed."""
    executor = site.add_executor(0)
    site.start_scheduler("a")
    job = site.submit(plan=tasks.Plan(run_s=60.0))
    await site.wait_for(job, "running")
    await trio.sleep(1.0)
    counted = figures.counters.copy()
    site.crash(executor)
    await site.wait_until(lambda: not site.terms["a"]._state.workers)
    lost = {
        name: count - counted[name]
        for name, count in figures.counters.items()
        if name.startswith(("workers_lost", "runs_lost")) and count != counted[name]
    }
    assert lost == {'workers_lost{why="lapsed"}': 1, 'runs_lost{why="lapsed"}': 1}


async def test_a_worker_that_falls_silent_after_its_drain_has_not_crashed(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against tasks that are suspected because their worker left without a trace."""
    leaving = site.add_executor(0)
    site.start_scheduler("a")
    job = site.submit(plan=tasks.Plan(run_s=60.0))
    await site.wait_for(job, "running")
    await trio.sleep(1.0)
    leaving.state = "draining"
    leaving.list_entry()
    await trio.sleep(0.6)
    leaving.crash()
    await trio.sleep(8.0)
    (step,) = site.terms["a"]._state.jobs[job].steps()
    assert (step.tasks[0].phase, step.tasks[0].crashes) == (model.Phase.WAITING, 0)


async def test_a_lasting_job_is_kept_though_its_workers_are_cut_off_again_and_again(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against cut-offs that count as crashes once the store has removed the entries."""
    for number in range(4):
        site.add_executor(number).beats = True
    site.start_scheduler("a")
    job = site.submit(
        model.Step(need=ONE_GPU, estimate_s=60.0, is_endless=True), plan=tasks.Plan(lasts=True)
    )
    for _ in range(7):
        await site.wait_until(lambda: any(e.runs for e in site.world.executors.values()))
        await trio.sleep(2.0)
        (busy,) = [e for e in site.world.executors.values() if e.runs]
        busy.beats = False
        site.network.refused.add(("a", busy.address))
        await trio.sleep(4.5)
        site.kv.delete(f"servers/{busy.name}")
        await trio.sleep(2.0)
        site.network.refused.clear()
        busy.beats = True
        await trio.sleep(2.0)
        assert site.state(job) == "running"
    site.check_runs()
