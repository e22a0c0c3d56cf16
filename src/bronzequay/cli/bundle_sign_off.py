"""``bronzequay bundle sign-off``: sign off a draft in review."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa

from bronzequay.cli import drafts, http, registry


@registry.command("sign-off", group=registry.Group.BUNDLE, description="Approve a draft in review.")
@dataclasses.dataclass(kw_only=True)
class SignOff(registry.CommonOptions):
    """Options of the command."""

    digest: Annotated[str, cappa.Arg(help="digest of the draft")]

    def __call__(self) -> None:
        """Sign off and print the draft."""
        raw = http.call(self, "POST", f"/v1/bundles/{self.digest}/sign-off")
        drafts.print_draft(raw, as_json=self.json)


__all__ = ["SignOff"]
