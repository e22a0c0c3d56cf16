from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import codes
from tests.api import test_jobs

if TYPE_CHECKING:
    import httpx

    from bronzequay.api import services

PATH = "/v1/services/svc/requests"
CALLER = test_jobs.CALLER


async def test_concurrent_requests_each_get_their_own_complete_response(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    async def check(number: int) -> None:
        body = f"order {number}".encode() * 50
        response = await http.post(
            PATH, content=body, headers={**CALLER, "x-request-id": f"r{number}"}
        )
        assert response.status_code == 200
        assert response.headers["x-request-id"] == f"r{number}"
        assert base64.b64decode(response.json()["echo_b64"]) == body

    async with trio.open_nursery() as nursery:
        for number in range(50):
            nursery.start_soon(check, number)


@pytest.mark.parametrize(
    ("headers", "code"),
    [
        ({"x-urgency": "very"}, codes.ResultCode.VALUE_OUT_OF_RANGE),
        ({"x-idempotent": "perhaps"}, codes.ResultCode.VALUE_OUT_OF_RANGE),
        ({"x-deadline-s": "nan"}, codes.ResultCode.VALUE_OUT_OF_RANGE),
        ({"x-deadline-s": "-1"}, codes.ResultCode.VALUE_OUT_OF_RANGE),
        ({"x-key": "k" * 300}, codes.ResultCode.VALUE_OUT_OF_RANGE),
        ({"x-organisation": "org-b"}, codes.ResultCode.FORBIDDEN),
    ],
)
async def test_a_request_with_an_invalid_header_is_refused_before_it_runs(
    http: httpx.AsyncClient,
    headers: dict[str, str],
    code: codes.ResultCode,
    autojump_clock: trio.testing.MockClock,
) -> None:
    response = await http.post(PATH, content=b"x", headers={**CALLER, **headers})
    assert response.json()["code"] == code.value
    assert response.json()["is_not_run"]


async def test_an_unknown_service_and_a_wrong_method_return_their_result_codes(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    unknown = await http.post("/v1/services/nope/requests", headers=CALLER)
    assert unknown.json()["code"] == codes.ResultCode.UNKNOWN_SERVICE.value
    wrong = await http.get(PATH, headers=CALLER)
    assert wrong.json()["code"] == codes.ResultCode.METHOD_NOT_ALLOWED.value


async def test_responses_are_counted_by_result_code(
    http: httpx.AsyncClient, deps: services.Services, autojump_clock: trio.testing.MockClock
) -> None:
    await http.post(PATH, content=b"x", headers=CALLER)
    await http.post(PATH, content=b"x")
    await http.get("/v1/jobs/none", headers=CALLER)
    await http.post("/v1/jobs", json=test_jobs.VALID_JOB, headers=CALLER)
    counters = deps.metrics.counters
    assert counters["requests.OK"] == 1
    assert counters["requests.UNAUTHENTICATED"] == 1
    assert counters["requests.answer.n"] == 2
    assert counters["errors.UNKNOWN_JOB"] == 1
    assert counters["jobs.accepted"] == 1
