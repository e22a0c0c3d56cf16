from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio

from bronzequay import codes, errors, ids
from bronzequay.policy import model
from bronzequay.sched import gateway as gateways
from tests.sched import harness, members

if TYPE_CHECKING:
    from trio import testing

ANSWER_MARGIN_S = 0.1


class Cluster:
    """Three instances; the first one becomes active."""

    def __init__(self) -> None:
        self.fleet = harness.Fleet(workers=2)
        self.mesh = members.MemoryMesh()
        self.instances = [
            members.MeshInstance(self.fleet, name, self.mesh, {"w0", "w1"})
            for name in ("i1", "i2", "i3")
        ]

    async def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.instances[0].run)
        await harness.wait_until(lambda: self.instances[0].scheduler.is_active)
        for instance in self.instances[1:]:
            nursery.start_soon(instance.run)


@pytest.fixture
def cluster() -> Cluster:
    return Cluster()


async def code_of(call: object) -> codes.ResultCode:
    with pytest.raises(errors.BronzequayError) as caught:
        await call  # type: ignore[misc]
    return caught.value.code


async def code_in_time(gateway: gateways.Gateway) -> codes.ResultCode:
    """Return the code that refuses a submission, which must come by the commands' deadline."""
    with trio.fail_after(gateways.COMMAND_TIMEOUT_S + ANSWER_MARGIN_S):
        return await code_of(gateway.submit(harness.spec(), key=None))


async def test_any_instance_accepts_commands_and_queries(
    autojump_clock: testing.MockClock, cluster: Cluster, nursery: trio.Nursery
) -> None:
    await cluster.start(nursery)
    first, second, third = (instance.gateway for instance in cluster.instances)
    record = await second.submit(harness.spec(declared_s=1e6), key="k")
    assert (await third.submit(harness.spec(declared_s=1e6), key="k")).job == record.job
    assert await code_of(third.submit(harness.spec(), key="k")) is codes.ResultCode.KEY_REUSED
    assert [entry.job for entry in await first.list()] == [record.job]
    assert (await third.get(record.job)).spec == record.spec
    assert "job is" in await second.why(record.job)
    await third.cancel([record.job])
    await trio.sleep(2.0)
    assert (await second.get(record.job)).state is model.JobState.CANCELLED
    assert await code_of(second.get(ids.JobId("none"))) is codes.ResultCode.UNKNOWN_JOB


async def test_a_submission_survives_the_loss_of_the_active_scheduler(
    autojump_clock: testing.MockClock, cluster: Cluster, nursery: trio.Nursery
) -> None:
    await cluster.start(nursery)
    cluster.instances[0].kill()
    record = await cluster.instances[1].gateway.submit(harness.spec(), key=None)
    assert [entry.job for entry in await cluster.instances[2].gateway.list()] == [record.job]


async def test_a_lost_answer_is_reported_as_unknown_outcome_not_as_not_run(
    autojump_clock: testing.MockClock, cluster: Cluster, nursery: trio.Nursery
) -> None:
    await cluster.start(nursery)
    await cluster.instances[1].gateway.list()
    cluster.mesh.cut_links.add(("mesh://i1", "mesh://i2"))
    code = await code_of(cluster.instances[1].gateway.submit(harness.spec(), key=None))
    assert code is codes.ResultCode.OUTCOME_UNKNOWN
    assert len(await cluster.instances[2].gateway.list()) == 1


async def test_a_command_whose_lookup_hangs_is_refused_as_not_run_in_time(
    autojump_clock: testing.MockClock, cluster: Cluster, nursery: trio.Nursery
) -> None:
    await cluster.start(nursery)
    cluster.instances[1].gate.delay_s = 60.0
    code = await code_in_time(cluster.instances[1].gateway)
    assert code is codes.ResultCode.NO_SCHEDULER
    await trio.sleep(60.0)
    assert not await cluster.instances[0].gateway.list()


async def test_a_command_whose_answer_is_lost_after_a_slow_lookup_is_unknown_in_time(
    autojump_clock: testing.MockClock, cluster: Cluster, nursery: trio.Nursery
) -> None:
    await cluster.start(nursery)
    cluster.instances[1].gate.delay_s = 5.0
    cluster.mesh.cut_links.add(("mesh://i1", "mesh://i2"))
    code = await code_in_time(cluster.instances[1].gateway)
    assert code is codes.ResultCode.OUTCOME_UNKNOWN
    assert len(await cluster.instances[0].gateway.list()) == 1


async def test_a_command_whose_second_lookup_hangs_after_a_lost_answer_is_unknown_in_time(
    autojump_clock: testing.MockClock, cluster: Cluster, nursery: trio.Nursery
) -> None:
    await cluster.start(nursery)
    await cluster.instances[1].gateway.list()
    cluster.mesh.cut_links.add(("mesh://i1", "mesh://i2"))
    cluster.instances[1].gate.delay_s = 60.0
    code = await code_in_time(cluster.instances[1].gateway)
    assert code is codes.ResultCode.OUTCOME_UNKNOWN
    assert len(await cluster.instances[0].gateway.list()) == 1


async def test_a_command_that_hangs_on_the_active_instance_is_unknown_in_time(
    autojump_clock: testing.MockClock,
    cluster: Cluster,
    nursery: trio.Nursery,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    await cluster.start(nursery)
    active = cluster.instances[0]
    submit = active.scheduler.submit

    async def record_and_hang(*args: Any, **kwargs: Any) -> None:
        await submit(*args, **kwargs)
        await trio.sleep_forever()

    monkeypatch.setattr(active.scheduler, "submit", record_and_hang)
    assert await code_in_time(active.gateway) is codes.ResultCode.OUTCOME_UNKNOWN
    assert len(await active.gateway.list()) == 1


async def test_without_a_scheduler_submissions_are_refused_and_reads_still_work(
    autojump_clock: testing.MockClock, cluster: Cluster, nursery: trio.Nursery
) -> None:
    await cluster.start(nursery)
    record = await cluster.instances[1].gateway.submit(harness.spec(), key=None)
    for instance in cluster.instances[:2]:
        instance.kill()
    cluster.instances[2].scope.cancel()
    await trio.sleep(10.0)
    gateway = cluster.instances[2].gateway
    with pytest.raises(errors.BronzequayError) as caught:
        await gateway.submit(harness.spec(), key=None)
    assert caught.value.code is codes.ResultCode.NO_SCHEDULER
    assert caught.value.retry_after_s is not None
    assert [entry.job for entry in await gateway.list()] == [record.job]
    assert (await gateway.get(record.job)).job == record.job
    assert "no scheduler" in await gateway.why(record.job)


async def test_in_a_store_outage_new_jobs_are_refused_and_reads_still_work(
    autojump_clock: testing.MockClock, cluster: Cluster, nursery: trio.Nursery
) -> None:
    await cluster.start(nursery)
    active = cluster.instances[0]
    record = await active.gateway.submit(harness.spec(declared_s=1e6), key=None)
    await harness.wait_for_state(active.scheduler, record.job, [model.JobState.RUNNING])
    for instance in cluster.instances:
        instance.gate.is_down = True
    first = await code_of(active.scheduler.submit(harness.spec(), key="a"))
    assert first is codes.ResultCode.OUTCOME_UNKNOWN
    for instance in cluster.instances:
        code = await code_of(instance.gateway.submit(harness.spec(), key="b"))
        assert code in (codes.ResultCode.NO_SCHEDULER, codes.ResultCode.STORE_UNAVAILABLE)
    assert (await active.gateway.get(record.job)).state is model.JobState.RUNNING
    await trio.sleep(600.0)
    for instance in cluster.instances:
        instance.gate.is_down = False
    await trio.sleep(10.0)
    states = {entry.key: entry.state for entry in await cluster.instances[1].gateway.list()}
    assert "b" not in states
    assert states[None] is model.JobState.RUNNING


async def test_a_shutdown_hands_over_faster_than_lease_expiry(
    autojump_clock: testing.MockClock, cluster: Cluster, nursery: trio.Nursery
) -> None:
    await cluster.start(nursery)
    await trio.sleep(3.0)
    shutdown_s = trio.current_time()
    await cluster.instances[0].scheduler.shutdown()
    await harness.wait_until(
        lambda: any(instance.scheduler.is_active for instance in cluster.instances[1:])
    )
    assert trio.current_time() - shutdown_s < 1.0
