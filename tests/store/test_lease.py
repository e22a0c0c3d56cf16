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


def holder(store: client.Store, ttl_s: float = TTL_S) -> lease.LeaseHolder:
    return lease.LeaseHolder(store, key=KEY, value=store.instance.encode(), ttl_s=ttl_s)


@contextlib.asynccontextmanager
async def running(*holders: lease.LeaseHolder) -> AsyncIterator[None]:
    async with trio.open_nursery() as nursery:
        for each in holders:
            nursery.start_soon(each.run)
        yield
        nursery.cancel_scope.cancel()


async def test_one_of_two_holds_the_key(
    autojump_clock: trio.testing.MockClock, new_store: Callable[[str], client.Store]
) -> None:
    one, two = holder(new_store("entry-1")), holder(new_store("entry-2"))
    async with running(one, two):
        for _ in range(600):
            await trio.sleep(0.1)
            assert not (one.is_held() and two.is_held())
        assert one.is_held() or two.is_held()


async def test_lease_is_kept_by_renewals(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    one = holder(store)
    async with running(one):
        await one.wait_held()
        for _ in range(200):
            await trio.sleep(0.5)
            assert one.is_held()
    assert stand.calls["POST lease"] <= 1.2 * 100.0 / (TTL_S / 3)


async def test_holder_distrusts_its_lease_before_the_store_gives_it_away(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
    stand: platform.Fake,
) -> None:
    one = holder(new_store("entry-1"))
    async with running(one):
        await one.wait_held()
        stand.set_faults(platform.Faults(down=True))
        while one.is_held():
            await trio.sleep(0.001)
        stand.state.expire()
        assert stand.state.get(KEY) is not None


async def test_holder_frozen_beyond_its_lease_holds_nothing_when_it_comes_back(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
) -> None:
    one, two = holder(new_store("entry-1")), holder(new_store("entry-2"))
    async with running(one):
        await one.wait_held()
        autojump_clock.jump(100.0)
        assert not one.is_held()
        async with running(two):
            await two.wait_held()
            for _ in range(100):
                await trio.sleep(0.05)
                assert not (one.is_held() and two.is_held())


async def test_slow_renewal_counts_from_when_it_was_sent(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    one = holder(store)
    async with running(one):
        await one.wait_held()
        stand.set_faults(platform.Faults(delay_s=1.9))
        for _ in range(4000):
            await trio.sleep(0.005)
            stand.state.expire()
            held = stand.state.get(KEY)
            assert held is not None or not one.is_held()


async def test_lease_is_kept_through_a_store_that_turns_slow(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    one = holder(store)
    async with running(one):
        await one.wait_held()
        stand.set_faults(platform.Faults(delay_s=0.5 * TTL_S))
        for _ in range(300):
            await trio.sleep(0.1)
            assert one.is_held()


async def test_loss_is_told(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    one = holder(store)
    async with running(one):
        await one.wait_held()
        stand.set_faults(platform.Faults(silent=True))
        with trio.fail_after(TTL_S + 0.1):
            await one.wait_lost()
        assert not one.is_held()
        stand.set_faults(platform.Faults())
        with trio.fail_after(30.0):
            await one.wait_held()


async def test_lost_answer_of_the_acquisition_ends_in_one_holder(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
    stand: platform.Fake,
) -> None:
    stand.set_faults(platform.Faults(lose_answers=0.5))
    one, two = holder(new_store("entry-1")), holder(new_store("entry-2"))
    async with running(one, two):
        for _ in range(600):
            await trio.sleep(0.1)
            assert not (one.is_held() and two.is_held())
        stand.set_faults(platform.Faults())
        await trio.sleep(10.0)
        assert one.is_held() or two.is_held()


async def test_hand_over_lets_the_next_one_acquire_at_once(
    autojump_clock: trio.testing.MockClock, new_store: Callable[[str], client.Store]
) -> None:
    one, two = holder(new_store("entry-1"), 60.0), holder(new_store("entry-2"), 60.0)
    async with running(one):
        await one.wait_held()
        async with running(two):
            await trio.sleep(1.0)
            await one.hand_over()
            assert not one.is_held()
            with trio.fail_after(2 * lease.RETRY_S):
                await two.wait_held()
            await trio.sleep(120.0)
            assert two.is_held()
            assert not one.is_held()


async def test_holder_tells_the_revision_of_its_key(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    one = holder(store)
    async with running(one):
        await one.wait_held()
        entry = await store.get(KEY, purpose=client.Purpose.READ)
    assert entry is not None
    assert (entry.value, entry.rev) == (b"entry-1", one.rev)


async def test_key_that_is_gone_is_noticed(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    one = holder(store)
    async with running(one):
        await one.wait_held()
        stand.state.leases.clear()
        with trio.fail_after(TTL_S):
            await one.wait_lost()


def test_ttl_must_leave_room_for_renewals(store: client.Store) -> None:
    with pytest.raises(ValueError, match="ttl_s"):
        holder(store, lease.MIN_TTL_S / 2)
