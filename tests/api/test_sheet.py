from __future__ import annotations

import base64
from typing import TYPE_CHECKING

from bronzequay import codes
from tests.api import test_jobs

if TYPE_CHECKING:
    import httpx
    import trio


async def test_the_hire_sheet_shows_job_states_in_plain_words_without_scripts(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    job = {**test_jobs.VALID_JOB, "caller": "<b>c1</b>"}
    await http.post("/v1/jobs", json=job, headers=test_jobs.CALLER)
    password = base64.b64encode(b"me:org-a-token").decode()
    page = await http.get("/hire-sheet", headers={"authorization": f"Basic {password}"})
    assert page.status_code == 200
    assert "waiting" in page.text
    assert "&lt;b&gt;c1" in page.text
    assert "<script" not in page.text


async def test_a_request_without_a_token_gets_a_basic_authentication_challenge(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    response = await http.get("/hire-sheet")
    assert response.headers["www-authenticate"].startswith("Basic")
    assert response.json()["code"] == codes.ResultCode.UNAUTHENTICATED.value


async def test_a_caller_cannot_open_another_organisations_sheet(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    response = await http.get("/hire-sheet?org=org-b", headers=test_jobs.CALLER)
    assert response.json()["code"] == codes.ResultCode.FORBIDDEN.value
