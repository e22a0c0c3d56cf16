"""HTTP routes for jobs: submit, show, list, cancel, and why a job waits."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
import quart

from bronzequay import codes, errors, ids
from bronzequay.api import answers, auth, bodies
from bronzequay.policy import model

if TYPE_CHECKING:
    from bronzequay.api import services

MAX_LIST_LIMIT = 1000
DEFAULT_LIST_LIMIT = 100


class JobPage(msgspec.Struct, frozen=True):
    """Listed jobs, newest first."""

    jobs: tuple[model.JobRecord, ...]


class WhyBody(msgspec.Struct, frozen=True):
    """The reason why a job waits, in one sentence."""

    job: ids.JobId
    why: str


def make_blueprint(deps: services.Services) -> quart.Blueprint:
    """Return the routes under ``/v1/jobs``.

    :param deps: the parts of the instance that the routes use
    """
    routes = quart.Blueprint("jobs", __name__, url_prefix="/v1/jobs")

    @routes.post("")
    async def submit() -> quart.Response:
        identity = deps.identify(quart.request)
        body = answers.decode_json(await answers.read_request_body(), bodies.SubmitBody)
        spec = body.to_spec()
        auth.require(identity, auth.Right.SUBMIT, org=spec.org)
        record = await deps.gateway.submit(spec, key=body.key)
        deps.metrics.count(f"jobs.{record.state.value}")
        return answers.json_response(record, status=HTTPStatus.ACCEPTED)

    @routes.get("")
    async def list_jobs() -> quart.Response:
        identity = deps.identify(quart.request)
        org = _parse_org_filter(identity, quart.request.args.get("org"))
        state = _parse_state_filter(quart.request.args.get("state"))
        limit = _parse_limit(quart.request.args.get("limit"))
        records = await deps.gateway.list(org=org, state=state, limit=limit)
        return answers.json_response(JobPage(records))

    @routes.post("/cancel")
    async def cancel() -> quart.Response:
        identity = deps.identify(quart.request)
        body = answers.decode_json(await answers.read_request_body(), bodies.CancelBody)
        for job in body.jobs:
            record = await deps.gateway.get(job)
            _require_cancel(identity, record)
        records = await deps.gateway.cancel(body.jobs)
        return answers.json_response(JobPage(tuple(records)))

    @routes.get("/<job>")
    async def show(job: ids.JobId) -> quart.Response:
        identity = deps.identify(quart.request)
        record = await deps.gateway.get(job)
        auth.require(identity, auth.Right.READ_OWN, org=record.spec.org)
        return answers.json_response(record)

    @routes.get("/<job>/why")
    async def why(job: ids.JobId) -> quart.Response:
        identity = deps.identify(quart.request)
        record = await deps.gateway.get(job)
        auth.require(identity, auth.Right.READ_OWN, org=record.spec.org)
        return answers.json_response(WhyBody(job, await deps.gateway.why(job)))

    return routes


def _require_cancel(identity: auth.Identity, record: model.JobRecord) -> None:
    right = auth.Right.CANCEL_OWN if identity.org else auth.Right.CANCEL_ALL
    auth.require(identity, right, org=record.spec.org)


def _parse_org_filter(identity: auth.Identity, value: str | None) -> ids.OrgId | None:
    org = ids.OrgId(value) if value else identity.org
    right = auth.Right.READ_ALL if org is None else auth.Right.READ_OWN
    auth.require(identity, right, org=org)
    return org


def _parse_state_filter(value: str | None) -> model.JobState | None:
    if value is None:
        return None
    try:
        return model.JobState(value)
    except ValueError:
        known = ", ".join(state.value for state in model.JobState)
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_OUT_OF_RANGE, f"must be one of {known}", field="state"
        ) from None


def _parse_limit(value: str | None) -> int:
    if value is None:
        return DEFAULT_LIST_LIMIT
    if not value.isdigit() or not 1 <= int(value) <= MAX_LIST_LIMIT:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_OUT_OF_RANGE,
            f"must be a whole number from 1 to {MAX_LIST_LIMIT}",
            field="limit",
        )
    return int(value)


__all__ = ["JobPage", "WhyBody", "make_blueprint"]
