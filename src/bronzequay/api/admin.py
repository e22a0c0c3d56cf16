"""HTTP routes for operators and the balancer: state dump and health."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
import quart

from bronzequay import ids
from bronzequay.api import answers, auth

if TYPE_CHECKING:
    from bronzequay.api import services


class Health(msgspec.Struct, frozen=True):
    """Answer to the balancer and to other instances.

    :param mesh: where the other instances reach this one
    """

    is_healthy: bool
    instance: ids.InstanceId
    mesh: str


def make_blueprint(deps: services.Services) -> quart.Blueprint:
    """Return the routes for operators and the balancer.

    :param deps: what the routes work on
    """
    routes = quart.Blueprint("admin", __name__)

    @routes.get("/healthz")
    async def health() -> quart.Response:
        status = HTTPStatus.SERVICE_UNAVAILABLE if deps.is_draining() else HTTPStatus.OK
        body = Health(not deps.is_draining(), deps.instance, deps.mesh_address)
        return answers.json_answer(body, status=status)

    @routes.get("/v1/state")
    async def state() -> quart.Response:
        auth.require(deps.identify(quart.request), auth.Right.DUMP_STATE)
        return answers.json_answer(deps.dump())

    return routes


__all__ = ["Health", "make_blueprint"]
