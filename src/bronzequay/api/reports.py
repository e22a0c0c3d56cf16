"""HTTP route for the analyst's report."""

from __future__ import annotations

import quart

from bronzequay import codes, errors, ids
from bronzequay.api import answers, auth, services
from bronzequay.obs import report


def make_blueprint(deps: services.Services) -> quart.Blueprint:
    """Return the route ``/v1/report``.

    :param deps: the parts of the instance that the route uses
    """
    routes = quart.Blueprint("reports", __name__)

    @routes.get("/v1/report")
    async def show() -> quart.Response:
        identity = deps.identify(quart.request)
        args = quart.request.args
        org = ids.OrgId(args["org"]) if "org" in args else identity.org
        auth.require(identity, auth.Right.READ_ALL if org is None else auth.Right.READ_OWN, org=org)
        from_s = _parse_time(args.get("from"), 0.0)
        to_s = _parse_time(args.get("to"), deps.wall_clock())
        records = await deps.gateway.list(org=org)
        return answers.json_response(report.build(records, from_s=from_s, to_s=to_s))

    return routes


def _parse_time(value: str | None, default: float) -> float:
    if value is None:
        return default
    try:
        return float(value)
    except ValueError:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_OUT_OF_RANGE,
            "must be seconds since the Unix epoch",
            field="from/to",
        ) from None


__all__ = ["make_blueprint"]
