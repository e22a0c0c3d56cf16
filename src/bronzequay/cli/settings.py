"""``bronzequay settings``: show the resolved settings of an entry instance."""

from __future__ import annotations

import dataclasses
import os
import sys

from bronzequay.cfg import entry
from bronzequay.cfg import settings as cfg_settings
from bronzequay.cli import http, output, registry


@registry.command(
    "settings", description="Show the settings of an entry instance with their origins."
)
@dataclasses.dataclass(kw_only=True)
class Settings(registry.CommonOptions):
    """Options of the command."""

    def __call__(self) -> None:
        """Print the settings that ``bronzequay-entry`` would resolve from this environment."""
        resolved = cfg_settings.resolve(
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
        display_rows = [(*row[:4], row[4].value) for row in rows]
        output.print_table(("FLAG", "VARIABLE", "VALUE", "UNIT", "ORIGIN"), display_rows)


__all__ = ["Settings"]
