"""For how long the run of a start without an answer is waited for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from bronzequay.platform import workers
from tests.control import test_later_lives

if TYPE_CHECKING:
    import pytest
    from trio.testing import MockClock

    from tests.control.site import Site

FREEZE_S = 12.0


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
