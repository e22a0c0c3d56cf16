from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import codes, errors, ids
from bronzequay.policy import model
from tests.sched import harness, members

if TYPE_CHECKING:
    from trio import testing


class Trio:
    """Three instances, of which the first is active."""

    def __init__(self) -> None:
        self.fleet = harness.Fleet(workers=2)
        self.mesh = members.MemoryMesh()
        self.members = [
            members.Member(self.fleet, name, self.mesh, {"w0", "w1"}) for name in ("i1", "i2", "i3")
        ]

    async def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.members[0].run)
        await harness.until(lambda: self.members[0].scheduler.is_active)
        for member in self.members[1:]:
            nursery.start_soon(member.run)


@pytest.fixture
def three() -> Trio:
    return Trio()


async def code_of(call: object) -> codes.ResultCode:
    with pytest.raises(errors.BronzequayError) as caught:
        await call  # type: ignore[misc]
    return caught.value.code


async def test_any_instance_takes_commands_and_queries(
    autojump_clock: testing.MockClock, three: Trio, nursery: trio.Nursery
) -> None:
    await three.start(nursery)
    one, two, other = (member.gateway for member in three.members)
    record = await two.submit(harness.spec(declared_s=1e6), key="k")
    assert (await other.submit(harness.spec(declared_s=1e6), key="k")).job == record.job
    assert await code_of(other.submit(harness.spec(), key="k")) is codes.ResultCode.KEY_REUSED
    assert [entry.job for entry in await one.list()] == [record.job]
    assert (await other.get(record.job)).spec == record.spec
    assert "job is" in await two.why(record.job)
    await other.cancel([record.job])
    await trio.sleep(2.0)
    assert (await two.get(record.job)).state is model.JobState.CANCELLED
    assert await code_of(two.get(ids.JobId("none"))) is codes.ResultCode.UNKNOWN_JOB


async def test_a_submission_outlives_the_active_scheduler(
    autojump_clock: testing.MockClock, three: Trio, nursery: trio.Nursery
) -> None:
    await three.start(nursery)
    three.members[0].kill()
    record = await three.members[1].gateway.submit(harness.spec(), key=None)
    assert [entry.job for entry in await three.members[2].gateway.list()] == [record.job]


async def test_a_lost_answer_is_told_as_unknown_never_as_not_run(
    autojump_clock: testing.MockClock, three: Trio, nursery: trio.Nursery
) -> None:
    await three.start(nursery)
    await three.members[1].gateway.list()
    three.mesh.cut.add(("mesh://i1", "mesh://i2"))
    code = await code_of(three.members[1].gateway.submit(harness.spec(), key=None))
    assert code is codes.ResultCode.OUTCOME_UNKNOWN
    assert len(await three.members[2].gateway.list()) == 1


async def test_without_a_scheduler_the_refusal_is_true_and_reads_go_on(
    autojump_clock: testing.MockClock, three: Trio, nursery: trio.Nursery
) -> None:
    await three.start(nursery)
    record = await three.members[1].gateway.submit(harness.spec(), key=None)
    for member in three.members[:2]:
        member.kill()
    three.members[2].scope.cancel()
    await trio.sleep(10.0)
    gateway = three.members[2].gateway
    with pytest.raises(errors.BronzequayError) as caught:
        await gateway.submit(harness.spec(), key=None)
    assert caught.value.code is codes.ResultCode.NO_SCHEDULER
    assert caught.value.retry_after_s is not None
    assert [entry.job for entry in await gateway.list()] == [record.job]
    assert (await gateway.get(record.job)).job == record.job
    assert "no scheduler" in await gateway.why(record.job)


async def test_in_a_store_outage_new_jobs_are_refused_and_reads_go_on(
    autojump_clock: testing.MockClock, three: Trio, nursery: trio.Nursery
) -> None:
    await three.start(nursery)
    active = three.members[0]
    record = await active.gateway.submit(harness.spec(declared_s=1e6), key=None)
    await harness.until_state(active.scheduler, record.job, [model.JobState.RUNNING])
    for member in three.members:
        member.gate.is_down = True
    first = await code_of(active.scheduler.submit(harness.spec(), key="a"))
    assert first is codes.ResultCode.OUTCOME_UNKNOWN
    for member in three.members:
        code = await code_of(member.gateway.submit(harness.spec(), key="b"))
        assert code in (codes.ResultCode.NO_SCHEDULER, codes.ResultCode.STORE_UNAVAILABLE)
    assert (await active.gateway.get(record.job)).state is model.JobState.RUNNING
    await trio.sleep(600.0)
    for member in three.members:
        member.gate.is_down = False
    await trio.sleep(10.0)
    states = {entry.key: entry.state for entry in await three.members[1].gateway.list()}
    assert "b" not in states
    assert states[None] is model.JobState.RUNNING


async def test_a_hand_over_is_faster_than_a_lease(
    autojump_clock: testing.MockClock, three: Trio, nursery: trio.Nursery
) -> None:
    await three.start(nursery)
    await trio.sleep(3.0)
    began_s = trio.current_time()
    await three.members[0].scheduler.shutdown()
    await harness.until(lambda: any(member.scheduler.is_active for member in three.members[1:]))
    assert trio.current_time() - began_s < 1.0
