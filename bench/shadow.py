"""Checks of the decisions, computed from the commands alone and never from the core's state.

``Shadow`` records which devices each attempt holds. These checks are derived from it:

- over-commitment: a start on a device in use, or beyond a worker's cores or memory;
- broken guarantees: the unused guaranteed cells of all organisations together must fit at once
  in accelerators that are free or held by reclaimable jobs. A cell is a number of accelerators
  on one worker, so only members on the same worker share a cell. A member of a job that is not
  reclaimable is charged to the remainder of a cell that its organisation already uses on the
  same worker, or else to the organisation's smallest unused cell that holds it; the remainder
  of a used cell stays guaranteed, split into powers of two. A start is a violation when it
  increases the accelerators of the cells that cannot be placed; cells that cannot be placed
  only because a worker was lost do not count, as no decision caused that;
- partial gangs: gangs of which one member runs while another of the same attempt does not.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import msgspec

from bench import fleet
from bronzequay import ids
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class Phase(enum.Enum):
    """Phase of the tasks of an attempt."""

    HELD = "held"
    RUNNING = "running"
    STOPPING = "stopping"


class Attempt(msgspec.Struct):
    """One start of a gang.

    :param placements: the members that are not lost
    :param running: members whose tasks run
    :param released_s: time at which the members were released
    :param restore_s: seconds that this attempt spends on restoring the checkpoint, without progress
    """

    job: ids.JobId
    number: int
    spec: model.JobSpec
    placements: tuple[model.Placement, ...]
    phase: Phase = Phase.HELD
    running: set[int] = msgspec.field(default_factory=set)
    released_s: float = 0.0
    restore_s: float = 0.0
    has_lost_member: bool = False


class WorkerShadow(msgspec.Struct):
    """Free capacity of a live worker.

    :param devices: free devices
    :param pinned: number of devices held by jobs that are not reclaimable
    """

    spec: model.WorkerSpec
    devices: set[int]
    cpu: int
    mem_gb: int
    pinned: int = 0


class Member(msgspec.Struct, frozen=True):
    """A member of a gang, as charged to guarantees."""

    worker: ids.WorkerId
    accelerators: int


class Shadow(msgspec.Struct):
    """Placements that result from the commands.

    :param overcommitted: number of members started on devices that are not free or on a lost
        worker, plus the number started beyond their worker's cores or memory
    :param changed: organisations whose placements changed since the last ``entitled.update``
    """

    rules: model.Rules
    workers: dict[ids.WorkerId, WorkerShadow]
    attempts: dict[ids.JobId, Attempt] = msgspec.field(default_factory=dict)
    overcommitted: int = 0
    changed: set[ids.OrgId] = msgspec.field(default_factory=set)


def new_shadow(rules: model.Rules, workers: Iterable[model.WorkerSpec]) -> Shadow:
    """Return the shadow of an idle fleet.

    :param rules: the bundle in force
    :param workers: all workers of the fleet
    """
    shadow = Shadow(rules=rules, workers={})
    for spec in workers:
        add_worker(shadow, spec)
    return shadow


def add_worker(shadow: Shadow, spec: model.WorkerSpec) -> None:
    """Add an idle worker.

    :param shadow: changed in place
    :param spec: the worker
    """
    devices = set(range(spec.accelerators))
    shadow.workers[spec.worker] = WorkerShadow(spec, devices, spec.cpu, spec.mem_gb)


def remove_worker(shadow: Shadow, worker: ids.WorkerId) -> None:
    """Remove a lost worker together with the members on it.

    :param shadow: changed in place
    :param worker: the lost worker
    """
    shadow.workers.pop(worker, None)
    for attempt in shadow.attempts.values():
        remaining = tuple(place for place in attempt.placements if place.worker != worker)
        if len(remaining) == len(attempt.placements):
            continue
        attempt.placements = remaining
        attempt.running.intersection_update(place.member for place in remaining)
        attempt.has_lost_member = True
        shadow.changed.add(attempt.spec.org)


def start_attempt(shadow: Shadow, command: model.StartGang) -> Attempt:
    """Allocate the capacity of a start and count its over-committed members.

    :param shadow: changed in place
    :param command: the start
    :return: the attempt, with all members held
    """
    spec = command.spec
    attempt = Attempt(command.job, command.attempt, spec, command.placements)
    shadow.attempts[command.job] = attempt
    shadow.changed.add(spec.org)
    for place in command.placements:
        worker = shadow.workers.get(place.worker)
        if worker is None:
            shadow.overcommitted += 1
            continue
        devices = set(place.devices)
        if not devices <= worker.devices or len(devices) != spec.accelerators:
            shadow.overcommitted += 1
        worker.devices -= devices
        worker.cpu -= spec.cpu
        worker.mem_gb -= spec.mem_gb
        worker.pinned += 0 if spec.reclaimable else len(devices)
        if min(worker.cpu, worker.mem_gb) < 0:
            shadow.overcommitted += 1
    return attempt


def free_attempt(shadow: Shadow, job: ids.JobId) -> None:
    """Free the capacity of a job's attempt.

    :param shadow: changed in place
    :param job: a job whose tasks have all ended
    """
    attempt = shadow.attempts.pop(job)
    spec = attempt.spec
    shadow.changed.add(spec.org)
    for place in attempt.placements:
        worker = shadow.workers.get(place.worker)
        if worker is None:
            continue
        worker.devices |= set(place.devices)
        worker.cpu += spec.cpu
        worker.mem_gb += spec.mem_gb
        worker.pinned -= 0 if spec.reclaimable else len(place.devices)


def partial_gangs(shadow: Shadow) -> list[ids.JobId]:
    """Return the jobs of which only some members run.

    :param shadow: not changed
    """
    attempts = shadow.attempts.values()
    return [attempt.job for attempt in attempts if 0 < len(attempt.running) < attempt.spec.members]


def missing_guarantees(shadow: Shadow) -> int:
    """Return the accelerators of the unused guaranteed cells that cannot be placed.

    :param shadow: not changed
    :return: 0 while all guarantees can be placed at once
    """
    pinned: dict[ids.OrgId, list[Member]] = collections.defaultdict(list)
    for attempt in shadow.attempts.values():
        if not attempt.spec.reclaimable:
            pinned[attempt.spec.org].extend(members_of(attempt))
    capacities = [worker.spec.accelerators - worker.pinned for worker in shadow.workers.values()]
    return unplaced_accelerators(unused_cells(shadow.rules, pinned), capacities)


def members_of(attempt: Attempt) -> list[Member]:
    """Return the members of an attempt if they have accelerators, else none.

    :param attempt: the attempt
    """
    size = attempt.spec.accelerators
    return [Member(place.worker, size) for place in attempt.placements if size]


def unused_cells(rules: model.Rules, used: Mapping[ids.OrgId, Iterable[Member]]) -> list[int]:
    """Return the unused guaranteed cells of all organisations.

    :param rules: the rules with the guarantees
    :param used: the members charged to the cells of their organisation
    :return: sizes of the cells, in accelerators
    """
    cells: list[int] = []
    for org, org_rules in rules.orgs.items():
        cells.extend(remaining_cells(org_rules.guarantee, used.get(org, ())))
    return cells


def remaining_cells(guarantee: Iterable[model.Shape], members: Iterable[Member]) -> list[int]:
    """Charge members to cells, the largest member first.

    :param guarantee: cells of an organisation
    :param members: members of its gangs; a member that fits no cell is not charged
    :return: sizes of the remaining cells, the remainder of a used cell split into powers of two
    """
    cells = sorted(shape.accelerators for shape in guarantee for _ in range(shape.count))
    remainders_by_worker: dict[ids.WorkerId, list[int]] = collections.defaultdict(list)
    for member in sorted(members, key=lambda member: -member.accelerators):
        remainders = remainders_by_worker[member.worker]
        source = remainders if any(cell >= member.accelerators for cell in remainders) else cells
        index = next(
            (position for position, size in enumerate(source) if size >= member.accelerators), None
        )
        if index is None:
            continue
        remainder = source.pop(index) - member.accelerators
        remainders.extend(1 << bit for bit in range(remainder.bit_length()) if remainder >> bit & 1)
        remainders.sort()
    return sorted(
        [*cells, *(cell for remainders in remainders_by_worker.values() for cell in remainders)]
    )


def unplaced_accelerators(cells: Iterable[int], capacities: Iterable[int]) -> int:
    """Pack cells into workers, best fit, the largest cell first.

    For sizes of which each divides the next, as powers of two, this places all cells
    whenever that is possible.

    :param cells: sizes of the cells, each to be placed on one worker
    :param capacities: usable accelerators of each worker
    :return: accelerators of the cells that could not be placed
    """
    free = sorted(capacities)
    unplaced = 0
    for cell in sorted(cells, reverse=True):
        index = next((position for position, size in enumerate(free) if size >= cell), None)
        if index is None:
            unplaced += cell
            continue
        free[index] -= cell
        free.sort()
    return unplaced


def unusable_accelerators(shadow: Shadow, size: fleet.Size) -> int:
    """Return the free accelerators left when each worker holds as many members of a gang as fit.

    :param shadow: not changed
    :param size: size of the gang, whose members have at least one accelerator
    """
    return sum(
        len(worker.devices)
        - size.accelerators
        * fleet.members_that_fit(size, len(worker.devices), worker.cpu, worker.mem_gb)
        for worker in shadow.workers.values()
    )


__all__ = [
    "Attempt",
    "Member",
    "Phase",
    "Shadow",
    "WorkerShadow",
    "add_worker",
    "free_attempt",
    "members_of",
    "missing_guarantees",
    "new_shadow",
    "partial_gangs",
    "remaining_cells",
    "remove_worker",
    "start_attempt",
    "unplaced_accelerators",
    "unusable_accelerators",
    "unused_cells",
]
