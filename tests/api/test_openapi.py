from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.api import openapi

if TYPE_CHECKING:
    import httpx
    import trio


async def test_the_page_is_served_without_a_token(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    page = (await http.get("/v1/openapi.json")).json()
    assert page["openapi"] == "3.1.0"
    assert "SubmitBody" in page["components"]["schemas"]


async def test_every_operation_of_the_page_has_a_door(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    for op in openapi.OPERATIONS:
        path = op.path.replace("{", "").replace("}", "")
        answer = await http.request(op.method.upper(), path)
        assert answer.status_code in {200, 401}, op.path
