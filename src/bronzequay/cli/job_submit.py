"""``bronzequay job submit``: submit a job."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa
import msgspec

from bronzequay.cli import http, output, registry
from bronzequay.policy import model


@registry.command("submit", group=registry.Group.JOB, description="Submit a job.")
@dataclasses.dataclass(kw_only=True)
class Submit(registry.CommonOptions):
    """Options of the command; sizes are per member."""

    org: Annotated[str, cappa.Arg(long=True, help="organisation")]
    caller: Annotated[str, cappa.Arg(long=True, help="caller within the organisation")]
    declared_s: Annotated[float, cappa.Arg(long=True, help="expected run time in seconds")]
    members: Annotated[int, cappa.Arg(long=True, help="tasks of the gang; all run or none")] = 1
    accelerators: Annotated[int, cappa.Arg(long=True, help="accelerators per member")] = 1
    cpu: Annotated[int, cappa.Arg(long=True, help="processor cores per member")] = 1
    mem_gb: Annotated[int, cappa.Arg(long=True, help="memory per member in GB")] = 1
    urgency: Annotated[str, cappa.Arg(long=True, help="low, normal or urgent")] = "normal"
    idempotent: Annotated[bool, cappa.Arg(long=True, help="may be started more than once")] = False
    not_reclaimable: Annotated[
        bool, cappa.Arg(long=True, help="may neither borrow nor be stopped")
    ] = False
    deadline_s: Annotated[
        float | None, cappa.Arg(long=True, help="seconds from acceptance to the deadline")
    ] = None
    key: Annotated[str | None, cappa.Arg(long=True, help="deduplication key")] = None
    payload: Annotated[str, cappa.Arg(long=True, help="JSON object passed to the workers")] = "{}"

    def __call__(self) -> None:
        """Submit and print the job."""
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
