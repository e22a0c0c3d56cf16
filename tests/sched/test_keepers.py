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
    """Two instances; the second keeps the leases of every worker."""

    def __init__(self) -> None:
        self.fleet = harness.Fleet(workers=2)
        self.mesh = members.MemoryMesh()
        self.one = members.Member(self.fleet, "i1", self.mesh, set())
        self.two = members.Member(self.fleet, "i2", self.mesh, {"w0", "w1"})

    async def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.one.run)
        await harness.until(lambda: self.one.scheduler.is_active)
        nursery.start_soon(self.two.run)
        await harness.until(lambda: len(self.two.keepers.keeper.links) == 2)


@pytest.fixture
def pair() -> Pair:
    return Pair()


async def test_another_instance_keeps_the_leases_and_tells_the_end_at_once(
    autojump_clock: testing.MockClock, pair: Pair, nursery: trio.Nursery
) -> None:
    await pair.start(nursery)
    spec = harness.spec(members=2, accelerators=8, declared_s=95.0)
    record = await pair.one.scheduler.submit(spec, key=None)
    ended = await harness.until_state(pair.one.scheduler, record.job, [model.JobState.FINISHED])
    assert ended.ended_s is not None
    log = await pair.fleet.log()
    assert ended.ended_s - max(entry["at_s"] for entry in log) < 0.5
    assert not [name for name in pair.one.gate.calls if name.endswith("/renew")]


async def test_running_work_outlives_an_hour_without_store_and_scheduler(
    autojump_clock: testing.MockClock, pair: Pair, nursery: trio.Nursery
) -> None:
    await pair.start(nursery)
    spec = harness.spec(members=2, accelerators=8, declared_s=HOUR_S + 60.0, idempotent=False)
    record = await pair.one.scheduler.submit(spec, key=None)
    await harness.until_state(pair.one.scheduler, record.job, [model.JobState.RUNNING])
    pair.two.gate.is_down = True
    pair.one.kill()
    await trio.sleep(HOUR_S)
    pair.two.gate.is_down = False
    await harness.until_state(pair.two.scheduler, record.job, [model.JobState.FINISHED])
    log = await pair.fleet.log()
    assert len(harness.events(log, "release")) == 2
    assert checks.partial_s(log, {record.job: spec}) <= checks.CLOCK_S


async def test_work_that_ends_in_an_outage_is_journalled_after_it(
    autojump_clock: testing.MockClock, pair: Pair, nursery: trio.Nursery
) -> None:
    await pair.start(nursery)
    record = await pair.one.scheduler.submit(harness.spec(idempotent=False), key=None)
    await harness.until_state(pair.one.scheduler, record.job, [model.JobState.RUNNING])
    for member in (pair.one, pair.two):
        member.gate.is_down = True
    await trio.sleep(HOUR_S / 6)
    for member in (pair.one, pair.two):
        member.gate.is_down = False
    await harness.until(lambda: pair.one.scheduler.can_answer or pair.two.scheduler.can_answer)
    await trio.sleep(5.0)
    again = await pair.two.gateway.get(record.job)
    assert again.state is model.JobState.FINISHED
    assert len(harness.events(await pair.fleet.log(), "release")) == 1


async def test_a_keeper_that_still_reaches_the_worker_is_told_to_let_go(
    autojump_clock: testing.MockClock, pair: Pair, nursery: trio.Nursery
) -> None:
    await pair.start(nursery)
    record = await pair.one.scheduler.submit(harness.spec(declared_s=1e6), key=None)
    running = await harness.until_state(pair.one.scheduler, record.job, [model.JobState.RUNNING])
    pair.one.transport.cut.add(running.placements[0].worker)
    await pair.one.scheduler.cancel([record.job])
    ended = await harness.until_state(pair.one.scheduler, record.job, [model.JobState.CANCELLED])
    log = await pair.fleet.log()
    assert ended.ended_s is not None
    assert ended.ended_s >= next(entry["at_s"] for entry in log if entry["event"] == "lapse")


async def test_a_gang_is_not_told_as_stopped_while_a_keeper_cannot_be_told(
    autojump_clock: testing.MockClock, pair: Pair, nursery: trio.Nursery
) -> None:
    await pair.start(nursery)
    record = await pair.one.scheduler.submit(harness.spec(declared_s=1e6), key=None)
    running = await harness.until_state(pair.one.scheduler, record.job, [model.JobState.RUNNING])
    pair.one.transport.cut.add(running.placements[0].worker)
    pair.mesh.cut |= {("mesh://i1", "mesh://i2"), ("mesh://i2", "mesh://i1")}
    await pair.one.scheduler.cancel([record.job])
    await trio.sleep(300.0)
    assert (await pair.one.scheduler.get(record.job)).state is model.JobState.CANCELLING
    pair.mesh.cut.clear()
    await harness.until_state(pair.one.scheduler, record.job, [model.JobState.CANCELLED])


async def test_a_keeper_that_cannot_reach_a_worker_is_helped_by_the_scheduler(
    autojump_clock: testing.MockClock, pair: Pair, nursery: trio.Nursery
) -> None:
    await pair.start(nursery)
    spec = harness.spec(members=2, accelerators=8, declared_s=200.0, idempotent=False)
    record = await pair.one.scheduler.submit(spec, key=None)
    await harness.until_state(pair.one.scheduler, record.job, [model.JobState.RUNNING])
    pair.two.transport.cut.add("w1")
    await harness.until_state(pair.one.scheduler, record.job, [model.JobState.FINISHED])
    assert len(harness.events(await pair.fleet.log(), "release")) == 2
