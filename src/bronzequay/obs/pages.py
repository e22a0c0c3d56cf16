"""Documentation pages made from the declarations: result codes and settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from bronzequay.cfg import settings


def result_codes() -> str:
    """Return the page of result codes, in Markdown."""
    rows = [(str(code.value), code.name, codes.MEANINGS[code]) for code in codes.ResultCode]
    return (
        "# Result codes\n\n"
        "The hundreds digit tells the cause: 1 success, 2 caller input, 3 refusal (nothing ran), "
        "4 execution, 5 configuration, 6 internal dependencies, 7 settings.\n\n"
        + _table(("code", "name", "meaning"), rows)
    )


def all_settings(entry: Iterable[settings.Setting], node: Iterable[settings.Setting]) -> str:
    """Return the page of all settings, in Markdown.

    :param entry: settings of an entry instance
    :param node: own settings of an instance on the users' platform
    """
    return (
        "# Settings of bronzequay-entry\n\n"
        "A flag goes before its variable, a variable before the default. "
        "`bronzequay settings` shows each with its origin.\n\n"
        + _settings(entry, has_flags=True)
        + "\n# Own settings of bronzequay.node\n\n"
        "An instance on the users' platform reads its addresses and bounds from the platform's "
        "settings file, and these from the environment; `GET /v1/state` shows them.\n\n"
        + _settings(node, has_flags=False)
    )


def _settings(declared: Iterable[settings.Setting], *, has_flags: bool) -> str:
    rows = []
    for item in declared:
        default = f"`{item.default}`" if item.default else ""
        shown = "required" if item.default is None else default
        row = (f"`{item.variable}`", shown, item.unit, item.description)
        flag = "" if item.is_secret else f"`{item.flag}`"
        rows.append((flag, *row) if has_flags else row)
    head = ("variable", "default", "unit", "description")
    return _table(("flag", *head) if has_flags else head, rows)


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


__all__ = ["all_settings", "result_codes"]
