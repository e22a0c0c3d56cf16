"""HTTP routes for operators: bundles, state dump, health."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
import quart

from bronzequay import ids
from bronzequay.api import answers, auth, bodies
from bronzequay.cfg import rollout

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
    """Return the routes for operators.

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

    @routes.get("/v1/bundles")
    async def history() -> quart.Response:
        auth.require(deps.identify(quart.request), auth.Right.READ_ALL)
        return answers.json_answer({"versions": await rollout.read_history(deps.store)})

    @routes.post("/v1/bundles")
    async def submit_draft() -> quart.Response:
        identity = deps.identify(quart.request)
        auth.require(identity, auth.Right.EDIT_BUNDLE)
        text = await answers.request_body()
        draft = await rollout.submit_draft(
            deps.store, text, author=identity.name, wall_clock=deps.wall_clock
        )
        return answers.json_answer(draft, status=HTTPStatus.CREATED)

    @routes.get("/v1/bundles/<digest>")
    async def show_draft(digest: str) -> quart.Response:
        auth.require(deps.identify(quart.request), auth.Right.READ_ALL)
        draft, _ = await rollout.read_draft(deps.store, digest)
        return answers.json_answer(draft)

    @routes.get("/v1/bundles/<digest>/text")
    async def show_text(digest: str) -> quart.Response:
        auth.require(deps.identify(quart.request), auth.Right.READ_ALL)
        text = await rollout.read_body(deps.store, digest)
        return quart.Response(text, content_type="application/toml")

    @routes.post("/v1/bundles/<digest>/review")
    async def request_review(digest: str) -> quart.Response:
        identity = deps.identify(quart.request)
        auth.require(identity, auth.Right.EDIT_BUNDLE)
        draft = await rollout.request_review(deps.store, digest, operator=identity.name)
        return answers.json_answer(draft)

    @routes.post("/v1/bundles/<digest>/sign-off")
    async def sign_off(digest: str) -> quart.Response:
        identity = deps.identify(quart.request)
        auth.require(identity, auth.Right.SIGN_OFF)
        draft = await rollout.sign_off(deps.store, digest, operator=identity.name)
        return answers.json_answer(draft)

    @routes.post("/v1/bundles/roll-out")
    async def roll_out() -> quart.Response:
        auth.require(deps.identify(quart.request), auth.Right.ROLL_OUT)
        body = answers.decode_json(await answers.request_body(), bodies.RollOutBody)
        entry = await deps.roll_out(body.digest, expected=body.expected)
        return answers.json_answer(entry)

    return routes


__all__ = ["Health", "make_blueprint"]
