"""Outages of the platform's service, with all parts as real processes."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import trio

from bench import deployment
from bronzequay.policy import model
from tests.failure import callers, test_instances

if TYPE_CHECKING:
    import httpx

OUTAGE_S = 8.0


async def test_an_outage_loses_no_running_job_and_refused_submits_say_not_accepted(
    run: deployment.Deployment, http: httpx.AsyncClient
) -> None:
    traffic = await test_instances.start_traffic(run, http)
    for number in range(6):
        assert (await traffic.submit(run.urls[number % 3], number)).is_success
    await trio.sleep(1.0)
    await http.put(f"{run.platform.url}/faults", json={"down": True})
    async with trio.open_nursery() as nursery:
        for number in range(6, 9):
            nursery.start_soon(traffic.submit, run.urls[number % 3], number)
        for _ in range(20):
            answer = await traffic.request(run.urls[0])
            assert answer.is_success, answer.text
        await trio.sleep(OUTAGE_S)
    await http.put(f"{run.platform.url}/faults", json={})
    assert set(traffic.not_run_codes) <= callers.NOT_ACCEPTED_CODES
    for number in range(6, 9):
        assert (await traffic.submit(run.urls[number % 3], number)).is_success
    records = await traffic.wait_for_records(run.urls[0])
    assert {record.state for record in records.values()} == {model.JobState.FINISHED}
    traffic.check_log(records)


async def test_an_instance_started_in_an_outage_gets_the_bundle_from_a_peer(
    run: deployment.Deployment, http: httpx.AsyncClient
) -> None:
    traffic = await test_instances.start_traffic(run, http)
    peer = (await traffic.fetch_state(run.urls[0]))["instance"]["mesh"]
    await http.put(f"{run.platform.url}/faults", json={"down": True})
    port = deployment.free_ports(1)[0]
    late_entry = deployment.Process(
        "entry-late",
        (
            *(sys.executable, "-m", "bronzequay.daemon", "--instance", "entry-late"),
            *("--port", str(port), "--platform-url", run.platform.url, "--peers", peer),
            *("--region", run.site.region),
        ),
        run.logs / "entry-late.log",
        port,
    )
    late_entry.start()
    try:
        await trio.to_thread.run_sync(run.wait_ready, late_entry)
        with trio.fail_after(callers.END_TIMEOUT_S):
            while (await traffic.fetch_state(late_entry.url))["bundle"]["version"] != 1:
                await trio.sleep(callers.POLL_INTERVAL_S)
    finally:
        late_entry.kill()
