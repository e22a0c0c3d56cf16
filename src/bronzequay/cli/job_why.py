"""``bronzequay job why``."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa
import msgspec

from bronzequay.cli import http, output, registry


@registry.command("why", group=registry.Group.JOB, description="Tell what a job waits for.")
@dataclasses.dataclass(kw_only=True)
class Why(registry.Common):
    """Options of the command."""

    job: Annotated[str, cappa.Arg(help="the job's id")]

    def __call__(self) -> None:
        """Tell the reason."""
        raw = http.call(self, "GET", f"/v1/jobs/{self.job}/why")
        if self.json:
            output.print_json(raw)
            return
        print(msgspec.json.decode(raw)["why"])


__all__ = ["Why"]
