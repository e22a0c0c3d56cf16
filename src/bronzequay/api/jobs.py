"""HTTP routes for jobs: submit, show, list, cancel, why."""

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

MAX_LIST = 1000
DEFAULT_LIST = 100


class JobPage(msgspec.Struct, frozen=True):
    """Jobs of a list, newest first."""

    jobs: tuple[model.JobRecord, ...]


class WhyBody(msgspec.Struct, frozen=True):
    """What a job waits for, in one sentence."""

    job: ids.JobId
    why: str


def make_blueprint(deps: services.Services) -> quart.Blueprint:
    """Return the routes under ``/v1/jobs``.

    :param deps: what the routes work on
    """
    routes = quart.Blueprint("jobs", __name__, url_prefix="/v1/jobs")

    @routes.post("")
    async def submit() -> quart.Response:
        identity = deps.identify(quart.request)
        body = answers.decode_json(await answers.request_body(), bodies.SubmitBody)
        spec = body.to_spec()
        auth.require(identity, auth.Right.SUBMIT, org=spec.org)
        record = await deps.gateway.submit(spec, key=body.key)
        deps.metrics.count(f"jobs.{record.state.value}")
        return answers.json_answer(record, status=HTTPStatus.ACCEPTED)

    @routes.get("")
    async def list_jobs() -> quart.Response:
        identity = deps.identify(quart.request)
        org = _org_filter(identity, quart.request.args.get("org"))
        state = _state_filter(quart.request.args.get("state"))
        limit = _limit(quart.request.args.get("limit"))
        records = await deps.gateway.list(org=org, state=state, limit=limit)
        return answers.json_answer(JobPage(records))

    @routes.post("/cancel")
    async def cancel() -> quart.Response:
        identity = deps.identify(quart.request)
        body = answers.decode_json(await answers.request_body(), bodies.CancelBody)
        for job in body.jobs:
            record = await deps.gateway.get(job)
            _require_cancel(identity, record)
        records = await deps.gateway.cancel(body.jobs)
        return answers.json_answer(JobPage(tuple(records)))

    @routes.get("/<job>")
    async def show(job: ids.JobId) -> quart.Response:
        identity = deps.identify(quart.request)
        record = await deps.gateway.get(job)
        auth.require(identity, auth.Right.READ_OWN, org=record.spec.org)
        return answers.json_answer(record)

    @routes.get("/<job>/why")
    async def why(job: ids.JobId) -> quart.Response:
        identity = deps.identify(quart.request)
        record = await deps.gateway.get(job)
        auth.require(identity, auth.Right.READ_OWN, org=record.spec.org)
        return answers.json_answer(WhyBody(job, await deps.gateway.why(job)))

    return routes


def _require_cancel(identity: auth.Identity, record: model.JobRecord) -> None:
    right = auth.Right.CANCEL_OWN if identity.org else auth.Right.CANCEL_ALL
    auth.require(identity, right, org=record.spec.org)


def _org_filter(identity: auth.Identity, wanted: str | None) -> ids.OrgId | None:
    org = ids.OrgId(wanted) if wanted else identity.org
    right = auth.Right.READ_ALL if org is None else auth.Right.READ_OWN
    auth.require(identity, right, org=org)
    return org


def _state_filter(wanted: str | None) -> model.JobState | None:
    if wanted is None:
        return None
    try:
        return model.JobState(wanted)
    except ValueError:
        known = ", ".join(state.value for state in model.JobState)
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_OUT_OF_RANGE, f"one of {known}", field="state"
        ) from None


def _limit(wanted: str | None) -> int:
    if wanted is None:
        return DEFAULT_LIST
    if not wanted.isdigit() or not 1 <= int(wanted) <= MAX_LIST:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_OUT_OF_RANGE, f"from 1 to {MAX_LIST}", field="limit"
        )
    return int(wanted)


__all__ = ["JobPage", "WhyBody", "make_blueprint"]
