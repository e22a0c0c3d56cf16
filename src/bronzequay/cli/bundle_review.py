"""``bronzequay bundle review``: request a review of a draft."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa

from bronzequay.cli import drafts, http, registry


@registry.command("review", group=registry.Group.BUNDLE, description="Request a review of a draft.")
@dataclasses.dataclass(kw_only=True)
class Review(registry.CommonOptions):
    """Options of the command."""

    digest: Annotated[str, cappa.Arg(help="digest of the draft")]

    def __call__(self) -> None:
        """Request the review and print the draft."""
        raw = http.call(self, "POST", f"/v1/bundles/{self.digest}/review")
        drafts.print_draft(raw, as_json=self.json)


__all__ = ["Review"]
