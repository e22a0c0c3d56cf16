from __future__ import annotations

from typing import TYPE_CHECKING, Any

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from bronzequay import codes, errors
from bronzequay.api import answers, bodies

if TYPE_CHECKING:
    import httpx
    import trio

    from tests.api.conftest import FakeGateway

Code = codes.ResultCode
GOOD: dict[str, Any] = {"organisation": "org-a", "caller": "c1", "declared_s": 60}


def bearer(token: str) -> dict[str, str]:
    return {"authorization": f"Bearer {token}"}


CALLER = bearer("org-a-token")


async def test_a_job_is_accepted_shown_listed_and_cancelled(
    http: httpx.AsyncClient, gateway: FakeGateway, autojump_clock: trio.testing.MockClock
) -> None:
    made = await http.post("/v1/jobs", json=GOOD, headers=CALLER)
    assert made.status_code == 202
    job = made.json()["job"]
    shown = await http.get(f"/v1/jobs/{job}", headers=CALLER)
    assert shown.json()["state"] == "accepted"
    listed = await http.get("/v1/jobs?state=accepted", headers=CALLER)
    assert [item["job"] for item in listed.json()["jobs"]] == [job]
    why = await http.get(f"/v1/jobs/{job}/why", headers=CALLER)
    assert why.json()["why"] == f"{job} waits"
    await http.post("/v1/jobs/cancel", json={"jobs": [job]}, headers=CALLER)
    assert gateway.cancelled == [job]


async def test_a_list_shows_the_newest_jobs_first_up_to_its_limit(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    made = [
        (await http.post("/v1/jobs", json={**GOOD, "key": f"k{number}"}, headers=CALLER)).json()
        for number in range(5)
    ]
    listed = await http.get("/v1/jobs?limit=3", headers=CALLER)
    assert [item["job"] for item in listed.json()["jobs"]] == [
        item["job"] for item in reversed(made[2:])
    ]


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"members": 0}, Code.VALUE_OUT_OF_RANGE),
        ({"members": -3}, Code.VALUE_OUT_OF_RANGE),
        ({"accelerators": 10**9}, Code.VALUE_OUT_OF_RANGE),
        ({"declared_s": 0}, Code.VALUE_OUT_OF_RANGE),
        ({"caller": "x" * 129}, Code.VALUE_OUT_OF_RANGE),
        ({"members": "four"}, Code.MALFORMED_BODY),
        ({"urgency": "very"}, Code.MALFORMED_BODY),
        ({"memebrs": 4}, Code.UNKNOWN_FIELD),
        ({"organisation": "org-b"}, Code.FORBIDDEN),
    ],
)
async def test_a_bad_job_is_refused_with_its_code_and_not_kept(
    http: httpx.AsyncClient,
    gateway: FakeGateway,
    change: dict[str, Any],
    code: codes.ResultCode,
    autojump_clock: trio.testing.MockClock,
) -> None:
    answer = await http.post("/v1/jobs", json={**GOOD, **change}, headers=CALLER)
    assert answer.json()["code"] == code.value
    assert answer.json()["is_not_run"]
    assert 400 <= answer.status_code < 500
    assert not gateway.records


async def test_no_one_reads_or_cancels_a_job_of_another_organisation(
    http: httpx.AsyncClient, gateway: FakeGateway, autojump_clock: trio.testing.MockClock
) -> None:
    job = (await http.post("/v1/jobs", json=GOOD, headers=CALLER)).json()["job"]
    other = bearer("org-b-token")
    for answer in (
        await http.get(f"/v1/jobs/{job}", headers=other),
        await http.get(f"/v1/jobs/{job}/why", headers=other),
        await http.get("/v1/jobs?org=org-a", headers=other),
        await http.get("/v1/report?org=org-a", headers=other),
        await http.post("/v1/jobs/cancel", json={"jobs": [job]}, headers=other),
    ):
        assert answer.json()["code"] == Code.FORBIDDEN.value
    assert not gateway.cancelled
    assert (await http.get("/v1/jobs", headers=other)).json()["jobs"] == []


@pytest.mark.parametrize("headers", [{}, bearer("nobody"), {"authorization": "Basic eA=="}])
async def test_an_unknown_token_opens_no_door(
    http: httpx.AsyncClient, headers: dict[str, str], autojump_clock: trio.testing.MockClock
) -> None:
    for method, path in (
        ("POST", "/v1/jobs"),
        ("GET", "/v1/jobs"),
        ("GET", "/v1/jobs/j1"),
        ("POST", "/v1/jobs/cancel"),
        ("GET", "/v1/state"),
        ("GET", "/v1/report"),
        ("GET", "/v1/bundles"),
        ("POST", "/v1/bundles"),
        ("POST", "/v1/bundles/roll-out"),
        ("POST", "/v1/services/svc/requests"),
    ):
        answer = await http.request(method, path, headers=headers)
        assert answer.json()["code"] == Code.UNAUTHENTICATED.value, path


async def test_unknown_paths_and_methods_get_numbered_errors(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    assert (await http.get("/v2/jobs")).json()["code"] == Code.NOT_FOUND.value
    assert (await http.put("/v1/jobs")).json()["code"] == Code.METHOD_NOT_ALLOWED.value


@hypothesis.given(st.binary(max_size=100))
@hypothesis.settings(derandomize=True, max_examples=200)
def test_any_body_is_a_job_or_a_numbered_error(raw: bytes) -> None:
    try:
        answers.decode_json(raw, bodies.SubmitBody)
    except errors.BronzequayError as exc:
        assert exc.code // 100 == 2


@hypothesis.given(
    st.dictionaries(
        st.sampled_from([*GOOD, "members", "accelerators", "cpu", "key", "payload", "extra"]),
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    )
)
@hypothesis.settings(derandomize=True, max_examples=300)
def test_any_fields_are_a_job_within_bounds_or_a_numbered_error(change: dict[str, Any]) -> None:
    raw = msgspec.json.encode({**GOOD, **change})
    try:
        body: bodies.SubmitBody = answers.decode_json(raw, bodies.SubmitBody)
    except errors.BronzequayError as exc:
        assert exc.code // 100 == 2
    else:
        assert 1 <= body.members <= bodies.MAX_MEMBERS
        assert 0 <= body.accelerators <= bodies.MAX_ACCELERATORS
        assert 0 < body.declared_s <= bodies.MAX_SECONDS
