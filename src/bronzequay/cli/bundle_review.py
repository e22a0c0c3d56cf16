"""``bronzequay bundle review``."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa

from bronzequay.cli import drafts, http, registry


@registry.command("review", group=registry.Group.BUNDLE, description="Ask for a review of a draft.")
@dataclasses.dataclass(kw_only=True)
class Review(registry.Common):
    """Options of the command."""

    digest: Annotated[str, cappa.Arg(help="the draft's digest")]

    def __call__(self) -> None:
        """Move the draft on and show it."""
        raw = http.call(self, "POST", f"/v1/bundles/{self.digest}/review")
        drafts.show(raw, as_json=self.json)


__all__ = ["Review"]
