from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import codes, errors
from bronzequay.policy import model
from tests.sched import harness

if TYPE_CHECKING:
    from trio import testing


@pytest.fixture
def fleet() -> harness.Fleet:
    return harness.Fleet()


async def test_a_submitted_job_runs_to_its_end(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    instance = harness.Instance(fleet, "i1")
    nursery.start_soon(instance.run)
    await harness.wait_until(lambda: instance.scheduler.is_active)
    record = await instance.scheduler.submit(harness.spec(members=6), key=None)
    ended = await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.FINISHED])
    assert ended.code is codes.ResultCode.OK
    assert ended.ended_s is not None
    assert ended.started_s is not None
    assert 29 < ended.ended_s - ended.started_s < 33
    log = await fleet.log()
    assert len(harness.events(log, "release")) == 6
    first_release = min(entry["at_s"] for entry in log if entry["event"] == "release")
    assert all(entry["at_s"] <= first_release for entry in log if entry["event"] == "start")


async def test_two_submissions_with_one_key_are_one_job(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    instance = harness.Instance(fleet, "i1")
    nursery.start_soon(instance.run)
    await harness.wait_until(lambda: instance.scheduler.is_active)
    first = await instance.scheduler.submit(harness.spec(), key="k")
    second = await instance.scheduler.submit(harness.spec(), key="k")
    assert first.job == second.job
    with pytest.raises(errors.BronzequayError) as caught:
        await instance.scheduler.submit(harness.spec(members=2), key="k")
    assert caught.value.code is codes.ResultCode.KEY_REUSED


async def test_a_cancelled_job_is_stopped(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    instance = harness.Instance(fleet, "i1")
    nursery.start_soon(instance.run)
    await harness.wait_until(lambda: instance.scheduler.is_active)
    record = await instance.scheduler.submit(harness.spec(declared_s=1e6), key=None)
    await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.RUNNING])
    await instance.scheduler.cancel([record.job])
    await harness.wait_for_state(instance.scheduler, record.job, [model.JobState.CANCELLED])
    assert len(harness.events(await fleet.log(), "stop")) == 1


async def test_a_second_instance_takes_over_and_the_job_continues(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    first, second = harness.Instance(fleet, "i1"), harness.Instance(fleet, "i2")
    nursery.start_soon(first.run)
    await harness.wait_until(lambda: first.scheduler.is_active)
    nursery.start_soon(second.run)
    record = await first.scheduler.submit(harness.spec(members=6, declared_s=100.0), key=None)
    await harness.wait_for_state(first.scheduler, record.job, [model.JobState.RUNNING])
    first.kill()
    killed_s = trio.current_time()
    await harness.wait_until(lambda: second.scheduler.is_active)
    assert trio.current_time() - killed_s < 4.0
    assert second.scheduler.epoch == 2
    await harness.wait_for_state(second.scheduler, record.job, [model.JobState.FINISHED])
    assert len(harness.events(await fleet.log(), "start")) == 6
