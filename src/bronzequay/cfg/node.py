"""Own settings of an instance on the users' platform, beside the platform's file."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from bronzequay.cfg import settings

if TYPE_CHECKING:
    from collections.abc import Mapping

DAY_S = 86_400
MAX_S = 366.0 * DAY_S

DECLARED = (
    settings.LOG_LEVEL,
    settings.Setting(
        name="history_s",
        default=str(7 * DAY_S),
        unit="s",
        description="time for which ended jobs are shown, at least the platform's status time",
        parse=settings.number(0, MAX_S),
    ),
    settings.Setting(
        name="analyst_token",
        default="",
        unit="",
        description="opens every organisation's jobs on the own port; empty for nobody",
        parse=settings.any_text,
        is_secret=True,
    ),
)


def resolve(environ: Mapping[str, str] = os.environ) -> dict[str, settings.Resolved]:
    """Give each setting its value from the environment or its default.

    Other variables are left out, since the platform may add some.

    :raises errors.BronzequayError: for a bad value
    """
    known = {setting.variable for setting in DECLARED}
    own = {name: value for name, value in environ.items() if name in known}
    return settings.resolve(DECLARED, flags={}, environ=own)


__all__ = ["DECLARED", "resolve"]
