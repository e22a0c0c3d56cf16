"""Workers that are lost for good beside a change of the scheduler, and those that replace them."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from soak.harness import Harness
    from soak.plan import Fault

SHARES = (0.5, 0.75, 1.0)
"""Shares of the workers that are lost; half of them are the fewest that leave no majority."""
SILENT_ENTRY_S = 4.5
"""Time after which the store removes the entry of a silent worker."""
LOST_S = (-2.0, 3.0)
"""When the workers are lost, from the end of the scheduler; another one takes over after 2 s."""
REPLACED_S = (6.0, 10.0)
"""Time from the loss until other workers join."""
MAX_S = LOST_S[1] - LOST_S[0] + REPLACED_S[1]


async def inject(site: Harness, fault: Fault) -> None:
    """Kill or cut off the scheduler and lose a share of the workers before or after that."""
    rng = random.Random(fault.selector)
    site.faults_until_s = max(site.faults_until_s, trio.current_time() + MAX_S)
    site.mark_all_disturbed()
    up = [executor for executor in site.world.executors.values() if executor.is_up]
    lost = rng.sample(up, round(rng.choice(SHARES) * len(up)))
    lost_s = rng.uniform(*LOST_S)
    async with trio.open_nursery() as nursery:
        ended_s = trio.current_time() - LOST_S[0]
        nursery.start_soon(_lose, site, [executor.name for executor in lost], ended_s + lost_s, rng)
        await trio.sleep_until(ended_s)
        leader = site.leader()
        if leader is not None and leader.is_running:
            await rng.choice([site.kill, site.cut_from_store])(leader, fault)
    site.mark_all_disturbed()


async def _lose(site: Harness, names: list[str], at_s: float, rng: random.Random) -> None:
    await trio.sleep_until(at_s)
    lost = [site.world.executors[name] for name in names if name in site.world.executors]
    # A worker that has crashed meanwhile comes back.
    lost = [executor for executor in lost if executor.is_up]
    for executor in lost:
        executor.crash(keeps_entry=True)
        site.worker_link(executor.name).reset()
    await trio.sleep(SILENT_ENTRY_S)
    for executor in lost:
        if not executor.is_up:
            site.kv.delete(f"servers/{executor.name}")
    await trio.sleep(rng.uniform(*REPLACED_S) - SILENT_ENTRY_S)
    for executor in lost:
        await site.replace_worker(executor)


__all__ = ["inject"]
