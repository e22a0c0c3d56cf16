"""Membership and spread over real sockets; each wait is for an event, with a long timeout."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import ids
from bronzequay.peer import members, spread
from tests.peer import harness

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.peer import mesh

TIMEOUT_S = 30.0


def make_instance(mesh_node: mesh.Mesh, seed: str) -> tuple[members.Members, spread.Spread]:
    spreader = spread.Spread(mesh_node, on_new_version=lambda _versioned: None)
    view = members.Members(
        mesh_node,
        instance=mesh_node.instance,
        data_centre=ids.DataCentreId("d"),
        seeds=() if mesh_node.address == seed else (seed,),
        version=lambda: spreader.version,
    )
    spreader.attach_members(view)
    return view, spreader


async def wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(TIMEOUT_S):
        while not condition():
            await trio.sleep(0.01)


async def test_instances_discover_each_other_spread_a_version_and_detect_a_kill() -> None:
    async with harness.meshes(2) as mesh_list, trio.open_nursery() as nursery:
        instances = [make_instance(mesh_node, mesh_list[0].address) for mesh_node in mesh_list]
        for view, spreader in instances:
            nursery.start_soon(view.run)
            nursery.start_soon(spreader.run)
        async with harness.meshes(1) as (third,), trio.open_nursery() as third_nursery:
            third.instance = ids.InstanceId("third")
            view, spreader = make_instance(third, mesh_list[0].address)
            third_nursery.start_soon(view.run)
            third_nursery.start_soon(spreader.run)
            await wait_until(
                lambda: all(
                    len(member_view.live()) == 3 for member_view, _ in (*instances, (view, None))
                )
            )
            spreader.offer(7, b"seven")
            await wait_until(lambda: all(other.version == 7 for _, other in instances))
            third_nursery.cancel_scope.cancel()
        await wait_until(
            lambda: all("third" not in member_view.live() for member_view, _ in instances)
        )
        nursery.cancel_scope.cancel()
