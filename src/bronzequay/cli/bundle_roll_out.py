"""``bronzequay bundle roll-out``: roll out a signed-off draft."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa
import msgspec

from bronzequay.cfg import rollout
from bronzequay.cli import http, output, registry


@registry.command(
    "roll-out", group=registry.Group.BUNDLE, description="Roll out a signed-off draft."
)
@dataclasses.dataclass(kw_only=True)
class RollOut(registry.CommonOptions):
    """Options of the command."""

    digest: Annotated[str, cappa.Arg(help="digest of the signed-off draft")]
    expected: Annotated[int, cappa.Arg(long=True, help="version now in force, 0 before the first")]

    def __call__(self) -> None:
        """Roll out the draft and print the new version."""
        body = http.encode({"digest": self.digest, "expected": self.expected})
        raw = http.call(self, "POST", "/v1/bundles/roll-out", body=body)
        if self.json:
            output.print_json(raw)
            return
        entry = msgspec.json.decode(raw, type=rollout.HeadEntry)
        print(f"version {entry.version} is in force")


__all__ = ["RollOut"]
