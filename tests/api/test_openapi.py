from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.api import openapi

if TYPE_CHECKING:
    import httpx
    import trio


async def test_the_openapi_document_is_served_without_a_token(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    document = (await http.get("/v1/openapi.json")).json()
    assert document["openapi"] == "3.1.0"
    assert "SubmitBody" in document["components"]["schemas"]


async def test_every_operation_of_the_document_has_a_route(
    http: httpx.AsyncClient, autojump_clock: trio.testing.MockClock
) -> None:
    for op in openapi.OPERATIONS:
        path = op.path.replace("{", "").replace("}", "")
        response = await http.request(op.method.upper(), path)
        assert response.status_code in {200, 401}, op.path
