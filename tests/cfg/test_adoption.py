from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import ids
from bronzequay.cfg import adoption
from bronzequay.fakes import platform

if TYPE_CHECKING:
    from bronzequay.store import client

ONE = ids.InstanceId("e1")


async def kept(store: client.Store) -> list[int]:
    found = await adoption.read_all(store)
    return [entry.version for item in found for entry in item.adoptions]


async def test_adoptions_are_kept_across_a_replacement_of_the_instance(
    store: client.Store, autojump_clock: trio.testing.MockClock
) -> None:
    for version in (1, 2):
        log = adoption.Log(store=store, instance=ONE, wall_clock=lambda: 5.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(log.run)
            log.note(ids.BundleVersion(version))
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
    assert await kept(store) == [1, 2]


async def test_adoptions_of_an_outage_are_written_after_it(
    store: client.Store, stand: platform.Fake, autojump_clock: trio.testing.MockClock
) -> None:
    log = adoption.Log(store=store, instance=ONE, wall_clock=trio.current_time)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        stand.set_faults(platform.Faults(down=True))
        for version in (1, 2, 3):
            log.note(ids.BundleVersion(version))
            await trio.sleep(20.0)
        stand.set_faults(platform.Faults())
        await trio.sleep(60.0)
        nursery.cancel_scope.cancel()
    assert await kept(store) == [1, 2, 3]


async def test_no_more_than_the_latest_adoptions_are_kept(
    store: client.Store, autojump_clock: trio.testing.MockClock
) -> None:
    log = adoption.Log(store=store, instance=ONE, wall_clock=lambda: 5.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        for version in range(adoption.KEPT + 20):
            log.note(ids.BundleVersion(version))
            if version % 50 == 0:
                await trio.sleep(1.0)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert await kept(store) == list(range(20, adoption.KEPT + 20))
