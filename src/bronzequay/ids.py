"""Identifier types shared by every package."""

from __future__ import annotations

from typing import NewType

OrgId = NewType("OrgId", str)
CallerId = NewType("CallerId", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
RequestId = NewType("RequestId", str)
ServiceId = NewType("ServiceId", str)
ExecutorId = NewType("ExecutorId", str)
WorkerId = NewType("WorkerId", str)
QueueId = NewType("QueueId", str)
MachineId = NewType("MachineId", str)
InstanceId = NewType("InstanceId", str)
RackId = NewType("RackId", str)
DataCentreId = NewType("DataCentreId", str)
RegionId = NewType("RegionId", str)
LeaseId = NewType("LeaseId", str)
WriteId = NewType("WriteId", str)
Revision = NewType("Revision", int)
Epoch = NewType("Epoch", int)
BundleVersion = NewType("BundleVersion", int)

__all__ = [
    "BundleVersion",
    "CallerId",
    "DataCentreId",
    "Epoch",
    "ExecutorId",
    "InstanceId",
    "JobId",
    "LeaseId",
    "MachineId",
    "OrgId",
    "QueueId",
    "RackId",
    "RegionId",
    "RequestId",
    "Revision",
    "ServiceId",
    "TaskId",
    "WorkerId",
    "WriteId",
]
