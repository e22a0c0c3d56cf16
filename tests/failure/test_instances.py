"""Kills, pauses and shutdowns of entry instances that run as real processes."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import httpx
import trio

from bronzequay.policy import model
from tests.failure import callers

if TYPE_CHECKING:
    from bench import deployment

PAUSE_S = 8.0
JOB_COUNT = 12


async def start_traffic(run: deployment.Deployment, http: httpx.AsyncClient) -> callers.Callers:
    await run.roll_out(http)
    traffic = callers.Callers(run, http)
    await traffic.find_active_instance()
    await trio.sleep(2.0)
    return traffic


async def test_no_job_is_lost_or_run_twice_when_the_active_scheduler_is_killed(
    run: deployment.Deployment, http: httpx.AsyncClient
) -> None:
    traffic = await start_traffic(run, http)
    victim = await traffic.find_active_instance()
    for number in range(JOB_COUNT):
        answer = await traffic.submit(run.urls[number % 3], number)
        assert answer.is_success, answer.text
    victim.kill()
    survivor = next(entry for entry in run.entries if entry is not victim)
    urgent = await traffic.submit(survivor.url, JOB_COUNT, urgency="urgent")
    assert urgent.is_success, urgent.text
    records = await traffic.wait_for_records(survivor.url)
    assert {record.state for record in records.values()} == {model.JobState.FINISHED}
    traffic.check_log(records)


async def test_a_scheduler_paused_past_its_lease_causes_no_double_run_when_it_resumes(
    run: deployment.Deployment, http: httpx.AsyncClient
) -> None:
    traffic = await start_traffic(run, http)
    victim = await traffic.find_active_instance()
    for number in range(JOB_COUNT):
        await traffic.submit(run.urls[number % 3], number)
    victim.signal(signal.SIGSTOP)
    survivor = next(entry for entry in run.entries if entry is not victim)
    await trio.sleep(PAUSE_S)
    victim.signal(signal.SIGCONT)
    for number in range(JOB_COUNT, 2 * JOB_COUNT):
        answer = await traffic.submit(survivor.url, number)
        assert answer.is_success, answer.text
    records = await traffic.wait_for_records(survivor.url)
    assert {record.state for record in records.values()} == {model.JobState.FINISHED}
    traffic.check_log(records)
    states = [await traffic.fetch_state(url) for url in run.urls]
    assert sum(state["scheduler"]["active"] for state in states) == 1


async def test_a_graceful_shutdown_cuts_off_no_request_in_flight(
    run: deployment.Deployment, http: httpx.AsyncClient
) -> None:
    traffic = await start_traffic(run, http)
    entry = run.entries[0]
    await http.put(f"{run.executors.url}/faults", json={"delay_s": 0.3})
    answered = 0

    async def send() -> None:
        nonlocal answered
        while True:
            try:
                answer = await traffic.request(entry.url)
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
