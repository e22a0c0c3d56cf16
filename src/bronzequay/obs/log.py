"""Logging: one line of key=value pairs per event, on standard output."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import structlog

from bronzequay.obs import output

if TYPE_CHECKING:
    from bronzequay import ids

SECRET_KEYS = frozenset({"token", "authorization", "operator_tokens"})


def configure(*, level: str, instance: ids.InstanceId | str) -> None:
    """Configure logging for this process.

    :param level: lowest level to write
    :param instance: added to each line
    """
    log_output = output.stdout()

    def drop_over_limit(
        _logger: object, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        if not log_output.admit_line(str(event.get("event"))):
            raise structlog.DropEvent
        return event

    structlog.configure(
        processors=[
            drop_over_limit,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _drop_secrets,
            structlog.processors.format_exc_info,
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "event", "instance"], drop_missing=True
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=lambda *_: log_output,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=instance)


def _drop_secrets(
    _logger: object, _method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    return {key: value for key, value in event.items() if key not in SECRET_KEYS}


__all__ = ["configure"]
