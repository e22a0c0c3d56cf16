"""Acknowledgements of ended runs, which must not reach a later life of their worker."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from bronzequay.control import listings
from bronzequay.core import model
from bronzequay.fakes import tasks
from bronzequay.platform import workers
from tests.control import test_leases

if TYPE_CHECKING:
    import pytest
    from trio.testing import MockClock

    from tests.control.site import Site


def ends(*numbers: int) -> tuple[workers.EndedRun, ...]:
    key = model.TaskKey("j", 0, 0, 0)  # type: ignore[arg-type]
    return tuple(workers.EndedRun(number, key, 1, model.End.DONE, "") for number in numbers)


def test_an_end_is_acknowledged_until_one_call_with_it_has_been_answered() -> None:
    acks = listings.Acknowledgements()
    assert acks.next_number(has_answered=True) == 0
    acks.on_durable(ends(1, 2))
    assert acks.next_number(has_answered=True) == 2
    # That call goes unanswered; the next one may reach a later life.
    assert acks.next_number(has_answered=False) == 0
    acks.on_answer()
    assert acks.next_number(has_answered=True) == 2
    acks.on_answer()
    assert acks.next_number(has_answered=True) == 0
    acks.on_durable(ends(3))
    assert acks.next_number(has_answered=True) == 3


async def test_a_life_that_no_term_has_reached_keeps_its_ends(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    """Guards against an idle call to a former life that makes the next forget an unread end."""
    sent: list[int] = []
    hold = workers.OrderClient.hold

    async def record(self: workers.OrderClient, **options: Any) -> workers.Reply:
        sent.append(options["last_seen_end"])
        return await hold(self, **options)

    monkeypatch.setattr(workers.OrderClient, "hold", record)
    executor = await test_leases.run_one(site)
    job = site.submit(plan=tasks.Plan(run_s=0.5))
    await site.wait_for(job, "completed", timeout_s=3.0)
    await trio.sleep(3.0)
    assert sent.count(1) == 1
    del sent[:]
    site.crash(executor)
    site.reboot(executor)
    await trio.sleep(4.0)
    assert sent
    assert not any(sent)
