from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay.policy import model
from tests.sched import checks, harness, members

if TYPE_CHECKING:
    from trio import testing

HOUR_S = 3600.0


class Pair:
    """Two instances; the first is active, the second renews the leases of every worker."""

    def __init__(self) -> None:
        self.fleet = harness.Fleet(workers=2)
        self.mesh = members.MemoryMesh()
        self.first = members.MeshInstance(self.fleet, "i1", self.mesh, set())
        self.second = members.MeshInstance(self.fleet, "i2", self.mesh, {"w0", "w1"})

    async def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.first.run)
        await harness.wait_until(lambda: self.first.scheduler.is_active)
        nursery.start_soon(self.second.run)
        await harness.wait_until(lambda: len(self.second.keepers.keeper.records) == 2)


@pytest.fixture
def pair() -> Pair:
    return Pair()


async def test_another_instance_renews_the_leases_and_reports_the_end_promptly(
    autojump_clock: testing.MockClock, pair: Pair, nursery: trio.Nursery
) -> None:
    await pair.start(nursery)
    spec = harness.spec(members=2, accelerators=8, declared_s=95.0)
    record = await pair.first.scheduler.submit(spec, key=None)
    ended = await harness.wait_for_state(
        pair.first.scheduler, record.job, [model.JobState.FINISHED]
    )
    assert ended.ended_s is not None
    log = await pair.fleet.log()
    assert ended.ended_s - max(entry["at_s"] for entry in log) < 0.5
    assert not [name for name in pair.first.gate.calls if name.endswith("/renew")]


async def test_running_tasks_survive_an_hour_without_store_and_scheduler(
    autojump_clock: testing.MockClock, pair: Pair, nursery: trio.Nursery
) -> None:
    await pair.start(nursery)
    spec = harness.spec(members=2, accelerators=8, declared_s=HOUR_S + 60.0, idempotent=False)
    record = await pair.first.scheduler.submit(spec, key=None)
    await harness.wait_for_state(pair.first.scheduler, record.job, [model.JobState.RUNNING])
    pair.second.gate.is_down = True
    pair.first.kill()
    await trio.sleep(HOUR_S)
    pair.second.gate.is_down = False
    await harness.wait_for_state(pair.second.scheduler, record.job, [model.JobState.FINISHED])
    log = await pair.fleet.log()
    assert len(harness.events(log, "release")) == 2
    assert checks.longest_partial_s(log, {record.job: spec}) <= checks.CLOCK_TOLERANCE_S


async def test_a_job_that_ends_during_a_store_outage_is_journalled_afterwards(
    autojump_clock: testing.MockClock, pair: Pair, nursery: trio.Nursery
) -> None:
    await pair.start(nursery)
    record = await pair.first.scheduler.submit(harness.spec(idempotent=False), key=None)
    await harness.wait_for_state(pair.first.scheduler, record.job, [model.JobState.RUNNING])
    for member in (pair.first, pair.second):
        member.gate.is_down = True
    await trio.sleep(HOUR_S / 6)
    for member in (pair.first, pair.second):
        member.gate.is_down = False
    await harness.wait_until(
        lambda: pair.first.scheduler.can_answer or pair.second.scheduler.can_answer
    )
    await trio.sleep(5.0)
    ended = await pair.second.gateway.get(record.job)
    assert ended.state is model.JobState.FINISHED
    assert len(harness.events(await pair.fleet.log(), "release")) == 1


async def test_a_keeper_that_still_reaches_the_worker_stops_renewing_a_cancelled_job(
    autojump_clock: testing.MockClock, pair: Pair, nursery: trio.Nursery
) -> None:
    await pair.start(nursery)
    record = await pair.first.scheduler.submit(harness.spec(declared_s=1e6), key=None)
    running = await harness.wait_for_state(
        pair.first.scheduler, record.job, [model.JobState.RUNNING]
    )
    pair.first.transport.unreachable_workers.add(running.placements[0].worker)
    await pair.first.scheduler.cancel([record.job])
    ended = await harness.wait_for_state(
        pair.first.scheduler, record.job, [model.JobState.CANCELLED]
    )
    log = await pair.fleet.log()
    assert ended.ended_s is not None
    assert ended.ended_s >= next(entry["at_s"] for entry in log if entry["event"] == "lapse")


async def test_a_gang_is_not_reported_stopped_while_a_keeper_is_unreachable(
    autojump_clock: testing.MockClock, pair: Pair, nursery: trio.Nursery
) -> None:
    await pair.start(nursery)
    record = await pair.first.scheduler.submit(harness.spec(declared_s=1e6), key=None)
    running = await harness.wait_for_state(
        pair.first.scheduler, record.job, [model.JobState.RUNNING]
    )
    pair.first.transport.unreachable_workers.add(running.placements[0].worker)
    pair.mesh.cut_links |= {("mesh://i1", "mesh://i2"), ("mesh://i2", "mesh://i1")}
    await pair.first.scheduler.cancel([record.job])
    await trio.sleep(300.0)
    assert (await pair.first.scheduler.get(record.job)).state is model.JobState.CANCELLING
    pair.mesh.cut_links.clear()
    await harness.wait_for_state(pair.first.scheduler, record.job, [model.JobState.CANCELLED])


async def test_the_scheduler_renews_leases_that_a_keeper_cannot_renew(
    autojump_clock: testing.MockClock, pair: Pair, nursery: trio.Nursery
) -> None:
    await pair.start(nursery)
    spec = harness.spec(members=2, accelerators=8, declared_s=200.0, idempotent=False)
    record = await pair.first.scheduler.submit(spec, key=None)
    await harness.wait_for_state(pair.first.scheduler, record.job, [model.JobState.RUNNING])
    pair.second.transport.unreachable_workers.add("w1")
    await harness.wait_for_state(pair.first.scheduler, record.job, [model.JobState.FINISHED])
    assert len(harness.events(await pair.fleet.log(), "release")) == 2
