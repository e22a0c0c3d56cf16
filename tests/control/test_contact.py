"""Starts on workers that have just gone silent."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, cast

import trio

from bronzequay import ids
from bronzequay.control import contact
from bronzequay.core import model
from bronzequay.fakes import tasks
from bronzequay.platform import executor_entries, workers
from tests.control import test_leases
from tests.control.site import STORE

if TYPE_CHECKING:
    import pytest
    from trio.testing import MockClock

    from bronzequay.fakes import executors
    from bronzequay.net import server
    from tests.control.site import Site

GPUS = 8
RUN_S = 0.5
LONGEST_S = 4.0
"""Far below the time for which the run of an unanswered start is waited for."""
QUESTION_S = 0.5
"""Time until the worker answers whether it is there; below the timeout of the question."""
REMAINING_S = 0.3
"""What is left of a time limit as the start is decided upon."""


def submit_for_one_worker(site: Site) -> ids.JobId:
    step = model.Step(need=model.Resources(1000, 1000, GPUS), estimate_s=RUN_S)
    return site.submit(step, plan=tasks.Plan(run_s=RUN_S, gpu=GPUS))


async def test_no_start_is_sent_to_a_worker_that_has_gone_silent_since_its_last_answer(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against tasks that wait for the run of a start to a worker without power."""
    lost, sound = (site.add_executor(number) for number in (1, 2))
    lost.beats = sound.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(10.0)
    test_leases.cut(site, lost)
    jobs = [submit_for_one_worker(site) for _ in range(2)]
    for job in jobs:
        await site.wait_for(job, "completed", timeout_s=LONGEST_S)
    assert not lost.runs
    site.check_runs()


async def start_scheduler(site: Site) -> list[float]:
    """Run a scheduler with one worker that answers questions late.

    :return: when starts arrive, added as they do
    """
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(10.0)
    return answer_questions_late(site, executor)


def answer_questions_late(site: Site, executor: executors.Executor) -> list[float]:
    """Delay an executor's answers to questions; return when its starts arrive, as they do."""
    starts_s: list[float] = []

    async def handle(req: server.Request) -> server.Response:
        body = json.loads(req.body)
        if req.path == "/run-start":
            starts_s.append(trio.current_time())
        if req.path == "/hold" and not body.get("deadlineMs") and not body.get("waitMs"):
            await trio.sleep(QUESTION_S)
        return await executor.handle(req)

    site.network.hosts[executor.address] = handle
    return starts_s


async def test_no_start_is_sent_once_the_leader_lease_has_run_out_during_the_question(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    """Guards against a start by a scheduler that another one may have replaced.

    The lease is checked, then the worker is asked for up to 0.6 s, then the start is sent.
    """
    handle, is_renewal_held = site.kv.handle, False

    async def hold_renewals(req: server.Request) -> server.Response:
        while is_renewal_held and req.path.startswith("/kv-keep"):
            await trio.sleep(0.1)
        return await handle(req)

    site.network.hosts[STORE] = hold_renewals
    # The worker is asked whenever its last answer has arrived.
    monkeypatch.setattr(contact, "FRESH_S", 0.001)
    starts_s = await start_scheduler(site)
    is_renewal_held = True
    leader_lease = site.terms["a"]._lease
    while leader_lease.confirmed_s + leader_lease.ttl_s - trio.current_time() > REMAINING_S:
        await trio.sleep(0.01)
    until_s = leader_lease.confirmed_s + leader_lease.ttl_s
    site.submit(plan=tasks.Plan(run_s=1.0))
    await trio.sleep(QUESTION_S + 0.3)
    assert leader_lease.confirmed_s + leader_lease.ttl_s == until_s
    assert [round(at_s - until_s, 3) for at_s in starts_s if at_s > until_s] == []


async def test_no_start_is_sent_by_cancellations_that_became_too_old_during_the_question(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    """Guards against a start later than ``cancel_ms`` after its job's cancellation (UNASKED).

    ``freshness.START_MARGIN_S`` is the timeout of one order. A start that asks takes two of them.
    """
    monkeypatch.setattr(contact, "FRESH_S", 0.001)
    starts_s = await start_scheduler(site)
    cancels = site.terms["a"]._intake.cancels
    site.submit(plan=tasks.Plan(run_s=1.0))
    # No further read of the cancellations is answered, and little is left of the limit.
    cancels._read_s = trio.current_time() - cancels._limit_s + REMAINING_S
    monkeypatch.setattr(cancels, "confirm", lambda _: None)
    old_s = cancels._read_s + cancels._limit_s
    await trio.sleep(QUESTION_S + 0.3)
    assert [round(at_s - old_s, 3) for at_s in starts_s if at_s > old_s] == []


async def test_a_worker_that_has_answered_is_not_silent_to_starts_that_waited_for_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against starts withheld since the event loop was busy after a worker's answer.

    The start that has asked counts the answer at once, the others one turn of the loop later.
    """
    boot_s = 100.0
    monkeypatch.setattr("bronzequay.clock.boot_s", lambda: boot_s)
    worker = executor_entries.worker_id(ids.ExecutorId("i-1"), 1)
    results: list[bool] = []

    class Client:
        async def hold(self, **_: Any) -> workers.Reply:
            await trio.sleep(0.01)
            listing = workers.Listing(clock_ms=1.0, started_ms=1, running=(), ended=())
            return workers.Reply(workers.Outcome.OK, 1.0, listing)

    asked = contact.Contact(worker, cast("workers.OrderClient", Client()), lambda: float("inf"))

    async def start() -> None:
        nonlocal boot_s
        results.append(await asked.ask())
        boot_s += 0.3  # a pass of the scheduler, or the processor is taken away

    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(start)
    assert results == [True] * 3
