"""Faults that a review of starts, questions and waits has found; each test fails for one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import trio

from bronzequay import ids
from bronzequay.control import contact
from bronzequay.fakes import tasks
from bronzequay.platform import executor_entries, workers
from tests.control import test_leases

if TYPE_CHECKING:
    import pytest
    from trio.testing import MockClock

    from bronzequay.net import server
    from tests.control.site import Site

CLOCK_MS = 1_000_000.0
BACK_MS = 8_000.0
"""How far the next life's clock is behind: less than 2% of it, so that its answer passes."""
QUESTION_S = 0.45
"""Time until the worker answers whether it is there; below the timeout of the question."""
FREEZE_S = 12.0
LATE_S = 12.0
"""Longest time after which a call without an answer is carried out."""


async def test_a_lapse_does_not_free_a_run_whose_start_the_next_life_has_answered(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a second run beside one that was confirmed, and never listed, by a later life.

    Its lease there is up to the worker's limit, since the start's deadline is on the former clock.
    """
    executor = site.add_executor(1)
    executor.beats = True
    executor.clock_start_ms = CLOCK_MS
    site.crash(executor)
    site.reboot(executor)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(20.0)

    async def restart_at_start(req: server.Request) -> server.Response:
        if req.path == "/run-start" and not site.events("start"):
            executor.clock_start_ms = executor.clock_ms - BACK_MS
            site.crash(executor)
            site.reboot(executor)
            answer = await executor.handle(req)
            site.nursery.start_soon(cut_soon)
            return answer
        return await executor.handle(req)

    async def cut_soon() -> None:
        await trio.sleep(0.01)
        test_leases.cut(site, executor)

    site.network.hosts[executor.address] = restart_at_start
    site.submit(plan=tasks.Plan(run_s=60.0))
    await site.wait_until(lambda: site.events("start"), timeout_s=3.0)
    site.add_executor(2).beats = True
    await trio.sleep(45.0)
    assert any(run == 2 for _, run in site.events("start"))
    site.check_runs()


async def test_an_answer_counts_for_those_who_waited_though_another_start_asks_at_once() -> None:
    """Guards against starts withheld, and a worker marked silent, after it has answered.

    Whoever waits reads the result a turn later; a start that arrives meanwhile has reset it.
    """
    worker = executor_entries.worker_id(ids.ExecutorId("i-1"), 1)
    results: list[bool] = []

    class Client:
        async def hold(self, **_: Any) -> workers.Reply:
            await trio.sleep(0.01)
            listing = workers.Listing(clock_ms=1.0, started_ms=1, running=(), ended=())
            return workers.Reply(workers.Outcome.OK, 1.0, listing)

    asked = contact.Contact(worker, cast("workers.OrderClient", Client()), lambda: float("inf"))

    async def ask() -> None:
        results.append(await asked.ask())

    async def ask_and_again() -> None:
        await ask()
        # In place of a start that arrives in the same turn of the event loop.
        await ask()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask_and_again)
        await trio.sleep(0.001)
        nursery.start_soon(ask)
        nursery.start_soon(ask)
    assert results == [True] * 4


async def test_the_next_session_counts_a_start_that_was_in_progress_as_the_former_one_ended(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    """Guards against a second run after a suspension during a start whose worker restarts.

    The former session ends during the start; it counts that in its own wait, but hands on the time
    of the call before. The next session, which reaches nobody, frees the task by that time.
    """
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(20.0)
    is_restarted = is_cut = False

    async def handle(req: server.Request) -> server.Response:
        nonlocal is_cut
        if is_cut:
            await trio.sleep_forever()
        if req.path == "/hold" and b'"deadlineMs"' not in req.body:
            await trio.sleep(QUESTION_S)
            if is_restarted:
                # The next life answers a call of the former session, and nothing after that.
                is_cut = True
                site.nursery.start_soon(list_next)
        return await executor.handle(req)

    async def list_next() -> None:
        await trio.sleep(0.1)
        executor.list_entry()

    async def restart() -> None:
        nonlocal is_restarted
        await trio.sleep(0.02)
        former = executor.entry(born_ms=executor.born_ms)
        site.crash(executor)
        # The next life's entry arrives a little later.
        site.kv.put(f"servers/{executor.name}", former)
        executor.beats = False
        executor.boot()
        site.network.hosts[executor.address] = handle
        is_restarted = True

    send, is_frozen = workers.OrderClient.start, False

    async def send_after_suspension(
        self: workers.OrderClient, *args: Any, **kwargs: Any
    ) -> workers.Reply:
        nonlocal is_frozen
        if not is_frozen:
            is_frozen = True
            monkeypatch.setattr("bronzequay.clock.boot_s", lambda: trio.current_time() + FREEZE_S)
            executor.unanswered_calls["/run-start"] = 1
            executor.late_effect_s, executor.late_effect_survives_restart = LATE_S, True
            site.nursery.start_soon(restart)
        return await send(self, *args, **kwargs)

    monkeypatch.setattr(workers.OrderClient, "start", send_after_suspension)
    site.network.hosts[executor.address] = handle
    executor.unanswered_calls["/hold"] = 1
    await site.wait_until(lambda: not executor.unanswered_calls["/hold"])
    # The renewal times out, and a call that renews nothing follows, before the start is sent.
    await trio.sleep(1.85)
    site.submit(plan=tasks.Plan(run_s=60.0))
    await site.wait_until(lambda: is_restarted, timeout_s=3.0)
    site.add_executor(2).beats = True
    await trio.sleep(45.0)
    assert any(run == 2 for _, run in site.events("start"))
    site.check_runs()


async def test_a_start_that_waited_after_the_question_is_sent_only_if_its_worker_still_answers(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    """Guards against a start to a worker that has gone silent since it was asked.

    The copies that starts need become too old during the question and are read 1.5 s later.
    """
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(20.0)
    term = site.terms["a"]
    ask, check = contact.Contact.ask, term._intake.cancels.check
    monkeypatch.setattr(contact, "FRESH_S", 0.001)
    asked_s: list[float] = []
    sent_s: list[float] = []

    async def ask_then_lose_copies(self: contact.Contact) -> bool:
        has_answered = await ask(self)
        if has_answered and not asked_s:
            asked_s.append(trio.current_time())
            until_s = trio.current_time() + 1.5
            monkeypatch.setattr(
                term._intake.cancels,
                "check",
                lambda: trio.current_time() > until_s and check(),
            )
            site.network.cut.add(("a", executor.address))
        return has_answered

    send = workers.OrderClient.start

    async def note(self: workers.OrderClient, *args: Any, **kwargs: Any) -> workers.Reply:
        sent_s.append(trio.current_time())
        return await send(self, *args, **kwargs)

    monkeypatch.setattr(contact.Contact, "ask", ask_then_lose_copies)
    monkeypatch.setattr(workers.OrderClient, "start", note)
    site.submit(plan=tasks.Plan(run_s=1.0))
    await trio.sleep(5.0)
    assert asked_s
    assert [round(at_s - asked_s[0], 3) for at_s in sent_s if at_s - asked_s[0] > 0.6] == []
