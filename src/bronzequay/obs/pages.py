"""Documentation pages generated from the code: result codes and settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from bronzequay.cfg import settings


def render_result_codes() -> str:
    """Return the page of result codes as Markdown."""
    rows = [(str(code.value), code.name, codes.MEANINGS[code]) for code in codes.ResultCode]
    return (
        "# Result codes\n\n"
        "The hundreds digit gives the cause: 1 success, 2 caller input, 3 refusal (nothing ran), "
        "4 execution, 5 configuration, 6 internal dependencies, 7 settings.\n\n"
        + _render_table(("code", "name", "meaning"), rows)
    )


def render_settings(entry: Iterable[settings.Setting], node: Iterable[settings.Setting]) -> str:
    """Return the page of all settings as Markdown.

    :param entry: settings of an entry instance
    :param node: settings of an instance on the users' platform
    """
    return (
        "# Settings of bronzequay-entry\n\n"
        "A flag overrides its environment variable, which overrides the default. "
        "`bronzequay settings` shows each value with its origin.\n\n"
        + _render_settings_table(entry, has_flags=True)
        + "\n# Own settings of bronzequay.node\n\n"
        "An instance on the users' platform reads its addresses and bounds from the platform's "
        "settings file, and these from the environment; `GET /v1/state` shows them.\n\n"
        + _render_settings_table(node, has_flags=False)
    )


def _render_settings_table(declared: Iterable[settings.Setting], *, has_flags: bool) -> str:
    rows = []
    for setting in declared:
        formatted_default = f"`{setting.default}`" if setting.default else ""
        default_cell = "required" if setting.default is None else formatted_default
        row = (f"`{setting.variable}`", default_cell, setting.unit, setting.description)
        flag = "" if setting.is_secret else f"`{setting.flag}`"
        rows.append((flag, *row) if has_flags else row)
    header = ("variable", "default", "unit", "description")
    return _render_table(("flag", *header) if has_flags else header, rows)


def _render_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


__all__ = ["render_result_codes", "render_settings"]
