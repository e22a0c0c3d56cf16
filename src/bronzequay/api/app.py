"""The HTTP application of an entry instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import quart
import quart_trio
import structlog
from werkzeug import exceptions

from bronzequay import codes, errors
from bronzequay.api import admin, answers, bundles, jobs, openapi, reports, requests, sheet

if TYPE_CHECKING:
    from bronzequay.api import services

MAX_BODY_BYTES = 16_000_000
RESULT_CODES = {
    404: codes.ResultCode.NOT_FOUND,
    405: codes.ResultCode.METHOD_NOT_ALLOWED,
    413: codes.ResultCode.VALUE_TOO_LARGE,
}

_log = structlog.get_logger()


def make_app(deps: services.Services) -> requests.App:
    """Return the ASGI application.

    :param deps: the parts of the instance that the routes use
    """
    app = quart_trio.QuartTrio("bronzequay")
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    app.register_blueprint(jobs.make_blueprint(deps))
    app.register_blueprint(admin.make_blueprint(deps))
    app.register_blueprint(bundles.make_blueprint(deps))
    app.register_blueprint(reports.make_blueprint(deps))
    app.register_blueprint(sheet.make_blueprint(deps))
    app.register_blueprint(openapi.make_blueprint())

    async def on_expected_error(exc: errors.BronzequayError) -> quart.Response:
        deps.metrics.count(f"errors.{exc.code.name}")
        return answers.error_response(exc)

    app.register_error_handler(errors.BronzequayError, on_expected_error)
    app.register_error_handler(exceptions.HTTPException, _on_http_error)
    app.register_error_handler(Exception, _on_unexpected_error)
    return requests.make_app(deps, app)  # type: ignore[arg-type]


async def _on_http_error(exc: exceptions.HTTPException) -> quart.Response:
    code = RESULT_CODES.get(exc.code or 0, codes.ResultCode.MALFORMED_BODY)
    return answers.error_response(errors.BronzequayError(code, exc.description or exc.name))


async def _on_unexpected_error(exc: Exception) -> quart.Response:
    _log.error("unhandled_error", path=quart.request.path, exc_info=exc)
    return answers.error_response(
        errors.BronzequayError(
            codes.ResultCode.INTERNAL, "internal error; the instance's log has the details"
        )
    )


__all__ = ["make_app"]
