"""``bronzequay job submit``."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa
import msgspec

from bronzequay.cli import http, output, registry
from bronzequay.policy import model


@registry.command("submit", group=registry.Group.JOB, description="Submit a job.")
@dataclasses.dataclass(kw_only=True)
class Submit(registry.Common):
    """Options of the command; sizes are per member."""

    org: Annotated[str, cappa.Arg(long=True, help="organisation")]
    caller: Annotated[str, cappa.Arg(long=True, help="caller within the organisation")]
    declared_s: Annotated[float, cappa.Arg(long=True, help="expected run time in seconds")]
    members: Annotated[int, cappa.Arg(long=True, help="tasks that run all or none")] = 1
    accelerators: Annotated[int, cappa.Arg(long=True, help="accelerators a member")] = 1
    cpu: Annotated[int, cappa.Arg(long=True, help="cores a member")] = 1
    mem_gb: Annotated[int, cappa.Arg(long=True, help="memory a member in GB")] = 1
    urgency: Annotated[str, cappa.Arg(long=True, help="low, normal or urgent")] = "normal"
    idempotent: Annotated[bool, cappa.Arg(long=True, help="may be started twice")] = False
    not_reclaimable: Annotated[bool, cappa.Arg(long=True, help="is never stopped")] = False
    deadline_s: Annotated[float | None, cappa.Arg(long=True, help="seconds to finish in")] = None
    key: Annotated[str | None, cappa.Arg(long=True, help="deduplication key")] = None
    payload: Annotated[str, cappa.Arg(long=True, help="JSON object for the workers")] = "{}"

    def __call__(self) -> None:
        """Submit and show the job."""
        raw = http.call(self, "POST", "/v1/jobs", body=self._body())
        if self.json:
            output.print_json(raw)
            return
        output.print_jobs([msgspec.json.decode(raw, type=model.JobRecord)])

    def _body(self) -> bytes:
        value = {
            "organisation": self.org,
            "caller": self.caller,
            "declared_s": self.declared_s,
            "members": self.members,
            "accelerators": self.accelerators,
            "cpu": self.cpu,
            "mem_gb": self.mem_gb,
            "urgency": self.urgency,
            "idempotent": self.idempotent,
            "reclaimable": not self.not_reclaimable,
            "deadline_s": self.deadline_s,
            "key": self.key,
            "payload": msgspec.Raw(self.payload.encode()),
        }
        return http.encode(value)


__all__ = ["Submit"]
