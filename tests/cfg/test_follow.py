from __future__ import annotations

import pytest
import trio

from bronzequay import ids
from bronzequay.cfg import follow, holder, rollout
from bronzequay.fakes import platform
from bronzequay.store import client, watch
from tests.cfg import test_rollout as steps

IN_FORCE_TARGET_S = 2.0
CUT_WATCH_TARGET_S = 8.0


async def adopted_after_s(store: client.Store, *, watch_cut: bool, stand: platform.Fake) -> float:
    target = holder.Holder(wall_clock=lambda: 0.0)
    watcher = watch.Watch(store, prefix=rollout.HEAD_KEY)
    changes = watcher.subscribe(rollout.HEAD_KEY)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watcher.run)
        nursery.start_soon(follow.follow_watch, store, target, changes)
        nursery.start_soon(follow.follow_poll, store, target)
        await trio.sleep(1.0)
        stand.set_faults(platform.Faults(watch_cut=watch_cut))
        await steps.roll_out(store, await steps.signed(store, 1), 0)
        start = trio.current_time()
        while target.version < 1:
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    assert target.version == ids.BundleVersion(1)
    return trio.current_time() - start


@pytest.mark.parametrize(
    ("watch_cut", "bound_s"), [(False, IN_FORCE_TARGET_S), (True, CUT_WATCH_TARGET_S)]
)
async def test_a_roll_out_is_in_force_in_time_also_when_the_watch_is_cut(
    store: client.Store,
    stand: platform.Fake,
    autojump_clock: trio.testing.MockClock,
    watch_cut: bool,
    bound_s: float,
) -> None:
    assert await adopted_after_s(store, watch_cut=watch_cut, stand=stand) <= bound_s
