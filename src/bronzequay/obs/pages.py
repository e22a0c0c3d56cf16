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


def entry_settings(declared: Iterable[settings.Setting]) -> str:
    """Return the page of the entry instance's settings, in Markdown.

    :param declared: the settings
    """
    rows = [
        (
            "" if item.is_secret else f"`{item.flag}`",
            f"`{item.variable}`",
            "required" if item.default is None else f"`{item.default}`" if item.default else "",
            item.unit,
            item.description,
        )
        for item in declared
    ]
    return (
        "# Settings of bronzequay-entry\n\n"
        "A flag goes before its variable, a variable before the default. "
        "`bronzequay settings` shows each with its origin.\n\n"
        + _table(("flag", "variable", "default", "unit", "description"), rows)
    )


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


__all__ = ["entry_settings", "result_codes"]
