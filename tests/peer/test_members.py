from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio
import trio.testing

from bronzequay import ids
from bronzequay.peer import members
from bronzequay.store import entries
from tests.peer import network

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

BOUND_S = members.SILENCE_BEATS * members.BEAT_S + members.BEAT_S


def make(net: network.Network, name: str, seeds: tuple[str, ...] = ()) -> members.Members:
    return members.Members(
        network.Node(net, name),
        instance=ids.InstanceId(name),
        data_centre=ids.DataCentreId("d"),
        seeds=seeds,
    )


def listed(name: str, state: str = "live") -> entries.InstanceEntry:
    return entries.InstanceEntry(
        id=ids.InstanceId(name),
        kind="entry",
        address=name,
        data_centre=ids.DataCentreId("d"),
        state=state,
    )


@contextlib.asynccontextmanager
async def running(net: network.Network, count: int) -> AsyncIterator[dict[str, members.Members]]:
    names = [f"e{number}" for number in range(count)]
    made = {name: make(net, name, (names[0],) if name != names[0] else ()) for name in names}
    async with trio.open_nursery() as nursery:
        for each in made.values():
            nursery.start_soon(each.run)
        await trio.sleep(2 * BOUND_S)
        yield made
        nursery.cancel_scope.cancel()


async def test_all_find_each_other_from_one_seed(autojump_clock: trio.testing.MockClock) -> None:
    async with running(network.Network(), 7) as made:
        for each in made.values():
            assert list(each.live()) == sorted(made)
            assert each.address_of(ids.InstanceId("e3")) == "e3"


async def test_killed_instance_is_noticed_by_its_broken_connections(
    autojump_clock: trio.testing.MockClock,
) -> None:
    net = network.Network()
    async with running(net, 4) as made:
        net.kill("e2")
        await trio.sleep(0.1)
        assert all("e2" not in made[name].live() for name in ("e0", "e1", "e3"))


async def test_silent_instance_is_noticed_by_its_missing_heartbeats(
    autojump_clock: trio.testing.MockClock,
) -> None:
    net = network.Network()
    async with running(net, 4) as made:
        net.down.add("e2")
        await trio.sleep(BOUND_S)
        assert all("e2" not in made[name].live() for name in ("e0", "e1", "e3"))
        net.down.clear()
        await trio.sleep(BOUND_S)
        assert all(list(each.live()) == sorted(made) for each in made.values())


async def test_both_ends_of_an_asymmetric_cut_come_to_one_view(
    autojump_clock: trio.testing.MockClock,
) -> None:
    for source, target in (("e0", "e1"), ("e1", "e0")):
        net = network.Network()
        async with running(net, 3) as made:
            net.cuts.add((source, target))
            await trio.sleep(2 * BOUND_S)
            views = {"e1" in made["e0"].live(), "e0" in made["e1"].live()}
            assert len(views) == 1
            assert "e2" in made["e0"].live()
            assert list(made["e2"].live()) == ["e0", "e1", "e2"]


async def test_own_word_on_leaving_reaches_all_before_the_list(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with running(network.Network(), 4) as made:
        made["e1"].set_leaving()
        await trio.sleep(1.5 * members.BEAT_S)
        for each in made.values():
            assert "e1" not in each.live()
            assert list(each.leaving()) == ["e1"]
        for each in made.values():
            each.on_list([listed(name) for name in made], lambda entry: entry.address)
        assert all(list(each.leaving()) == ["e1"] for each in made.values())


async def test_list_tells_of_leaving_first(autojump_clock: trio.testing.MockClock) -> None:
    async with running(network.Network(), 2) as made:
        made["e0"].on_list([listed("e0"), listed("e1", "leaving")], lambda entry: entry.address)
        assert list(made["e0"].leaving()) == ["e1"]
        await trio.sleep(BOUND_S)
        assert list(made["e0"].leaving()) == ["e1"]


async def test_new_instance_is_live_before_the_list_shows_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with running(network.Network(), 3) as made:
        for each in made.values():
            each.on_list([listed("e0"), listed("e1")], lambda entry: entry.address)
        await trio.sleep(BOUND_S)
        assert "e2" in made["e0"].live()


async def test_instance_off_the_list_that_answers_stays_and_a_silent_one_is_gone(
    autojump_clock: trio.testing.MockClock,
) -> None:
    net = network.Network()
    async with running(net, 3) as made:
        one = made["e0"]
        one.on_list([listed(name) for name in made], lambda entry: entry.address)
        one.on_list([listed("e0")], lambda entry: entry.address)
        assert list(one.live()) == ["e0", "e1", "e2"]
        net.down.add("e2")
        await trio.sleep(BOUND_S)
        assert one.dump() == {"e1": "live", "e2": "gone"}


async def test_restarted_instance_is_no_longer_leaving(
    autojump_clock: trio.testing.MockClock,
) -> None:
    net = network.Network()
    one = make(net, "e0")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(one.run)
        async with trio.open_nursery() as first_run:
            old = make(net, "e1", ("e0",))
            first_run.start_soon(old.run)
            await trio.sleep(BOUND_S)
            old.set_leaving()
            await trio.sleep(BOUND_S)
            assert list(one.leaving()) == ["e1"]
            first_run.cancel_scope.cancel()
        nursery.start_soon(make(net, "e1", ("e0",)).run)
        await trio.sleep(BOUND_S)
        assert (list(one.leaving()), list(one.live())) == ([], ["e0", "e1"])
        nursery.cancel_scope.cancel()


async def test_own_freeze_is_not_taken_for_the_others_silence(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with running(network.Network(), 3) as made:
        for _ in range(50):
            autojump_clock.jump(100.0)
            assert list(made["e0"].live()) == ["e0", "e1", "e2"]
            await trio.sleep(0.1)
            assert list(made["e0"].live()) == ["e0", "e1", "e2"]


async def test_heartbeats_stay_bounded_as_instances_grow(
    autojump_clock: trio.testing.MockClock,
) -> None:
    net = network.Network()
    async with running(net, 24):
        net.calls = 0
        await trio.sleep(20.0)
        assert net.calls <= 20.0 * 24 * members.MAX_BEATS_PER_S
