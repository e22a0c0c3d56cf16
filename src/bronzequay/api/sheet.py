"""HTTP route for the hire sheet, an HTML page that shows every job's state in plain words."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import quart

from bronzequay import codes, errors, ids
from bronzequay.api import answers, auth
from bronzequay.obs import report, sheet
from bronzequay.policy import model

if TYPE_CHECKING:
    from bronzequay.api import services

MAX_ROWS = 500


def make_blueprint(deps: services.Services) -> quart.Blueprint:
    """Return the route ``/hire-sheet``.

    :param deps: the parts of the instance that the route uses
    """
    routes = quart.Blueprint("sheet", __name__)

    @routes.get("/hire-sheet")
    async def show() -> quart.Response:
        try:
            identity = deps.identify(quart.request)
        except errors.BronzequayError as exc:
            response = answers.error_response(exc)
            response.headers["www-authenticate"] = 'Basic realm="hire sheet"'
            return response
        org = quart.request.args.get("org") or identity.org
        state_name = quart.request.args.get("state") or None
        right = auth.Right.READ_ALL if org is None else auth.Right.READ_OWN
        auth.require(identity, right, org=ids.OrgId(org) if org else None)
        state = _parse_state(state_name)
        records = await deps.gateway.list(
            org=ids.OrgId(org) if org else None, state=state, limit=MAX_ROWS
        )
        lines = [report.make_line(record) for record in records]
        return quart.Response(
            sheet.render(lines, org=org, state=state),
            status=HTTPStatus.OK.value,
            content_type="text/html; charset=utf-8",
        )

    return routes


def _parse_state(value: str | None) -> model.JobState | None:
    try:
        return model.JobState(value) if value else None
    except ValueError:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_OUT_OF_RANGE, "unknown job state", field="state"
        ) from None


__all__ = ["make_blueprint"]
