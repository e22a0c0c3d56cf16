"""``bronzequay pages``: write the generated documentation pages."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Annotated

import cappa

from bronzequay.cfg import entry, node
from bronzequay.cli import registry
from bronzequay.obs import pages


@registry.command("pages", description="Write the documentation pages generated from the code.")
@dataclasses.dataclass(kw_only=True)
class Pages:
    """Options of the command."""

    folder: Annotated[pathlib.Path, cappa.Arg(help="documentation folder")]

    def __call__(self) -> None:
        """Write the pages."""
        (self.folder / "result-codes.md").write_text(pages.render_result_codes(), encoding="utf-8")
        settings = pages.render_settings(entry.SETTINGS, node.SETTINGS)
        (self.folder / "reference" / "settings.md").write_text(settings, encoding="utf-8")


__all__ = ["Pages"]
