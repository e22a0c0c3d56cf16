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
VALID_JOB: dict[str, Any] = {"organisation": "org-a", "caller": "c1", "declared_s": 60}


def bearer(token: str) -> dict[str, str]:
    return {"authorization": f"Bearer {token}"}


CALLER = bearer("org-a-token")


async def test_a_job_can_be_submitted_shown_listed_and_cancelled(
    http: httpx.AsyncClient, gateway: FakeGateway, autojump_clock: trio.testing.MockClock
) -> None:
    response = await http.post("/v1/jobs", json=VALID_JOB, headers=CALLER)
    assert response.status_code == 202
    job = response.json()["job"]
    show_response = await http.get(f"/v1/jobs/{job}", headers=CALLER)
    assert show_response.json()["state"] == "accepted"
    list_response = await http.get("/v1/jobs?state=accepted", headers=CALLER)
    assert [item["job"] for item in list_response.json()["jobs"]] == [job]
    why = await http.get(f"/v1/jobs/{job}/why", headers=CALLER)
    assert why.json()["why"] == f"{job} waits"
    await http.post("/v1/jobs/cancel", json={"jobs": [job]}, headers=CALLER)
    assert gateway.cancelled == [job]


async def test_a_list_shows_the_newest_jobs_first_up_to_its_limit(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    submitted = [
        (
            await http.post("/v1/jobs", json={**VALID_JOB, "key": f"k{number}"}, headers=CALLER)
        ).json()
        for number in range(5)
    ]
    list_response = await http.get("/v1/jobs?limit=3", headers=CALLER)
    assert [item["job"] for item in list_response.json()["jobs"]] == [
        item["job"] for item in reversed(submitted[2:])
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
async def test_an_invalid_job_is_refused_with_its_code_and_not_stored(
    http: httpx.AsyncClient,
    gateway: FakeGateway,
    change: dict[str, Any],
    code: codes.ResultCode,
    autojump_clock: trio.testing.MockClock,
) -> None:
    response = await http.post("/v1/jobs", json={**VALID_JOB, **change}, headers=CALLER)
    assert response.json()["code"] == code.value
    assert response.json()["is_not_run"]
    assert 400 <= response.status_code < 500
    assert not gateway.records


async def test_a_caller_cannot_read_or_cancel_jobs_of_another_organisation(
    http: httpx.AsyncClient, gateway: FakeGateway, autojump_clock: trio.testing.MockClock
) -> None:
    job = (await http.post("/v1/jobs", json=VALID_JOB, headers=CALLER)).json()["job"]
    other = bearer("org-b-token")
    for response in (
        await http.get(f"/v1/jobs/{job}", headers=other),
        await http.get(f"/v1/jobs/{job}/why", headers=other),
        await http.get("/v1/jobs?org=org-a", headers=other),
        await http.get("/v1/report?org=org-a", headers=other),
        await http.post("/v1/jobs/cancel", json={"jobs": [job]}, headers=other),
    ):
        assert response.json()["code"] == Code.FORBIDDEN.value
    assert not gateway.cancelled
    assert (await http.get("/v1/jobs", headers=other)).json()["jobs"] == []


@pytest.mark.parametrize("headers", [{}, bearer("nobody"), {"authorization": "Basic eA=="}])
async def test_an_unknown_token_is_refused_on_every_route(
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
        response = await http.request(method, path, headers=headers)
        assert response.json()["code"] == Code.UNAUTHENTICATED.value, path


async def test_unknown_paths_and_methods_return_errors_with_result_codes(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    assert (await http.get("/v2/jobs")).json()["code"] == Code.NOT_FOUND.value
    assert (await http.put("/v1/jobs")).json()["code"] == Code.METHOD_NOT_ALLOWED.value


@hypothesis.given(st.binary(max_size=100))
@hypothesis.settings(derandomize=True, max_examples=200)
def test_any_body_decodes_to_a_job_or_fails_with_a_caller_input_code(raw: bytes) -> None:
    try:
        answers.decode_json(raw, bodies.SubmitBody)
    except errors.BronzequayError as exc:
        assert exc.code // 100 == 2


@hypothesis.given(
    st.dictionaries(
        st.sampled_from([*VALID_JOB, "members", "accelerators", "cpu", "key", "payload", "extra"]),
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    )
)
@hypothesis.settings(derandomize=True, max_examples=300)
def test_any_fields_decode_within_bounds_or_fail_with_a_caller_input_code(
    change: dict[str, Any],
) -> None:
    raw = msgspec.json.encode({**VALID_JOB, **change})
    try:
        body: bodies.SubmitBody = answers.decode_json(raw, bodies.SubmitBody)
    except errors.BronzequayError as exc:
        assert exc.code // 100 == 2
    else:
        assert 1 <= body.members <= bodies.MAX_MEMBERS
        assert 0 <= body.accelerators <= bodies.MAX_ACCELERATORS
        assert 0 < body.declared_s <= bodies.MAX_DURATION_S
