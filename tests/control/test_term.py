"""A scheduler's term: jobs from submission to their end, under faults of all parts."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import msgspec
import pytest
import trio

from bronzequay.control import contact, earlier_terms, keys, lease, run_lease
from bronzequay.core import model
from bronzequay.fakes import kv, tasks
from tests.control.site import ONE_GPU, gang

if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.control.site import Site


async def test_a_job_runs_and_is_shown_as_completed(autojump_clock: MockClock, site: Site) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    job = site.submit(model.Step(count=3, need=ONE_GPU, estimate_s=1.0))
    await site.wait_for(job, "running", timeout_s=1.0)
    assert site.kv.keys(keys.WAITING) == []
    await site.wait_for(job, "completed", timeout_s=3.0)
    await trio.sleep(0.5)
    assert site.kv.keys(keys.INBOX) == site.kv.keys(keys.PROGRESS) == []
    assert site.world.executors["i-1"].ended == []
    site.check_runs()


async def test_all_members_of_a_gang_run_together(autojump_clock: MockClock, site: Site) -> None:
    for number in range(3):
        site.add_executor(number)
    site.start_scheduler("a")
    job = site.submit(gang(3), plan=tasks.Plan(run_s=2.0, gang=3))
    await site.wait_for(job, "completed", timeout_s=4.0)
    assert site.events("alone", "broken") == []
    site.check_runs()


async def test_a_cancelled_job_is_stopped_within_two_seconds(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    job = site.submit(plan=tasks.Plan(run_s=60.0))
    await site.wait_for(job, "running")
    site.cancel(job)
    await site.wait_for(job, "cancelled", timeout_s=1.0)
    await trio.sleep(1.0)
    assert site.world.executors["i-1"].runs == {}
    assert site.kv.keys(keys.INBOX) == []


async def test_a_cancellation_of_an_ended_job_is_removed_from_the_store(
    autojump_clock: MockClock, site: Site
) -> None:
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    site.kv.put(keys.cancel(site.submit(name="0" * 16)), b"")
    for key in (keys.job, keys.cancel):
        site.kv.delete(key(msgspec.convert("0" * 16, str)))  # type: ignore[arg-type]
    site.kv.put(keys.cancel(msgspec.convert("0" * 16, str)), b"")  # type: ignore[arg-type]
    await site.wait_until(lambda: not site.kv.keys(keys.CANCELS), timeout_s=2.0)


async def test_a_job_submitted_while_the_watch_gets_no_events_is_scheduled(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_for(site.submit(), "completed")
    site.kv.faults = kv.Faults(deaf=True)
    job = site.submit()
    await trio.sleep(1.0)
    site.kv.compact()
    site.kv.faults = kv.Faults()
    await site.wait_for(job, "completed", timeout_s=5.0)
    site.check_runs()


async def test_a_cancellation_survives_the_loss_of_watch_history(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_for(site.submit(), "completed")
    site.kv.faults = kv.Faults(deaf=True)
    job = site.submit(plan=tasks.Plan(run_s=60.0))
    site.cancel(job)
    await trio.sleep(0.5)
    site.kv.compact()
    site.kv.faults = kv.Faults()
    await site.wait_for(job, "cancelled", timeout_s=5.0)
    assert site.events("start") == [("0" * 15 + "1.0.0.0", 1)]


async def test_an_unreadable_job_or_worker_entry_does_not_block_others(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.kv.put(keys.JOBS + "bad", b"\xff\xff")
    site.kv.put("servers/other", b"not an entry")
    site.start_scheduler("a")
    await site.wait_for(site.submit(), "completed", timeout_s=5.0)


@pytest.mark.parametrize("late_s", [0.0, 5.0])
async def test_an_unanswered_start_runs_once(
    autojump_clock: MockClock, site: Site, late_s: float
) -> None:
    executor = site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    executor.unanswered_calls["/run-start"] = 1
    executor.late_effect_s = late_s
    job = site.submit(plan=tasks.Plan(run_s=8.0))
    await site.wait_for(job, "completed", timeout_s=20.0)
    await trio.sleep(10.0)
    site.check_runs()


async def test_a_run_that_ended_before_its_start_was_answered_counts_as_done(
    autojump_clock: MockClock, site: Site
) -> None:
    executor = site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    executor.unanswered_calls["/run-start"] = 1
    job = site.submit(plan=tasks.Plan(run_s=0.2))
    await site.wait_for(job, "completed", timeout_s=5.0)
    assert len(site.events("start")) == 1


async def test_a_refusal_after_an_unanswered_start_does_not_prove_that_it_never_ran(
    autojump_clock: MockClock, site: Site
) -> None:
    first = site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(1.0)
    first.unanswered_calls["/run-start"] = 1
    first.late_effect_s = 2.0
    first.starts_to_refuse = 1
    job = site.submit(plan=tasks.Plan(run_s=6.0))
    await trio.sleep(0.5)
    site.add_executor(2)
    await site.wait_for(job, "completed", timeout_s=30.0)
    await trio.sleep(5.0)
    site.check_runs()


async def test_starts_that_are_never_answered_are_stopped_and_placed_elsewhere(
    autojump_clock: MockClock, site: Site
) -> None:
    first, second = site.add_executor(1), site.add_executor(2)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(1.0)
    first.unanswered_calls["/run-start"] = second.unanswered_calls["/run-start"] = 3
    first.late_effect_s = second.late_effect_s = 9.0
    job = site.submit(plan=tasks.Plan(run_s=1.0))
    await site.wait_for(job, "completed", timeout_s=30.0)
    await trio.sleep(15.0)
    site.check_runs()


async def test_a_late_start_does_not_run_on_a_later_incarnation_of_the_worker(
    autojump_clock: MockClock, site: Site
) -> None:
    executor = site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(1.0)
    executor.unanswered_calls["/run-start"] = 1
    executor.late_effect_s, executor.late_effect_survives_restart = 6.0, True
    job = site.submit(plan=tasks.Plan(run_s=4.0))
    await trio.sleep(1.0)
    site.crash(executor)
    await trio.sleep(1.0)
    site.reboot(executor)
    await site.wait_for(job, "completed", timeout_s=30.0)
    await trio.sleep(15.0)
    site.check_runs()


async def test_a_late_start_on_a_later_incarnation_ends_before_its_task_starts_elsewhere(
    autojump_clock: MockClock, site: Site
) -> None:
    executor = site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(1.0)
    executor.unanswered_calls["/run-start"] = 1
    executor.late_effect_s, executor.late_effect_survives_restart = 0.3, True
    site.submit(plan=tasks.Plan(run_s=4.0))
    await trio.sleep(0.1)
    site.add_executor(2)
    site.crash(executor)
    await trio.sleep(0.1)
    site.reboot(executor)
    await site.wait_until(lambda: executor.runs, timeout_s=1.0)
    await trio.sleep(10.0)
    assert len(site.events("start")) == 2
    site.check_runs()


async def test_a_start_that_a_later_incarnation_has_accepted_is_stopped_there_first(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    # The worker restarts after it was asked whether it answers and before the start arrives.
    monkeypatch.setattr(contact, "FRESH_S", float("inf"))
    executor = site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(5.0)
    site.crash(executor)
    executor.boot()
    site.network.hosts[executor.address] = executor.handle
    site.world.store.put("servers/i-1", executor.entry(born_ms=1))
    site.submit(plan=tasks.Plan(run_s=8.0))
    await site.wait_until(lambda: executor.runs, timeout_s=1.0)
    site.add_executor(2)
    executor.list_entry()
    await trio.sleep(20.0)
    assert len(site.events("start")) == 2
    site.check_runs()


async def test_work_of_a_crashed_worker_restarts_once_its_lease_has_expired(
    autojump_clock: MockClock, site: Site
) -> None:
    first = site.add_executor(1)
    site.start_scheduler("a")
    job = site.submit(plan=tasks.Plan(run_s=3.0))
    await site.wait_for(job, "running")
    second = site.add_executor(2)
    await trio.sleep(1.0)
    site.crash(first)
    took_s = await site.wait_for(job, "completed", timeout_s=30.0)
    assert took_s < run_lease.RUN_LEASE_S + 5.0
    assert second.barred_runs
    site.check_runs()


async def test_work_of_an_unreachable_worker_starts_elsewhere_only_after_its_lease_has_expired(
    autojump_clock: MockClock, site: Site
) -> None:
    first = site.add_executor(1)
    site.start_scheduler("a")
    job = site.submit(plan=tasks.Plan(run_s=20.0))
    await site.wait_for(job, "running")
    site.add_executor(2)
    await trio.sleep(1.0)
    site.network.cut.add(("a", first.address))
    await site.wait_until(lambda: len(site.events("start")) == 2, timeout_s=15.0)
    site.network.cut.clear()
    await site.wait_for(job, "completed", timeout_s=40.0)
    site.check_runs()


async def test_a_worker_that_has_left_delays_no_restart(
    autojump_clock: MockClock, site: Site
) -> None:
    first = site.add_executor(1)
    site.start_scheduler("a")
    job = site.submit(plan=tasks.Plan(run_s=30.0))
    await site.wait_for(job, "running")
    first.state = "draining"
    first.list_entry()
    site.add_executor(2)
    await trio.sleep(2.0)
    site.crash(first)
    await site.wait_until(lambda: len(site.events("start")) == 2, timeout_s=10.0)


async def test_a_draining_worker_gets_no_work(autojump_clock: MockClock, site: Site) -> None:
    first = site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    first.state = "draining"
    first.list_entry()
    await trio.sleep(1.0)
    job = site.submit()
    await trio.sleep(3.0)
    assert site.state(job) == "queued"
    first.state = "ready"
    first.list_entry()
    await site.wait_for(job, "completed", timeout_s=5.0)


@pytest.mark.parametrize(
    "faults",
    [kv.Faults(busy=True), kv.Faults(silent=True), kv.Faults(delay_s=0.25)],
    ids=["busy", "silent", "slow"],
)
async def test_running_work_survives_store_faults(
    autojump_clock: MockClock, site: Site, faults: kv.Faults
) -> None:
    for number in range(3):
        site.add_executor(number)
    site.start_scheduler("a")
    job = site.submit(gang(3), plan=tasks.Plan(run_s=25.0, gang=3))
    await site.wait_for(job, "running")
    site.kv.faults = faults
    await trio.sleep(20.0)
    site.kv.faults = kv.Faults()
    await site.wait_for(job, "completed", timeout_s=30.0)
    assert site.events("lapsed", "broken", "stopped") == []
    site.check_runs()


@pytest.mark.parametrize("late_s", [0.0, 3.0])
async def test_jobs_run_once_despite_lost_store_answers(
    autojump_clock: MockClock, site: Site, late_s: float
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    site.kv.faults = kv.Faults(lose=0.4, late_s=late_s)
    jobs = [site.submit(plan=tasks.Plan(run_s=0.5)) for _ in range(6)]
    for job in jobs:
        await site.wait_for(job, "completed", timeout_s=200.0)
    site.check_runs()


async def test_another_instance_takes_over_from_a_killed_one(
    autojump_clock: MockClock, site: Site
) -> None:
    for number in range(3):
        site.add_executor(number)
    site.start_scheduler("a")
    running = site.submit(gang(2), plan=tasks.Plan(run_s=10.0, gang=2))
    await site.wait_for(running, "running")
    site.start_scheduler("b")
    await trio.sleep(1.0)
    site.kill("a")
    waiting = site.submit(priority=0)
    await site.wait_for(waiting, "completed", timeout_s=20.0)
    await site.wait_for(running, "completed", timeout_s=20.0)
    assert site.leader() == "b"
    assert len([start for start in site.events("start") if start[0].startswith(running)]) == 2
    site.check_runs()


async def test_takeover_takes_less_than_four_seconds(autojump_clock: MockClock, site: Site) -> None:
    site.add_executor(1)
    for name in ("a", "b"):
        site.start_scheduler(name)
    await site.wait_for(site.submit(plan=tasks.Plan(run_s=0.2)), "completed")
    first = site.leader()
    assert first is not None
    site.kill(first)
    job = site.submit(plan=tasks.Plan(run_s=0.2))
    assert await site.wait_for(job, "running", timeout_s=10.0) < 4.0


async def test_a_scheduler_cut_from_the_store_sends_no_orders_after_its_lease_has_expired(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    running = site.submit(plan=tasks.Plan(run_s=12.0))
    await site.wait_for(running, "running")
    site.start_scheduler("b")
    await trio.sleep(0.5)
    site.network.cut.add(("a", "10.0.0.1:80"))
    waiting = site.submit()
    await site.wait_for(waiting, "completed", timeout_s=10.0)
    assert site.leader() == "b"
    site.network.cut.clear()
    await site.wait_for(running, "completed", timeout_s=20.0)
    site.check_runs()


async def test_work_left_on_a_departed_worker_by_an_earlier_term_starts_again(
    autojump_clock: MockClock, site: Site
) -> None:
    first = site.add_executor(1)
    site.start_scheduler("a")
    site.submit(plan=tasks.Plan(run_s=30.0))
    await site.wait_until(lambda: site.events("start"))
    # Until the answer to the start is recorded.
    await trio.sleep(1.0)
    site.kill("a")
    site.crash(first)
    site.add_executor(2)
    site.start_scheduler("b")
    await site.wait_until(lambda: site.leader() == "b")
    site.start_scheduler("a")
    await site.wait_until(
        lambda: len(site.events("start")) == 2,
        timeout_s=lease.TTL_S + run_lease.CONTACT_S + earlier_terms.SETTLED_EXPIRY_S + 3.0,
    )
    site.check_runs()


async def test_a_start_without_a_recorded_answer_is_repeated_once_it_can_no_longer_arrive(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a task that waits for ever, or starts while its first start may arrive."""
    first = site.add_executor(1)
    first.unanswered_calls["/run-start"] = 1
    first.late_effect_s = 3600.0
    site.start_scheduler("a")
    site.submit(plan=tasks.Plan(run_s=30.0))
    await site.wait_until(lambda: not first.unanswered_calls["/run-start"])
    site.kill("a")
    site.crash(first)
    site.add_executor(2)
    site.start_scheduler("b")
    await site.wait_until(lambda: site.leader() == "b")
    site.start_scheduler("a")
    began_s = trio.current_time()
    await site.wait_until(lambda: site.events("start"))
    took_s = trio.current_time() - began_s
    assert run_lease.MAX_ORDER_DELAY_S + 10.0 < took_s < run_lease.MAX_ORDER_DELAY_S + 15.0


async def test_the_lease_of_an_earlier_process_of_the_instance_is_revoked(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_for(site.submit(), "completed")
    site.kill("a")
    site.nursery.start_soon(_restart_scheduler, site)
    job = site.submit(plan=tasks.Plan(run_s=0.1))
    assert await site.wait_for(job, "completed") < 1.0


async def _restart_scheduler(site: Site) -> None:
    from bronzequay import ids  # noqa: PLC0415
    from bronzequay.control import term  # noqa: PLC0415
    from bronzequay.platform import config  # noqa: PLC0415
    from bronzequay.platform import kv as stores  # noqa: PLC0415
    from tests.control.site import STORE  # noqa: PLC0415

    store = stores.Store(STORE)
    configuration = config.decode(site.kv.get(config.KEY) or b"")
    leader_lease = await lease.campaign(store, ids.InstanceId("a"), ttl_s=2.0, is_restart=True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lease.renew_until_lost, store, leader_lease)
        await term.Term(
            store, leader_lease, lambda: configuration.rules, max_run_lease_s=10.0, beat_s=1.5
        ).run()


async def test_a_job_waits_until_a_worker_has_begun_it(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a count of waiting jobs that leaves out those that are only ordered."""
    executor = site.add_executor(1)
    site.start_scheduler("a")
    send = await site.start_front("f")
    await site.wait_for(site.submit(), "completed", timeout_s=5.0)
    site.network.refused.add(("a", executor.address))
    site.submit(plan=tasks.Plan(run_s=3.0))
    await trio.sleep(2.5)
    assert json.loads((await send("GET", "/q1/")).body) == {"waiting": 1}
    site.network.refused.clear()
    await site.wait_until(lambda: len(site.events("start")) == 2, timeout_s=15.0)
    await trio.sleep(1.0)
    assert json.loads((await send("GET", "/q1/")).body) == {"waiting": 0}
