"""Stored form of what the forecast has learned, for the next term.

Only the latest machines and classes that fit the limit are kept. Nothing in a stored value is
trusted: numbers out of their bounds are left out.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from bronzequay import codec, ids
from bronzequay.core import model, run_times, speed_groups, speed_model, speeds

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bronzequay.core.run_times import History, RunTimes
    from bronzequay.core.speed_model import Pool

VERSION = 1
MAX_BYTES = 180_000
"""Largest stored value. The store's writes carry it in base64, which makes 240 KB of it."""
MAX_MACHINES = 2_000
MAX_CLASSES = 1_600
"""Latest machines and classes that are stored; fewer if they do not fit."""
SAMPLES = 3
"""Latest samples of a machine that are stored; as many settle its group."""
MAX_LOGARITHM = 20.0
"""Bound on stored logarithms of run times and errors; a run of e^20 s takes 15 years."""
RESTORED_STEP = model.StepKey(ids.JobId(""), 0, 0)
"""Step that restored samples are counted under; no job has an empty name."""


class MachineRecord(msgspec.Struct, array_like=True):
    """One machine.

    :param samples: bins of its samples, relative to the baselines of their steps
    """

    machine: str
    kind: str
    rack: str
    data_centre: str
    samples: tuple[int, ...]


class ServiceRecord(msgspec.Struct, array_like=True):
    """Machines of one service, and the groups that they form."""

    service: str
    centres: tuple[float, ...]
    shares: tuple[float, ...]
    spread: float
    machines: tuple[MachineRecord, ...]


class ClassRecord(msgspec.Struct, array_like=True):
    """One class of run times; only the coarsest classes have a distribution."""

    name: tuple[str, ...]
    errors: run_times.Moving
    runs: run_times.Moving
    ratios: run_times.Distribution | None = None


class Figures(msgspec.Struct, frozen=True, array_like=True):
    """How well run times were predicted in a term; see ``forecast.Accuracy``."""

    ratio_p50: float = 1.0
    ratio_p90: float = 1.0
    share_below_p90: float = 0.0


class Snapshot(msgspec.Struct, array_like=True):
    """Everything that is stored.

    :param figures: for readers other than the next term
    """

    version: int
    services: tuple[ServiceRecord, ...]
    classes: tuple[ClassRecord, ...]
    figures: Figures = Figures()


def encode(pools: dict[ids.ServiceId, Pool], times: RunTimes, figures: Figures) -> bytes:
    """Encode the learned values in ``MAX_BYTES`` at most."""
    machines, classes = MAX_MACHINES, MAX_CLASSES
    while True:
        value = msgspec.msgpack.encode(
            Snapshot(
                VERSION,
                tuple(_service_record(name, pool, machines) for name, pool in pools.items()),
                tuple(_class_records(times, classes)),
                figures,
            )
        )
        if len(value) <= MAX_BYTES or machines + classes == 0:
            return value
        machines, classes = machines // 2, classes // 2


def _service_record(service: ids.ServiceId, pool: Pool, limit: int) -> ServiceRecord:
    sampled = [(name, machine) for name, machine in pool.machines.items() if machine.samples]
    records = [
        MachineRecord(
            name,
            machine.traits.kind,
            machine.traits.rack,
            machine.traits.data_centre,
            tuple(number for number, _ in speed_model.weighted_samples(machine)[:SAMPLES]),
        )
        for name, machine in sampled[len(sampled) - min(limit, len(sampled)) :]
    ]
    groups = pool.groups
    return ServiceRecord(service, groups.centres, groups.shares, groups.spread, tuple(records))


def _class_records(times: RunTimes, limit: int) -> Iterator[ClassRecord]:
    names = list(times.histories)
    for name in names[len(names) - min(limit, len(names)) :]:
        history = times.histories[name]
        ratios = history.ratios if len(name) == 1 else None
        yield ClassRecord(name, history.errors, history.runs, ratios)


def decode(value: bytes) -> Snapshot | None:
    """Decode a stored value; None when it is damaged or of another version."""
    try:
        snapshot = codec.from_msgpack(value, Snapshot)
    except (msgspec.MsgspecError, RecursionError, ValueError):
        return None
    return snapshot if snapshot.version == VERSION else None


def group_speeds(record: ServiceRecord) -> tuple[float, ...]:
    """Return the speeds of a stored service's groups, fastest first; 1 if they are unusable."""
    groups = speed_groups.Groups(record.centres, record.shares, record.spread)
    return tuple(math.exp(-centre) for centre in groups.centres) if _is_usable(groups) else (1.0,)


def restore_pool(pool: Pool, record: ServiceRecord) -> None:
    """Add stored machines to a pool; what this term has learned already counts as later."""
    service = ids.ServiceId(record.service)
    groups = speed_groups.Groups(record.centres, record.shares, record.spread)
    if len(pool.groups.centres) == 1 and _is_usable(groups):
        pool.groups = groups
        pool.tables = speed_groups.tables_of(groups.centres, groups.spread)
        pool.gang_tables = speed_groups.tables_of(groups.centres, speeds.GANG_SPREAD)
    for entry in record.machines[: speeds.MAX_MACHINES]:
        name = ids.MachineId(entry.machine)
        machine = pool.machines.get(name)
        if machine is None:
            traits = speeds.WorkerTraits(
                name, service, entry.kind, entry.rack, ids.DataCentreId(entry.data_centre)
            )
            machine = pool.machines[name] = speed_model.Machine(traits)
        later = machine.samples
        machine.samples = {
            (RESTORED_STEP, number, 0): (pool.restored, speed_groups.MIDDLES[sample])
            for number, sample in enumerate(reversed(entry.samples[:SAMPLES]))
            if 0 <= sample < speed_groups.BINS
        }
        machine.samples.update(later)
        while len(machine.samples) > speed_model.SAMPLES_PER_MACHINE:
            del machine.samples[next(iter(machine.samples))]
    pool.is_changed = True


def _is_usable(groups: speed_groups.Groups) -> bool:
    centres, shares = groups.centres, groups.shares
    return (
        1 <= len(centres) == len(shares) <= speed_groups.MAX_GROUPS
        and all(abs(centre) <= speed_groups.LIMIT for centre in centres)
        and list(centres) == sorted(centres)
        and all(0.0 < share <= 1.0 for share in shares)
        and speeds.MIN_SPREAD <= groups.spread <= speeds.MAX_SPREAD
        and (len(centres) == 1 or speed_groups.is_plausible(groups, speed_groups.MIN_MACHINES * 8))
    )


def restore_run_times(times: RunTimes, classes: tuple[ClassRecord, ...]) -> None:
    """Add stored classes; those of which this term knows as much already are kept."""
    known = times.histories
    times.histories = {}
    for record in classes[: run_times.MAX_CLASSES]:
        history = _history(record)
        if history is not None:
            times.histories[record.name] = history
    for name, history in known.items():
        stored = times.histories.pop(name, None)
        is_better = stored is not None and stored.runs.weight > history.runs.weight
        times.histories[name] = stored if stored is not None and is_better else history


def _history(record: ClassRecord) -> History | None:
    ratios = record.ratios or run_times.Distribution()
    limit = run_times.MAX_RATIO / run_times.BUCKET_WIDTH
    weights = list(ratios.buckets.values())
    is_valid = (
        _is_valid(record.errors)
        and _is_valid(record.runs)
        and all(abs(number) <= limit + 1 for number in ratios.buckets)
        and all(0.0 <= weight <= run_times.MAX_STEPS for weight in weights)
    )
    if not is_valid:
        return None
    ratios.total = sum(weights)
    return run_times.History(record.errors, record.runs, ratios)


def _is_valid(moving: run_times.Moving) -> bool:
    """Return whether stored statistics are within their bounds; NaN is within none."""
    return (
        0.0 <= moving.weight <= run_times.MAX_STEPS
        and abs(moving.mean) <= MAX_LOGARITHM
        and 0.0 <= moving.variance <= MAX_LOGARITHM**2
        and math.isfinite(moving.mean)
    )


__all__ = [
    "MAX_BYTES",
    "Figures",
    "Snapshot",
    "decode",
    "encode",
    "group_speeds",
    "restore_pool",
    "restore_run_times",
]
