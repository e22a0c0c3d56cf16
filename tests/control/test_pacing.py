"""Filler tasks beside serving tasks: they are throttled while a serving task misses its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay.core import model
from bronzequay.fakes import tasks
from tests.control.site import ONE_GPU

if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.control.site import Site

MAX_OVER_TARGET_S = 4.0
TARGET_S = 0.1
SERVING = model.Step(need=ONE_GPU, is_endless=True, target_s=TARGET_S)
FILLER = model.Step(count=2, need=ONE_GPU, is_endless=True, is_filler=True)


@pytest.mark.parametrize("disturbs", [0.2, 0.6, 3.0])
async def test_serving_work_is_not_over_its_target_for_long(
    autojump_clock: MockClock, site: Site, disturbs: float
) -> None:
    executor = site.add_executor(1)
    site.start_scheduler("a")
    site.submit(SERVING, plan=tasks.Plan(lasts=True, tail_ms=60.0))
    await site.wait_until(lambda: executor.runs)
    site.submit(FILLER, plan=tasks.Plan(lasts=True, disturbs=disturbs))
    await site.wait_until(lambda: len(executor.runs) == 3)
    serving = next(run for run in executor.runs.values() if run.plan.tail_ms)
    last_within_target_s = trio.current_time()
    for _ in range(600):
        await trio.sleep(0.1)
        if executor.tail_ms(serving) <= TARGET_S * 1000:
            last_within_target_s = trio.current_time()
        assert trio.current_time() - last_within_target_s < MAX_OVER_TARGET_S


async def test_filler_tasks_run_at_full_speed_while_targets_are_met(
    autojump_clock: MockClock, site: Site
) -> None:
    executor = site.add_executor(1)
    site.start_scheduler("a")
    site.submit(SERVING, plan=tasks.Plan(lasts=True, tail_ms=20.0))
    await site.wait_until(lambda: executor.runs)
    site.submit(FILLER, plan=tasks.Plan(lasts=True, disturbs=0.5))
    await trio.sleep(15.0)
    assert [run.speed_percent for run in executor.runs.values()] == [100, 100, 100]


async def test_an_unanswered_pace_order_is_sent_again(
    autojump_clock: MockClock, site: Site
) -> None:
    executor = site.add_executor(1)
    site.start_scheduler("a")
    site.submit(SERVING, plan=tasks.Plan(lasts=True, tail_ms=60.0))
    await site.wait_until(lambda: executor.runs)
    executor.unanswered_calls["/pace"] = 4
    executor.late_effect_s = 60.0
    site.submit(FILLER, plan=tasks.Plan(lasts=True, disturbs=3.0))
    await trio.sleep(MAX_OVER_TARGET_S)
    serving = next(run for run in executor.runs.values() if run.plan.tail_ms)
    assert executor.tail_ms(serving) <= TARGET_S * 1000
