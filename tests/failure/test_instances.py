"""Kills, freezes and shutdowns of entry instances, as real processes."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import httpx
import trio

from bronzequay.policy import model
from tests.failure import callers

if TYPE_CHECKING:
    from bench import deployment

FREEZE_S = 8.0
JOBS = 12


async def begin(run: deployment.Deployment, http: httpx.AsyncClient) -> callers.Callers:
    await run.roll_out(http)
    work = callers.Callers(run, http)
    await work.active()
    await trio.sleep(2.0)
    return work


async def test_no_job_is_lost_or_doubled_when_the_active_scheduler_is_killed(
    run: deployment.Deployment, http: httpx.AsyncClient
) -> None:
    work = await begin(run, http)
    victim = await work.active()
    for number in range(JOBS):
        answer = await work.submit(run.urls[number % 3], number)
        assert answer.is_success, answer.text
    victim.kill()
    survivor = next(entry for entry in run.entries if entry is not victim)
    urgent = await work.submit(survivor.url, JOBS, urgency="urgent")
    assert urgent.is_success, urgent.text
    records = await work.records(survivor.url)
    assert {item.state for item in records.values()} == {model.JobState.FINISHED}
    work.check(records)


async def test_a_scheduler_frozen_past_its_lease_acts_on_nothing_when_it_comes_back(
    run: deployment.Deployment, http: httpx.AsyncClient
) -> None:
    work = await begin(run, http)
    victim = await work.active()
    for number in range(JOBS):
        await work.submit(run.urls[number % 3], number)
    victim.signal(signal.SIGSTOP)
    survivor = next(entry for entry in run.entries if entry is not victim)
    await trio.sleep(FREEZE_S)
    victim.signal(signal.SIGCONT)
    for number in range(JOBS, 2 * JOBS):
        answer = await work.submit(survivor.url, number)
        assert answer.is_success, answer.text
    records = await work.records(survivor.url)
    assert {item.state for item in records.values()} == {model.JobState.FINISHED}
    work.check(records)
    states = [await work.state(url) for url in run.urls]
    assert sum(state["scheduler"]["active"] for state in states) == 1


async def test_a_graceful_shutdown_cuts_no_request_in_progress(
    run: deployment.Deployment, http: httpx.AsyncClient
) -> None:
    work = await begin(run, http)
    entry = run.entries[0]
    await http.put(f"{run.executors.url}/faults", json={"delay_s": 0.3})
    answered = 0

    async def send() -> None:
        nonlocal answered
        while True:
            try:
                answer = await work.request(entry.url)
            except httpx.ConnectError:
                return
            if not answer.is_success:
                assert answer.json()["is_not_run"], answer.text
                return
            answered += 1

    async with trio.open_nursery() as nursery:
        for _ in range(12):
            nursery.start_soon(send)
        await trio.sleep(1.0)
        entry.signal(signal.SIGTERM)
        assert await trio.to_thread.run_sync(entry.wait) == 0
    assert answered >= 12
