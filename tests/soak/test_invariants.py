"""Each check of the soak finds a planted breach and accepts allowed events."""

from __future__ import annotations

import pytest

from bronzequay.fakes import executors, kv, tasks
from soak import invariants

Event = tuple[str, str, str, int]

A, B = "i-a", "i-b"
TASK = "job.0.0.0"


def find_breaches(*events: Event) -> list[str]:
    world = executors.World(kv.Kv())
    for event, executor, task, run in events:
        world.log.append((0.0, event, executor, task, run))
    return invariants.RunChecker(world).check()


@pytest.mark.parametrize(
    "events",
    [
        [("start", A, TASK, 1), ("failed", A, TASK, 1), ("start", B, TASK, 2)],
        [("start", A, TASK, 1), ("done", A, TASK, 1), ("noted", A, TASK, 1)],
        # The end was never noted.
        [("start", A, TASK, 1), ("done", A, TASK, 1), ("start", B, TASK, 2)],
        # The next incarnation of the executor carries out an unanswered start again.
        [("start", A, TASK, 1), ("gone", A, TASK, 1), ("start", A, TASK, 1)],
    ],
)
def test_allowed_events_pass(events: list[Event]) -> None:
    assert find_breaches(*events) == []


@pytest.mark.parametrize(
    ("events", "message"),
    [
        ([("start", A, TASK, 1), ("start", B, TASK, 2)], "two runs at once"),
        (
            [
                ("start", A, TASK, 1),
                ("done", A, TASK, 1),
                ("noted", A, TASK, 1),
                ("start", B, TASK, 2),
            ],
            "started after a noted end",
        ),
        (
            [
                ("start", A, TASK, 1),
                ("done", A, TASK, 1),
                ("start", B, TASK, 2),
                ("noted", A, TASK, 1),
            ],
            "noted as done after a later start",
        ),
        (
            [("start", A, TASK, 1), ("failed", A, TASK, 1), ("start", B, TASK, 1)],
            "run number used before",
        ),
    ],
)
def test_a_planted_breach_is_found(events: list[Event], message: str) -> None:
    (breach,) = find_breaches(*events)
    assert message in breach


def add_run(executor: executors.Executor, number: int, gpu: int) -> None:
    task = f"job.0.0.{number}"
    executor.runs[task] = tasks.Run(task, 1, tasks.Plan(gpu=gpu), 0, 0)


async def test_too_many_accelerators_on_one_executor_are_found() -> None:
    world = executors.World(kv.Kv())
    executor = world.add(A, "127.0.0.1:1")
    for number, gpu in enumerate((4, 5)):
        add_run(executor, number, gpu)
    assert invariants.RoomChecker(world).check(0.0) == ["i-a holds 9 of 8 GPUs"]


async def test_a_start_that_exceeds_what_has_shrunk_is_found_after_the_grace() -> None:
    world = executors.World(kv.Kv())
    executor = world.add(A, "127.0.0.1:1")
    checker = invariants.RoomChecker(world)
    add_run(executor, 0, 4)
    assert checker.check(0.0) == []
    executor.capacity = {**executor.capacity, "gpu": 5}
    for tick in range(1, 12):
        assert checker.check(tick / 2) == []
    add_run(executor, 1, 2)
    assert checker.check(6.0) == ["i-a holds 6 of 5 GPUs"]


async def test_runs_that_exceed_what_has_shrunk_may_end() -> None:
    world = executors.World(kv.Kv())
    executor = world.add(A, "127.0.0.1:1")
    checker = invariants.RoomChecker(world)
    add_run(executor, 0, 8)
    checker.check(0.0)
    executor.capacity = {**executor.capacity, "gpu": 1}
    for tick in range(1, 20):
        assert checker.check(tick / 2) == []
