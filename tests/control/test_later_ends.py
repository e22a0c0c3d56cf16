"""Ends of runs under calls that a later life of their worker carries out."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay.fakes import tasks
from soak import invariants
from tests.control import test_leases

if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.control.site import Site

LATE_S = 8.0


@pytest.mark.parametrize("is_cut", [False, True])
async def test_a_repeated_start_is_not_carried_out_after_the_end_of_its_run_is_noted(
    autojump_clock: MockClock, site: Site, *, is_cut: bool
) -> None:
    """Guards against a run by the next life after its end, when its first start had no answer."""
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(5.0)
    executor.unanswered_calls["/run-start"] = 1
    executor.late_effect_s, executor.late_effect_survives_restart = LATE_S, True
    site.submit(plan=tasks.Plan(run_s=0.5))
    await site.wait_until(lambda: site.events("done"))
    await trio.sleep(1.0)
    site.crash(executor)
    site.reboot(executor)
    if is_cut:
        test_leases.cut(site, executor)
    await trio.sleep(2 * LATE_S)
    site.check_runs()


@pytest.mark.parametrize("is_cut", [False, True])
async def test_an_acknowledgement_to_a_former_life_drops_no_end_of_the_next(
    autojump_clock: MockClock, site: Site, *, is_cut: bool
) -> None:
    """Guards against a second run of a task whose end was acknowledged before it was read."""
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    for _ in range(3):
        await site.wait_for(site.submit(plan=tasks.Plan(run_s=0.3)), "completed")
    await trio.sleep(3.0)
    executor.unanswered_calls["/hold"] = 1
    executor.late_effect_s, executor.late_effect_survives_restart = LATE_S, True
    await site.wait_until(lambda: not executor.unanswered_calls["/hold"])
    lost_s = trio.current_time()
    site.crash(executor)
    site.reboot(executor)
    await trio.sleep(3.5)
    job = site.submit(plan=tasks.Plan(run_s=3.0))
    await site.wait_until(lambda: executor.runs)
    await trio.sleep_until(lost_s + LATE_S - 2.5)
    if is_cut:
        test_leases.cut(site, executor)
    await trio.sleep_until(lost_s + LATE_S + 0.5)
    site.network.cut.clear()
    executor.beats = True
    await site.wait_for(job, "completed", timeout_s=20.0)
    site.check_runs()


@pytest.mark.parametrize("takes_over", [False, True])
async def test_the_end_of_a_late_run_on_the_next_life_counts(
    autojump_clock: MockClock, site: Site, *, takes_over: bool
) -> None:
    """Guards against a second run after the next life's end as done is acknowledged as a stray."""
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(5.0)
    executor.unanswered_calls["/run-start"] = 1
    executor.late_effect_s, executor.late_effect_survives_restart = 0.5, True
    job = site.submit(plan=tasks.Plan(run_s=0.3))
    await site.wait_until(lambda: not executor.unanswered_calls["/run-start"], timeout_s=3.0)
    site.crash(executor)
    site.reboot(executor)
    if takes_over:
        await test_leases.take_over(site)
    await site.wait_for(job, "completed", timeout_s=40.0)
    site.check_runs()


@pytest.mark.parametrize("late_s", [0.0, 2.5])
async def test_a_call_of_the_former_session_acknowledges_no_end_of_the_next_life(
    autojump_clock: MockClock, site: Site, late_s: float
) -> None:
    """Guards against a second run of a task that the next life has run before its first listing.

    :param late_s: delay of a renewal sent to the former life; 0 for the call that finds the next
    """
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    for _ in range(3):
        await site.wait_for(site.submit(plan=tasks.Plan(run_s=0.3)), "completed")
    await trio.sleep(3.0)
    if late_s:
        executor.unanswered_calls["/hold"] = 1
        executor.late_effect_s, executor.late_effect_survives_restart = late_s, True
    await site.wait_until(lambda: not executor.unanswered_calls.get("/hold"))
    executor.beats = False
    former = executor.entry(born_ms=executor.born_ms)
    executor.clock_start_ms = executor.clock_ms
    site.crash(executor)
    # The next life's entry does not arrive.
    site.kv.put(f"servers/{executor.name}", former)
    executor.boot()
    site.network.hosts[executor.address] = executor.handle
    job = site.submit(plan=tasks.Plan(run_s=0.3))
    await site.wait_until(lambda: len(site.events("done")) == 4)
    if late_s:
        # The renewal takes effect before the session reaches the next life again.
        test_leases.cut(site, executor)
    await trio.sleep(late_s + 0.5)
    site.network.cut.clear()
    executor.list_entry()
    executor.beats = True
    await site.wait_for(job, "completed", timeout_s=20.0)
    site.check_runs()


@pytest.mark.parametrize("run_s", [40.0, 3.9])
async def test_a_listed_run_of_an_earlier_start_is_not_passed_over(
    autojump_clock: MockClock, site: Site, run_s: float
) -> None:
    """Guards against a second run beside, or after, one by a start that an earlier life had barred.

    The first answer of the life that carries out the start shows the run, as running or as done.
    """
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(20.0)
    executor.unanswered_calls["/run-start"] = 1
    executor.late_effect_s, executor.late_effect_survives_restart = 5.0, True
    site.submit(plan=tasks.Plan(run_s=run_s))
    await site.wait_until(lambda: not executor.unanswered_calls["/run-start"], timeout_s=3.0)
    lost_s = trio.current_time()
    site.crash(executor)
    site.reboot(executor)
    await site.wait_until(lambda: site.events("start"), timeout_s=4.0)
    site.add_executor(2).beats = True
    await trio.sleep_until(lost_s + 4.0)
    site.crash(executor)
    site.reboot(executor)
    test_leases.cut(site, executor)
    await trio.sleep_until(lost_s + 9.0)
    assert [run for _, run in site.events("start")] == [2, 1]
    site.network.cut.clear()
    executor.beats = True
    await trio.sleep(6.0)
    # The number of a run that an executor begins late is not the scheduler's choice.
    breaches = invariants.RunChecker(site.world).check()
    assert [breach for breach in breaches if not breach.startswith("run number")] == []
