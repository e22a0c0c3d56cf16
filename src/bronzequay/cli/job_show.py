"""``bronzequay job show``: show a job."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa
import msgspec

from bronzequay.cli import http, output, registry
from bronzequay.policy import model


@registry.command("show", group=registry.Group.JOB, description="Show a job and its history.")
@dataclasses.dataclass(kw_only=True)
class Show(registry.CommonOptions):
    """Options of the command."""

    job: Annotated[str, cappa.Arg(help="id of the job")]

    def __call__(self) -> None:
        """Print the job and its history."""
        raw = http.call(self, "GET", f"/v1/jobs/{self.job}")
        if self.json:
            output.print_json(raw)
            return
        record = msgspec.json.decode(raw, type=model.JobRecord)
        output.print_jobs([record])
        print()
        output.print_history(record)


__all__ = ["Show"]
