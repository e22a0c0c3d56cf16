from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay.policy import health, model
from bronzequay.sched import gang
from bronzequay.work import keeper
from tests.sched import checks, harness

if TYPE_CHECKING:
    from trio import testing

MAX_DETECTION_S = keeper.RENEW_WAIT_S + 2.0 + 2.0 + 1.0


@pytest.fixture
def fleet() -> harness.Fleet:
    return harness.Fleet(workers=3)


async def start(
    fleet: harness.Fleet, nursery: trio.Nursery, name: str = "i1", **options: object
) -> harness.Instance:
    instance = harness.Instance(fleet, name, **options)
    nursery.start_soon(instance.run)
    await harness.wait_until(lambda: instance.scheduler.is_active)
    return instance


async def test_no_member_is_released_if_a_member_cannot_start(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    fleet.set_faults("w2", fail_starts=True)
    instance = await start(fleet, nursery)
    spec = harness.spec(members=3, accelerators=8, idempotent=False)
    record = await instance.scheduler.submit(spec, key=None)
    ended = await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.FAILED])
    assert ended.attempt <= health.MAX_START_FAILURES
    log = await fleet.log()
    assert harness.events(log, "release") == []
    assert len(harness.events(log, "stop")) == 2 * ended.attempt


async def test_members_are_held_while_a_worker_does_not_answer_and_resume_afterwards(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    instance = await start(fleet, nursery)
    spec = harness.spec(members=3, accelerators=8, declared_s=60.0, idempotent=False)
    record = await instance.scheduler.submit(spec, key=None)
    await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.RUNNING])
    await trio.sleep(1.0)
    fleet.set_faults("w2", silent=True)
    silent_since_s = trio.current_time()
    await trio.sleep(MAX_DETECTION_S)
    held = [task.state.value for name in ("w0", "w1") for task in fleet.tasks(name).values()]
    assert held == ["held", "held"], trio.current_time() - silent_since_s
    fleet.set_faults("w2")
    await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.FINISHED])


async def test_a_lost_member_fails_the_gang_within_the_bound(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    instance = await start(fleet, nursery)
    spec = harness.spec(members=3, accelerators=8, declared_s=1e6, idempotent=False)
    record = await instance.scheduler.submit(spec, key=None)
    await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.RUNNING])
    fleet.set_faults("w2", silent=True)
    await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.FAILED])
    log = await fleet.log()
    assert checks.longest_partial_s(log, {record.job: spec}) <= MAX_DETECTION_S
    lapse_s = next(entry["at_s"] for entry in log if entry["event"] == "lapse")
    throttled_s = min(entry["at_s"] for entry in log if entry["event"] == "throttle")
    assert throttled_s < lapse_s


async def test_a_gang_is_reported_stopped_only_after_its_task_leases_have_expired(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    instance = await start(fleet, nursery)
    record = await instance.scheduler.submit(harness.spec(declared_s=1e6), key=None)
    running = await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.RUNNING])
    instance.transport.unreachable_workers.add(running.placements[0].worker)
    await instance.scheduler.cancel([record.job])
    ended = await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.CANCELLED])
    log = await fleet.log()
    assert ended.ended_s is not None
    assert ended.ended_s >= next(e["at_s"] for e in log if e["event"] == "lapse")
    assert ended.ended_s <= running.history[-1].at_s + gang.LEASE_EXPIRY_WAIT_S + 3.0


async def test_a_non_idempotent_job_with_its_only_member_lost_is_in_doubt(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    instance = await start(fleet, nursery)
    spec = harness.spec(declared_s=30.0, idempotent=False)
    record = await instance.scheduler.submit(spec, key=None)
    running = await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.RUNNING])
    worker = running.placements[0].worker
    await trio.sleep(18.0)
    fleet.set_faults(worker, silent=True)
    await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.IN_DOUBT])
    fleet.set_faults(worker)
    await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.FINISHED])
    assert len(harness.events(await fleet.log(), "release")) == 1


async def test_a_worker_that_reports_leaving_gets_no_new_tasks(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    instance = await start(fleet, nursery)
    fleet.set_faults("w0", leaving=True)
    for _ in range(4):
        record = await instance.scheduler.submit(harness.spec(declared_s=5.0), key=None)
        await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.FINISHED])
    assert not fleet.tasks("w0")


async def test_a_task_without_a_job_record_is_stopped(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    instance = await start(fleet, nursery)
    orphan = {"task": "jx.1.0", "attempt": 1, "epoch": 1, "ttl_s": 100.0}
    body = {"tasks": [orphan]}
    await instance.http.post(f"{harness.BASE}/w/w1/v1/tasks", json=body)
    await trio.sleep(1.0)
    assert harness.events(await fleet.log(), "stop") == [("jx.1.0", "stop")]


async def submit(instance: harness.Instance, key: str) -> None:
    await instance.scheduler.submit(harness.spec(), key=key)


async def test_concurrent_cancellations_are_batched_per_bucket(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    instance = await start(fleet, nursery)
    async with trio.open_nursery() as callers:
        for number in range(300):
            callers.start_soon(submit, instance, str(number))
    jobs = [record.job for record in await instance.scheduler.list()]
    writes_before = fleet.store.writes
    cancelled = await instance.scheduler.cancel(jobs)
    assert len(cancelled) == 300
    assert fleet.store.writes - writes_before <= 32
    for job in jobs:
        await harness.wait_for_state(instance.scheduler, job, [model.JobState.CANCELLED])
