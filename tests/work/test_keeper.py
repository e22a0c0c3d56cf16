from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpx
import pytest
import trio

from bronzequay import ids
from bronzequay.fakes import worker as fake_worker
from bronzequay.work import client, fleet, keeper
from tests.sched import harness, memory

if TYPE_CHECKING:
    from collections.abc import Collection

    from trio import testing

W0 = ids.WorkerId("w0")
LONG_PAYLOAD = {"actual_s": 1e6}


class KeeperFixture:
    """One fake worker and a keeper that renews its leases."""

    def __init__(self) -> None:
        self.fake_fleet = harness.Fleet(workers=1)
        transport = harness.in_process(self.fake_fleet.app)
        self.http = httpx.AsyncClient(transport=transport)
        workers = client.WorkerClient(http=self.http)
        gate = memory.Gate()
        store = memory.StoreClient(self.fake_fleet.store, gate)
        self.fleet = fleet.Fleet(instances=store.instances, workers=workers)
        self.is_assigned = True
        self.unreachable_calls = 0
        self.withheld: Collection[ids.TaskId] = ()
        self.keeper = keeper.LeaseKeeper(
            fleet=self.fleet,
            workers=workers,
            is_assigned=lambda _worker: self.is_assigned,
            on_listing=self.on_listing,
            on_unreachable=self.on_unreachable,
        )

    async def on_listing(
        self, _worker: ids.WorkerId, _tasks: tuple[client.Status, ...]
    ) -> Collection[ids.TaskId]:
        await trio.lowlevel.checkpoint()
        return self.withheld

    async def on_unreachable(self, _worker: ids.WorkerId) -> None:
        await trio.lowlevel.checkpoint()
        self.unreachable_calls += 1

    async def start(self, nursery: trio.Nursery, *tasks: str) -> None:
        await self.fleet.poll()
        nursery.start_soon(self.keeper.run)
        starts: list[dict[str, Any]] = [
            {
                "task": task,
                "attempt": 1,
                "epoch": 1,
                "ttl_s": keeper.TASK_TTL_S,
                "payload": LONG_PAYLOAD,
            }
            for task in tasks
        ]
        await self.http.post(f"{harness.BASE}/w/w0/v1/tasks", json={"tasks": starts})

    async def states(self) -> list[str]:
        await self.fake_fleet.log()
        return [task.state.value for task in self.fake_fleet.tasks("w0").values()]


@pytest.fixture
def keeper_fixture() -> KeeperFixture:
    return KeeperFixture()


async def test_a_lease_is_renewed_as_long_as_the_keeper_runs(
    autojump_clock: testing.MockClock, keeper_fixture: KeeperFixture, nursery: trio.Nursery
) -> None:
    await keeper_fixture.start(nursery, "j.1.0")
    await trio.sleep(10 * keeper.TASK_TTL_S)
    assert await keeper_fixture.states() == ["running"]
    nursery.cancel_scope.cancel()


async def test_withheld_tasks_lapse_and_the_others_continue(
    autojump_clock: testing.MockClock, keeper_fixture: KeeperFixture, nursery: trio.Nursery
) -> None:
    await keeper_fixture.start(nursery, "j.1.0", "k.1.0", "l.1.0")
    await trio.sleep(10.0)
    keeper_fixture.keeper.withhold_renewals([ids.TaskId("j.1.0")])
    keeper_fixture.withheld = [ids.TaskId("k.1.0")]
    await trio.sleep(2 * keeper.TASK_TTL_S)
    assert await keeper_fixture.states() == ["lapsed", "lapsed", "running"]


async def test_an_unassigned_worker_is_not_renewed(
    autojump_clock: testing.MockClock, keeper_fixture: KeeperFixture, nursery: trio.Nursery
) -> None:
    keeper_fixture.is_assigned = False
    await keeper_fixture.start(nursery, "j.1.0")
    await trio.sleep(keeper.TASK_TTL_S + 1.0)
    assert await keeper_fixture.states() == ["lapsed"]
    assert keeper_fixture.keeper.records == {}


async def test_an_unresponsive_worker_is_not_renewed_before_it_answers(
    autojump_clock: testing.MockClock, keeper_fixture: KeeperFixture, nursery: trio.Nursery
) -> None:
    await keeper_fixture.start(nursery, "j.1.0")
    await trio.sleep(5.0)
    keeper_fixture.fake_fleet.fake_workers[W0].faults = fake_worker.Faults(lose_answers=1.0)
    await trio.sleep(3 * keeper.TASK_TTL_S)
    assert await keeper_fixture.states() == ["lapsed"]
    assert keeper_fixture.unreachable_calls > 10


async def test_a_short_outage_of_a_worker_loses_no_lease(
    autojump_clock: testing.MockClock, keeper_fixture: KeeperFixture, nursery: trio.Nursery
) -> None:
    await keeper_fixture.start(nursery, "j.1.0")
    await trio.sleep(5.0)
    keeper_fixture.fake_fleet.fake_workers[W0].faults = fake_worker.Faults(silent=True)
    await trio.sleep(keeper.TASK_TTL_S / 2)
    keeper_fixture.fake_fleet.fake_workers[W0].faults = fake_worker.Faults()
    await trio.sleep(5 * keeper.TASK_TTL_S)
    assert await keeper_fixture.states() == ["running"]
