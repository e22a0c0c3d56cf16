"""HTTP routes for bundles: draft, review, sign-off, roll-out, history."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import quart

from bronzequay.api import answers, auth, bodies
from bronzequay.cfg import adoption, rollout

if TYPE_CHECKING:
    from bronzequay.api import services


def make_blueprint(deps: services.Services) -> quart.Blueprint:
    """Return the routes under ``/v1/bundles``.

    :param deps: the parts of the instance that the routes use
    """
    routes = quart.Blueprint("bundles", __name__, url_prefix="/v1/bundles")
    _add_queries(routes, deps)
    _add_commands(routes, deps)
    return routes


def _add_queries(routes: quart.Blueprint, deps: services.Services) -> None:
    @routes.get("")
    async def history() -> quart.Response:
        auth.require(deps.identify(quart.request), auth.Right.READ_ALL)
        return answers.json_response({"versions": await rollout.read_history(deps.store)})

    @routes.get("/adoptions")
    async def adoptions() -> quart.Response:
        auth.require(deps.identify(quart.request), auth.Right.READ_ALL)
        return answers.json_response({"instances": await adoption.read_all(deps.store)})

    @routes.get("/<digest>")
    async def show_draft(digest: str) -> quart.Response:
        auth.require(deps.identify(quart.request), auth.Right.READ_ALL)
        draft, _ = await rollout.read_draft(deps.store, digest)
        return answers.json_response(draft)

    @routes.get("/<digest>/text")
    async def show_text(digest: str) -> quart.Response:
        auth.require(deps.identify(quart.request), auth.Right.READ_ALL)
        text = await rollout.read_body(deps.store, digest)
        return quart.Response(text, content_type="application/toml")


def _add_commands(routes: quart.Blueprint, deps: services.Services) -> None:
    @routes.post("")
    async def submit_draft() -> quart.Response:
        identity = deps.identify(quart.request)
        auth.require(identity, auth.Right.EDIT_BUNDLE)
        text = await answers.read_request_body()
        draft = await rollout.submit_draft(
            deps.store, text, author=identity.name, wall_clock=deps.wall_clock
        )
        return answers.json_response(draft, status=HTTPStatus.CREATED)

    @routes.post("/<digest>/review")
    async def request_review(digest: str) -> quart.Response:
        identity = deps.identify(quart.request)
        auth.require(identity, auth.Right.EDIT_BUNDLE)
        draft = await rollout.request_review(deps.store, digest, operator=identity.name)
        return answers.json_response(draft)

    @routes.post("/<digest>/sign-off")
    async def sign_off(digest: str) -> quart.Response:
        identity = deps.identify(quart.request)
        auth.require(identity, auth.Right.SIGN_OFF)
        draft = await rollout.sign_off(deps.store, digest, operator=identity.name)
        return answers.json_response(draft)

    @routes.post("/roll-out")
    async def roll_out() -> quart.Response:
        auth.require(deps.identify(quart.request), auth.Right.ROLL_OUT)
        body = answers.decode_json(await answers.read_request_body(), bodies.RollOutBody)
        entry = await deps.roll_out(body.digest, expected=body.expected)
        return answers.json_response(entry)


__all__ = ["make_blueprint"]
