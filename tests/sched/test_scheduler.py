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


async def test_submitted_job_runs_to_its_end(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    one = harness.Instance(fleet, "i1")
    nursery.start_soon(one.run)
    await harness.until(lambda: one.scheduler.is_active)
    record = await one.scheduler.submit(harness.spec(members=6), key=None)
    ended = await harness.until_state(one.scheduler, record.job, [model.JobState.FINISHED])
    assert ended.code is codes.ResultCode.OK
    assert ended.ended_s is not None
    assert ended.started_s is not None
    assert 29 < ended.ended_s - ended.started_s < 33
    log = await fleet.log()
    assert len(harness.events(log, "release")) == 6
    first_release = min(entry["at_s"] for entry in log if entry["event"] == "release")
    assert all(entry["at_s"] <= first_release for entry in log if entry["event"] == "start")


async def test_one_key_is_one_job(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    one = harness.Instance(fleet, "i1")
    nursery.start_soon(one.run)
    await harness.until(lambda: one.scheduler.is_active)
    first = await one.scheduler.submit(harness.spec(), key="k")
    second = await one.scheduler.submit(harness.spec(), key="k")
    assert first.job == second.job
    with pytest.raises(errors.BronzequayError) as caught:
        await one.scheduler.submit(harness.spec(members=2), key="k")
    assert caught.value.code is codes.ResultCode.KEY_REUSED


async def test_cancelled_job_stops(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    one = harness.Instance(fleet, "i1")
    nursery.start_soon(one.run)
    await harness.until(lambda: one.scheduler.is_active)
    record = await one.scheduler.submit(harness.spec(declared_s=1e6), key=None)
    await harness.until_state(one.scheduler, record.job, [model.JobState.RUNNING])
    await one.scheduler.cancel([record.job])
    await harness.until_state(one.scheduler, record.job, [model.JobState.CANCELLED])
    assert len(harness.events(await fleet.log(), "stop")) == 1


async def test_second_instance_takes_over_and_work_goes_on(
    autojump_clock: testing.MockClock, fleet: harness.Fleet, nursery: trio.Nursery
) -> None:
    one, two = harness.Instance(fleet, "i1"), harness.Instance(fleet, "i2")
    nursery.start_soon(one.run)
    await harness.until(lambda: one.scheduler.is_active)
    nursery.start_soon(two.run)
    record = await one.scheduler.submit(harness.spec(members=6, declared_s=100.0), key=None)
    await harness.until_state(one.scheduler, record.job, [model.JobState.RUNNING])
    one.kill()
    killed_s = trio.current_time()
    await harness.until(lambda: two.scheduler.is_active)
    assert trio.current_time() - killed_s < 4.0
    assert two.scheduler.epoch == 2
    await harness.until_state(two.scheduler, record.job, [model.JobState.FINISHED])
    assert len(harness.events(await fleet.log(), "start")) == 6
