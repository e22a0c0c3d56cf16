"""Outages of the platform's service, with real processes."""

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


async def test_an_outage_loses_no_running_job_and_refusals_are_true(
    run: deployment.Deployment, http: httpx.AsyncClient
) -> None:
    work = await test_instances.begin(run, http)
    for number in range(6):
        assert (await work.submit(run.urls[number % 3], number)).is_success
    await trio.sleep(1.0)
    await http.put(f"{run.platform.url}/faults", json={"down": True})
    async with trio.open_nursery() as nursery:
        for number in range(6, 9):
            nursery.start_soon(work.submit, run.urls[number % 3], number)
        for _ in range(20):
            answer = await work.request(run.urls[0])
            assert answer.is_success, answer.text
        await trio.sleep(OUTAGE_S)
    await http.put(f"{run.platform.url}/faults", json={})
    assert set(work.not_run) <= callers.NOT_ACCEPTED
    for number in range(6, 9):
        assert (await work.submit(run.urls[number % 3], number)).is_success
    records = await work.records(run.urls[0])
    assert {item.state for item in records.values()} == {model.JobState.FINISHED}
    work.check(records)


async def test_an_instance_started_in_an_outage_gets_the_bundle_from_a_peer(
    run: deployment.Deployment, http: httpx.AsyncClient
) -> None:
    work = await test_instances.begin(run, http)
    seed = (await work.state(run.urls[0]))["instance"]["mesh"]
    await http.put(f"{run.platform.url}/faults", json={"down": True})
    port = deployment.free_ports(1)[0]
    late = deployment.Process(
        "entry-late",
        (
            *(sys.executable, "-m", "bronzequay.daemon", "--instance", "entry-late"),
            *("--port", str(port), "--platform-url", run.platform.url, "--peers", seed),
            *("--region", run.site.region),
        ),
        run.logs / "entry-late.log",
        port,
    )
    late.start()
    try:
        await trio.to_thread.run_sync(run.wait_ready, late)
        with trio.fail_after(callers.END_TIMEOUT_S):
            while (await work.state(late.url))["bundle"]["version"] != 1:
                await trio.sleep(callers.POLL_S)
    finally:
        late.kill()
