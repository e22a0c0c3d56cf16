"""``bronzequay bundle draft``: submit a bundle as a draft."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Annotated

import cappa

from bronzequay.cli import drafts, http, registry


@registry.command("draft", group=registry.Group.BUNDLE, description="Submit a bundle as a draft.")
@dataclasses.dataclass(kw_only=True)
class DraftBundle(registry.CommonOptions):
    """Options of the command."""

    file: Annotated[pathlib.Path, cappa.Arg(help="bundle file, in TOML")]

    def __call__(self) -> None:
        """Submit the file and print the draft."""
        raw = http.call(self, "POST", "/v1/bundles", body=self.file.read_bytes())
        drafts.print_draft(raw, as_json=self.json)


__all__ = ["DraftBundle"]
