"""``bronzequay job list``: list jobs."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa
import msgspec

from bronzequay.api import jobs
from bronzequay.cli import http, output, registry


@registry.command("list", group=registry.Group.JOB, description="List jobs, newest first.")
@dataclasses.dataclass(kw_only=True)
class List(registry.CommonOptions):
    """Options of the command."""

    org: Annotated[str | None, cappa.Arg(long=True, help="list only jobs of this organisation")] = (
        None
    )
    state: Annotated[str | None, cappa.Arg(long=True, help="list only jobs in this state")] = None
    limit: Annotated[int, cappa.Arg(long=True, help="maximum number of jobs")] = (
        jobs.DEFAULT_LIST_LIMIT
    )

    def __call__(self) -> None:
        """Print the jobs."""
        params: dict[str, str | int] = {"limit": self.limit}
        if self.org is not None:
            params["org"] = self.org
        if self.state is not None:
            params["state"] = self.state
        raw = http.call(self, "GET", "/v1/jobs", params=params)
        if self.json:
            output.print_json(raw)
            return
        output.print_jobs(msgspec.json.decode(raw, type=jobs.JobPage).jobs)


__all__ = ["List"]
