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


async def test_too_many_accelerators_on_one_executor_are_found() -> None:
    world = executors.World(kv.Kv())
    executor = world.add(A, "127.0.0.1:1")
    for number, gpu in enumerate((4, 5)):
        plan = tasks.Plan(gpu=gpu)
        executor.runs[f"job.0.0.{number}"] = tasks.Run(f"job.0.0.{number}", 1, plan, 0, 0)
    assert invariants.over_capacity(world) == ["i-a holds 9 of 8 GPUs"]
