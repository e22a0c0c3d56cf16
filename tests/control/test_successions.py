"""Partitions and losses around changes of the scheduler, drawn from a seed."""

from __future__ import annotations

import os
import random
from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay.control import keys, lease
from bronzequay.fakes import tasks
from tests.control.site import STORE
from tests.control.test_chaos import INSTANCES

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay.fakes import executors
    from tests.control.site import Site

EXECUTORS = 8
FAULT_PERIOD_S = 90.0
SILENT_ENTRY_S = 4.5
SEEDS = range(
    int(os.environ.get("SUCCESSIONS_FIRST", "0")), int(os.environ.get("SUCCESSIONS_LAST", "6"))
)


async def remove_silent_entry(site: Site, executor: executors.Executor) -> None:
    """Remove an entry as the store does, unless its executor has written it again."""
    executor.beats = False
    await trio.sleep(SILENT_ENTRY_S)
    if not executor.beats:
        site.kv.delete(f"servers/{executor.name}")


async def inject_partitions(site: Site, rng: random.Random) -> None:
    """Cut the scheduler off together with some executors, from the store and from the others."""
    while True:
        await trio.sleep(rng.uniform(4.0, 14.0))
        leader = site.leader() or "a"
        others = [name for name in INSTANCES if name != leader]
        listed = [one for one in site.world.executors.values() if one.beats and one.is_up]
        apart = rng.sample(listed, rng.randint(0, len(listed)))
        links = {(name, one.address) for name in others for one in apart} | {(leader, STORE)}
        site.network.cut |= links
        for one in apart:
            site.nursery.start_soon(remove_silent_entry, site, one)
        await trio.sleep(rng.uniform(3.0, 25.0))
        site.network.cut -= links
        for one in apart:
            one.beats = True


async def inject_losses(site: Site, rng: random.Random) -> None:
    """Lose some executors for good, with or without the scheduler; others join later."""
    number = EXECUTORS
    while True:
        await trio.sleep(rng.uniform(6.0, 20.0))
        up = [one for one in site.world.executors.values() if one.is_up]
        lost = rng.sample(up, rng.randint(0, len(up)))
        leader = site.leader()
        if leader in site.scopes and rng.random() < 0.5:
            site.kill(leader)
        for one in lost:
            one.crash(keeps_entry=True)
            site.network.hosts.pop(one.address, None)
            site.nursery.start_soon(remove_silent_entry, site, one)
        await trio.sleep(rng.uniform(0.5, 8.0))
        for name in INSTANCES:
            if name not in site.scopes:
                site.start_scheduler(name)
        for _ in lost:
            number += 1
            site.add_executor(number, rack=f"r{number % 3}").beats = True


async def submit_jobs(site: Site, rng: random.Random) -> None:
    while True:
        site.submit(plan=tasks.Plan(run_s=rng.choice([1.0, 8.0, 20.0])))
        await trio.sleep(rng.uniform(0.5, 3.0))


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_work_runs_twice_or_is_lost_when_schedulers_and_workers_are_cut_off_and_lost(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site, seed: int
) -> None:
    """Guards against two schedulers that count different workers, and against endless waits."""
    rng = random.Random(seed)
    monkeypatch.setattr("trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr("trio._core._run._r", random.Random(seed))
    for number in range(EXECUTORS):
        site.add_executor(number, rack=f"r{number % 3}").beats = True
    for name in INSTANCES:
        site.start_scheduler(name)
    with trio.move_on_after(FAULT_PERIOD_S):
        async with trio.open_nursery() as nursery:
            for activity in (inject_partitions, inject_losses, submit_jobs):
                nursery.start_soon(activity, site, random.Random(rng.random()))
    site.network.cut.clear()
    for executor in site.world.executors.values():
        executor.beats = True
    for name in INSTANCES:
        if name not in site.scopes:
            site.start_scheduler(name)
    site.add_executor(99).beats = True
    await trio.sleep(lease.MAX_UNCONFIRMED_S + 120.0)
    site.check_runs()
    states = {site.state(keys.job_id_in(key)) for key in site.kv.keys(keys.STATES)}
    assert states <= {"completed", "failed"}
    assert site.kv.keys(keys.INBOX) == site.kv.keys(keys.PROGRESS) == []
