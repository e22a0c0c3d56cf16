"""Members and spread over real sockets; every wait is for an event, with a wide bound."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import ids
from bronzequay.peer import members, spread
from tests.peer import harness

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.peer import mesh

LONG_S = 30.0


def make(each: mesh.Mesh, seed: str) -> tuple[members.Members, spread.Spread]:
    spreading = spread.Spread(each, on_newer=lambda _found: None)
    view = members.Members(
        each,
        instance=each.instance,
        data_centre=ids.DataCentreId("d"),
        seeds=() if each.address == seed else (seed,),
        version=lambda: spreading.version,
    )
    spreading.follow(view)
    return view, spreading


async def until(is_so: Callable[[], bool]) -> None:
    with trio.fail_after(LONG_S):
        while not is_so():
            await trio.sleep(0.01)


async def test_instances_find_each_other_spread_a_version_and_notice_a_kill() -> None:
    async with harness.meshes(2) as kept, trio.open_nursery() as nursery:
        parts = [make(each, kept[0].address) for each in kept]
        for view, spreading in parts:
            nursery.start_soon(view.run)
            nursery.start_soon(spreading.run)
        async with harness.meshes(1) as (third,), trio.open_nursery() as short:
            third.instance = ids.InstanceId("third")
            view, spreading = make(third, kept[0].address)
            short.start_soon(view.run)
            short.start_soon(spreading.run)
            await until(lambda: all(len(each.live()) == 3 for each, _ in (*parts, (view, None))))
            spreading.offer(7, b"seven")
            await until(lambda: all(each.version == 7 for _, each in parts))
            short.cancel_scope.cancel()
        await until(lambda: all("third" not in each.live() for each, _ in parts))
        nursery.cancel_scope.cancel()
