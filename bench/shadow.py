"""Checks of the decisions, computed from the commands alone and never from the core's state.

``Shadow`` keeps which devices each attempt holds. From it come:

- over-commitment: a start on a device in use, or beyond a worker's cores or memory;
- broken guarantees: every organisation's unused guaranteed cells, all organisations
  together, must fit at once in accelerators that are free or held by reclaimable jobs.
  A cell lies on one worker, so only members on one worker share a cell. A member of a job
  that is not reclaimable uses up the rest of a cell that its organisation uses on the same
  worker, or else the organisation's smallest unused cell that holds it; what is left of a
  used cell stays guaranteed in halves. A start counts as a violation when it enlarges the
  accelerators of cells that find no place; cells that fail only for the loss of a worker are
  no decision and do not count.
- partial gangs: a gang of which a member runs while another of its attempt does not.
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
    """What the tasks of an attempt do."""

    HELD = "held"
    RUNNING = "running"
    STOPPING = "stopping"


class Attempt(msgspec.Struct):
    """One start of a gang.

    :param placements: the members that are not lost
    :param running: members whose tasks do work
    :param released_s: when the members were released
    :param charge_s: time of this attempt that restores the checkpoint and is no progress
    """

    job: ids.JobId
    number: int
    spec: model.JobSpec
    placements: tuple[model.Placement, ...]
    phase: Phase = Phase.HELD
    running: set[int] = msgspec.field(default_factory=set)
    released_s: float = 0.0
    charge_s: float = 0.0
    has_lost_member: bool = False


class WorkerShadow(msgspec.Struct):
    """Free capacity of a live worker.

    :param firm: devices held by jobs that cannot be reclaimed
    """

    spec: model.WorkerSpec
    devices: set[int]
    cpu: int
    mem_gb: int
    firm: int = 0


class Member(msgspec.Struct, frozen=True):
    """A member of a gang, as the guarantees count it."""

    worker: ids.WorkerId
    accelerators: int


class Shadow(msgspec.Struct):
    """Placements as the commands made them.

    :param overcommitted: members started beyond their worker's capacity
    :param changed: organisations whose placements changed, until ``entitled.update``
    """

    rules: model.Rules
    workers: dict[ids.WorkerId, WorkerShadow]
    attempts: dict[ids.JobId, Attempt] = msgspec.field(default_factory=dict)
    overcommitted: int = 0
    changed: set[ids.OrgId] = msgspec.field(default_factory=set)


def new_shadow(rules: model.Rules, workers: Iterable[model.WorkerSpec]) -> Shadow:
    """Return the shadow of an idle fleet.

    :param rules: the bundle in force
    :param workers: every worker
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


def lose_worker(shadow: Shadow, worker: ids.WorkerId) -> None:
    """Take a worker away with the members that were on it.

    :param shadow: changed in place
    :param worker: the worker that is lost
    """
    shadow.workers.pop(worker, None)
    for attempt in shadow.attempts.values():
        kept = tuple(place for place in attempt.placements if place.worker != worker)
        if len(kept) == len(attempt.placements):
            continue
        attempt.placements = kept
        attempt.running.intersection_update(place.member for place in kept)
        attempt.has_lost_member = True
        shadow.changed.add(attempt.spec.org)


def start(shadow: Shadow, command: model.StartGang) -> Attempt:
    """Occupy the capacity of a start, and note what is over-committed.

    :param shadow: changed in place
    :param command: the start
    :return: the attempt, all members held
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
        asked = set(place.devices)
        if not asked <= worker.devices or len(asked) != spec.accelerators:
            shadow.overcommitted += 1
        worker.devices -= asked
        worker.cpu -= spec.cpu
        worker.mem_gb -= spec.mem_gb
        worker.firm += 0 if spec.reclaimable else len(asked)
        if min(worker.cpu, worker.mem_gb) < 0:
            shadow.overcommitted += 1
    return attempt


def free(shadow: Shadow, job: ids.JobId) -> None:
    """Release the capacity of a job's attempt.

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
        worker.firm -= 0 if spec.reclaimable else len(place.devices)


def partial_gangs(shadow: Shadow) -> list[ids.JobId]:
    """Return the gangs of which only a part runs.

    :param shadow: read only
    """
    attempts = shadow.attempts.values()
    return [each.job for each in attempts if 0 < len(each.running) < each.spec.members]


def missing_guarantees(shadow: Shadow) -> int:
    """Return the accelerators of unused guaranteed cells that find no place.

    :param shadow: read only
    :return: 0 while every guarantee can be carved out at once
    """
    firm: dict[ids.OrgId, list[Member]] = collections.defaultdict(list)
    for attempt in shadow.attempts.values():
        if not attempt.spec.reclaimable:
            firm[attempt.spec.org].extend(members_of(attempt))
    room = [worker.spec.accelerators - worker.firm for worker in shadow.workers.values()]
    return unplaced(unused_cells(shadow.rules, firm), room)


def members_of(attempt: Attempt) -> list[Member]:
    """Return an attempt's members that have accelerators.

    :param attempt: the gang
    """
    size = attempt.spec.accelerators
    return [Member(place.worker, size) for place in attempt.placements if size]


def unused_cells(rules: model.Rules, used: Mapping[ids.OrgId, Iterable[Member]]) -> list[int]:
    """Return the guaranteed cells that no member uses, of all organisations.

    :param rules: the guarantees
    :param used: the members that count against their organisation's cells
    :return: sizes of the cells, in accelerators
    """
    cells: list[int] = []
    for org, org_rules in rules.orgs.items():
        cells.extend(left_over(org_rules.guarantee, used.get(org, ())))
    return cells


def left_over(guarantee: Iterable[model.Shape], members: Iterable[Member]) -> list[int]:
    """Charge members to cells, the largest first.

    :param guarantee: an organisation's cells
    :param members: its members; one that no cell holds is not charged
    :return: sizes of the cells left over, what is left of a used one in powers of two
    """
    cells = sorted(shape.accelerators for shape in guarantee for _ in range(shape.count))
    opened: dict[ids.WorkerId, list[int]] = collections.defaultdict(list)
    for member in sorted(members, key=lambda each: -each.accelerators):
        rests = opened[member.worker]
        source = rests if any(rest >= member.accelerators for rest in rests) else cells
        index = next((at for at, size in enumerate(source) if size >= member.accelerators), None)
        if index is None:
            continue
        rest = source.pop(index) - member.accelerators
        rests.extend(1 << bit for bit in range(rest.bit_length()) if rest >> bit & 1)
        rests.sort()
    return sorted([*cells, *(rest for rests in opened.values() for rest in rests)])


def unplaced(cells: Iterable[int], room: Iterable[int]) -> int:
    """Pack cells into workers, the largest first and each where it fits most closely.

    For sizes of which each divides the next, as powers of two, this places all cells
    whenever that is possible.

    :param cells: sizes of cells, each to lie on one worker
    :param room: accelerators of each worker that may be used
    :return: accelerators of the cells that found no place
    """
    rest = sorted(room)
    missing = 0
    for cell in sorted(cells, reverse=True):
        index = next((at for at, left in enumerate(rest) if left >= cell), None)
        if index is None:
            missing += cell
            continue
        rest[index] -= cell
        rest.sort()
    return missing


def unusable(shadow: Shadow, size: fleet.Size) -> int:
    """Return the free accelerators outside any place for a member of a gang.

    :param shadow: read only
    :param size: the gang's, of members with at least one accelerator
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
    "free",
    "left_over",
    "lose_worker",
    "members_of",
    "missing_guarantees",
    "new_shadow",
    "partial_gangs",
    "start",
    "unplaced",
    "unusable",
    "unused_cells",
]
