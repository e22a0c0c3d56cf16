"""What a term takes as proof that earlier terms renew no run leases any more."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay.control import lease
from bronzequay.core import model
from bronzequay.fakes import tasks
from tests.control.site import ONE_GPU, STORE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trio.testing import MockClock

    from bronzequay.fakes import executors
    from tests.control.site import Site

RUN_S = 90.0
SETTLED_S = 20.0
"""Time after which no call to an earlier incarnation can matter any more."""
SILENT_ENTRY_S = 4.5
"""Time after which the store removes the entry of a silent executor."""
FINISH_S = 14.0
"""Time within which lost work has to run again."""


async def occupy(site: Site, count: int) -> list[executors.Executor]:
    """Have each of some executors run a task; scheduler a has known them for long."""
    racks = [f"r{number}" for number in range(1, count + 1)]
    fleet = [site.add_executor(number, rack=rack) for number, rack in enumerate(racks, 1)]
    for executor in fleet:
        executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    for rack in racks:
        near = model.Step(need=ONE_GPU, estimate_s=RUN_S, data_rack=rack)
        site.submit(near, plan=tasks.Plan(run_s=RUN_S))
    await site.wait_until(lambda: all(executor.runs for executor in fleet))
    await trio.sleep(SETTLED_S)
    return fleet


async def lose(site: Site, lost: Iterable[executors.Executor], *, listed_s: float) -> None:
    """Cut the power of executors for good; the store removes their entries some time later."""
    gone = list(lost)
    for executor in gone:
        executor.crash(keeps_entry=True)
        site.network.cut.update((name, executor.address) for name in ("a", "b", "c"))
    await trio.sleep(listed_s)
    for executor in gone:
        site.kv.delete(f"servers/{executor.name}")


def running_again(site: Site, lost: list[executors.Executor]) -> bool:
    """Return whether each task that ran on a lost executor has started again."""
    names = {executor.name for executor in lost}
    gone = {task for _, event, name, task, _ in site.world.log if event == "gone" and name in names}
    restarted = {task for task, run in site.events("start") if run > 1}
    return bool(gone) and gone <= restarted


@pytest.mark.parametrize("listed_s", [0.5, 2.1, SILENT_ENTRY_S])
async def test_work_of_half_of_the_workers_lost_beside_a_takeover_runs_again(
    autojump_clock: MockClock, site: Site, listed_s: float
) -> None:
    """Guards against runs that are never given up since the lost count for the majority.

    :param listed_s: time until the lost entries are removed, before, while or after the next term
        reads them
    """
    fleet = await occupy(site, 8)
    site.start_scheduler("b")
    site.kill("a")
    lost_s = trio.current_time()
    await lose(site, fleet[:4], listed_s=listed_s)
    await site.wait_until(lambda: running_again(site, fleet[:4]), timeout_s=FINISH_S)
    assert trio.current_time() - lost_s < FINISH_S
    site.check_runs()


@pytest.mark.parametrize("lost_count", [5, 8])
async def test_work_of_most_workers_runs_again_once_the_earlier_scheduler_has_restarted(
    autojump_clock: MockClock, site: Site, lost_count: int
) -> None:
    """Guards against a wait without end where too few workers are left for a majority."""
    fleet = await occupy(site, 8)
    site.start_scheduler("b")
    site.kill("a")
    lost_s = trio.current_time()
    await lose(site, fleet[:lost_count], listed_s=SILENT_ENTRY_S)
    for number in range(11, 11 + lost_count):
        site.add_executor(number).beats = True
    site.start_scheduler("a")
    await site.wait_until(lambda: running_again(site, fleet[:lost_count]), timeout_s=FINISH_S)
    assert trio.current_time() - lost_s < FINISH_S
    site.check_runs()


async def test_work_of_most_workers_runs_again_although_the_earlier_scheduler_stays_away(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a wait without end for a scheduler that is gone for good."""
    fleet = await occupy(site, 8)
    site.start_scheduler("b")
    site.kill("a")
    await lose(site, fleet[:5], listed_s=SILENT_ENTRY_S)
    longest_s = lease.MAX_UNCONFIRMED_S + FINISH_S
    await site.wait_until(lambda: running_again(site, fleet[:5]), timeout_s=longest_s)
    site.check_runs()


@pytest.mark.parametrize("takes_over", ["after", "before"])
async def test_a_term_counts_the_workers_of_an_earlier_one_that_it_no_longer_finds(
    autojump_clock: MockClock, site: Site, takes_over: str
) -> None:
    """Guards against a second run beside a scheduler that is cut off together with most workers.

    The store has removed their entries when the next term reads it, or removes them after that.
    """
    fleet = await occupy(site, 8)
    apart = fleet[:5]
    site.network.cut.add(("a", STORE))
    site.network.cut.update(("b", executor.address) for executor in apart)
    for executor in apart:
        executor.beats = False
    if takes_over == "before":
        site.start_scheduler("b")
    await trio.sleep(SILENT_ENTRY_S)
    for executor in apart:
        site.kv.delete(f"servers/{executor.name}")
    site.start_scheduler("b")
    await trio.sleep(lease.MAX_UNCONFIRMED_S / 2)
    assert all(executor.runs for executor in apart)
    site.check_runs()
    await site.wait_until(
        lambda: len(site.events("start")) >= len(fleet) + len(apart),
        timeout_s=lease.MAX_UNCONFIRMED_S,
    )
    site.check_runs()


async def test_a_term_does_not_take_entries_that_an_outage_has_removed_for_lost_workers(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a second run where the entries are not yet back as a term begins."""
    fleet = await occupy(site, 8)
    apart = fleet[:5]
    site.network.cut.add(("a", STORE))
    site.network.cut.update(("b", executor.address) for executor in apart)
    for executor in fleet:
        executor.beats = False
        site.kv.delete(f"servers/{executor.name}")
    await trio.sleep(SILENT_ENTRY_S)
    site.start_scheduler("b")
    await site.wait_until(lambda: site.leader() == "b")
    fleet[5].beats = True
    await trio.sleep(2.0)
    for executor in fleet[6:]:
        executor.beats = True
    await trio.sleep(lease.MAX_UNCONFIRMED_S / 2)
    assert all(executor.runs for executor in apart)
    site.check_runs()


async def test_work_of_a_short_term_waits_no_longer_than_that_of_a_long_one(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a wait of 28 s for runs of a term that ended before it knew their worker."""
    fleet = [site.add_executor(number) for number in range(1, 5)]
    for executor in fleet:
        executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(SETTLED_S)
    site.start_scheduler("b")
    site.kill("a")
    await site.wait_until(lambda: site.leader() == "b")
    site.start_scheduler("a")
    site.submit(plan=tasks.Plan(run_s=RUN_S))
    await site.wait_until(lambda: site.events("start"))
    await trio.sleep(1.0)
    site.kill("b")
    lost = [executor for executor in fleet if executor.runs]
    await lose(site, lost, listed_s=SILENT_ENTRY_S)
    site.start_scheduler("b")
    await site.wait_until(lambda: running_again(site, lost), timeout_s=FINISH_S - SILENT_ENTRY_S)
    site.check_runs()
