"""``bronzequay bundle check``."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Annotated

import cappa

from bronzequay.cfg import bundle
from bronzequay.cli import http, output, registry


@registry.command("check", group=registry.Group.BUNDLE, description="Check a bundle's file.")
@dataclasses.dataclass(kw_only=True)
class Check(registry.Common):
    """Options of the command."""

    file: Annotated[pathlib.Path, cappa.Arg(help="the bundle, in TOML")]

    def __call__(self) -> None:
        """Check the file without calling an instance."""
        text = self.file.read_bytes()
        checked = bundle.parse(text)
        if self.json:
            output.print_json(http.encode({"digest": bundle.digest(text), "valid": True}))
            return
        count = len(checked.organisation)
        print(f"valid, {count} organisations, digest {bundle.digest(text)}")


__all__ = ["Check"]
