"""Simulated scheduler and workers around the core; the checks do not use the core's indexes."""

from __future__ import annotations

import functools
import itertools
from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.policy import cells, core, model

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

ACTIVE = (model.JobState.STARTING, model.JobState.RUNNING)
CAPACITY_LOSSES = (
    model.WorkerLeaving,
    model.WorkerLost,
    model.MemberFailed,
    model.GangUnknown,
    model.RulesChanged,
)


def spec(**changes: object) -> model.JobSpec:
    fields: dict[str, object] = {
        "org": "a",
        "caller": "c1",
        "members": 1,
        "accelerators": 1,
        "cpu": 1,
        "mem_gb": 1,
        "declared_s": 600.0,
        "idempotent": True,
    }
    return msgspec.convert(fields | changes, model.JobSpec, strict=False, from_attributes=True)


def worker(index: int, *, rack_size: int = 2, accelerators: int = 8) -> model.WorkerSpec:
    rack = index // rack_size
    return model.WorkerSpec(
        worker=ids.WorkerId(f"w{index:04d}"),
        rack=ids.RackId(f"r{rack}"),
        data_centre=ids.DataCentreId(f"dc{rack // 2}"),
        accelerators=accelerators,
        cpu=4 * accelerators or 16,
        mem_gb=16 * accelerators or 64,
    )


def rules(version: int = 1, **guarantees: Sequence[tuple[int, int]]) -> model.Rules:
    orgs = {
        ids.OrgId(org): model.OrgRules(tuple(model.Shape(size, count) for size, count in shapes))
        for org, shapes in guarantees.items()
    }
    return model.Rules(ids.BundleVersion(version), orgs)


class Gang(msgspec.Struct):
    """An attempt as the workers see it."""

    attempt: int
    members: int
    idempotent: bool
    is_running: bool = False
    stop: model.StopMode | None = None
    has_lost_member: bool = False


class World:
    """Executes the core's commands and checks its invariants after each event."""

    def __init__(self, bundle: model.Rules, workers: Iterable[model.WorkerSpec]) -> None:
        self.workers = {spec.worker: spec for spec in workers}
        self.state = core.new_state(rules=bundle, workers=self.workers.values())
        self.now_s = 1_000.0
        self.gangs: dict[ids.JobId, Gang] = {}
        self.cancelled: set[ids.JobId] = set()
        self.ran: set[ids.JobId] = set()
        self.not_restartable: set[ids.JobId] = set()
        self.shortage = missing_accelerators(self.state, self.workers)
        self.starts = 0
        self.unschedulable = 0

    def step(self, event: model.Event) -> tuple[model.Command, ...]:
        commands = core.step(self.state, event, now_s=self.now_s)
        core.pop_dirty(self.state)
        for command in commands:
            self.execute(command)
        self.check(event)
        return commands

    def execute(self, command: model.Command) -> None:
        if isinstance(command, model.StartGang):
            assert command.job not in self.cancelled, "a cancelled job was restarted"
            assert command.job not in self.not_restartable, "a non-idempotent job started again"
            assert command.job not in self.gangs, "a gang started before its last attempt ended"
            assert len(command.placements) == command.spec.members, "partial gang started"
            self.gangs[command.job] = Gang(
                command.attempt, command.spec.members, command.spec.idempotent
            )
            self.starts += 1
        elif isinstance(command, model.ReleaseGang):
            gang = self.gangs[command.job]
            assert gang.stop is None, "a stopped gang was released"
            gang.is_running = True
            self.ran.add(command.job)
        elif command.job in self.gangs:
            self.gangs[command.job].stop = command.mode

    def held(self, job: ids.JobId) -> None:
        self.step(model.GangHeld(job, self.gangs[job].attempt))

    def finish(self, job: ids.JobId) -> None:
        gang = self.gangs.pop(job)
        self.step(model.GangFinished(job, gang.attempt))

    def stopped(self, job: ids.JobId, kept_s: float) -> None:
        gang = self.gangs.pop(job)
        is_kept = gang.stop is model.StopMode.CHECKPOINT and not gang.has_lost_member
        if gang.is_running and not gang.idempotent and not is_kept:
            self.not_restartable.add(job)
        self.step(model.GangStopped(job, gang.attempt, kept_s if is_kept else 0.0))

    def fail(self, job: ids.JobId, index: int, fault: model.MemberFault) -> None:
        gang = self.gangs[job]
        gang.has_lost_member = True
        place = self.state.jobs[job].placements[index]
        self.step(model.MemberFailed(job, gang.attempt, place.worker, fault))

    def lose(self, name: ids.WorkerId) -> None:
        del self.workers[name]
        for job, gang in self.gangs.items():
            gang.has_lost_member |= any(p.worker == name for p in self.state.jobs[job].placements)
        self.step(model.WorkerLost(name))

    def take_over(self) -> None:
        records = msgspec.msgpack.decode(
            msgspec.msgpack.encode(list(self.state.jobs.values())), type=list[model.JobRecord]
        )
        leaving = [name for name, worker in self.state.workers.items() if worker.is_leaving]
        self.state = core.new_state(
            rules=self.state.rules, workers=self.workers.values(), jobs=records
        )
        for name in leaving:
            self.step(model.WorkerLeaving(name))

    def check(self, event: model.Event) -> None:
        check_capacity(self.state, self.workers)
        self.check_gangs()
        missing = missing_accelerators(self.state, self.workers)
        unschedulable = sum(not worker.is_schedulable for worker in self.state.workers.values())
        may_lose = (
            isinstance(event, (*CAPACITY_LOSSES, model.WorkerJoined))
            or unschedulable > self.unschedulable
        )
        self.unschedulable = unschedulable
        if not may_lose:
            assert missing <= self.shortage, "an unused guarantee can no longer be carved out"
        assert bool(core.unmet_guarantees(self.state)) == (missing > 0), (
            "unmet guarantees are not reported"
        )
        self.shortage = missing

    def check_gangs(self) -> None:
        for job, gang in self.gangs.items():
            record = self.state.jobs[job]
            if gang.is_running and gang.has_lost_member:
                assert gang.stop is not None, "a gang runs with part of its members"
            is_placed = record.state in model.PLACED_STATES
            assert is_placed, f"a gang runs although its job is {record.state}"


def check_capacity(state: core.State, workers: dict[ids.WorkerId, model.WorkerSpec]) -> None:
    """Check, from the records alone, that no worker is allocated beyond its capacity."""
    devices: set[tuple[ids.WorkerId, int]] = set()
    cpu = dict.fromkeys(workers, 0)
    mem_gb = dict.fromkeys(workers, 0)
    for record in state.jobs.values():
        if record.state not in model.PLACED_STATES:
            continue
        for place in record.placements:
            if place.worker not in workers:
                continue
            for index in place.devices:
                assert index < workers[place.worker].accelerators
                assert (place.worker, index) not in devices, "a device is allocated twice"
                devices.add((place.worker, index))
            assert len(place.devices) == record.spec.accelerators
            cpu[place.worker] += record.spec.cpu
            mem_gb[place.worker] += record.spec.mem_gb
    for name, spec in workers.items():
        assert cpu[name] <= spec.cpu, "a worker is allocated more cores than it has"
        assert mem_gb[name] <= spec.mem_gb, "a worker is allocated more memory than it has"


def missing_accelerators(state: core.State, workers: dict[ids.WorkerId, model.WorkerSpec]) -> int:
    """Return how many accelerators of unused guarantees cannot be carved out, by brute force."""
    unused = list(itertools.chain(*(_unused(state, org) for org in state.rules.orgs)))
    return _min_missing(tuple(sorted(unused, reverse=True)), _available(state, workers))


@functools.lru_cache(maxsize=100_000)
def _min_missing(unused: tuple[int, ...], masks: tuple[int, ...]) -> int:
    parts = itertools.chain.from_iterable(
        itertools.combinations(unused, count) for count in range(len(unused) + 1)
    )
    return min(sum(unused) - sum(part) for part in set(parts) if _can_carve(part, masks))


def _unused(state: core.State, org: ids.OrgId) -> list[int]:
    bound: set[cells.Cell] = set()
    for record in state.jobs.values():
        is_bound = record.state in (*ACTIVE, model.JobState.IN_DOUBT)
        if record.spec.org == org and is_bound and record.share is model.Share.GUARANTEED:
            bound.update(cell for cell in record.cells if _is_schedulable(state, cell.worker))
    sizes: list[int] = []
    for shape in state.rules.orgs[org].guarantee:
        size = 1
        while size < shape.accelerators:
            size *= 2
        sizes += [size] * shape.count
    for cell in bound:
        assert cell.size in sizes, "more cells are bound than guaranteed"
        sizes.remove(cell.size)
    return sorted(sizes, reverse=True)


def _is_schedulable(state: core.State, name: ids.WorkerId) -> bool:
    return name in state.workers and state.workers[name].is_schedulable


def _available(state: core.State, workers: dict[ids.WorkerId, model.WorkerSpec]) -> tuple[int, ...]:
    """Return the masks of the free or reclaimable devices of the workers."""
    masks = {
        name: (1 << workers[name].accelerators) - 1
        for name, worker in state.workers.items()
        if worker.is_schedulable and name in workers
    }
    for record in state.jobs.values():
        is_not_reclaimable = record.state in ACTIVE and record.share is not model.Share.BORROWED
        if not is_not_reclaimable and record.state is not model.JobState.IN_DOUBT:
            continue
        for cell in record.cells:
            masks[cell.worker] = masks.get(cell.worker, 0) & ~cells.mask_of(cell)
        for place in record.placements:
            held = sum(1 << index for index in place.devices)
            masks[place.worker] = masks.get(place.worker, 0) & ~held
    return tuple(sorted(masks.values()))


@functools.lru_cache(maxsize=100_000)
def _can_carve(sizes: tuple[int, ...], masks: tuple[int, ...]) -> bool:
    """Return whether all cells can be carved out, by trying every position of every cell."""
    if not sizes:
        return True
    size = sizes[0]
    for index, mask in enumerate(masks):
        for first in range(0, mask.bit_length(), size):
            cell = ((1 << size) - 1) << first
            if mask & cell == cell:
                remaining = tuple(sorted((*masks[:index], mask & ~cell, *masks[index + 1 :])))
                if _can_carve(sizes[1:], remaining):
                    return True
    return False
