"""Starts without an answer whose worker is lost, regained or replaced."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import ids
from bronzequay.control import late_starts, roster, run_lease
from bronzequay.core import model, records
from bronzequay.fakes import executors, tasks
from tests.control import test_later_lives, test_leases
from tests.control.site import ONE_GPU
from tests.core import world
from tests.core.test_losses import accept, start_all, task_of
from tests.core.test_schedule import build_state

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay.platform import executor_entries
    from tests.control.site import Site

STOP_S = 0.9
"""Time that a stop takes; core.upkeep reckons with the same."""


async def test_a_life_that_is_listed_again_has_no_more_room_than_it_offers(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against room that is freed on a new session for a run of the previous one."""
    executor = await test_later_lives.lose_start(site, late_s=0.1)
    await trio.sleep(0.2)
    test_leases.cut(site, executor)
    site.kv.delete(f"servers/{executor.name}")
    await trio.sleep(16.0)
    site.network.cut.clear()
    executor.beats = True
    worker_name = ids.WorkerId(f"{executor.name}@{executor.born_ms}")
    await trio.sleep(4.0)
    worker = site.terms["a"]._state.workers[worker_name]
    used = sum(1 for _ in worker.tasks)
    assert worker.free_gpu <= worker.spec.capacity.gpu - used


async def test_a_run_that_a_later_life_lists_is_not_started_again_after_an_outage(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    """Guards against a second run when the stop of a late run waits for the store."""
    monkeypatch.setattr(executors, "STOP_DURATION_S", STOP_S)
    executor = await test_later_lives.lose_start(site, late_s=3.0)
    for number in (2, 3, 4):
        site.add_executor(number).beats = True
    open_session = roster.Roster._open_session

    def open_and_cut(self: roster.Roster, entry: executor_entries.ExecutorEntry) -> None:
        open_session(self, entry)
        if entry.spec.worker == f"{executor.name}@{executor.born_ms}":
            site.network.cut.add(("a", executor.address))

    monkeypatch.setattr(roster.Roster, "_open_session", open_and_cut)
    site.crash(executor)
    site.reboot(executor)
    site.kv.expire = lambda: None  # type: ignore[method-assign]  # leases pause in an outage
    await site.wait_until(lambda: executor.runs, timeout_s=5.0)
    site.kv.faults.silent = True
    await trio.sleep(2.5)
    site.network.cut.clear()
    await trio.sleep(25.0)
    site.kv.faults.silent = False
    await trio.sleep(10.0)
    site.check_runs()


@pytest.mark.parametrize("extra_s", [x / 5 for x in range(10)])
async def test_a_fresh_term_does_not_restart_a_run_that_a_later_life_lists(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site, extra_s: float
) -> None:
    """Guards against a second run when the stop of an earlier term's late run waits."""
    monkeypatch.setattr(executors, "STOP_DURATION_S", STOP_S)
    executor = await test_later_lives.lose_start(site, late_s=6.0)
    for number in (2, 3, 4):
        site.add_executor(number).beats = True
    site.kill("a")
    site.crash(executor)
    site.reboot(executor)
    test_leases.cut(site, executor)
    executor.beats = True
    site.start_scheduler("b")
    await site.wait_until(lambda: site.leader() == "b")
    await site.wait_until(lambda: executor.runs, timeout_s=8.0)
    site.kv.expire = lambda: None  # type: ignore[method-assign]  # leases pause in an outage
    site.kv.faults.silent = True
    await trio.sleep(2.5)
    site.network.cut.clear()
    await trio.sleep(27.0 + extra_s)
    site.kv.faults.silent = False
    await trio.sleep(10.0)
    site.check_runs()


async def test_a_run_adopted_before_its_worker_settled_settles_later(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a run that counts as one whose start may come late, for good."""
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    site.kill("a")
    site.start_scheduler("b")
    await site.wait_until(lambda: site.leader() == "b")
    site.submit(model.Step(need=ONE_GPU, is_endless=True), plan=tasks.Plan(lasts=True))
    await site.wait_until(lambda: executor.runs)
    await trio.sleep(1.0)
    site.start_scheduler("a")
    site.kill("b")
    await site.wait_until(lambda: site.leader() == "a")
    await trio.sleep(120.0)
    (worker,) = site.terms["a"]._state.workers.values()
    assert len(site.events("start")) == 1
    assert worker.is_settled
    assert all(task.is_settled for task in worker.tasks.values())


def test_a_later_life_that_is_regained_counts_the_crash_of_the_former_once() -> None:
    """Guards against a job that is given up since one loss was counted at each first listing."""
    state = build_state(2)
    accept(state, 1)
    (name,) = start_all(state, 0.0)
    (job,) = state.jobs.values()
    inherited = world.new_state()
    records.restore(inherited, job.spec, records.encode(job))
    base, _, born = name.partition("@")
    later_life = ids.WorkerId(f"{base}@{int(born) + 1}")
    for _ in range(2):
        late_starts.of_orphans(inherited, later_life)
    assert task_of(inherited, 1).crashes == 1


@pytest.mark.parametrize("unlisted_after_s", [2.0, 28.0])
async def test_a_kept_run_is_freed_soon_after_its_start_can_take_effect_no_more(
    autojump_clock: MockClock, site: Site, unlisted_after_s: float
) -> None:
    """Guards against a task that waits twice: after its lapse, then after its session's end."""
    executor = await test_later_lives.lose_start(site, late_s=0.1)
    sent_s = trio.current_time()
    site.network.cut.add(("a", executor.address))
    for number in (2, 3, 4):
        site.add_executor(number).beats = True
    await trio.sleep(unlisted_after_s)
    executor.beats = False
    site.kv.delete(f"servers/{executor.name}")
    await site.wait_until(lambda: len(site.events("start")) == 2, timeout_s=100.0)
    longest_s = run_lease.CONTACT_S + run_lease.RUN_LEASE_S / run_lease.MIN_CLOCK_RATE
    longest_s += run_lease.late_run_s(test_leases.MAX_LEASE_S) + 2.0
    assert trio.current_time() - sent_s < longest_s
