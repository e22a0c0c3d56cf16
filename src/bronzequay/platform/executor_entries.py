"""Decoding of the executors' entries in the store.

An executor may restart under the same id. A worker is one incarnation of an executor, named by
the executor's id and the incarnation's start time.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec

from bronzequay import codec, ids
from bronzequay.core import model
from bronzequay.net import address
from bronzequay.platform import kv

PREFIX = "servers/"
_EXECUTOR_ID = re.compile(r"[!-~]{1,200}")
"""Ids are sent in a header, which holds printable ASCII without spaces."""


class ExecutorEntry(msgspec.Struct, frozen=True):
    """An executor's entry in the store.

    :param executor: its id, which stays the same over restarts
    :param address: ``IP:PORT``
    :param is_draining: whether it accepts no new tasks and is about to leave
    :param remaining_s: shortest time until a draining executor leaves, None when not stated
    :param clock_ms: the executor's clock when it wrote the entry, None when not stated
    :param cold_s: for how much longer its tasks run slowly after an idle time, 0 when not stated
    :param invalid_fields: names of fields whose values were left out because they are invalid
    :param rev: the store's revision when it was written
    """

    executor: ids.ExecutorId
    address: str
    spec: model.WorkerSpec
    is_draining: bool
    remaining_s: float | None
    clock_ms: float | None
    cold_s: float = 0.0
    invalid_fields: tuple[str, ...] = ()
    rev: ids.Revision = kv.ABSENT

    def can_precede(self, entry: ExecutorEntry) -> bool:
        """Return whether an entry can be of the same incarnation: it keeps place and service."""
        spec, own = entry.spec, self.spec
        return (entry.address, spec.service, spec.machine, spec.labels, spec.data_centre) == (
            self.address,
            own.service,
            own.machine,
            own.labels,
            own.data_centre,
        )

    def fence(self, epoch: ids.Epoch) -> ids.Epoch:
        """Return the epoch that a term's orders to this incarnation carry.

        It is above that of orders to earlier incarnations, which this one then refuses. It is below
        the next term's epoch if the entry was read while the leader lease was held.
        """
        return ids.Epoch(max(epoch, self.rev))


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: codec.Count
    mem_mb: codec.Count
    gpu: codec.Count = 0


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    addr: str
    state: str
    capacity: _Capacity
    born: codec.Count
    labels: list[str] = []
    machine: str = ""
    remaining_ms: codec.Amount | None = None
    clock_ms: codec.Amount | None = None
    # Of any type, since an invalid value must not make the executor unusable.
    zone: Any = ""
    cold_remaining_ms: Any = 0


def worker_id(executor: ids.ExecutorId, started_ms: int) -> ids.WorkerId:
    """Return the id of one incarnation of an executor.

    :param started_ms: its start time, in milliseconds
    """
    return ids.WorkerId(f"{executor}@{started_ms}")


def executor_of(worker: ids.WorkerId) -> ids.ExecutorId:
    """Return the id of the executor that a worker is an incarnation of."""
    return ids.ExecutorId(worker.rpartition("@")[0])


def executor_from_key(key: str) -> ids.ExecutorId:
    """Return the executor's id from the key of its entry."""
    return ids.ExecutorId(key[len(PREFIX) :])


def decode(key: str, value: bytes, rev: ids.Revision = kv.ABSENT) -> ExecutorEntry | None:
    """Decode an executor's entry; None when it is malformed or not of a usable executor."""
    executor = executor_from_key(key)
    try:
        wire = codec.from_json(value, _Entry)
    except msgspec.DecodeError:
        return None
    is_usable = (
        wire.state in ("ready", "draining")
        and address.is_valid(wire.addr)
        and _EXECUTOR_ID.fullmatch(executor) is not None
    )
    return _from_wire(executor, wire, rev) if is_usable else None


def _from_wire(executor: ids.ExecutorId, wire: _Entry, rev: ids.Revision) -> ExecutorEntry:
    invalid_fields = []
    data_centre = ""
    if isinstance(wire.zone, str):
        data_centre = wire.zone
    else:
        invalid_fields.append("zone")
    cold_ms = 0.0
    try:
        cold_ms = msgspec.convert(wire.cold_remaining_ms, codec.Amount)
    except msgspec.ValidationError:
        invalid_fields.append("coldRemainingMs")
    spec = model.WorkerSpec(
        worker=worker_id(executor, wire.born),
        service=ids.ServiceId(wire.service),
        capacity=model.Resources(wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu),
        labels=tuple(wire.labels),
        # The labels are the kind of machine, then the rack.
        rack=wire.labels[-1] if len(wire.labels) > 1 else "",
        machine=ids.MachineId(wire.machine or executor),
        started_s=wire.born / 1000,
        data_centre=ids.DataCentreId(data_centre),
    )
    remaining_s = None if wire.remaining_ms is None else wire.remaining_ms / 1000
    is_draining = wire.state == "draining"
    return ExecutorEntry(
        executor,
        wire.addr,
        spec,
        is_draining,
        remaining_s,
        wire.clock_ms,
        cold_s=cold_ms / 1000,
        invalid_fields=tuple(invalid_fields),
        rev=rev,
    )


__all__ = [
    "PREFIX",
    "ExecutorEntry",
    "decode",
    "executor_from_key",
    "executor_of",
    "worker_id",
]
