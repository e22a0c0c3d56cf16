"""For how long the run of a start without an answer is waited for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from bronzequay.fakes import tasks
from bronzequay.platform import workers
from tests.control import test_later_lives, test_leases

if TYPE_CHECKING:
    import pytest
    from trio.testing import MockClock

    from tests.control.site import Site

STOP_S = 6.0
"""Time that a run takes to stop, while its lease is renewed."""
LATE_S = 12.0
"""Longest time after which a call without an answer is carried out."""
FREEZE_S = 12.0


async def test_a_late_run_that_a_later_session_has_renewed_is_not_freed_by_the_earlier_wait(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    """Guards against a second run beside one that renewals for another life have extended.

    The first life leaves two unanswered starts of a run. The second carries out one, which its
    session renews while the run is being stopped; the third carries out the other and a renewal.
    """
    monkeypatch.setattr("bronzequay.fakes.executors.STOP_DURATION_S", STOP_S)
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await trio.sleep(20.0)
    executor.late_effect_survives_restart = True
    executor.unanswered_calls["/run-start"] = 1
    executor.late_effect_s = 0.75
    site.submit(plan=tasks.Plan(run_s=60.0))
    await site.wait_until(lambda: not executor.unanswered_calls["/run-start"], timeout_s=3.0)
    sent_s = trio.current_time()
    executor.unanswered_calls["/run-start"] = 1
    executor.late_effect_s = LATE_S
    await site.wait_until(lambda: not executor.unanswered_calls["/run-start"], timeout_s=3.0)
    executor.clock_start_ms = executor.clock_ms
    site.crash(executor)
    site.reboot(executor)
    await site.wait_until(lambda: executor.runs, timeout_s=2.0)
    site.add_executor(2).beats = True
    await trio.sleep(sent_s + 5.0 - trio.current_time())
    executor.unanswered_calls["/hold"] = 1
    await site.wait_until(lambda: not executor.unanswered_calls["/hold"], timeout_s=3.0)
    executor.clock_start_ms = 0.0
    test_leases.cut(site, executor)
    site.crash(executor)
    site.reboot(executor)
    await trio.sleep(sent_s + 40.0 - trio.current_time())
    site.check_runs()


async def test_a_start_that_was_sent_after_a_suspension_is_waited_for_since_it_was_sent(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    """Guards against a second run when the machine is suspended between the note and the call.

    The store has paused the leader lease meanwhile, so that the term goes on.
    """
    send, is_frozen = workers.OrderClient.start, False

    async def send_after_suspension(
        self: workers.OrderClient, *args: Any, **kwargs: Any
    ) -> workers.Reply:
        nonlocal is_frozen
        if not is_frozen:
            is_frozen = True
            monkeypatch.setattr("bronzequay.clock.boot_s", lambda: trio.current_time() + FREEZE_S)
        return await send(self, *args, **kwargs)

    monkeypatch.setattr(workers.OrderClient, "start", send_after_suspension)
    executor = await test_later_lives.lose_start(site, late_s=test_later_lives.LATE_S)
    test_later_lives.reboot_cut_off(site, executor, "next")
    site.add_executor(2).beats = True
    await trio.sleep(45.0)
    site.check_runs()
    assert any(run == 2 for _, run in site.events("start"))
