"""Scheduling core on a fleet of any size, filled to the two-year load and held there.

The two-year load is 47,000 tasks on the largest fleet, with 5,700 workers; smaller fleets are
scaled down from it.
"""

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
ACCELERATOR_UTILISATION = 0.85
WORKERS_PER_WAITING_JOB = 6
ROUNDS = 200
MAX_ENDS_PER_ROUND = 8
MIN_LEVEL_SHARE = 0.98
TICKS = 20
LARGE_GANG_MEMBERS = 64

# (members, accelerators per member, cores per member): weight
_CPU_GANGS = {(1, 0, 3): 3, (4, 0, 3): 3, (16, 0, 3): 3, (64, 0, 3): 3}
_ACCELERATOR_GANGS = {
    (1, 1, 2): 4,
    (1, 4, 4): 3,
    (1, 8, 8): 2,
    (4, 2, 2): 2,
    (4, 8, 8): 1,
    (16, 1, 1): 1,
}
_LARGE_GANGS = ((LARGE_GANG_MEMBERS, 0, 3), (LARGE_GANG_MEMBERS, 1, 1))


class Harness(msgspec.Struct):
    """A core under measurement.

    :param submitted: number of jobs submitted so far
    :param records: last record of each job that has not ended
    :param running: current attempt of each job whose gang was released
    :param tasks: members of the running jobs
    :param accelerators: accelerators that these members hold
    :param large_ms: times of the steps that submit or start a gang of 64
    :param times_ms: times of the steps, by type of event
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
    """Scale a number from the largest fleet down to a smaller one.

    :param full: the number at 5,700 workers
    :param count: workers of the fleet
    """
    return round(full * count / FULL_WORKERS)


def workers(count: int) -> tuple[model.WorkerSpec, ...]:
    """Return a fleet in which some workers, evenly spaced, have accelerators.

    :param count: workers of the fleet
    """
    accelerator_workers = _accelerator_workers(count)
    spacing = count / accelerator_workers
    accelerator_indices = {int(index * spacing) for index in range(accelerator_workers)}
    return tuple(
        _worker(index, has_accelerators=index in accelerator_indices) for index in range(count)
    )


def _worker(index: int, *, has_accelerators: bool) -> model.WorkerSpec:
    rack = index // RACK_SIZE
    data_centre = f"dc{rack % DATA_CENTRES}"
    return model.WorkerSpec(
        worker=ids.WorkerId(f"w{index:05d}"),
        rack=ids.RackId(f"{data_centre}-r{rack}"),
        data_centre=ids.DataCentreId(data_centre),
        accelerators=ACCELERATORS if has_accelerators else 0,
        cpu=CPU,
        mem_gb=MEM_GB,
    )


def fill(harness: Harness, count: int) -> None:
    """Submit jobs up to the target load of tasks and accelerators, then a backlog of large gangs.

    :param harness: harness of an idle fleet
    :param count: workers of the fleet
    """
    accelerator_workers = _accelerator_workers(count)
    target_accelerators = ACCELERATOR_UTILISATION * ACCELERATORS * accelerator_workers
    _submit_while(harness, _ACCELERATOR_GANGS, lambda: harness.accelerators < target_accelerators)
    target_tasks = scaled(FULL_TASKS, count)
    _submit_while(harness, _CPU_GANGS, lambda: harness.tasks < target_tasks)
    waiting_gang = (
        min(LARGE_GANG_MEMBERS, max(2, accelerator_workers // 2)),
        ACCELERATORS,
        ACCELERATORS,
    )
    for _ in range(count // WORKERS_PER_WAITING_JOB):
        _submit(harness, waiting_gang)


def _accelerator_workers(count: int) -> int:
    return max(3, scaled(FULL_ACCELERATOR_WORKERS, count))


def _submit_while(
    harness: Harness, gangs: dict[tuple[int, int, int], int], is_below_target: Callable[[], bool]
) -> None:
    max_submitted = harness.submitted + FULL_TASKS
    while is_below_target() and harness.submitted < max_submitted:
        _submit(harness, harness.rng.choices(list(gangs), list(gangs.values()))[0])


def run_at_level(harness: Harness, count: int) -> None:
    """Submit and end jobs at the current load, then apply ticks.

    :param harness: harness of a filled fleet
    :param count: workers of the fleet
    """
    gangs = {**_CPU_GANGS, **_ACCELERATOR_GANGS}
    large_gangs = (
        _LARGE_GANGS
        if ACCELERATORS * _accelerator_workers(count) >= 2 * LARGE_GANG_MEMBERS
        else _LARGE_GANGS[:1]
    )
    level = harness.tasks
    for index in range(ROUNDS):
        if index % 4 == 0:
            _submit(harness, large_gangs[index // 4 % len(large_gangs)])
        else:
            _submit(harness, harness.rng.choices(list(gangs), list(gangs.values()))[0])
        for _ in range(MAX_ENDS_PER_ROUND):
            if harness.tasks < MIN_LEVEL_SHARE * level:
                break
            job = harness.rng.choice(sorted(harness.running))
            _apply(harness, model.GangFinished(job, harness.running[job]))
    for _ in range(TICKS):
        harness.now_s += 1.0
        _apply(harness, model.Tick())


def _submit(harness: Harness, size: tuple[int, int, int]) -> None:
    members, accelerators, cpu = size
    org = harness.rng.choice(harness.orgs)
    spec = model.JobSpec(
        org=org,
        caller=ids.CallerId(f"{org}-c{harness.rng.randrange(8)}"),
        members=members,
        accelerators=accelerators,
        cpu=cpu,
        mem_gb=4,
        declared_s=harness.rng.uniform(600, 20_000),
        idempotent=True,
    )
    harness.submitted += 1
    harness.now_s += 4.8  # 18,000 jobs a day
    _apply(harness, model.JobSubmitted(ids.JobId(f"j{harness.submitted:07d}"), spec))


def _apply(harness: Harness, event: model.Event) -> None:
    """Apply an event, then those with which the shell and the workers answer its commands."""
    events: collections.deque[model.Event] = collections.deque([event])
    while events:
        event = events.popleft()
        before_ns = time.thread_time_ns()
        commands = core.step(harness.state, event, now_s=harness.now_s)
        took_ms = (time.thread_time_ns() - before_ns) / 1e6
        harness.times_ms[type(event)].append(took_ms)
        if any(spec.members == LARGE_GANG_MEMBERS for spec in _specs(event, commands)):
            harness.large_ms.append(took_ms)
        for record in core.pop_dirty(harness.state):
            _update_load(harness, record)
        events.extend(_answers(commands))


def _specs(event: model.Event, commands: Sequence[model.Command]) -> list[model.JobSpec]:
    specs = [command.spec for command in commands if isinstance(command, model.StartGang)]
    return [*specs, event.spec] if isinstance(event, model.JobSubmitted) else specs


def _answers(commands: Sequence[model.Command]) -> list[model.Event]:
    answers: list[model.Event] = []
    for command in commands:
        if isinstance(command, model.StartGang):
            answers.append(model.GangHeld(command.job, command.attempt))
        elif isinstance(command, model.StopGang):
            answers.append(model.GangStopped(command.job, command.attempt, 0.0))
    return answers


def _update_load(harness: Harness, record: model.JobRecord) -> None:
    is_running = record.state is model.JobState.RUNNING
    was_running = record.job in harness.running
    sign = is_running - was_running
    harness.tasks += sign * record.spec.members
    harness.accelerators += sign * record.spec.members * record.spec.accelerators
    if is_running:
        harness.running[record.job] = record.attempt
    else:
        harness.running.pop(record.job, None)
    harness.records[record.job] = record
    if record.state in model.FINAL_STATES:
        del harness.records[record.job]
        core.forget(harness.state, record.job)


__all__ = [
    "FULL_ORGS",
    "FULL_WORKERS",
    "ROUNDS",
    "Harness",
    "fill",
    "run_at_level",
    "scaled",
    "workers",
]
