"""JSON request bodies of callers and operators, with the permitted ranges."""

from __future__ import annotations

from typing import Annotated

import msgspec

from bronzequay import ids
from bronzequay.policy import model

MAX_MEMBERS = 1024
MAX_ACCELERATORS = 1024
MAX_CPU = 4096
MAX_MEM_GB = 65_536
MAX_DURATION_S = 366 * 86_400.0
MAX_CANCELS = 10_000

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Duration = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]


class SubmitBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as a caller submits it; sizes are per member, see ``model.JobSpec``.

    :param key: deduplication key; submissions with the same key create one job
    """

    organisation: Name
    caller: Name
    declared_s: Duration
    members: Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMBERS)] = 1
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)] = 1
    cpu: Annotated[int, msgspec.Meta(ge=0, le=MAX_CPU)] = 1
    mem_gb: Annotated[int, msgspec.Meta(ge=0, le=MAX_MEM_GB)] = 1
    urgency: model.Urgency = model.Urgency.NORMAL
    idempotent: bool = False
    reclaimable: bool = True
    deadline_s: Duration | None = None
    key: Name | None = None
    payload: dict[str, str | int | float | bool] = {}

    def to_spec(self) -> model.JobSpec:
        """Return the job's specification for the scheduler."""
        return model.JobSpec(
            org=ids.OrgId(self.organisation),
            caller=ids.CallerId(self.caller),
            members=self.members,
            accelerators=self.accelerators,
            cpu=self.cpu,
            mem_gb=self.mem_gb,
            declared_s=self.declared_s,
            urgency=self.urgency,
            idempotent=self.idempotent,
            reclaimable=self.reclaimable,
            deadline_s=self.deadline_s,
            payload=self.payload,
        )


class CancelBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Jobs to cancel."""

    jobs: Annotated[tuple[ids.JobId, ...], msgspec.Meta(min_length=1, max_length=MAX_CANCELS)]


class RollOutBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request to roll out a signed-off draft.

    :param expected: version that the operator expects to be in force, 0 before the first
        roll-out
    """

    digest: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
    expected: Annotated[int, msgspec.Meta(ge=0)]


__all__ = ["CancelBody", "RollOutBody", "SubmitBody"]
