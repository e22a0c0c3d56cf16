from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import codes, errors, ids
from bronzequay.work import client, fleet

if TYPE_CHECKING:
    from trio import testing


@dataclasses.dataclass
class Line:
    id: str
    address: str
    kind: str = "worker"
    state: str = "live"


class Workers(client.WorkerClient):
    """Workers that answer unless they are down."""

    def __init__(self) -> None:
        self.down: set[str] = set()
        self.leaving: set[str] = set()
        self.asked: list[str] = []

    async def describe(self, address: str) -> client.Description:
        self.asked.append(address)
        await trio.lowlevel.checkpoint()
        if address in self.down:
            raise errors.BronzequayError(codes.ResultCode.WORKER_UNREACHABLE, "down")
        return client.Description(
            worker=ids.WorkerId(address),
            rack=ids.RackId("r1"),
            data_centre=ids.DataCentreId("almacen-a"),
            accelerators=8,
            cpu=32,
            mem_gb=128,
            state="leaving" if address in self.leaving else "live",
        )


class World:
    """A list of instances, and what a fleet tells of it."""

    def __init__(self) -> None:
        self.lines = [Line("w1", "w1"), Line("w2", "w2"), Line("e1", "e1", kind="executor")]
        self.is_down = False
        self.workers = Workers()
        self.fleet = fleet.Fleet(instances=self.instances, workers=self.workers)
        self.told: list[tuple[str, bool, bool]] = []
        self.fleet.listen(
            lambda member: self.told.append((member.spec.worker, member.is_leaving, member.is_gone))
        )

    async def instances(self) -> list[Line]:
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise errors.BronzequayError(codes.ResultCode.STORE_UNAVAILABLE, "down")
        return self.lines


@pytest.fixture
def world() -> World:
    return World()


async def test_each_worker_is_asked_once(world: World) -> None:
    for _ in range(3):
        await world.fleet.poll()
    assert sorted(world.workers.asked) == ["w1", "w2"]
    assert sorted(world.fleet.members) == ["w1", "w2"]


async def test_known_workers_stay_known_in_an_outage(world: World) -> None:
    await world.fleet.poll()
    world.is_down = True
    await world.fleet.poll()
    assert world.fleet.address(ids.WorkerId("w1")) == "w1"


async def test_a_leaving_worker_is_told_once_and_may_come_back(world: World) -> None:
    await world.fleet.poll()
    world.told.clear()
    world.lines[0].state = "leaving"
    world.workers.leaving.add("w1")
    await world.fleet.poll()
    await world.fleet.poll()
    world.lines[0].state = "live"
    await world.fleet.poll()
    world.workers.leaving.clear()
    await world.fleet.poll()
    assert world.told == [("w1", True, False), ("w1", False, False)]


async def test_a_worker_is_gone_only_when_list_and_worker_are_silent(
    autojump_clock: testing.MockClock, world: World, nursery: trio.Nursery
) -> None:
    nursery.start_soon(world.fleet.run)
    await trio.sleep(1.0)
    world.told.clear()
    del world.lines[0]
    await trio.sleep(2 * fleet.GONE_S)
    assert world.told == []
    world.workers.down.add("w1")
    await trio.sleep(fleet.GONE_S - 5.0)
    assert world.told == []
    await trio.sleep(10.0)
    assert world.told == [("w1", False, True)]
    assert world.fleet.address(ids.WorkerId("w1")) is None


async def test_a_worker_that_cannot_be_asked_is_asked_again(world: World) -> None:
    world.workers.down.add("w1")
    await world.fleet.poll()
    assert sorted(world.fleet.members) == ["w2"]
    world.workers.down.clear()
    await world.fleet.poll()
    assert sorted(world.fleet.members) == ["w1", "w2"]
