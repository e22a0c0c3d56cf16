"""The own interface on the platform: jobs, reasons, the hire sheet, the state."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import hypothesis
import pytest
import trio
from hypothesis import strategies as st

from bronzequay import ids
from bronzequay.control import keys, status, sweep
from bronzequay.core import model
from bronzequay.fakes import executors
from bronzequay.front import follow
from bronzequay.net import server
from bronzequay.own import desk, records
from bronzequay.platform import kv
from bronzequay.policy import model as own_model
from tests.control.network import SOURCE
from tests.control.site import STORE

if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.control.site import Site

ANALYST = "analyst-token"


class Caller:
    """Asks one instance's own port."""

    def __init__(self, made: desk.Desk) -> None:
        self._desk = made

    async def ask(self, target: str, *, key: str = "key-one", method: str = "GET") -> server.Answer:
        path, _, query = target.partition("?")
        headers = {"authorization": f"Bearer {key}"}
        return await self._desk.handle(server.Request(method, path, headers, b"", query))

    async def read(self, target: str, *, key: str = "key-one") -> dict[str, object]:
        answer = await self.ask(target, key=key)
        assert answer.status == 200, answer.body
        found: dict[str, object] = json.loads(answer.body)
        return found


async def caller(site: Site) -> Caller:
    SOURCE.set("own")
    store = kv.Store(STORE)
    follower = follow.Follower(store)
    site.nursery.start_soon(follower.run)
    await follower.known.wait()
    made = desk.Desk(
        store,
        follower,
        explain=lambda job: next(
            (reason for term in site.terms.values() if (reason := term.explain(job))), None
        ),
        dump=lambda: {"instance": "a"},
        analyst_token=ANALYST,
    )
    return Caller(made)


async def test_a_job_is_shown_from_acceptance_to_its_end(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    own = await caller(site)
    job = site.submit(plan=executors.Plan(run_s=2.0))
    await site.wait_for(job, "completed")
    shown = await own.read(f"/v1/jobs/{job}")
    assert shown["state"] == "finished"
    assert shown["accepted_s"] <= shown["started_s"] < shown["ended_s"]  # type: ignore[operator]
    why = await own.read(f"/v1/jobs/{job}/why")
    assert why["why"] == "completed: every task is done"


async def test_the_reason_of_a_failure_names_the_task_and_the_worker(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    own = await caller(site)
    job = site.submit(plan=executors.Plan(run_s=0.2, fails=9))
    await site.wait_for(job, "failed")
    why = await own.read(f"/v1/jobs/{job}/why")
    assert why["why"] == "failed: task 0 of step 0 failed 3 times, last on i-1@1"


async def test_the_scheduler_tells_what_a_waiting_job_waits_for(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_executor(1)
    site.start_scheduler("a")
    own = await caller(site)
    step = model.Step(count=2, need=model.Resources(1000, 1000, 8), estimate_s=1.0, is_gang=True)
    job = site.submit(step, plan=executors.Plan(gang=2))
    await trio.sleep(1.0)
    why = (await own.read(f"/v1/jobs/{job}/why"))["why"]
    assert why == (
        "step 0: 2 of 2 tasks wait for 8 accelerators, 1 cores and 1000 MB each; "
        "1 such places are free on 1 workers; all have to start at once; "
        "0 steps come before it"
    )


async def test_an_organisation_sees_its_own_jobs_alone(
    autojump_clock: MockClock, site: Site
) -> None:
    own = await caller(site)
    first, second = site.submit(org="one"), site.submit(org="two")

    async def names(key: str) -> set[str]:
        found = await own.read("/v1/jobs", key=key)
        return {row["job"] for row in found["jobs"]}  # type: ignore[attr-defined]

    assert await names("key-one") == {first}
    assert await names("key-two") == {second}
    assert await names(ANALYST) == {first, second}
    assert (await own.ask(f"/v1/jobs/{second}")).status == 404
    assert (await own.ask("/v1/jobs", key="none")).status == 401


async def test_a_list_is_cut_and_filtered(autojump_clock: MockClock, site: Site) -> None:
    own = await caller(site)
    for _ in range(3):
        await trio.sleep(1.0)
        last = site.submit()
    found = await own.read("/v1/jobs?limit=1&state=accepted")
    assert [row["job"] for row in found["jobs"]] == [last]  # type: ignore[attr-defined]
    assert (await own.read("/v1/jobs?state=finished"))["jobs"] == []


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("/v1/jobs?limit=0", 400),
        ("/v1/jobs?state=odd", 400),
        ("/v1/jobs/0/odd", 404),
        ("/odd", 404),
    ],
)
async def test_bad_questions_get_a_numbered_error(
    autojump_clock: MockClock, site: Site, target: str, expected: int
) -> None:
    own = await caller(site)
    answer = await own.ask(target)
    assert answer.status == expected
    assert json.loads(answer.body)["code"] >= 200


async def test_only_questions_are_answered(autojump_clock: MockClock, site: Site) -> None:
    own = await caller(site)
    assert (await own.ask("/v1/jobs", method="POST")).status == 405


async def test_the_hire_sheet_tells_states_in_plain_words(
    autojump_clock: MockClock, site: Site
) -> None:
    own = await caller(site)
    job = site.submit()
    page = (await own.ask("/hire-sheet")).body.decode()
    assert f"<td>{job}</td>" in page
    assert "<td>waiting</td>" in page


async def test_jobs_that_ended_long_ago_are_removed(autojump_clock: MockClock, site: Site) -> None:
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
def test_every_state_has_a_record(
    state: model.JobState, accepted_s: float, begun_s: float, failures: int
) -> None:
    told = status.Status(
        state.value,
        ids.OrgId("o"),
        accepted_s=accepted_s,
        begun_s=begun_s,
        ended_s=accepted_s if state in model.FINAL_STATES else 0.0,
        failures=failures,
    )
    record = records.of(ids.JobId("0" * 16), status.decode(status.encode(told)))
    assert (record.state in own_model.FINAL_STATES) == (state in model.FINAL_STATES)
    assert record.history[-1].at_s in (accepted_s, begun_s)
