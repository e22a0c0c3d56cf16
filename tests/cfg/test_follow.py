from __future__ import annotations

import pytest
import trio

from bronzequay import ids
from bronzequay.cfg import follow, holder, rollout
from bronzequay.fakes import platform
from bronzequay.store import client, watch
from tests.cfg import test_rollout as rollout_steps

ADOPTION_TARGET_S = 2.0
CUT_WATCH_TARGET_S = 8.0


async def measure_adoption_s(
    store: client.Store, *, watch_cut: bool, stand: platform.Stand
) -> float:
    bundle_holder = holder.Holder(wall_clock=lambda: 0.0)
    watcher = watch.Watch(store, prefix=rollout.HEAD_KEY)
    changes = watcher.subscribe(rollout.HEAD_KEY)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watcher.run)
        nursery.start_soon(follow.follow_watch, store, bundle_holder, changes)
        nursery.start_soon(follow.follow_poll, store, bundle_holder)
        await trio.sleep(1.0)
        stand.set_faults(platform.Faults(watch_cut=watch_cut))
        await rollout_steps.roll_out(store, await rollout_steps.submit_signed_draft(store, 1), 0)
        rolled_out_s = trio.current_time()
        while bundle_holder.version < 1:
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    assert bundle_holder.version == ids.BundleVersion(1)
    return trio.current_time() - rolled_out_s


@pytest.mark.parametrize(
    ("watch_cut", "limit_s"), [(False, ADOPTION_TARGET_S), (True, CUT_WATCH_TARGET_S)]
)
async def test_a_roll_out_is_adopted_in_time_even_when_the_watch_is_cut(
    store: client.Store,
    stand: platform.Stand,
    autojump_clock: trio.testing.MockClock,
    watch_cut: bool,
    limit_s: float,
) -> None:
    assert await measure_adoption_s(store, watch_cut=watch_cut, stand=stand) <= limit_s
