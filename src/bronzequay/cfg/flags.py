"""Command-line flags of a daemon, generated from its setting declarations."""

from __future__ import annotations

import dataclasses
import os
import sys
from typing import TYPE_CHECKING, Annotated, Any, TypeVar

import cappa

from bronzequay.cfg import settings

if TYPE_CHECKING:
    from collections.abc import Sequence

T = TypeVar("T")


def parse(
    declared: Sequence[settings.Setting], *, program: str, description: str, argv: Sequence[str]
) -> dict[str, str | None]:
    """Parse the flags of a program; exits the process on ``--help`` or an invalid flag.

    :param declared: the settings; secret settings have no flag
    :param program: the command's name
    :param description: one sentence for ``--help``
    :param argv: the arguments after the command's name
    :return: flag values by setting name, ``None`` where a flag is absent
    """
    fields = [
        (
            setting.name,
            Annotated[str | None, cappa.Arg(long=setting.flag, help=_help(setting))],
            dataclasses.field(default=None),
        )
        for setting in declared
        if not setting.is_secret
    ]
    flags = dataclasses.make_dataclass("Flags", fields)
    command: type[Any] = cappa.command(flags, name=program, description=description)
    parsed = cappa.parse(command, argv=list(argv), completion=False)
    return dict(vars(parsed))


def _help(setting: settings.Setting) -> str:
    unit = f" [{setting.unit}]" if setting.unit else ""
    default = "required" if setting.default is None else f"default {setting.default!r}"
    return f"{setting.description}{unit}; {default}; ${setting.variable}"


def load(
    settings_type: type[T], declared: Sequence[settings.Setting], *, program: str, description: str
) -> tuple[T, dict[str, settings.ResolvedSetting]]:
    """Build a program's typed settings from this process's flags and environment.

    :param settings_type: a dataclass with one field per setting
    :param declared: the settings
    :param program: the command's name
    :param description: one sentence for ``--help``
    :return: the typed settings, and each setting with its origin
    :raises errors.BronzequayError: for an invalid, missing or unknown setting
    """
    flags = parse(declared, program=program, description=description, argv=sys.argv[1:])
    resolved = settings.resolve(declared, flags=flags, environ=os.environ)
    values = {name: item.value for name, item in resolved.items()}
    return settings_type(**values), resolved


__all__ = ["load", "parse"]
