from __future__ import annotations

import contextlib
import dataclasses
import random
from typing import TYPE_CHECKING

import hypothesis
import trio
import trio.testing
from hypothesis import strategies as st

from bronzequay import ids
from bronzequay.peer import members, spread
from tests.peer import network

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SPREAD_S = 2.0


@dataclasses.dataclass
class Instance:
    """One instance's spread, and the versions that it adopted."""

    spread: spread.Spread
    members: members.Members
    adopted: list[int]


def make_instance(net: network.Network, name: str, seeds: tuple[str, ...]) -> Instance:
    node = network.Node(net, name)
    adopted: list[int] = []
    spreader = spread.Spread(
        node, on_new_version=lambda versioned: adopted.append(versioned.version)
    )
    view = members.Members(
        node,
        instance=ids.InstanceId(name),
        data_centre=ids.DataCentreId("d"),
        seeds=seeds,
        version=lambda: spreader.version,
    )
    spreader.attach_members(view)
    return Instance(spreader, view, adopted)


@contextlib.asynccontextmanager
async def running(net: network.Network, count: int) -> AsyncIterator[list[Instance]]:
    instances = [
        make_instance(net, f"e{number}", ("e0",) if number else ()) for number in range(count)
    ]
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(instance.members.run)
            nursery.start_soon(instance.spread.run)
        await trio.sleep(5.0)
        yield instances
        nursery.cancel_scope.cancel()


async def test_version_offered_at_one_instance_reaches_all_in_time(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with running(network.Network(), 7) as instances:
        instances[3].spread.offer(5, b"five")
        await trio.sleep(SPREAD_S)
        assert [instance.adopted for instance in instances] == [[5]] * 7


async def test_instance_started_later_gets_the_version_from_a_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    net = network.Network()
    async with running(net, 3) as instances, trio.open_nursery() as nursery:
        instances[0].spread.offer(5, b"five")
        await trio.sleep(SPREAD_S)
        late_instance = make_instance(net, "late", ("e2",))
        nursery.start_soon(late_instance.members.run)
        nursery.start_soon(late_instance.spread.run)
        await trio.sleep(SPREAD_S)
        assert late_instance.adopted == [5]
        nursery.cancel_scope.cancel()


async def test_older_version_changes_nothing(autojump_clock: trio.testing.MockClock) -> None:
    async with running(network.Network(), 3) as instances:
        instances[0].spread.offer(5, b"five")
        await trio.sleep(SPREAD_S)
        instances[1].spread.offer(4, b"four")
        await trio.sleep(SPREAD_S)
        assert [instance.adopted for instance in instances] == [[5]] * 3


async def test_version_is_relayed_around_a_cut(autojump_clock: trio.testing.MockClock) -> None:
    net = network.Network()
    async with running(net, 3) as instances:
        net.cut_both("e0", "e1")
        instances[0].spread.offer(5, b"five")
        await trio.sleep(2 * SPREAD_S)
        assert instances[1].adopted == [5]


async def run_random(seed: int) -> None:
    rng = random.Random(seed)
    net = network.Network()
    async with running(net, 4) as instances:
        newest = 0
        for _ in range(15):
            newest = max(newest, version := rng.randint(1, 30))
            rng.choice(instances).spread.offer(version, b"")
            source, target = rng.sample(sorted(net.nodes), 2)
            net.cuts = {(source, target)} if rng.random() < 0.5 else set()
            await trio.sleep(rng.random() * 3)
        net.cuts = set()
        await trio.sleep(20.0)
        for instance in instances:
            assert instance.adopted == sorted(set(instance.adopted))
            assert instance.adopted[-1] == newest


@hypothesis.settings(derandomize=True, max_examples=20, deadline=None)
@hypothesis.given(seed=st.integers(0, 2**32))
def test_versions_only_increase_and_all_instances_reach_the_newest(seed: int) -> None:
    trio.run(run_random, seed, clock=trio.testing.MockClock(autojump_threshold=0))
