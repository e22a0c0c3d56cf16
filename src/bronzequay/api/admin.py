"""HTTP routes for operators and the load balancer: state dump and health."""

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
    """Health of the instance, for the load balancer and other instances.

    :param mesh: mesh address at which other instances reach this one
    """

    is_healthy: bool
    instance: ids.InstanceId
    mesh: str


def make_blueprint(deps: services.Services) -> quart.Blueprint:
    """Return the routes for operators and the load balancer.

    :param deps: the parts of the instance that the routes use
    """
    routes = quart.Blueprint("admin", __name__)

    @routes.get("/healthz")
    async def health() -> quart.Response:
        status = HTTPStatus.SERVICE_UNAVAILABLE if deps.is_draining() else HTTPStatus.OK
        body = Health(not deps.is_draining(), deps.instance, deps.mesh_address)
        return answers.json_response(body, status=status)

    @routes.get("/v1/state")
    async def state() -> quart.Response:
        auth.require(deps.identify(quart.request), auth.Right.DUMP_STATE)
        return answers.json_response(deps.dump())

    return routes


__all__ = ["Health", "make_blueprint"]
