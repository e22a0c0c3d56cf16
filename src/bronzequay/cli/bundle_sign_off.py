"""``bronzequay bundle sign-off``."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa

from bronzequay.cli import drafts, http, registry


@registry.command("sign-off", group=registry.Group.BUNDLE, description="Approve a draft in review.")
@dataclasses.dataclass(kw_only=True)
class SignOff(registry.Common):
    """Options of the command."""

    digest: Annotated[str, cappa.Arg(help="the draft's digest")]

    def __call__(self) -> None:
        """Move the draft on and show it."""
        raw = http.call(self, "POST", f"/v1/bundles/{self.digest}/sign-off")
        drafts.show(raw, as_json=self.json)


__all__ = ["SignOff"]
