"""Settings of a daemon, declared once: flags go before the environment, that before defaults."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Any

from bronzequay import codes, errors

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

ENV_PREFIX = "BRONZEQUAY_"
CLIENT_VARIABLES = frozenset({"BRONZEQUAY_URL", "BRONZEQUAY_TOKEN"})
"""Variables of the command line, which may stand beside a daemon's."""
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

    :param name: name in Python; the flag and the variable are derived from it
    :param default: text of the default, ``None`` when a value is required
    :param parse: turns text into the value, raises ``ValueError`` with a reason
    :param is_secret: the value is read from the environment only and never shown
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
class Resolved:
    """A setting with its value and origin."""

    setting: Setting
    value: Any
    origin: Origin

    @property
    def shown(self) -> str:
        """Return the value as text, masked when it is secret."""
        return MASK if self.setting.is_secret and self.value else str(self.value)


def text(value: str) -> str:
    """Parse a text that is not empty.

    :raises ValueError: when it is empty
    """
    if not value.strip():
        raise ValueError("must not be empty")
    return value.strip()


def any_text(value: str) -> str:
    """Parse any text, the empty one included."""
    return value


def url(value: str) -> str:
    """Parse an HTTP address without a trailing slash.

    :raises ValueError: when it is no HTTP address
    """
    if not value.startswith(("http://", "https://")):
        raise ValueError("must start with http:// or https://")
    return value.rstrip("/")


def whole(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of whole numbers within a range.

    :param low: smallest value allowed
    :param high: largest value allowed
    """

    def parse(value: str) -> int:
        number = int(value) if value.strip().lstrip("-").isdigit() else None
        if number is None or not low <= number <= high:
            raise ValueError(f"must be a whole number from {low} to {high}")
        return number

    parse.__doc__ = f"whole number, {low} to {high}"
    return parse


def number(low: float, high: float) -> Callable[[str], float]:
    """Return a parser of decimal numbers within a range.

    :param low: smallest value allowed
    :param high: largest value allowed
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
    """Return a parser of one word out of a few.

    :param allowed: the words
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
) -> dict[str, Resolved]:
    """Give each setting its value: flag first, then environment, then default.

    :param declared: the settings of the program
    :param flags: flag values by setting name, ``None`` where absent
    :param environ: the process environment
    :return: resolved settings by name
    :raises errors.BronzequayError: for a bad, missing or unknown setting
    """
    known = {setting.variable for setting in declared} | CLIENT_VARIABLES
    for variable in sorted(environ):
        if variable.startswith(ENV_PREFIX) and variable not in known:
            raise errors.BronzequayError(
                codes.ResultCode.SETTING_UNKNOWN, "no such setting", field=variable
            )
    return {
        setting.name: _resolve_one(setting, flags.get(setting.name), environ)
        for setting in declared
    }


def _resolve_one(setting: Setting, flag: str | None, environ: Mapping[str, str]) -> Resolved:
    place = f"flag {setting.flag}, variable {setting.variable}"
    raw, origin = setting.default, Origin.DEFAULT
    if setting.variable in environ:
        raw, origin = environ[setting.variable], Origin.ENVIRONMENT
    if flag is not None:
        raw, origin = flag, Origin.FLAG
    if raw is None:
        raise errors.BronzequayError(
            codes.ResultCode.SETTING_MISSING, "a value is required", field=place
        )
    try:
        value = setting.parse(raw)
    except ValueError as exc:
        shown = MASK if setting.is_secret else repr(raw)
        raise errors.BronzequayError(
            codes.ResultCode.SETTING_INVALID, f"{shown}: {exc}", field=place
        ) from None
    return Resolved(setting, value, origin)


LOG_LEVEL = Setting(
    name="log_level",
    default="info",
    unit="",
    description="least level of the events logged",
    parse=choice("debug", "info", "warning", "error"),
)
"""The same for every daemon."""

__all__ = [
    "CLIENT_VARIABLES",
    "ENV_PREFIX",
    "LOG_LEVEL",
    "MASK",
    "MAX_PORT",
    "Origin",
    "Resolved",
    "Setting",
    "any_text",
    "choice",
    "number",
    "resolve",
    "text",
    "url",
    "whole",
]
