"""``bronzequay settings``."""

from __future__ import annotations

import dataclasses
import os
import sys

from bronzequay.cfg import entry
from bronzequay.cfg import settings as declared
from bronzequay.cli import http, output, registry


@registry.command("settings", description="Show the entry instance's settings with their origin.")
@dataclasses.dataclass(kw_only=True)
class Settings(registry.Common):
    """Options of the command."""

    def __call__(self) -> None:
        """Show what ``bronzequay-entry`` would take from this environment."""
        resolved = declared.resolve(
            entry.SETTINGS, flags={"instance": "-"}, environ=dict(os.environ)
        )
        rows = [
            (
                item.setting.flag,
                item.setting.variable,
                item.display_value,
                item.setting.unit,
                item.origin,
            )
            for item in resolved.values()
        ]
        if self.json:
            names = ("flag", "variable", "value", "unit", "origin")
            values = [dict(zip(names, row, strict=True)) for row in rows]
            sys.stdout.buffer.write(http.encode(values) + b"\n")
            return
        shown = [(*row[:4], row[4].value) for row in rows]
        output.print_table(("FLAG", "VARIABLE", "VALUE", "UNIT", "ORIGIN"), shown)


__all__ = ["Settings"]
