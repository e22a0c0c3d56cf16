"""``bronzequay bundle check``: check a bundle file without calling an instance."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Annotated

import cappa

from bronzequay.cfg import bundle
from bronzequay.cli import http, output, registry


@registry.command("check", group=registry.Group.BUNDLE, description="Check a bundle file.")
@dataclasses.dataclass(kw_only=True)
class Check(registry.CommonOptions):
    """Options of the command."""

    file: Annotated[pathlib.Path, cappa.Arg(help="bundle file, in TOML")]

    def __call__(self) -> None:
        """Check the file and print the bundle's digest."""
        text = self.file.read_bytes()
        checked = bundle.parse(text)
        if self.json:
            output.print_json(http.encode({"digest": bundle.digest(text), "valid": True}))
            return
        count = len(checked.organisation)
        print(f"valid, {count} organisations, digest {bundle.digest(text)}")


__all__ = ["Check"]
