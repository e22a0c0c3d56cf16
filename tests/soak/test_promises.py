"""Each check of the soak catches a planted breach, and lets what is allowed pass."""

from __future__ import annotations

import pytest

from bronzequay.fakes import executors, kv
from soak import promises

Event = tuple[str, str, str, int]

A, B = "i-a", "i-b"
TASK = "job.0.0.0"


def breaches(*events: Event) -> list[str]:
    world = executors.World(kv.Kv())
    for event, executor, task, run in events:
        world.log.append((0.0, event, executor, task, run))
    return promises.Runs(world).check()


@pytest.mark.parametrize(
    "events",
    [
        [("start", A, TASK, 1), ("failed", A, TASK, 1), ("start", B, TASK, 2)],
        [("start", A, TASK, 1), ("done", A, TASK, 1), ("noted", A, TASK, 1)],
        # The end was never taken note of.
        [("start", A, TASK, 1), ("done", A, TASK, 1), ("start", B, TASK, 2)],
        # An unanswered order is carried out again by the next life of its executor.
        [("start", A, TASK, 1), ("gone", A, TASK, 1), ("start", A, TASK, 1)],
    ],
)
def test_what_is_allowed_passes(events: list[Event]) -> None:
    assert breaches(*events) == []


@pytest.mark.parametrize(
    ("events", "told"),
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
def test_a_planted_breach_is_told(events: list[Event], told: str) -> None:
    (found,) = breaches(*events)
    assert told in found


async def test_too_many_accelerators_on_one_executor_are_told() -> None:
    world = executors.World(kv.Kv())
    executor = world.add(A, "127.0.0.1:1")
    for number, gpu in enumerate((4, 5)):
        plan = executors.Plan(gpu=gpu)
        executor.runs[f"job.0.0.{number}"] = executors.Run(f"job.0.0.{number}", 1, plan, 0, 0)
    assert promises.over_capacity(world) == ["i-a holds 9 of 8 GPUs"]
