"""Queues whose starts need tickets of the advice service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay.core import model
from bronzequay.fakes import tasks
from tests.control.site import ONE_GPU, gang

if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.control.site import Site


async def test_tasks_start_only_where_the_service_allows_it(
    autojump_clock: MockClock, site: Site
) -> None:
    advice = site.add_advice({"i-2", "i-5"})
    for number in range(6):
        site.add_executor(number)
    site.start_scheduler("a")
    job = site.submit(gang(2), plan=tasks.Plan(run_s=1.0, gang=2))
    await site.wait_for(job, "completed", timeout_s=5.0)
    assert {executor for _, event, executor, _, _ in site.world.log if event == "start"} <= {
        "i-2",
        "i-5",
    }
    assert len(advice.queries) == 1


async def test_an_expired_ticket_is_requested_again(autojump_clock: MockClock, site: Site) -> None:
    advice = site.add_advice({"i-1"})
    site.add_executor(1)
    site.start_scheduler("a")
    step = model.Step(count=2, need=model.Resources(1000, 1000, 8), estimate_s=5.0)
    job = site.submit(step, plan=tasks.Plan(run_s=5.0))
    await site.wait_for(job, "completed", timeout_s=15.0)
    assert len(advice.queries) == 2
    site.check_runs()


async def test_a_ticket_rejected_by_a_worker_is_requested_again(
    autojump_clock: MockClock, site: Site
) -> None:
    advice = site.add_advice({"i-1"})
    site.add_executor(1)
    site.start_scheduler("a")
    job = site.submit(model.Step(need=model.Resources(1000, 1000, 1), estimate_s=1.0))
    await site.wait_until(lambda: advice.queries)
    await trio.sleep(0.03)
    assert site.world.tickets is not None
    site.world.tickets.clear()
    await site.wait_for(job, "completed", timeout_s=8.0)


async def test_an_unanswered_query_is_sent_again(autojump_clock: MockClock, site: Site) -> None:
    advice = site.add_advice({"i-1"})
    advice.unanswered_queries = 1
    site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_for(site.submit(), "completed", timeout_s=10.0)


async def test_denied_workers_are_queried_only_once(autojump_clock: MockClock, site: Site) -> None:
    advice = site.add_advice(set())
    for number in range(3):
        site.add_executor(number)
    site.start_scheduler("a")
    site.submit(model.Step(need=ONE_GPU))
    await trio.sleep(5.0)
    assert [len(names) for names in advice.queries] == [3]
    site.add_executor(7)
    advice.allowed.add("i-7")
    await site.wait_until(lambda: site.events("done"), timeout_s=5.0)


async def test_a_query_that_takes_as_long_as_the_configuration_says_is_answered(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a queue with slow advice that never starts a job."""
    advice = site.add_advice({"i-1"}, decide_ms=4000)
    advice.valid_ms = 8000
    site.add_executor(1)
    site.start_scheduler("a")
    job = site.submit(model.Step(need=ONE_GPU, estimate_s=1.0))
    await site.wait_for(job, "completed", timeout_s=10.0)
    assert len(advice.queries) == 1
