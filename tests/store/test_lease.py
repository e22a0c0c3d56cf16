from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from bronzequay.fakes import platform
from bronzequay.store import client, lease

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

TTL_S = 3.0
KEY = "leader"


def make_holder(store: client.Store, ttl_s: float = TTL_S) -> lease.LeaseHolder:
    return lease.LeaseHolder(store, key=KEY, value=store.instance.encode(), ttl_s=ttl_s)


@contextlib.asynccontextmanager
async def running(*holders: lease.LeaseHolder) -> AsyncIterator[None]:
    async with trio.open_nursery() as nursery:
        for lease_holder in holders:
            nursery.start_soon(lease_holder.run)
        yield
        nursery.cancel_scope.cancel()


async def test_one_of_two_instances_holds_the_key(
    autojump_clock: trio.testing.MockClock, new_store: Callable[[str], client.Store]
) -> None:
    holder_1, holder_2 = make_holder(new_store("entry-1")), make_holder(new_store("entry-2"))
    async with running(holder_1, holder_2):
        for _ in range(600):
            await trio.sleep(0.1)
            assert not (holder_1.is_held() and holder_2.is_held())
        assert holder_1.is_held() or holder_2.is_held()


async def test_renewals_hold_the_lease(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    holder_1 = make_holder(store)
    async with running(holder_1):
        await holder_1.wait_until_held()
        for _ in range(200):
            await trio.sleep(0.5)
            assert holder_1.is_held()
    assert stand.calls["POST lease"] <= 1.2 * 100.0 / (TTL_S / 3)


async def test_holder_stops_trusting_its_lease_before_the_store_expires_it(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
    stand: platform.Fake,
) -> None:
    holder_1 = make_holder(new_store("entry-1"))
    async with running(holder_1):
        await holder_1.wait_until_held()
        stand.set_faults(platform.Faults(down=True))
        while holder_1.is_held():
            await trio.sleep(0.001)
        stand.state.expire()
        assert stand.state.get(KEY) is not None


async def test_holder_frozen_beyond_its_lease_has_lost_the_key(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
) -> None:
    holder_1, holder_2 = make_holder(new_store("entry-1")), make_holder(new_store("entry-2"))
    async with running(holder_1):
        await holder_1.wait_until_held()
        autojump_clock.jump(100.0)
        assert not holder_1.is_held()
        async with running(holder_2):
            await holder_2.wait_until_held()
            for _ in range(100):
                await trio.sleep(0.05)
                assert not (holder_1.is_held() and holder_2.is_held())


async def test_slow_renewal_counts_from_when_it_was_sent(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    holder_1 = make_holder(store)
    async with running(holder_1):
        await holder_1.wait_until_held()
        stand.set_faults(platform.Faults(delay_s=1.9))
        for _ in range(4000):
            await trio.sleep(0.005)
            stand.state.expire()
            entry = stand.state.get(KEY)
            assert entry is not None or not holder_1.is_held()


async def test_lease_is_held_while_the_store_is_slow(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    holder_1 = make_holder(store)
    async with running(holder_1):
        await holder_1.wait_until_held()
        stand.set_faults(platform.Faults(delay_s=0.5 * TTL_S))
        for _ in range(300):
            await trio.sleep(0.1)
            assert holder_1.is_held()


async def test_lost_lease_is_reported_and_acquired_again(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    holder_1 = make_holder(store)
    async with running(holder_1):
        await holder_1.wait_until_held()
        stand.set_faults(platform.Faults(silent=True))
        with trio.fail_after(TTL_S + 0.1):
            await holder_1.wait_until_lost()
        assert not holder_1.is_held()
        stand.set_faults(platform.Faults())
        with trio.fail_after(30.0):
            await holder_1.wait_until_held()


async def test_lost_answers_of_acquisitions_end_in_a_single_holder(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
    stand: platform.Fake,
) -> None:
    stand.set_faults(platform.Faults(lose_answers=0.5))
    holder_1, holder_2 = make_holder(new_store("entry-1")), make_holder(new_store("entry-2"))
    async with running(holder_1, holder_2):
        for _ in range(600):
            await trio.sleep(0.1)
            assert not (holder_1.is_held() and holder_2.is_held())
        stand.set_faults(platform.Faults())
        await trio.sleep(10.0)
        assert holder_1.is_held() or holder_2.is_held()


async def test_another_instance_acquires_the_key_soon_after_a_hand_over(
    autojump_clock: trio.testing.MockClock, new_store: Callable[[str], client.Store]
) -> None:
    holder_1, holder_2 = (
        make_holder(new_store("entry-1"), 60.0),
        make_holder(new_store("entry-2"), 60.0),
    )
    async with running(holder_1):
        await holder_1.wait_until_held()
        async with running(holder_2):
            await trio.sleep(1.0)
            await holder_1.hand_over()
            assert not holder_1.is_held()
            with trio.fail_after(2 * lease.RETRY_DELAY_S):
                await holder_2.wait_until_held()
            await trio.sleep(120.0)
            assert holder_2.is_held()
            assert not holder_1.is_held()


async def test_holder_has_the_revision_of_its_key(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    holder_1 = make_holder(store)
    async with running(holder_1):
        await holder_1.wait_until_held()
        entry = await store.get(KEY, purpose=client.Purpose.READ)
    assert entry is not None
    assert (entry.value, entry.rev) == (b"entry-1", holder_1.rev)


async def test_loss_of_the_key_in_the_store_is_detected(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    holder_1 = make_holder(store)
    async with running(holder_1):
        await holder_1.wait_until_held()
        stand.state.leases.clear()
        with trio.fail_after(TTL_S):
            await holder_1.wait_until_lost()


def test_ttl_below_the_minimum_is_refused(store: client.Store) -> None:
    with pytest.raises(ValueError, match="ttl_s"):
        make_holder(store, lease.MIN_TTL_S / 2)
