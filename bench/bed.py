"""A core on a fleet of any size, filled to the two-year level and kept there."""

from __future__ import annotations

import collections
import random
import time
import typing

import msgspec

from bronzequay import ids
from bronzequay.policy import core, model

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Sequence

FULL_WORKERS = 5_700
FULL_ACCELERATOR_WORKERS = 850
FULL_TASKS = 47_000
FULL_ORGS = 270
ACCELERATORS = 8
CPU = 32
MEM_GB = 128
RACK_SIZE = 20
DATA_CENTRES = 8
ACCELERATORS_USED = 0.85
WORKERS_A_WAITING_JOB = 6
ROUNDS = 200
MAX_ENDS = 8
LEVEL_SHARE = 0.98
TICKS = 20
GANG = 64

# (members, accelerators a member, cores a member): weight
_CPU_GANGS = {(1, 0, 3): 3, (4, 0, 3): 3, (16, 0, 3): 3, (64, 0, 3): 3}
_ACCELERATOR_GANGS = {
    (1, 1, 2): 4,
    (1, 4, 4): 3,
    (1, 8, 8): 2,
    (4, 2, 2): 2,
    (4, 8, 8): 1,
    (16, 1, 1): 1,
}
_LARGE = ((GANG, 0, 3), (GANG, 1, 1))


class Bed(msgspec.Struct):
    """A core under measurement.

    :param times_ms: times of the steps, by type of event
    :param large_ms: times of the steps that take or start a gang of 64
    :param running: attempts of the jobs whose gangs were released
    """

    state: core.State
    rng: random.Random
    orgs: list[ids.OrgId]
    now_s: float = 0.0
    submitted: int = 0
    records: dict[ids.JobId, model.JobRecord] = msgspec.field(default_factory=dict)
    running: dict[ids.JobId, int] = msgspec.field(default_factory=dict)
    tasks: int = 0
    accelerators: int = 0
    large_ms: list[float] = msgspec.field(default_factory=list)
    times_ms: dict[type[model.Event], list[float]] = msgspec.field(
        default_factory=lambda: collections.defaultdict(list)
    )


def scaled(full: int, count: int) -> int:
    """Scale a number from the two-year size down to a fleet.

    :param full: the number at 5,700 workers
    :param count: workers of the fleet
    """
    return round(full * count / FULL_WORKERS)


def workers(count: int) -> tuple[model.WorkerSpec, ...]:
    """Return a fleet, of which some workers have accelerators.

    :param count: workers of the fleet
    """
    with_accelerators = _with_accelerators(count)
    spacing = count / with_accelerators
    chosen = {int(index * spacing) for index in range(with_accelerators)}
    return tuple(_worker(index, has=index in chosen) for index in range(count))


def _worker(index: int, *, has: bool) -> model.WorkerSpec:
    rack = index // RACK_SIZE
    data_centre = f"dc{rack % DATA_CENTRES}"
    return model.WorkerSpec(
        worker=ids.WorkerId(f"w{index:05d}"),
        rack=ids.RackId(f"{data_centre}-r{rack}"),
        data_centre=ids.DataCentreId(data_centre),
        accelerators=ACCELERATORS if has else 0,
        cpu=CPU,
        mem_gb=MEM_GB,
    )


def fill(bed: Bed, count: int) -> None:
    """Submit jobs to the level of tasks and accelerators in use, and a backlog.

    :param bed: an idle fleet
    :param count: its workers
    """
    with_accelerators = _with_accelerators(count)
    wanted = ACCELERATORS_USED * ACCELERATORS * with_accelerators
    _submit_while(bed, _ACCELERATOR_GANGS, lambda: bed.accelerators < wanted)
    tasks = scaled(FULL_TASKS, count)
    _submit_while(bed, _CPU_GANGS, lambda: bed.tasks < tasks)
    waiting = (min(GANG, max(2, with_accelerators // 2)), ACCELERATORS, ACCELERATORS)
    for _ in range(count // WORKERS_A_WAITING_JOB):
        _submit(bed, waiting)


def _with_accelerators(count: int) -> int:
    return max(3, scaled(FULL_ACCELERATOR_WORKERS, count))


def _submit_while(
    bed: Bed, gangs: dict[tuple[int, int, int], int], is_wanted: Callable[[], bool]
) -> None:
    most = bed.submitted + FULL_TASKS
    while is_wanted() and bed.submitted < most:
        _submit(bed, bed.rng.choices(list(gangs), list(gangs.values()))[0])


def go_on(bed: Bed, count: int) -> None:
    """Submit and end jobs at the level reached, then let time pass.

    :param bed: a filled fleet
    :param count: its workers
    """
    gangs = {**_CPU_GANGS, **_ACCELERATOR_GANGS}
    larges = _LARGE if ACCELERATORS * _with_accelerators(count) >= 2 * GANG else _LARGE[:1]
    level = bed.tasks
    for index in range(ROUNDS):
        if index % 4 == 0:
            _submit(bed, larges[index // 4 % len(larges)])
        else:
            _submit(bed, bed.rng.choices(list(gangs), list(gangs.values()))[0])
        for _ in range(MAX_ENDS):
            if bed.tasks < LEVEL_SHARE * level:
                break
            job = bed.rng.choice(sorted(bed.running))
            _feed(bed, model.GangFinished(job, bed.running[job]))
    for _ in range(TICKS):
        bed.now_s += 1.0
        _feed(bed, model.Tick())


def _submit(bed: Bed, size: tuple[int, int, int]) -> None:
    members, accelerators, cpu = size
    org = bed.rng.choice(bed.orgs)
    spec = model.JobSpec(
        org=org,
        caller=ids.CallerId(f"{org}-c{bed.rng.randrange(8)}"),
        members=members,
        accelerators=accelerators,
        cpu=cpu,
        mem_gb=4,
        declared_s=bed.rng.uniform(600, 20_000),
        idempotent=True,
    )
    bed.submitted += 1
    bed.now_s += 4.8
    _feed(bed, model.JobSubmitted(ids.JobId(f"j{bed.submitted:07d}"), spec))


def _feed(bed: Bed, event: model.Event) -> None:
    """Apply an event and answer the commands at once, as shell and workers would later."""
    events: collections.deque[model.Event] = collections.deque([event])
    while events:
        event = events.popleft()
        before_ns = time.thread_time_ns()
        commands = core.step(bed.state, event, now_s=bed.now_s)
        took_ms = (time.thread_time_ns() - before_ns) / 1e6
        bed.times_ms[type(event)].append(took_ms)
        if any(spec.members == GANG for spec in _specs(event, commands)):
            bed.large_ms.append(took_ms)
        for record in core.pop_dirty(bed.state):
            _note(bed, record)
        events.extend(_answers(commands))


def _specs(event: model.Event, commands: Sequence[model.Command]) -> list[model.JobSpec]:
    specs = [each.spec for each in commands if isinstance(each, model.StartGang)]
    return [*specs, event.spec] if isinstance(event, model.JobSubmitted) else specs


def _answers(commands: Sequence[model.Command]) -> list[model.Event]:
    answers: list[model.Event] = []
    for command in commands:
        if isinstance(command, model.StartGang):
            answers.append(model.GangHeld(command.job, command.attempt))
        elif isinstance(command, model.StopGang):
            answers.append(model.GangStopped(command.job, command.attempt, 0.0))
    return answers


def _note(bed: Bed, record: model.JobRecord) -> None:
    is_running = record.state is model.JobState.RUNNING
    was_running = record.job in bed.running
    sign = is_running - was_running
    bed.tasks += sign * record.spec.members
    bed.accelerators += sign * record.spec.members * record.spec.accelerators
    if is_running:
        bed.running[record.job] = record.attempt
    else:
        bed.running.pop(record.job, None)
    bed.records[record.job] = record
    if record.state in model.FINAL_STATES:
        del bed.records[record.job]
        core.forget(bed.state, record.job)


__all__ = ["FULL_ORGS", "FULL_WORKERS", "ROUNDS", "Bed", "fill", "go_on", "scaled", "workers"]
