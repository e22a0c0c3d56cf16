"""Beliefs about one life of a worker, or of an earlier term, that are relied on for another."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay.core import model
from bronzequay.fakes import tasks
from soak import invariants
from tests.control.site import EIGHT_GPUS, ONE_GPU

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay.fakes import executors
    from tests.control.site import Site

RUN_S = 40.0


def cut(site: Site, executor: executors.Executor) -> None:
    """Cut an executor off from all schedulers and from the store; its calls get no answer."""
    executor.beats = False
    site.network.cut.update((name, executor.address) for name in ("a", "b"))


def rejoin(site: Site, executor: executors.Executor) -> None:
    """End the cut of an executor."""
    executor.beats = True
    site.network.cut -= {(name, executor.address) for name in ("a", "b")}


async def delay_next(site: Site, executor: executors.Executor, path: str, late_s: float) -> None:
    """Have the next call to a path go unanswered; a later life may carry it out."""
    executor.late_effect_s, executor.late_effect_survives_restart = late_s, True
    executor.unanswered_calls[path] = 1
    await site.wait_until(lambda: not executor.unanswered_calls[path])


async def take_over(site: Site) -> None:
    """Replace scheduler a by b; the killed instance starts again."""
    site.start_scheduler("b")
    site.kill("a")
    await site.wait_until(lambda: site.leader() == "b")
    site.start_scheduler("a")


async def test_an_acknowledgement_for_an_earlier_life_forgets_no_end_of_the_next(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a second run after a late renewal has acknowledged an end that nobody saw."""
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    first = site.submit(plan=tasks.Plan(run_s=0.5))
    await site.wait_for(first, "completed")
    await trio.sleep(2.0)
    await delay_next(site, executor, "/hold", 4.0)
    site.crash(executor)
    site.reboot(executor)
    await trio.sleep(1.0)
    job = site.submit(plan=tasks.Plan(run_s=1.0))
    await site.wait_until(lambda: len(site.events("start")) == 2)
    cut(site, executor)
    await trio.sleep(3.0)
    assert len(site.events("done")) == 2
    rejoin(site, executor)
    await site.wait_for(job, "completed")
    assert invariants.RunChecker(site.world).check() == []


async def test_an_unlisted_later_life_may_run_an_unanswered_start(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a second run beside one on a later life that the store does not list."""
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(20.0)
    site.submit(plan=tasks.Plan(run_s=RUN_S))
    await delay_next(site, executor, "/run-start", 12.0)
    executor.beats = False
    site.crash(executor)
    executor.boot()
    site.network.hosts[executor.address] = executor.handle
    site.add_executor(2).beats = True
    await site.wait_until(lambda: len(site.events("start")) == 2)
    assert invariants.RunChecker(site.world).check() == []


async def test_a_start_of_an_earlier_term_may_run_on_a_life_that_was_never_reached(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a second run beside one that an unreached life started late."""
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(20.0)
    site.submit(plan=tasks.Plan(run_s=RUN_S))
    await delay_next(site, executor, "/run-start", 13.0)
    cut(site, executor)
    site.crash(executor)
    site.reboot(executor)
    for number in (2, 3, 4):
        site.add_executor(number).beats = True
    await take_over(site)
    await site.wait_until(lambda: len(site.events("start")) == 2)
    await trio.sleep(15.0)
    assert invariants.RunChecker(site.world).check() == []


@pytest.mark.parametrize("has_takeover", [False, True])
async def test_a_start_that_one_life_barred_may_run_on_the_next(
    autojump_clock: MockClock, site: Site, has_takeover: bool
) -> None:
    """Guards against a second run on a life that restarted after it had barred the first."""
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(20.0)
    site.submit(plan=tasks.Plan(run_s=RUN_S))
    executor.late_effect_s, executor.late_effect_survives_restart = 9.0, True
    executor.unanswered_calls["/run-start"] = 3
    await trio.sleep(0.1)
    executor.state = "draining"
    executor.list_entry()
    site.add_executor(2).beats = True
    if has_takeover:
        await take_over(site)
    await trio.sleep(6.0)
    cut(site, executor)
    site.crash(executor)
    site.reboot(executor)
    await trio.sleep(10.0)
    assert invariants.RunChecker(site.world).check() == []


async def test_a_machine_is_not_back_by_the_entry_of_a_life_that_its_upkeep_has_ended(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against more machines down than allowed, after a restart just before the order."""
    machines = site.add_machines()
    lives = [site.add_executor(number) for number in range(3)]
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(1.0)
    site.request_wave("m-i-0", "m-i-1", "m-i-2", within_s=60.0, most_down=1)
    await trio.sleep(1.0)
    site.crash(lives[0])
    await site.wait_until(lambda: machines.orders)
    assert machines.orders[0][2] == lives[0].machine
    ordered_s = trio.current_time()
    await trio.sleep_until(ordered_s + 0.66)
    # The watch of the entries pauses after each change.
    lives[1].list_entry()
    await trio.sleep(0.05)
    site.reboot(lives[0])
    await site.wait_until(lambda: machines.accepted)
    lives[0].list_entry()
    await site.wait_until(lambda: site.wave_state() == "completed")
    assert machines.max_down == 1


@pytest.mark.parametrize("is_late", [False, True])
async def test_workers_that_a_term_could_not_reach_have_not_crashed(
    autojump_clock: MockClock, site: Site, is_late: bool
) -> None:
    """Guards against a sound job that fails because its workers were cut off at takeovers.

    Late ones return only in the next term.
    """
    lives = [site.add_executor(number) for number in range(1, 6)]
    for life in lives:
        life.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    job = site.submit(plan=tasks.Plan(run_s=RUN_S))
    names = ["b", "a"]
    away: list[executors.Executor] = []
    for round_number in range(5):
        await site.wait_until(lambda: any(life.runs for life in lives))
        await trio.sleep(2.0)
        busy = next(life for life in lives if life.runs)
        cut(site, busy)
        site.world.store.delete(f"servers/{busy.name}")
        new, old = names[round_number % 2], names[(round_number + 1) % 2]
        site.start_scheduler(new)
        site.kill(old)
        count = len(site.events("start"))
        with trio.move_on_after(60.0):
            while len(site.events("start")) == count and site.state(job) != "failed":
                await trio.sleep(0.1)
        away.append(busy)
        if not is_late or len(away) == 2:
            rejoin(site, away.pop(0))
        await trio.sleep(4.0)
    assert site.state(job) == "running"


async def test_a_fresh_term_lifts_the_throttle_of_an_earlier_one(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against fillers that stay throttled for good once an earlier term has ended."""
    executor = site.add_executor(1)
    site.start_scheduler("a")
    serving = site.submit(
        model.Step(need=ONE_GPU, is_endless=True, target_s=0.1),
        plan=tasks.Plan(lasts=True, tail_ms=60.0),
    )
    await site.wait_until(lambda: executor.runs)
    filler = model.Step(need=ONE_GPU, is_endless=True, is_filler=True)
    site.submit(filler, plan=tasks.Plan(lasts=True, disturbs=3.0))
    await site.wait_until(lambda: len(executor.runs) == 2)
    await trio.sleep(5.0)
    site.kill("a")
    site.cancel(serving)
    await trio.sleep(0.2)
    for run in [run for run in executor.runs.values() if run.plan.tail_ms]:
        executor.end(run, "done")
    site.start_scheduler("b")
    await trio.sleep(10.0)
    assert [run.speed_percent for run in executor.runs.values()] == [100]


async def test_a_worker_that_lapsed_and_returned_during_an_outage_gets_work(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a lapse that is applied after a newer listing and idles a worker for good."""
    lives = [site.add_executor(number) for number in range(1, 4)]
    for life in lives:
        life.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    site.submit(plan=tasks.Plan(run_s=3.0))
    await site.wait_until(lambda: site.events("start"))
    await trio.sleep(2.5)
    site.kv.expire = lambda: None  # type: ignore[method-assign]  # leases pause in an outage
    site.kv.faults.silent = True
    await trio.sleep(1.5)
    site.network.cut.add(("a", lives[0].address))
    await trio.sleep(11.0)
    site.network.cut.clear()
    await trio.sleep(1.0)
    site.kv.faults.silent = False
    await trio.sleep(8.0)
    eight = model.Step(count=3, need=EIGHT_GPUS, estimate_s=RUN_S)
    site.submit(eight, plan=tasks.Plan(run_s=RUN_S))
    await trio.sleep(10.0)
    assert all(life.runs for life in lives)
