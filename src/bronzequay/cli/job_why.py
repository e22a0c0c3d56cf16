"""``bronzequay job why``: show why a job waits."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa
import msgspec

from bronzequay.cli import http, output, registry


@registry.command("why", group=registry.Group.JOB, description="Show why a job waits.")
@dataclasses.dataclass(kw_only=True)
class Why(registry.CommonOptions):
    """Options of the command."""

    job: Annotated[str, cappa.Arg(help="id of the job")]

    def __call__(self) -> None:
        """Print the reason."""
        raw = http.call(self, "GET", f"/v1/jobs/{self.job}/why")
        if self.json:
            output.print_json(raw)
            return
        print(msgspec.json.decode(raw)["why"])


__all__ = ["Why"]
