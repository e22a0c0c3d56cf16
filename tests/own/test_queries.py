"""Queries on an instance's own port: jobs, reasons and the hire sheet."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import hypothesis
import msgspec
import pytest
import trio
from hypothesis import strategies as st

from bronzequay import ids
from bronzequay.control import keys, status, sweep
from bronzequay.core import model
from bronzequay.fakes import tasks
from bronzequay.front import config_watcher
from bronzequay.net import server
from bronzequay.obs import report
from bronzequay.own import queries, records
from bronzequay.platform import instances, kv
from bronzequay.policy import model as policy_model
from tests.control.network import SOURCE
from tests.control.site import CONFIG_S, ONE_GPU, STORE

if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.control.site import Site

ANALYST = "analyst-token"


class Caller:
    """Sends queries to one instance."""

    def __init__(self, query_handler: queries.QueryHandler) -> None:
        self._query_handler = query_handler

    async def send(
        self, target: str, *, key: str = "key-one", method: str = "GET"
    ) -> server.Response:
        path, _, query = target.partition("?")
        headers = {"authorization": f"Bearer {key}"}
        return await self._query_handler.handle(server.Request(method, path, headers, b"", query))

    async def read(self, target: str, *, key: str = "key-one") -> dict[str, object]:
        response = await self.send(target, key=key)
        assert response.status == 200, response.body
        body: dict[str, object] = json.loads(response.body)
        return body


async def start_caller(site: Site) -> Caller:
    SOURCE.set("own")
    store = kv.Store(STORE)
    watcher = config_watcher.ConfigurationWatcher(store, config_s=CONFIG_S)
    site.nursery.start_soon(watcher.run)
    await watcher.loaded.wait()
    query_handler = queries.QueryHandler(
        store,
        watcher,
        explain=lambda job: next(
            (reason for term in site.terms.values() if (reason := term.explain(job))), None
        ),
        dump=lambda: {"instance": "a"},
        analyst_token=ANALYST,
        term_state=lambda epoch: instances.TermState(ids.InstanceId("a"), epoch, epoch == 7),
    )
    return Caller(query_handler)


async def test_a_finished_job_is_shown_with_its_times_and_reason(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    caller = await start_caller(site)
    job = site.submit(plan=tasks.Plan(run_s=2.0))
    await site.wait_for(job, "completed")
    job_body = await caller.read(f"/v1/jobs/{job}")
    assert job_body["state"] == "finished"
    assert job_body["accepted_s"] <= job_body["started_s"] < job_body["ended_s"]  # type: ignore[operator]
    why_body = await caller.read(f"/v1/jobs/{job}/why")
    assert why_body["why"] == "completed: every task is done"


async def test_the_reason_of_a_failure_names_the_task_and_the_worker(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    caller = await start_caller(site)
    job = site.submit(plan=tasks.Plan(run_s=0.2, fails=9))
    await site.wait_for(job, "failed")
    why_body = await caller.read(f"/v1/jobs/{job}/why")
    assert why_body["why"] == "failed: task 0 of step 0 failed 3 times, last on i-1@1"


async def test_the_reason_of_a_waiting_job_comes_from_the_scheduler(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    caller = await start_caller(site)
    step = model.Step(count=2, need=model.Resources(1000, 1000, 8), estimate_s=1.0, is_gang=True)
    job = site.submit(step, plan=tasks.Plan(gang=2))
    await trio.sleep(1.0)
    why = (await caller.read(f"/v1/jobs/{job}/why"))["why"]
    assert why == (
        "step 0: 2 of 2 tasks wait for 8 accelerators, 1 cores and 1000 MB each; "
        "1 such places are free on 1 workers; all have to start at once; "
        "0 steps come before it"
    )


async def test_an_organisation_sees_only_its_own_jobs(
    autojump_clock: MockClock, site: Site
) -> None:
    caller = await start_caller(site)
    first, second = site.submit(org="one"), site.submit(org="two")

    async def names(key: str) -> set[str]:
        body = await caller.read("/v1/jobs", key=key)
        return {row["job"] for row in body["jobs"]}  # type: ignore[attr-defined]

    assert await names("key-one") == {first}
    assert await names("key-two") == {second}
    assert await names(ANALYST) == {first, second}
    assert (await caller.send(f"/v1/jobs/{second}")).status == 404
    assert (await caller.send("/v1/jobs", key="none")).status == 401


async def test_a_job_list_is_limited_and_filtered(autojump_clock: MockClock, site: Site) -> None:
    caller = await start_caller(site)
    for _ in range(3):
        await trio.sleep(1.0)
        last = site.submit()
    body = await caller.read("/v1/jobs?limit=1&state=accepted")
    assert [row["job"] for row in body["jobs"]] == [last]  # type: ignore[attr-defined]
    assert (await caller.read("/v1/jobs?state=finished"))["jobs"] == []


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("/v1/jobs?limit=0", 400),
        ("/v1/jobs?state=odd", 400),
        ("/v1/jobs/0/odd", 404),
        ("/odd", 404),
    ],
)
async def test_an_invalid_query_gets_a_result_code(
    autojump_clock: MockClock, site: Site, target: str, expected: int
) -> None:
    caller = await start_caller(site)
    response = await caller.send(target)
    assert response.status == expected
    assert json.loads(response.body)["code"] >= 200


async def test_a_method_other_than_get_is_not_allowed(
    autojump_clock: MockClock, site: Site
) -> None:
    caller = await start_caller(site)
    assert (await caller.send("/v1/jobs", method="POST")).status == 405


async def test_the_hire_sheet_shows_states_in_plain_words(
    autojump_clock: MockClock, site: Site
) -> None:
    caller = await start_caller(site)
    job = site.submit()
    page = (await caller.send("/hire-sheet")).body.decode()
    assert f"<td>{job}</td>" in page
    assert "<td>waiting</td>" in page


async def test_ended_jobs_are_removed_after_the_retention_period(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    ended = [site.submit() for _ in range(40)]
    for job in ended:
        await site.wait_for(job, "completed")
    waiting = site.submit(model.Step(need=model.Resources(1, 1, 99)))
    store = kv.Store(STORE)
    assert await sweep.remove_expired(store, retention_s=300.0) == 0
    await trio.sleep(301.0)
    assert await sweep.remove_expired(store, retention_s=300.0) == 40
    assert site.kv.keys(keys.STATES) == [keys.state(waiting)]


@hypothesis.given(
    st.sampled_from(model.JobState), st.floats(1, 1e9), st.floats(0, 1e9), st.integers(0, 99)
)
def test_every_job_state_is_converted_to_a_record(
    state: model.JobState, accepted_s: float, begun_s: float, failures: int
) -> None:
    job_status = status.Status(
        state.value,
        ids.OrgId("o"),
        accepted_s=accepted_s,
        begun_s=begun_s,
        ended_s=accepted_s if state in model.FINAL_STATES else 0.0,
        failures=failures,
    )
    record = records.job_record(ids.JobId("0" * 16), status.decode(status.encode(job_status)))
    assert (record.state in policy_model.FINAL_STATES) == (state in model.FINAL_STATES)
    assert record.history[-1].at_s in (accepted_s, begun_s)


async def test_the_report_shows_jobs_and_to_the_analyst_how_well_they_were_predicted(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against predictions that nobody can judge without the scheduler's state dump."""
    site.add_executor(1)
    site.start_scheduler("a")
    caller = await start_caller(site)
    job = site.submit(model.Step(need=ONE_GPU, estimate_s=2.0), plan=tasks.Plan(run_s=2.0))
    await site.wait_for(job, "completed")
    await site.wait_until(lambda: site.kv.keys(keys.LEARNED))
    body = (await caller.send("/v1/report", key=ANALYST)).body
    found = msgspec.json.decode(body, type=report.Report)
    assert [line.job for line in found.lines] == [job]
    assert found.predictions is not None
    assert 0.5 < found.predictions.ratio_p50 < 2.0
    assert set(found.predictions.groups.values()) == {(1.0,)}
    assert "predicted over actual run time" in report.render_text(found)
    assert (await caller.read("/v1/report?to=1"))["lines"] == []
    assert "predictions" not in await caller.read("/v1/report")
    assert (await caller.send("/v1/report?from=x")).status == 400


async def test_a_key_that_may_have_been_withdrawn_is_not_accepted(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against keys of a configuration that could not be read for any length of time."""
    caller = await start_caller(site)
    assert (await caller.send("/v1/jobs")).status == 200
    site.network.cut.add(("own", STORE))
    await trio.sleep(CONFIG_S)
    site.network.cut.clear()
    assert (await caller.send("/v1/jobs")).status == 503
    await trio.sleep(CONFIG_S)
    assert (await caller.send("/v1/jobs")).status == 200


async def test_an_instance_tells_whether_it_holds_a_term(
    autojump_clock: MockClock, site: Site
) -> None:
    caller = await start_caller(site)
    held = {"instance": "a", "epoch": 7, "isHeld": True}
    assert await caller.read("/v1/terms/7") == held
    assert await caller.read("/v1/terms/8") == {**held, "epoch": 8, "isHeld": False}
    assert (await caller.send("/v1/terms/x")).status == 404
