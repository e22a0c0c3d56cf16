"""Run leases that calls to an earlier incarnation of a worker leave on a later one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay.fakes import tasks

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay.fakes import executors
    from tests.control.site import Site

RUN_S = 40.0
MAX_LEASE_S = 10.0
"""Longest lease that the executors grant."""


def cut(site: Site, executor: executors.Executor) -> None:
    """Cut an executor off from all schedulers and from the store; its calls get no answer."""
    executor.beats = False
    site.network.cut.update((name, executor.address) for name in ("a", "b"))


async def run_one(site: Site) -> executors.Executor:
    """Start a long task on one executor whose clock is far ahead of that of its next life."""
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    site.submit(plan=tasks.Plan(run_s=RUN_S))
    await site.wait_until(lambda: site.events("start"))
    await trio.sleep(20.0)
    return executor


async def restart_under_renewal(
    site: Site, executor: executors.Executor, *, late_s: float = 0.0
) -> None:
    """Restart an executor at once, so that it carries out a renewal meant for its earlier life.

    :param late_s: time from the renewal until it is carried out; 0 if it reaches the next life
    """
    if late_s:
        executor.unanswered_calls["/hold"] = 1
        executor.late_effect_s, executor.late_effect_survives_restart = late_s, True
        await site.wait_until(lambda: not executor.unanswered_calls["/hold"])
    site.crash(executor)
    site.reboot(executor)
    await site.wait_until(lambda: len(site.events("start")) == 2, timeout_s=4.0)


async def check_no_start_before_lapse(site: Site, executor: executors.Executor) -> None:
    """Check that the task of a cut-off executor starts elsewhere, after its lease has ended."""
    await site.wait_until(lambda: len(site.events("start")) == 3, timeout_s=60.0)
    site.check_runs()
    assert not executor.runs


async def take_over(site: Site) -> None:
    """Replace scheduler a by b; the killed instance starts again."""
    site.start_scheduler("b")
    site.kill("a")
    await site.wait_until(lambda: site.leader() == "b")
    site.start_scheduler("a")


async def test_a_fresh_term_counts_a_renewal_that_an_earlier_life_left(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a second run on a worker that restarted just before a takeover."""
    executor = await run_one(site)
    await restart_under_renewal(site, executor)
    await take_over(site)
    await trio.sleep(0.2)
    cut(site, executor)
    site.add_executor(2).beats = True
    await check_no_start_before_lapse(site, executor)


async def test_a_fresh_term_that_never_reached_a_worker_counts_such_a_renewal(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a second run on a worker that restarted and was cut off before a takeover."""
    executor = await run_one(site)
    await restart_under_renewal(site, executor, late_s=4.0)
    for number in (2, 3, 4):
        site.add_executor(number).beats = True
    cut(site, executor)
    await take_over(site)
    await check_no_start_before_lapse(site, executor)
