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
LONG = {"actual_s": 1e6}


class World:
    """One worker and a keeper of it."""

    def __init__(self) -> None:
        self.fakes = harness.Fleet(workers=1)
        transport = harness.in_process(self.fakes.app)
        self.http = httpx.AsyncClient(transport=transport)
        workers = client.WorkerClient(http=self.http)
        gate = memory.Gate()
        store = memory.StoreClient(self.fakes.store, gate)
        self.fleet = fleet.Fleet(instances=store.instances, workers=workers)
        self.is_shared = True
        self.silences = 0
        self.refused: Collection[ids.TaskId] = ()
        self.keeper = keeper.Keeper(
            fleet=self.fleet,
            workers=workers,
            is_assigned=lambda _worker: self.is_shared,
            on_listing=self.on_listing,
            on_unreachable=self.on_unreachable,
        )

    async def on_listing(
        self, _worker: ids.WorkerId, _tasks: tuple[client.Status, ...]
    ) -> Collection[ids.TaskId]:
        await trio.lowlevel.checkpoint()
        return self.refused

    async def on_unreachable(self, _worker: ids.WorkerId) -> None:
        await trio.lowlevel.checkpoint()
        self.silences += 1

    async def start(self, nursery: trio.Nursery, *tasks: str) -> None:
        await self.fleet.poll()
        nursery.start_soon(self.keeper.run)
        starts: list[dict[str, Any]] = [
            {"task": task, "attempt": 1, "epoch": 1, "ttl_s": keeper.TASK_TTL_S, "payload": LONG}
            for task in tasks
        ]
        await self.http.post(f"{harness.BASE}/w/w0/v1/tasks", json={"tasks": starts})

    async def states(self) -> list[str]:
        await self.fakes.log()
        return [task.state.value for task in self.fakes.tasks("w0").values()]


@pytest.fixture
def world() -> World:
    return World()


async def test_a_lease_is_kept_as_long_as_the_keeper_runs(
    autojump_clock: testing.MockClock, world: World, nursery: trio.Nursery
) -> None:
    await world.start(nursery, "j.1.0")
    await trio.sleep(10 * keeper.TASK_TTL_S)
    assert await world.states() == ["running"]
    nursery.cancel_scope.cancel()


async def test_a_task_that_is_withheld_lapses_and_the_others_go_on(
    autojump_clock: testing.MockClock, world: World, nursery: trio.Nursery
) -> None:
    await world.start(nursery, "j.1.0", "k.1.0", "l.1.0")
    await trio.sleep(10.0)
    world.keeper.withhold_renewals([ids.TaskId("j.1.0")])
    world.refused = [ids.TaskId("k.1.0")]
    await trio.sleep(2 * keeper.TASK_TTL_S)
    assert await world.states() == ["lapsed", "lapsed", "running"]


async def test_a_worker_outside_the_share_is_left_alone(
    autojump_clock: testing.MockClock, world: World, nursery: trio.Nursery
) -> None:
    world.is_shared = False
    await world.start(nursery, "j.1.0")
    await trio.sleep(keeper.TASK_TTL_S + 1.0)
    assert await world.states() == ["lapsed"]
    assert world.keeper.links == {}


async def test_after_silence_no_lease_is_renewed_before_an_answer(
    autojump_clock: testing.MockClock, world: World, nursery: trio.Nursery
) -> None:
    await world.start(nursery, "j.1.0")
    await trio.sleep(5.0)
    world.fakes.fake_workers[W0].faults = fake_worker.Faults(lose_answers=1.0)
    await trio.sleep(3 * keeper.TASK_TTL_S)
    assert await world.states() == ["lapsed"]
    assert world.silences > 10


async def test_a_short_silence_costs_no_lease(
    autojump_clock: testing.MockClock, world: World, nursery: trio.Nursery
) -> None:
    await world.start(nursery, "j.1.0")
    await trio.sleep(5.0)
    world.fakes.fake_workers[W0].faults = fake_worker.Faults(silent=True)
    await trio.sleep(keeper.TASK_TTL_S / 2)
    world.fakes.fake_workers[W0].faults = fake_worker.Faults()
    await trio.sleep(5 * keeper.TASK_TTL_S)
    assert await world.states() == ["running"]
