"""The OpenAPI document, generated from the body types and a table of the operations."""

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

REF_TEMPLATE = "#/components/schemas/{name}"
OCTET_STREAM = "application/octet-stream"
JSON = "application/json"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Operation:
    """One HTTP method of one path.

    :param response: type of the response body, ``bytes`` for a raw one
    :param body: type of the request body, ``bytes`` for a raw one, ``None`` for none
    :param query: names of the query parameters
    :param headers: names of the header parameters
    """

    method: str
    path: str
    summary: str
    response: Any
    body: Any = None
    query: Sequence[str] = ()
    headers: Sequence[str] = ()


OPERATIONS = (
    Operation(
        method="post",
        path="/v1/jobs",
        summary="Submit a job; it is durable when the answer comes.",
        body=bodies.SubmitBody,
        response=model.JobRecord,
    ),
    Operation(
        method="get",
        path="/v1/jobs",
        summary="List jobs, newest first.",
        query=("org", "state", "limit"),
        response=jobs.JobPage,
    ),
    Operation(
        method="post",
        path="/v1/jobs/cancel",
        summary="Cancel one or many jobs.",
        body=bodies.CancelBody,
        response=jobs.JobPage,
    ),
    Operation(
        method="get",
        path="/v1/jobs/{job}",
        summary="Show a job and its whole history.",
        response=model.JobRecord,
    ),
    Operation(
        method="get",
        path="/v1/jobs/{job}/why",
        summary="Tell what a job waits for.",
        response=jobs.WhyBody,
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
        response=bytes,
    ),
    Operation(
        method="post",
        path="/v1/bundles",
        summary="Check a bundle (TOML) and keep it as a draft.",
        body=bytes,
        response=rollout.Draft,
    ),
    Operation(
        method="post",
        path="/v1/bundles/{digest}/review",
        summary="Ask for a review of a draft.",
        response=rollout.Draft,
    ),
    Operation(
        method="post",
        path="/v1/bundles/{digest}/sign-off",
        summary="Approve a draft that another operator wrote.",
        response=rollout.Draft,
    ),
    Operation(
        method="post",
        path="/v1/bundles/roll-out",
        summary="Put a signed-off draft in force.",
        body=bodies.RollOutBody,
        response=rollout.HeadEntry,
    ),
    Operation(
        method="get",
        path="/v1/report",
        summary="The analyst's report.",
        query=("from", "to", "org"),
        response=report.Report,
    ),
    Operation(
        method="get",
        path="/healthz",
        summary="Whether the instance takes new work; needs no token.",
        response=admin.Health,
    ),
)


def make_blueprint() -> quart.Blueprint:
    """Return the route ``/v1/openapi.json``, which needs no token."""
    routes = quart.Blueprint("openapi", __name__)
    document = build_document()

    @routes.get("/v1/openapi.json")
    async def show() -> quart.Response:
        return answers.json_response(document)

    return routes


def build_document() -> dict[str, Any]:
    """Return the OpenAPI document."""
    types = {
        body_type
        for op in OPERATIONS
        for body_type in (op.body, op.response)
        if _has_schema(body_type)
    }
    ordered = sorted(types | {answers.ErrorBody}, key=lambda body_type: str(body_type.__name__))
    schemas, components = msgspec.json.schema_components(ordered, ref_template=REF_TEMPLATE)
    schema_by_type = dict(zip(ordered, schemas, strict=True))
    paths: dict[str, Any] = {}
    for op in OPERATIONS:
        paths.setdefault(op.path, {})[op.method] = _describe_operation(op, schema_by_type)
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


def _has_schema(body_type: Any) -> bool:
    return body_type is not None and body_type is not bytes


def _describe_operation(op: Operation, schema_by_type: dict[Any, Any]) -> dict[str, Any]:
    described: dict[str, Any] = {
        "summary": op.summary,
        "parameters": _describe_parameters(op),
        "responses": {
            "2XX": {
                "description": "done",
                "content": _describe_content(op.response, schema_by_type),
            },
            "default": {
                "description": "an error with its numbered code",
                "content": _describe_content(answers.ErrorBody, schema_by_type),
            },
        },
    }
    if op.body is not None:
        described["requestBody"] = {
            "required": True,
            "content": _describe_content(op.body, schema_by_type),
        }
    return described


def _describe_parameters(op: Operation) -> list[dict[str, Any]]:
    path_names = [part[1:-1] for part in op.path.split("/") if part.startswith("{")]
    locations = [
        ("path", path_names, True),
        ("query", op.query, False),
        ("header", op.headers, False),
    ]
    return [
        {"name": name, "in": location, "required": required, "schema": {"type": "string"}}
        for location, names, required in locations
        for name in names
    ]


def _describe_content(body_type: Any, schema_by_type: dict[Any, Any]) -> dict[str, Any]:
    if body_type is bytes:
        return {OCTET_STREAM: {"schema": {"type": "string", "format": "binary"}}}
    return {JSON: {"schema": schema_by_type[body_type]}}


__all__ = ["OPERATIONS", "build_document", "make_blueprint"]
