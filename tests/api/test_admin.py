from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from bronzequay import codes
from tests.api.conftest import bundle_text
from tests.api.test_jobs import bearer

if TYPE_CHECKING:
    import httpx
    import trio

Code = codes.ResultCode
OPERATOR, REVIEWER, ANALYST = bearer("op-token"), bearer("rev-token"), bearer("ana-token")
CALLER = bearer("org-a-token")


async def test_a_bundle_passes_draft_review_sign_off_and_roll_out(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    draft = await http.post("/v1/bundles", content=bundle_text(), headers=OPERATOR)
    digest = draft.json()["digest"]
    await http.post(f"/v1/bundles/{digest}/review", headers=OPERATOR)
    await http.post(f"/v1/bundles/{digest}/sign-off", headers=REVIEWER)
    body = {"digest": digest, "expected": 0}
    entry = await http.post("/v1/bundles/roll-out", json=body, headers=OPERATOR)
    assert entry.json()["version"] == 1
    history = await http.get("/v1/bundles", headers=ANALYST)
    assert [item["digest"] for item in history.json()["versions"]] == [digest]
    repeated = await http.post("/v1/bundles/roll-out", json=body, headers=OPERATOR)
    assert repeated.json()["code"] == Code.BUNDLE_CONFLICT.value
    text = await http.get(f"/v1/bundles/{digest}/text", headers=REVIEWER)
    assert text.content == bundle_text()


@pytest.mark.parametrize(
    ("method", "path", "headers"),
    [
        ("POST", "/v1/bundles", CALLER),
        ("POST", "/v1/bundles", REVIEWER),
        ("POST", "/v1/bundles", ANALYST),
        ("POST", f"/v1/bundles/{'0' * 64}/sign-off", OPERATOR),
        ("POST", f"/v1/bundles/{'0' * 64}/sign-off", CALLER),
        ("POST", "/v1/bundles/roll-out", REVIEWER),
        ("POST", "/v1/bundles/roll-out", CALLER),
        ("GET", "/v1/bundles", CALLER),
        ("GET", "/v1/state", CALLER),
        ("GET", "/v1/state", ANALYST),
        ("POST", "/v1/jobs/cancel", ANALYST),
    ],
)
async def test_a_role_is_refused_actions_outside_its_rights(
    http: httpx.AsyncClient,
    method: str,
    path: str,
    headers: dict[str, str],
    autojump_clock: trio.testing.MockClock,
) -> None:
    created = await http.post(
        "/v1/jobs", json={"organisation": "org-a", "caller": "c", "declared_s": 1}, headers=CALLER
    )
    body = {"jobs": [created.json()["job"]]} if path.endswith("cancel") else None
    response = await http.request(method, path, headers=headers, json=body)
    assert response.json()["code"] == Code.FORBIDDEN.value


async def test_health_needs_no_token(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    assert (await http.get("/healthz")).status_code == 200
