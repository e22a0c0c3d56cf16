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

DETECTION_S = members.SILENCE_PERIODS * members.HEARTBEAT_S + members.HEARTBEAT_S


def make_members(net: network.Network, name: str, seeds: tuple[str, ...] = ()) -> members.Members:
    return members.Members(
        network.Node(net, name),
        instance=ids.InstanceId(name),
        data_centre=ids.DataCentreId("d"),
        seeds=seeds,
    )


def list_entry(name: str, state: str = "live") -> entries.InstanceEntry:
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
    members_by_name = {
        name: make_members(net, name, (names[0],) if name != names[0] else ()) for name in names
    }
    async with trio.open_nursery() as nursery:
        for view in members_by_name.values():
            nursery.start_soon(view.run)
        await trio.sleep(2 * DETECTION_S)
        yield members_by_name
        nursery.cancel_scope.cancel()


async def test_instances_discover_each_other_from_one_seed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with running(network.Network(), 7) as members_by_name:
        for view in members_by_name.values():
            assert list(view.live()) == sorted(members_by_name)
            assert view.address_of(ids.InstanceId("e3")) == "e3"


async def test_killed_instance_is_detected_by_its_broken_connections(
    autojump_clock: trio.testing.MockClock,
) -> None:
    net = network.Network()
    async with running(net, 4) as members_by_name:
        net.kill("e2")
        await trio.sleep(0.1)
        assert all("e2" not in members_by_name[name].live() for name in ("e0", "e1", "e3"))


async def test_silent_instance_is_detected_by_its_missing_heartbeats(
    autojump_clock: trio.testing.MockClock,
) -> None:
    net = network.Network()
    async with running(net, 4) as members_by_name:
        net.down.add("e2")
        await trio.sleep(DETECTION_S)
        assert all("e2" not in members_by_name[name].live() for name in ("e0", "e1", "e3"))
        net.down.clear()
        await trio.sleep(DETECTION_S)
        assert all(
            list(view.live()) == sorted(members_by_name) for view in members_by_name.values()
        )


async def test_both_ends_of_an_asymmetric_cut_reach_the_same_view(
    autojump_clock: trio.testing.MockClock,
) -> None:
    for source, target in (("e0", "e1"), ("e1", "e0")):
        net = network.Network()
        async with running(net, 3) as members_by_name:
            net.cuts.add((source, target))
            await trio.sleep(2 * DETECTION_S)
            views = {"e1" in members_by_name["e0"].live(), "e0" in members_by_name["e1"].live()}
            assert len(views) == 1
            assert "e2" in members_by_name["e0"].live()
            assert list(members_by_name["e2"].live()) == ["e0", "e1", "e2"]


async def test_leaving_is_known_from_heartbeats_before_the_list_shows_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with running(network.Network(), 4) as members_by_name:
        members_by_name["e1"].set_leaving()
        await trio.sleep(1.5 * members.HEARTBEAT_S)
        for view in members_by_name.values():
            assert "e1" not in view.live()
            assert list(view.leaving()) == ["e1"]
        for view in members_by_name.values():
            view.update_from_list(
                [list_entry(name) for name in members_by_name], lambda entry: entry.address
            )
        assert all(list(view.leaving()) == ["e1"] for view in members_by_name.values())


async def test_leaving_is_known_from_the_list_before_heartbeats_show_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with running(network.Network(), 2) as members_by_name:
        members_by_name["e0"].update_from_list(
            [list_entry("e0"), list_entry("e1", "leaving")], lambda entry: entry.address
        )
        assert list(members_by_name["e0"].leaving()) == ["e1"]
        await trio.sleep(DETECTION_S)
        assert list(members_by_name["e0"].leaving()) == ["e1"]


async def test_new_instance_is_live_before_the_list_shows_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with running(network.Network(), 3) as members_by_name:
        for view in members_by_name.values():
            view.update_from_list([list_entry("e0"), list_entry("e1")], lambda entry: entry.address)
        await trio.sleep(DETECTION_S)
        assert "e2" in members_by_name["e0"].live()


async def test_instance_removed_from_the_list_is_gone_only_if_it_is_silent(
    autojump_clock: trio.testing.MockClock,
) -> None:
    net = network.Network()
    async with running(net, 3) as members_by_name:
        view = members_by_name["e0"]
        view.update_from_list(
            [list_entry(name) for name in members_by_name], lambda entry: entry.address
        )
        view.update_from_list([list_entry("e0")], lambda entry: entry.address)
        assert list(view.live()) == ["e0", "e1", "e2"]
        net.down.add("e2")
        await trio.sleep(DETECTION_S)
        assert view.dump() == {"e1": "live", "e2": "gone"}


async def test_restarted_instance_is_no_longer_leaving(
    autojump_clock: trio.testing.MockClock,
) -> None:
    net = network.Network()
    view = make_members(net, "e0")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(view.run)
        async with trio.open_nursery() as first_run:
            first_view = make_members(net, "e1", ("e0",))
            first_run.start_soon(first_view.run)
            await trio.sleep(DETECTION_S)
            first_view.set_leaving()
            await trio.sleep(DETECTION_S)
            assert list(view.leaving()) == ["e1"]
            first_run.cancel_scope.cancel()
        nursery.start_soon(make_members(net, "e1", ("e0",)).run)
        await trio.sleep(DETECTION_S)
        assert (list(view.leaving()), list(view.live())) == ([], ["e0", "e1"])
        nursery.cancel_scope.cancel()


async def test_freeze_of_this_instance_does_not_count_as_silence_of_the_peers(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with running(network.Network(), 3) as members_by_name:
        for _ in range(50):
            autojump_clock.jump(100.0)
            assert list(members_by_name["e0"].live()) == ["e0", "e1", "e2"]
            await trio.sleep(0.1)
            assert list(members_by_name["e0"].live()) == ["e0", "e1", "e2"]


async def test_heartbeat_rate_is_bounded_with_many_instances(
    autojump_clock: trio.testing.MockClock,
) -> None:
    net = network.Network()
    async with running(net, 24):
        net.calls = 0
        await trio.sleep(20.0)
        assert net.calls <= 20.0 * 24 * members.MAX_HEARTBEATS_PER_S
