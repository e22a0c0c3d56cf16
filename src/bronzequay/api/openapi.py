"""The OpenAPI page, made from the bodies and one table of the routes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import msgspec
import quart

from bronzequay.api import admin, answers, bodies, jobs
from bronzequay.cfg import rollout
from bronzequay.obs import report
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Sequence

REF = "#/components/schemas/{name}"
BYTES = "application/octet-stream"
JSON = "application/json"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Operation:
    """One method of one path.

    :param body: type of the request's body, ``bytes`` for raw ones
    :param answer: type of the answer's body
    """

    method: str
    path: str
    summary: str
    answer: Any
    body: Any = None
    query: Sequence[str] = ()
    headers: Sequence[str] = ()


OPERATIONS = (
    Operation(
        method="post",
        path="/v1/jobs",
        summary="Submit a job; it is durable when the answer comes.",
        body=bodies.SubmitBody,
        answer=model.JobRecord,
    ),
    Operation(
        method="get",
        path="/v1/jobs",
        summary="List jobs, newest first.",
        query=("org", "state", "limit"),
        answer=jobs.JobPage,
    ),
    Operation(
        method="post",
        path="/v1/jobs/cancel",
        summary="Cancel one or many jobs.",
        body=bodies.CancelBody,
        answer=jobs.JobPage,
    ),
    Operation(
        method="get",
        path="/v1/jobs/{job}",
        summary="Show a job and its whole history.",
        answer=model.JobRecord,
    ),
    Operation(
        method="get",
        path="/v1/jobs/{job}/why",
        summary="Tell what a job waits for.",
        answer=jobs.WhyBody,
    ),
    Operation(
        method="post",
        path="/v1/services/{service}/requests",
        summary="Send a short request; the answer is the executor's, whole.",
        body=bytes,
        headers=(
            "x-organisation",
            "x-caller",
            "x-urgency",
            "x-idempotent",
            "x-key",
            "x-deadline-s",
            "x-request-id",
        ),
        answer=bytes,
    ),
    Operation(
        method="post",
        path="/v1/bundles",
        summary="Check a bundle (TOML) and keep it as a draft.",
        body=bytes,
        answer=rollout.Draft,
    ),
    Operation(
        method="post",
        path="/v1/bundles/{digest}/review",
        summary="Ask for a review of a draft.",
        answer=rollout.Draft,
    ),
    Operation(
        method="post",
        path="/v1/bundles/{digest}/sign-off",
        summary="Approve a draft that another operator wrote.",
        answer=rollout.Draft,
    ),
    Operation(
        method="post",
        path="/v1/bundles/roll-out",
        summary="Put a signed-off draft in force.",
        body=bodies.RollOutBody,
        answer=rollout.HeadEntry,
    ),
    Operation(
        method="get",
        path="/v1/report",
        summary="The analyst's report.",
        query=("from", "to", "org"),
        answer=report.Report,
    ),
    Operation(
        method="get",
        path="/healthz",
        summary="Whether the instance takes new work; needs no token.",
        answer=admin.Health,
    ),
)


def make_blueprint() -> quart.Blueprint:
    """Return the route ``/v1/openapi.json``, which needs no token."""
    routes = quart.Blueprint("openapi", __name__)
    page = make_page()

    @routes.get("/v1/openapi.json")
    async def show() -> quart.Response:
        return answers.json_answer(page)

    return routes


def make_page() -> dict[str, Any]:
    """Return the page."""
    kinds = {item for op in OPERATIONS for item in (op.body, op.answer) if _is_typed(item)}
    ordered = sorted(kinds | {answers.ErrorBody}, key=lambda kind: str(kind.__name__))
    schemas, components = msgspec.json.schema_components(ordered, ref_template=REF)
    named = dict(zip(ordered, schemas, strict=True))
    paths: dict[str, Any] = {}
    for op in OPERATIONS:
        paths.setdefault(op.path, {})[op.method] = _operation(op, named)
    return {
        "openapi": "3.1.0",
        "info": {"title": "bronzequay", "version": "1"},
        "paths": paths,
        "components": {
            "schemas": components,
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"token": []}],
    }


def _is_typed(kind: Any) -> bool:
    return kind is not None and kind is not bytes


def _operation(op: Operation, named: dict[Any, Any]) -> dict[str, Any]:
    shown: dict[str, Any] = {
        "summary": op.summary,
        "parameters": _parameters(op),
        "responses": {
            "2XX": {"description": "done", "content": _content(op.answer, named)},
            "default": {
                "description": "an error with its numbered code",
                "content": _content(answers.ErrorBody, named),
            },
        },
    }
    if op.body is not None:
        shown["requestBody"] = {"required": True, "content": _content(op.body, named)}
    return shown


def _parameters(op: Operation) -> list[dict[str, Any]]:
    inside = [part[1:-1] for part in op.path.split("/") if part.startswith("{")]
    places = [("path", inside, True), ("query", op.query, False), ("header", op.headers, False)]
    return [
        {"name": name, "in": place, "required": required, "schema": {"type": "string"}}
        for place, names, required in places
        for name in names
    ]


def _content(kind: Any, named: dict[Any, Any]) -> dict[str, Any]:
    if kind is bytes:
        return {BYTES: {"schema": {"type": "string", "format": "binary"}}}
    return {JSON: {"schema": named[kind]}}


__all__ = ["OPERATIONS", "make_blueprint", "make_page"]
