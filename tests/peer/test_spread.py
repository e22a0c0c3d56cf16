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

IN_FORCE_S = 2.0


@dataclasses.dataclass
class Instance:
    """One instance's spread, and the versions that it adopted."""

    spread: spread.Spread
    members: members.Members
    adopted: list[int]


def make(net: network.Network, name: str, seeds: tuple[str, ...]) -> Instance:
    node = network.Node(net, name)
    adopted: list[int] = []
    spreading = spread.Spread(node, on_newer=lambda found: adopted.append(found.version))
    view = members.Members(
        node,
        instance=ids.InstanceId(name),
        data_centre=ids.DataCentreId("d"),
        seeds=seeds,
        version=lambda: spreading.version,
    )
    spreading.follow(view)
    return Instance(spreading, view, adopted)


@contextlib.asynccontextmanager
async def running(net: network.Network, count: int) -> AsyncIterator[list[Instance]]:
    made = [make(net, f"e{number}", ("e0",) if number else ()) for number in range(count)]
    async with trio.open_nursery() as nursery:
        for each in made:
            nursery.start_soon(each.members.run)
            nursery.start_soon(each.spread.run)
        await trio.sleep(5.0)
        yield made
        nursery.cancel_scope.cancel()


async def test_version_offered_at_one_instance_reaches_all_in_time(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with running(network.Network(), 7) as made:
        made[3].spread.offer(5, b"five")
        await trio.sleep(IN_FORCE_S)
        assert [each.adopted for each in made] == [[5]] * 7


async def test_instance_started_later_gets_the_version_from_a_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    net = network.Network()
    async with running(net, 3) as made, trio.open_nursery() as nursery:
        made[0].spread.offer(5, b"five")
        await trio.sleep(IN_FORCE_S)
        late = make(net, "late", ("e2",))
        nursery.start_soon(late.members.run)
        nursery.start_soon(late.spread.run)
        await trio.sleep(IN_FORCE_S)
        assert late.adopted == [5]
        nursery.cancel_scope.cancel()


async def test_older_version_changes_nothing(autojump_clock: trio.testing.MockClock) -> None:
    async with running(network.Network(), 3) as made:
        made[0].spread.offer(5, b"five")
        await trio.sleep(IN_FORCE_S)
        made[1].spread.offer(4, b"four")
        await trio.sleep(IN_FORCE_S)
        assert [each.adopted for each in made] == [[5]] * 3


async def test_version_passes_round_a_cut(autojump_clock: trio.testing.MockClock) -> None:
    net = network.Network()
    async with running(net, 3) as made:
        net.cut_both("e0", "e1")
        made[0].spread.offer(5, b"five")
        await trio.sleep(2 * IN_FORCE_S)
        assert made[1].adopted == [5]


async def run_random(seed: int) -> None:
    rng = random.Random(seed)
    net = network.Network()
    async with running(net, 4) as made:
        newest = 0
        for _ in range(15):
            newest = max(newest, version := rng.randint(1, 30))
            rng.choice(made).spread.offer(version, b"")
            one, two = rng.sample(sorted(net.nodes), 2)
            net.cuts = {(one, two)} if rng.random() < 0.5 else set()
            await trio.sleep(rng.random() * 3)
        net.cuts = set()
        await trio.sleep(20.0)
        for each in made:
            assert each.adopted == sorted(set(each.adopted))
            assert each.adopted[-1] == newest


@hypothesis.settings(derandomize=True, max_examples=20, deadline=None)
@hypothesis.given(seed=st.integers(0, 2**32))
def test_versions_only_rise_and_all_end_at_the_newest(seed: int) -> None:
    trio.run(run_random, seed, clock=trio.testing.MockClock(autojump_threshold=0))
