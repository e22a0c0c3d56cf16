"""Calls meant for an earlier life of a worker that a later one carries out or answers."""

from __future__ import annotations

import itertools
import json
import os
import random
from typing import TYPE_CHECKING, Any

import pytest
import trio

from bronzequay.control import contact, keys, run_lease, session
from bronzequay.fakes import tasks
from tests.control import test_chaos, test_leases

if TYPE_CHECKING:
    from collections.abc import Callable

    from trio.testing import MockClock

    from bronzequay.fakes import executors
    from bronzequay.net import client
    from tests.control.site import Site

RUN_S = 60.0
LATE_S = 12.0
"""Longest time after which a call without an answer is carried out."""
LONGEST_WAIT_S = 45.0
"""Well above the longest order delay and the longest lease together."""
FAULT_PERIOD_S = 60.0
SEEDS = range(int(os.environ.get("LIVES_FIRST", "10")), int(os.environ.get("LIVES_LAST", "20")))


async def lose_start(site: Site, *, late_s: float) -> executors.Executor:
    """Submit a task whose start gets no answer and is carried out later, by whichever life is up.

    :return: the only executor there is
    """
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(20.0)
    executor.unanswered_calls["/run-start"] = 1
    executor.late_effect_s, executor.late_effect_survives_restart = late_s, True
    site.submit(plan=tasks.Plan(run_s=RUN_S))
    await site.wait_until(lambda: not executor.unanswered_calls["/run-start"], timeout_s=3.0)
    return executor


def reboot_cut_off(site: Site, executor: executors.Executor, listed: str) -> None:
    """Restart an executor that no scheduler reaches, listed as its former life, its next or not."""
    former = executor.entry(born_ms=executor.born_ms)
    test_leases.cut(site, executor)
    site.crash(executor)
    site.reboot(executor)
    if listed == "former":
        site.kv.put(f"servers/{executor.name}", former)
    elif listed == "none":
        site.kv.delete(f"servers/{executor.name}")


async def check_one_run_at_a_time(site: Site, executor: executors.Executor) -> None:
    """Check that a task starts elsewhere in the end, not beside its late run on a cut-off life."""
    await site.wait_until(lambda: executor.runs, timeout_s=LATE_S + 1.0)
    await site.wait_until(
        lambda: any(other.runs for other in site.world.executors.values() if other is not executor),
        timeout_s=LONGEST_WAIT_S,
    )
    site.check_runs()
    assert not executor.runs


async def test_a_renewal_carried_out_by_the_next_life_after_its_last_answer_is_counted(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a second run when a renewal of the former life takes effect during a cut."""
    executor = await test_leases.run_one(site)
    # Just before the lease of the next life's start ends, which is sent after 2.2 s.
    await test_leases.restart_under_renewal(site, executor, late_s=6.8)
    test_leases.cut(site, executor)
    site.add_executor(2).beats = True
    await test_leases.check_no_start_before_lapse(site, executor)


@pytest.mark.parametrize("listed", ["former", "next", "none"])
async def test_a_lapse_does_not_free_a_task_whose_start_the_next_life_may_carry_out(
    autojump_clock: MockClock, site: Site, listed: str
) -> None:
    """Guards against a second run beside a start that was lost with its worker's life."""
    executor = await lose_start(site, late_s=LATE_S)
    reboot_cut_off(site, executor, listed)
    site.add_executor(2).beats = True
    await check_one_run_at_a_time(site, executor)


async def test_a_start_that_was_lost_with_its_worker_is_waited_for_since_it_was_sent(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against lost room: the wait for a late run began only as its worker's lease lapsed."""
    executor = await lose_start(site, late_s=LATE_S)
    site.crash(executor)
    test_leases.cut(site, executor)
    lost_s = trio.current_time()
    mate = site.add_executor(2)
    mate.beats = True
    await site.wait_until(lambda: mate.runs, timeout_s=LONGEST_WAIT_S)
    longest_s = run_lease.late_run_s(test_leases.MAX_LEASE_S)
    assert trio.current_time() - lost_s < longest_s + 2.0
    site.check_runs()


@pytest.mark.parametrize("listed", ["former", "next", "none"])
async def test_a_fresh_term_waits_for_a_start_that_a_life_it_never_reached_may_carry_out(
    autojump_clock: MockClock, site: Site, listed: str
) -> None:
    """Guards against a second run beside a start that an earlier term sent and had no answer to."""
    executor = await lose_start(site, late_s=LATE_S)
    reboot_cut_off(site, executor, listed)
    for number in (2, 3, 4):
        site.add_executor(number).beats = True
    await test_leases.take_over(site)
    await check_one_run_at_a_time(site, executor)


@pytest.mark.parametrize("late_s", [0.0, 1.0, 6.0])
async def test_a_task_of_a_former_life_starts_soon_after_a_takeover_that_reaches_the_next(
    autojump_clock: MockClock, site: Site, late_s: float
) -> None:
    """Guards against lost room: tasks of a life known to be over waited as if it might live on.

    :param late_s: delay of the start, 0 if it was answered
    """
    if late_s:
        executor = await lose_start(site, late_s=late_s)
    else:
        executor = await test_leases.run_one(site)
    site.kill("a")
    site.crash(executor)
    site.reboot(executor)
    site.start_scheduler("b")
    await site.wait_until(lambda: site.leader() == "b")
    for number in (2, 3, 4):
        site.add_executor(number).beats = True
    taken_s = trio.current_time()
    await site.wait_until(lambda: any(run > 1 for _, run in site.events("start")))
    waited_s = trio.current_time() - taken_s
    await trio.sleep(LATE_S)
    site.check_runs()
    assert waited_s < 1.5


class Calls:
    """Records the calls to an executor's address.

    :ivar rows: when each was sent, its path, its body and its answer, None while there is none
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, site: Site, address: str) -> None:
        self.rows: list[tuple[float, str, dict[str, Any], client.Response | None]] = []
        send = site.network.call

        async def call(to: str, method: str, path: str, body: bytes, *rest: Any) -> client.Response:
            if to != address:
                return await send(to, method, path, body, *rest)
            place = len(self.rows)
            self.rows.append((trio.current_time(), path, json.loads(body), None))
            answer = await send(to, method, path, body, *rest)
            self.rows[place] = (*self.rows[place][:3], answer)
            return answer

        monkeypatch.setattr(site.network, "call", call)

    def sent_since(self, time_s: float, path: str) -> list[dict[str, Any]]:
        """Return the bodies of the calls of a path that were sent from a time on."""
        return [body for sent_s, name, body, _ in self.rows if sent_s >= time_s and name == path]

    def check_renewals(self) -> None:
        """Check that no call renews leases whose predecessor has had no answer."""
        holds = [(body, answer) for _, path, body, answer in self.rows if path == "/hold"]
        for (_, answer), (body, _) in itertools.pairwise(holds):
            assert answer is not None or "deadlineMs" not in body


async def suspend_after_answer(
    monkeypatch: pytest.MonkeyPatch, pause_s: float, during: Callable[[], None]
) -> float:
    """Suspend the scheduler's machine once it has applied the next answer of an executor.

    Its steady clock, which timeouts use, stands still.

    :param during: what happens in the pause
    :return: when it resumes, on the steady clock
    """
    read, is_done = session.Session._on_listing, trio.Event()

    async def suspend(self: session.Session, *args: Any) -> None:
        await read(self, *args)
        if not is_done.is_set():
            monkeypatch.setattr("bronzequay.clock.boot_s", lambda: trio.current_time() + pause_s)
            during()
            is_done.set()

    monkeypatch.setattr(session.Session, "_on_listing", suspend)
    await is_done.wait()
    return trio.current_time()


@pytest.mark.parametrize("pause_s", [4.0, 30.0])
async def test_no_renewal_is_sent_after_a_pause_of_the_machine_until_the_worker_has_answered(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site, pause_s: float
) -> None:
    """Guards against a lease that is reckoned by the clock of a life from before a suspension."""
    executor = await test_leases.run_one(site)
    calls = Calls(monkeypatch, site, executor.address)

    def restart() -> None:
        site.crash(executor)
        site.reboot(executor)

    resumed_s = await suspend_after_answer(monkeypatch, pause_s, restart)
    await site.wait_until(lambda: calls.sent_since(resumed_s, "/hold"), timeout_s=5.0)
    assert "deadlineMs" not in calls.sent_since(resumed_s, "/hold")[0]


async def test_no_start_is_sent_after_a_pause_of_the_machine_until_the_worker_has_answered(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    """Guards against a start with a deadline that is reckoned over a suspension.

    The worker's entry states no time on its clock, so that the age of the entry stops no start.
    """
    executor = await test_leases.run_one(site)
    executor.beats = False
    executor.list_entry()
    await trio.sleep(1.0)
    calls = Calls(monkeypatch, site, executor.address)
    resumed_s = await suspend_after_answer(
        monkeypatch, run_lease.CONTACT_S + 1.0, lambda: test_leases.cut(site, executor)
    )
    site.submit(plan=tasks.Plan(run_s=RUN_S))
    await trio.sleep(8.0)
    assert not calls.sent_since(resumed_s, "/run-start")


@pytest.mark.parametrize("restarts", [False, True])
async def test_the_call_after_one_without_an_answer_renews_nothing(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site, *, restarts: bool
) -> None:
    """Guards against a deadline by the former life's clock in the call that finds the next one."""
    executor = await test_leases.run_one(site)
    calls = Calls(monkeypatch, site, executor.address)
    await trio.sleep(1.5)
    if restarts:
        site.crash(executor)
        site.reboot(executor)
    else:
        executor.unanswered_calls["/hold"] = 1
    await trio.sleep(6.0)
    calls.check_renewals()


@pytest.mark.parametrize("is_cut", [False, True])
@pytest.mark.parametrize("ahead_ms", [-400.0, 0.0, 400.0, 3_000.0])
async def test_a_start_that_the_next_life_answered_is_not_taken_as_lost_with_the_former(
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
    site: Site,
    ahead_ms: float,
    *,
    is_cut: bool,
) -> None:
    """Guards against a second run beside one on a life whose clock is near the former one's."""
    # The worker restarts after it was asked whether it answers and before the start arrives.
    monkeypatch.setattr(contact, "FRESH_S", float("inf"))
    executor = site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    executor.beats = True
    await trio.sleep(20.0)
    executor.beats = False
    former = executor.entry(born_ms=executor.born_ms)
    executor.clock_start_ms, executor.clock_rate = executor.clock_ms + ahead_ms, 0.98
    site.crash(executor)
    site.reboot(executor)
    site.kv.put(f"servers/{executor.name}", former)
    job = site.submit(plan=tasks.Plan(run_s=8.0))
    await site.wait_until(lambda: site.events("start"), timeout_s=1.5)
    await trio.sleep(0.1)
    for number in (2, 3, 4):
        site.add_executor(number).beats = True
    if is_cut:
        test_leases.cut(site, executor)
    else:
        executor.list_entry()
        executor.beats = True
    await site.wait_for(job, "completed", timeout_s=LONGEST_WAIT_S + 8.0)
    site.check_runs()
    assert not executor.runs


async def inject_restarts(site: Site, rng: random.Random) -> None:
    """Restart executors under calls that are carried out late, by clocks that begin anywhere."""
    while True:
        await trio.sleep(rng.uniform(1.0, 5.0))
        executor = rng.choice(list(site.world.executors.values()))
        if not executor.is_up:
            continue
        executor.unanswered_calls[rng.choice(["/run-start", "/hold"])] = rng.choice([1, 2])
        executor.late_effect_s = rng.uniform(0.5, LATE_S)
        await trio.sleep(rng.uniform(0.1, 3.0))
        near_ms = executor.clock_ms + rng.uniform(-600.0, 600.0)
        site.crash(executor)
        await trio.sleep(rng.choice([0.0, 0.0, rng.uniform(0.1, 4.0)]))
        if executor.is_up:
            # Another injector has started it; its runs must end in the log too.
            site.crash(executor)
        executor.clock_start_ms = rng.choice([0.0, near_ms, rng.uniform(0.0, 90_000.0)])
        executor.clock_rate = rng.choice([1.0, 0.98])
        site.reboot(executor)


async def inject_cuts(site: Site, rng: random.Random) -> None:
    """Cut executors off from all instances."""
    while True:
        await trio.sleep(rng.uniform(0.5, 6.0))
        executor = rng.choice(list(site.world.executors.values()))
        links = {(name, executor.address) for name in test_chaos.INSTANCES}
        site.network.cut |= links
        await trio.sleep(rng.uniform(1.0, 20.0))
        site.network.cut -= links


async def submit_jobs(site: Site, rng: random.Random) -> None:
    """Submit jobs, most of them longer than a lease."""
    while True:
        site.submit(plan=tasks.Plan(run_s=rng.choice([0.5, 8.0, 20.0])))
        await trio.sleep(rng.uniform(0.5, 3.0))


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_task_runs_twice_when_later_lives_carry_out_calls(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site, seed: int
) -> None:
    """Guards against second runs across restarts, cuts and takeovers that overlap."""
    rng = random.Random(seed)
    # Trio shuffles the tasks that are due by a generator of its own.
    monkeypatch.setattr("trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr("trio._core._run._r", random.Random(seed))
    for number in range(6):
        executor = site.add_executor(number)
        executor.beats = executor.late_effect_survives_restart = True
    for name in test_chaos.INSTANCES:
        site.start_scheduler(name)
    injectors = (inject_restarts, inject_cuts, test_chaos.inject_instance_faults, submit_jobs)
    with trio.move_on_after(FAULT_PERIOD_S):
        async with trio.open_nursery() as nursery:
            for activity in (*injectors, inject_restarts, inject_cuts):
                nursery.start_soon(activity, site, random.Random(rng.random()))
    site.network.cut.clear()
    for executor in site.world.executors.values():
        executor.unanswered_calls.clear()
        if not executor.is_up:
            site.reboot(executor)
    for name in test_chaos.INSTANCES:
        if name not in site.scopes:
            site.start_scheduler(name)
    await trio.sleep(120.0)
    site.check_runs()
    states = {site.state(keys.job_id_in(key)) for key in site.kv.keys(keys.STATES)}
    assert states <= {"completed", "failed"}
    assert site.kv.keys(keys.INBOX) == site.kv.keys(keys.PROGRESS) == []
