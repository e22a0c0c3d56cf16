"""``bronzequay job cancel``: cancel jobs."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa
import msgspec

from bronzequay.api import jobs
from bronzequay.cli import http, output, registry


@registry.command("cancel", group=registry.Group.JOB, description="Cancel one or many jobs.")
@dataclasses.dataclass(kw_only=True)
class Cancel(registry.CommonOptions):
    """Options of the command."""

    jobs: Annotated[list[str], cappa.Arg(num_args=-1, help="ids of the jobs")]

    def __call__(self) -> None:
        """Cancel the jobs and print them."""
        raw = http.call(self, "POST", "/v1/jobs/cancel", body=http.encode({"jobs": self.jobs}))
        if self.json:
            output.print_json(raw)
            return
        output.print_jobs(msgspec.json.decode(raw, type=jobs.JobPage).jobs)


__all__ = ["Cancel"]
