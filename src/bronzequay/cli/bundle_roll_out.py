"""``bronzequay bundle roll-out``."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa
import msgspec

from bronzequay.cfg import rollout
from bronzequay.cli import http, output, registry


@registry.command("roll-out", group=registry.Group.BUNDLE, description="Put a draft in force.")
@dataclasses.dataclass(kw_only=True)
class RollOut(registry.Common):
    """Options of the command."""

    digest: Annotated[str, cappa.Arg(help="the signed-off draft's digest")]
    expected: Annotated[int, cappa.Arg(long=True, help="version in force now, 0 before the first")]

    def __call__(self) -> None:
        """Roll out and show the new version."""
        body = http.encode({"digest": self.digest, "expected": self.expected})
        raw = http.call(self, "POST", "/v1/bundles/roll-out", body=body)
        if self.json:
            output.print_json(raw)
            return
        entry = msgspec.json.decode(raw, type=rollout.HeadEntry)
        print(f"version {entry.version} is in force")


__all__ = ["RollOut"]
