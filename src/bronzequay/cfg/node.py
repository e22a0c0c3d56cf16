"""Settings of an instance on the users' platform that are not in the platform's settings file."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from bronzequay.cfg import settings

if TYPE_CHECKING:
    from collections.abc import Mapping

DAY_S = 86_400
MAX_S = 366.0 * DAY_S

SETTINGS = (
    settings.LOG_LEVEL,
    settings.Setting(
        name="history_s",
        default=str(7 * DAY_S),
        unit="s",
        description="time for which ended jobs stay visible, at least the platform's status time",
        parse=settings.decimal(0, MAX_S),
    ),
    settings.Setting(
        name="analyst_token",
        default="",
        unit="",
        description=(
            "token for reading every organisation's jobs on the instance's own port; "
            "empty disables it"
        ),
        parse=settings.any_text,
        is_secret=True,
    ),
    settings.Setting(
        name="admission",
        default="off",
        unit="",
        description=(
            "whether jobs that can no longer end within their late limit are refused with 503; "
            "the same on all instances"
        ),
        parse=settings.choice("off", "on"),
    ),
    settings.Setting(
        name="caller_connections",
        default="0",
        unit="connections",
        description=(
            "limit on callers' connections; 0 derives half of the machine's descriptors after "
            "200 for files"
        ),
        parse=settings.integer(0, 1_000_000),
    ),
    settings.Setting(
        name="peer_share",
        default="0.75",
        unit="",
        description=(
            "share of callers' connections that one address may have; a load balancer has one "
            "address for all its callers"
        ),
        parse=settings.decimal(0.01, 1),
    ),
    settings.Setting(
        name="caller_memory_share",
        default="0.125",
        unit="",
        description="share of the machine's memory for all callers' requests together",
        parse=settings.decimal(0.01, 0.5),
    ),
    settings.Setting(
        name="head_bytes",
        default="32768",
        unit="bytes",
        description=(
            "limit on request line and headers; the platform permits 16,384, and the "
            "configuration can only raise it"
        ),
        parse=settings.integer(16_384, 1_048_576),
    ),
    settings.Setting(
        name="head_lines",
        default="8192",
        unit="lines",
        description="limit on header lines; 16,384 bytes have at most 4,096 lines of one letter",
        parse=settings.integer(100, 1_000_000),
    ),
    settings.Setting(
        name="head_timeout_s",
        default="10",
        unit="s",
        description="time for a whole request head, at least that of the configuration (3 s)",
        parse=settings.decimal(0.1, 3600),
    ),
    settings.Setting(
        name="body_timeout_s",
        default="30",
        unit="s",
        description="time for a whole body; the largest takes 0.4 s on a link of 5 Mbit/s",
        parse=settings.decimal(0.1, 3600),
    ),
    settings.Setting(
        name="send_timeout_s",
        default="30",
        unit="s",
        description="time after which a connection with an unread response is closed",
        parse=settings.decimal(0.1, 3600),
    ),
    settings.Setting(
        name="idle_timeout_s",
        default="75",
        unit="s",
        description="longest pause between two requests on a caller's connection",
        parse=settings.decimal(0.1, 3600),
    ),
)


def resolve(environ: Mapping[str, str] = os.environ) -> dict[str, settings.ResolvedSetting]:
    """Resolve each setting from the environment or its default.

    Undeclared variables are ignored, since the platform may set some.

    :param environ: the process environment
    :return: resolved settings by name
    :raises errors.BronzequayError: for an invalid value
    """
    variables = {setting.variable for setting in SETTINGS}
    declared_environ = {name: value for name, value in environ.items() if name in variables}
    return settings.resolve(SETTINGS, flags={}, environ=declared_environ)


__all__ = ["SETTINGS", "resolve"]
