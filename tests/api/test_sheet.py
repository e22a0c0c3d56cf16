from __future__ import annotations

import base64
from typing import TYPE_CHECKING

from bronzequay import codes
from tests.api import test_jobs

if TYPE_CHECKING:
    import httpx
    import trio


async def test_a_volunteer_reads_every_job_in_plain_words(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    job = {**test_jobs.GOOD, "caller": "<b>c1</b>"}
    await http.post("/v1/jobs", json=job, headers=test_jobs.CALLER)
    password = base64.b64encode(b"me:org-a-token").decode()
    page = await http.get("/hire-sheet", headers={"authorization": f"Basic {password}"})
    assert page.status_code == 200
    assert "waiting" in page.text
    assert "&lt;b&gt;c1" in page.text
    assert "<script" not in page.text


async def test_a_browser_is_asked_for_the_token(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    answer = await http.get("/hire-sheet")
    assert answer.headers["www-authenticate"].startswith("Basic")
    assert answer.json()["code"] == codes.ResultCode.UNAUTHENTICATED.value


async def test_the_sheet_keeps_to_the_own_organisation(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    answer = await http.get("/hire-sheet?org=org-b", headers=test_jobs.CALLER)
    assert answer.json()["code"] == codes.ResultCode.FORBIDDEN.value
