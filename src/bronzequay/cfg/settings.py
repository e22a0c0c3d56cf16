"""Declares and resolves daemon settings: flags override the environment, that the defaults."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Any

from bronzequay import codes, errors

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

ENV_PREFIX = "BRONZEQUAY_"
CLIENT_VARIABLES = frozenset({"BRONZEQUAY_URL", "BRONZEQUAY_TOKEN"})
"""Variables of the ``bronzequay`` command, accepted but ignored in a daemon's environment."""
MASK = "********"
MAX_PORT = 65_535


class Origin(enum.Enum):
    """Where a setting's value came from."""

    DEFAULT = "default"
    ENVIRONMENT = "environment"
    FLAG = "flag"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Setting:
    """Declaration of one setting.

    :param name: name in Python; the flag and the environment variable are derived from it
    :param default: default value as text, ``None`` when a value is required
    :param unit: unit of the value, empty when it has none
    :param description: what the setting does, in one line
    :param parse: converts text to the value; raises ``ValueError`` with a reason
    :param is_secret: whether the value is read from the environment only and masked in output
    """

    name: str
    default: str | None
    unit: str
    description: str
    parse: Callable[[str], Any]
    is_secret: bool = False

    @property
    def flag(self) -> str:
        """Return the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable."""
        return ENV_PREFIX + self.name.upper()


@dataclasses.dataclass(frozen=True)
class ResolvedSetting:
    """A setting with its value and the origin of the value."""

    setting: Setting
    value: Any
    origin: Origin

    @property
    def display_value(self) -> str:
        """Return the value as text, masked when it is secret."""
        return MASK if self.setting.is_secret and self.value else str(self.value)


def non_empty_text(value: str) -> str:
    """Parse a text that must not be empty; strips surrounding white space.

    :raises ValueError: when the text is empty
    """
    if not value.strip():
        raise ValueError("must not be empty")
    return value.strip()


def any_text(value: str) -> str:
    """Parse any text, including the empty one."""
    return value


def url(value: str) -> str:
    """Parse an HTTP URL; strips trailing slashes.

    :raises ValueError: when the text is not an HTTP URL
    """
    if not value.startswith(("http://", "https://")):
        raise ValueError("must start with http:// or https://")
    return value.rstrip("/")


def integer(low: int, high: int) -> Callable[[str], int]:
    """Return a parser for whole numbers within a range.

    :param low: smallest accepted value
    :param high: largest accepted value
    """

    def parse(value: str) -> int:
        number = int(value) if value.strip().lstrip("-").isdigit() else None
        if number is None or not low <= number <= high:
            raise ValueError(f"must be a whole number from {low} to {high}")
        return number

    parse.__doc__ = f"whole number, {low} to {high}"
    return parse


def decimal(low: float, high: float) -> Callable[[str], float]:
    """Return a parser for decimal numbers within a range.

    :param low: smallest accepted value
    :param high: largest accepted value
    """

    def parse(value: str) -> float:
        try:
            result = float(value)
        except ValueError:
            result = low - 1
        if not low <= result <= high:
            raise ValueError(f"must be a number from {low:g} to {high:g}")
        return result

    parse.__doc__ = f"number, {low:g} to {high:g}"
    return parse


def choice(*allowed: str) -> Callable[[str], str]:
    """Return a parser that accepts one of a few words.

    :param allowed: the accepted words
    """

    def parse(value: str) -> str:
        if value not in allowed:
            raise ValueError(f"must be one of {', '.join(allowed)}")
        return value

    parse.__doc__ = f"one of {', '.join(allowed)}"
    return parse


def resolve(
    declared: Sequence[Setting],
    *,
    flags: Mapping[str, str | None],
    environ: Mapping[str, str],
) -> dict[str, ResolvedSetting]:
    """Resolve each setting from its flag, else its environment variable, else its default.

    :param declared: the settings of the program
    :param flags: flag values by setting name, ``None`` where absent
    :param environ: the process environment
    :return: resolved settings by name
    :raises errors.BronzequayError: for an invalid, missing or unknown setting
    """
    known = {setting.variable for setting in declared} | CLIENT_VARIABLES
    for variable in sorted(environ):
        if variable.startswith(ENV_PREFIX) and variable not in known:
            raise errors.BronzequayError(
                codes.ResultCode.SETTING_UNKNOWN, "unknown setting", field=variable
            )
    return {
        setting.name: _resolve_setting(setting, flags.get(setting.name), environ)
        for setting in declared
    }


def _resolve_setting(
    setting: Setting, flag: str | None, environ: Mapping[str, str]
) -> ResolvedSetting:
    source = f"flag {setting.flag}, variable {setting.variable}"
    raw, origin = setting.default, Origin.DEFAULT
    if setting.variable in environ:
        raw, origin = environ[setting.variable], Origin.ENVIRONMENT
    if flag is not None:
        raw, origin = flag, Origin.FLAG
    if raw is None:
        raise errors.BronzequayError(
            codes.ResultCode.SETTING_MISSING, "a value is required", field=source
        )
    try:
        value = setting.parse(raw)
    except ValueError as exc:
        safe_value = MASK if setting.is_secret else repr(raw)
        raise errors.BronzequayError(
            codes.ResultCode.SETTING_INVALID, f"{safe_value}: {exc}", field=source
        ) from None
    return ResolvedSetting(setting, value, origin)


LOG_LEVEL = Setting(
    name="log_level",
    default="info",
    unit="",
    description="lowest level of the events to log",
    parse=choice("debug", "info", "warning", "error"),
)
"""The log level setting, which all daemons share."""

__all__ = [
    "CLIENT_VARIABLES",
    "ENV_PREFIX",
    "LOG_LEVEL",
    "MASK",
    "MAX_PORT",
    "Origin",
    "ResolvedSetting",
    "Setting",
    "any_text",
    "choice",
    "decimal",
    "integer",
    "non_empty_text",
    "resolve",
    "url",
]
