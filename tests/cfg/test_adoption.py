from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import ids
from bronzequay.cfg import adoption
from bronzequay.fakes import platform

if TYPE_CHECKING:
    from bronzequay.store import client

INSTANCE = ids.InstanceId("e1")


async def stored_versions(store: client.Store) -> list[int]:
    by_instance = await adoption.read_all(store)
    return [entry.version for item in by_instance for entry in item.adoptions]


async def test_adoptions_survive_a_replacement_of_the_instance(
    store: client.Store, autojump_clock: trio.testing.MockClock
) -> None:
    for version in (1, 2):
        log = adoption.AdoptionLog(store=store, instance=INSTANCE, wall_clock=lambda: 5.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(log.run)
            log.record(ids.BundleVersion(version))
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
    assert await stored_versions(store) == [1, 2]


async def test_adoptions_during_an_outage_are_written_after_it(
    store: client.Store, stand: platform.Stand, autojump_clock: trio.testing.MockClock
) -> None:
    log = adoption.AdoptionLog(store=store, instance=INSTANCE, wall_clock=trio.current_time)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        stand.set_faults(platform.Faults(down=True))
        for version in (1, 2, 3):
            log.record(ids.BundleVersion(version))
            await trio.sleep(20.0)
        stand.set_faults(platform.Faults())
        await trio.sleep(60.0)
        nursery.cancel_scope.cancel()
    assert await stored_versions(store) == [1, 2, 3]


async def test_only_the_latest_adoptions_are_stored(
    store: client.Store, autojump_clock: trio.testing.MockClock
) -> None:
    log = adoption.AdoptionLog(store=store, instance=INSTANCE, wall_clock=lambda: 5.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        for version in range(adoption.MAX_ADOPTIONS + 20):
            log.record(ids.BundleVersion(version))
            if version % 50 == 0:
                await trio.sleep(1.0)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert await stored_versions(store) == list(range(20, adoption.MAX_ADOPTIONS + 20))
