"""Publication of the predicted waits, and refusals of jobs by them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import figures
from bronzequay.control import admission, keys, status
from bronzequay.core import model
from bronzequay.fakes import kv, tasks
from tests.control.site import EIGHT_GPUS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from trio.testing import MockClock

    from bronzequay.net import server
    from tests.control.site import Site

    Send = Callable[..., Awaitable[server.Response]]

LONG = model.Step(count=40, need=EIGHT_GPUS, estimate_s=30.0)
BODY = {
    "spec": "x",
    "steps": [{"count": 1, "cpu": 1000, "memMb": 10, "gpu": 1, "estimateMs": 1000}],
}


def overload(site: Site) -> None:
    """Load: one worker, and 1,200 s of its work in a queue of priority 1."""
    site.has_admission = True
    site.add_executor(1)
    site.start_scheduler("a")
    site.submit(LONG, plan=tasks.Plan(run_s=30.0))


def published(site: Site) -> admission.Waits | None:
    value = site.kv.get(keys.ADMISSION)
    return None if value is None else admission.decode(value)


async def wait_for_refusal(send: Send, path: str = "/q2/") -> server.Response:
    """Submit jobs until one is refused."""
    with trio.fail_after(20.0):
        for number in range(1000):
            response = await send("POST", f"{path}{number:016x}", BODY)
            if response.status != 200:
                return response
            await trio.sleep(0.5)
    raise AssertionError


async def test_a_job_that_would_end_too_late_is_refused_with_the_predicted_wait(
    autojump_clock: MockClock, site: Site
) -> None:
    overload(site)
    send = await site.start_front("f")
    response = await wait_for_refusal(send)
    assert response.status == 503
    retry_after_s = int(dict(response.headers)["Retry-After"])
    assert 300 <= retry_after_s <= 600
    assert figures.counters['jobs_refused{queue="q2"}'] >= 1
    refused = "f" * 16
    assert (await send("POST", f"/q2/{refused}", BODY)).status == 503
    tombstone = status.decode(site.kv.get(f"{keys.STATES}{refused}") or b"")
    assert tombstone.is_tombstone
    assert (await send("GET", f"/q2/{refused}")).status == 410
    assert site.kv.get(f"{keys.JOBS}{refused}") is None


async def test_guaranteed_work_and_jobs_that_were_accepted_are_not_refused(
    autojump_clock: MockClock, site: Site
) -> None:
    overload(site)
    send = await site.start_front("f")
    accepted = "e" * 16
    assert (await send("POST", f"/q2/{accepted}", BODY)).status == 200
    await wait_for_refusal(send)
    assert (await send("POST", f"/q2/{accepted}", BODY)).status == 200
    assert (await send("POST", f"/q0/{'d' * 16}", BODY)).status == 200


async def test_the_waits_are_published_once_a_second_while_a_queue_is_overloaded(
    autojump_clock: MockClock, site: Site
) -> None:
    overload(site)
    await site.wait_until(lambda: published(site))
    times = set()
    for _ in range(100):
        await trio.sleep(0.05)
        waits = published(site)
        assert waits is not None
        times.add(waits.written_s)
    assert 4 <= len(times) <= 6


async def test_nothing_is_published_without_overload(autojump_clock: MockClock, site: Site) -> None:
    site.has_admission = True
    site.add_executor(1)
    site.start_scheduler("a")
    site.submit(model.Step(count=1, need=EIGHT_GPUS, estimate_s=30.0), plan=tasks.Plan(run_s=30.0))
    await trio.sleep(10.0)
    assert published(site) is None


async def test_nothing_is_published_or_refused_unless_the_setting_is_on(
    autojump_clock: MockClock, site: Site
) -> None:
    overload(site)
    site.has_admission = False
    send = await site.start_front("f")
    await trio.sleep(10.0)
    assert published(site) is None
    assert (await send("POST", f"/q2/{'c' * 16}", BODY)).status == 200


async def test_waits_expire_when_no_scheduler_publishes_them(
    autojump_clock: MockClock, site: Site
) -> None:
    overload(site)
    send = await site.start_front("f")
    await wait_for_refusal(send)
    site.kill("a")
    await trio.sleep(3.5)
    assert (await send("POST", f"/q2/{'c' * 16}", BODY)).status == 200


async def test_an_old_or_unreadable_value_refuses_nothing(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against values that an earlier term has left and against damaged ones."""
    site.has_admission = True
    waits = admission.Waits(990.0, {"q2": 500.0})  # type: ignore[dict-item]
    site.kv.put(keys.ADMISSION, admission.encode(waits))
    send = await site.start_front("f")
    await trio.sleep(0.5)
    assert (await send("POST", f"/q2/{'b' * 16}", BODY)).status == 200
    site.kv.put(keys.ADMISSION, b"\xff")
    await trio.sleep(0.5)
    assert (await send("POST", f"/q2/{'c' * 16}", BODY)).status == 200


async def test_instances_read_the_waits_again_after_their_watch_was_lost(
    autojump_clock: MockClock, site: Site
) -> None:
    overload(site)
    send = await site.start_front("f")
    await wait_for_refusal(send)
    site.kv.faults = kv.Faults(deaf=True)
    await trio.sleep(6.0)
    site.kv.faults = kv.Faults()
    await trio.sleep(4.0)
    assert (await send("POST", f"/q2/{'c' * 16}", BODY)).status == 503


async def test_publication_goes_on_after_failed_writes(
    autojump_clock: MockClock, site: Site
) -> None:
    """A write that fails is not repeated, and the next one is made a second later."""
    overload(site)
    await site.wait_until(lambda: published(site))
    failed = figures.counters["admission_unpublished"]
    site.kv.faults = kv.Faults(busy=True)
    await trio.sleep(2.5)
    site.kv.faults = kv.Faults()
    assert 1 <= figures.counters["admission_unpublished"] - failed <= 3
    await trio.sleep(2.0)
    waits = published(site)
    assert waits is not None
    assert 1000.0 + trio.current_time() - waits.written_s < 2.0
