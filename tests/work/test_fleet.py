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
class ListEntry:
    id: str
    address: str
    kind: str = "worker"
    state: str = "live"


class FakeWorkers(client.WorkerClient):
    """Workers that answer description requests unless they are down."""

    def __init__(self) -> None:
        self.down: set[str] = set()
        self.leaving: set[str] = set()
        self.described: list[str] = []

    async def describe(self, address: str) -> client.Description:
        self.described.append(address)
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


class FleetFixture:
    """A fleet with a fake list of instances; records the notified changes."""

    def __init__(self) -> None:
        self.entries = [
            ListEntry("w1", "w1"),
            ListEntry("w2", "w2"),
            ListEntry("e1", "e1", kind="executor"),
        ]
        self.is_down = False
        self.workers = FakeWorkers()
        self.fleet = fleet.Fleet(instances=self.instances, workers=self.workers)
        self.notified: list[tuple[str, bool, bool]] = []
        self.fleet.add_listener(
            lambda known_worker: self.notified.append(
                (known_worker.spec.worker, known_worker.is_leaving, known_worker.is_removed)
            )
        )

    async def instances(self) -> list[ListEntry]:
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise errors.BronzequayError(codes.ResultCode.STORE_UNAVAILABLE, "down")
        return self.entries


@pytest.fixture
def fleet_fixture() -> FleetFixture:
    return FleetFixture()


async def test_each_worker_is_described_once(fleet_fixture: FleetFixture) -> None:
    for _ in range(3):
        await fleet_fixture.fleet.poll()
    assert sorted(fleet_fixture.workers.described) == ["w1", "w2"]
    assert sorted(fleet_fixture.fleet.known_workers) == ["w1", "w2"]


async def test_known_workers_are_kept_in_a_store_outage(fleet_fixture: FleetFixture) -> None:
    await fleet_fixture.fleet.poll()
    fleet_fixture.is_down = True
    await fleet_fixture.fleet.poll()
    assert fleet_fixture.fleet.address(ids.WorkerId("w1")) == "w1"


async def test_a_leaving_worker_is_reported_once_and_may_return(
    fleet_fixture: FleetFixture,
) -> None:
    await fleet_fixture.fleet.poll()
    fleet_fixture.notified.clear()
    fleet_fixture.entries[0].state = "leaving"
    fleet_fixture.workers.leaving.add("w1")
    await fleet_fixture.fleet.poll()
    await fleet_fixture.fleet.poll()
    fleet_fixture.entries[0].state = "live"
    await fleet_fixture.fleet.poll()
    fleet_fixture.workers.leaving.clear()
    await fleet_fixture.fleet.poll()
    assert fleet_fixture.notified == [("w1", True, False), ("w1", False, False)]


async def test_a_worker_is_removed_only_if_unlisted_and_unreachable(
    autojump_clock: testing.MockClock, fleet_fixture: FleetFixture, nursery: trio.Nursery
) -> None:
    nursery.start_soon(fleet_fixture.fleet.run)
    await trio.sleep(1.0)
    fleet_fixture.notified.clear()
    del fleet_fixture.entries[0]
    await trio.sleep(2 * fleet.REMOVE_AFTER_S)
    assert fleet_fixture.notified == []
    fleet_fixture.workers.down.add("w1")
    await trio.sleep(fleet.REMOVE_AFTER_S - 5.0)
    assert fleet_fixture.notified == []
    await trio.sleep(10.0)
    assert fleet_fixture.notified == [("w1", False, True)]
    assert fleet_fixture.fleet.address(ids.WorkerId("w1")) is None


async def test_a_worker_without_description_is_queried_again(fleet_fixture: FleetFixture) -> None:
    fleet_fixture.workers.down.add("w1")
    await fleet_fixture.fleet.poll()
    assert sorted(fleet_fixture.fleet.known_workers) == ["w2"]
    fleet_fixture.workers.down.clear()
    await fleet_fixture.fleet.poll()
    assert sorted(fleet_fixture.fleet.known_workers) == ["w1", "w2"]
