"""Upkeep waves: done in time, never too many machines down at once, status reported correctly."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay.core import model
from bronzequay.fakes import tasks

if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.control.site import Site

WAVE = [f"m-i-{number}" for number in range(4)]


def occupy_all(site: Site) -> None:
    """Submit checkpointing tasks that take every accelerator of the site."""
    step = model.Step(
        count=8,
        need=model.Resources(1000, 1000, 4),
        estimate_s=60.0,
        saves_progress=True,
    )
    site.submit(step, plan=tasks.Plan(run_s=60.0, saves=True))


@pytest.mark.parametrize("is_busy", [False, True])
@pytest.mark.parametrize("most_down", [1, 2])
async def test_a_wave_is_done_in_time_with_no_more_down_than_allowed(
    autojump_clock: MockClock, site: Site, most_down: int, is_busy: bool
) -> None:
    machines = site.add_machines()
    for number in range(4):
        site.add_executor(number)
    site.start_scheduler("a")
    if is_busy:
        occupy_all(site)
    await trio.sleep(2.0)
    site.request_wave(*WAVE, within_s=30.0, most_down=most_down)
    await site.wait_until(lambda: site.wave_state() == "running", timeout_s=2.0)
    await site.wait_until(lambda: site.wave_state() == "completed", timeout_s=30.0)
    assert {machine for machine, _ in machines.accepted} == set(WAVE)
    assert machines.max_down <= most_down
    site.check_runs()


async def test_the_next_scheduler_continues_a_wave(autojump_clock: MockClock, site: Site) -> None:
    machines = site.add_machines()
    for number in range(4):
        site.add_executor(number)
    for name in ("a", "b"):
        site.start_scheduler(name)
    await site.wait_until(site.leader)
    await trio.sleep(4.0)
    site.request_wave(*WAVE, within_s=40.0, most_down=1)
    await site.wait_until(lambda: machines.orders)
    first = site.leader()
    assert first is not None
    site.kill(first)
    await site.wait_until(lambda: site.wave_state() == "completed", timeout_s=40.0)
    assert machines.max_down == 1
    assert len({holder for holder, _, _ in machines.orders}) == 2
    site.check_runs()


async def test_an_unanswered_order_is_sent_again(autojump_clock: MockClock, site: Site) -> None:
    machines = site.add_machines()
    machines.unanswered_calls = 1
    site.add_executor(0)
    site.start_scheduler("a")
    site.request_wave(WAVE[0], within_s=30.0, most_down=1)
    await site.wait_until(lambda: site.wave_state() == "completed", timeout_s=20.0)


async def test_a_wave_is_not_reported_completed_before_all_its_machines_were_down(
    autojump_clock: MockClock, site: Site
) -> None:
    machines = site.add_machines()
    for number in range(2):
        site.add_executor(number)
    site.start_scheduler("a")
    site.request_wave(*WAVE[:2], "m-unknown", within_s=10.0, most_down=2)
    await site.wait_until(lambda: len(machines.accepted) == 2, timeout_s=10.0)
    await trio.sleep(5.0)
    assert site.wave_state() == "running"
    await site.wait_until(lambda: site.wave_state() == "completed", timeout_s=60.0)


async def test_a_wave_stops_no_more_tasks_of_a_service_than_it_may_miss(
    autojump_clock: MockClock, site: Site
) -> None:
    site.add_machines()
    for number in range(4):
        site.add_executor(number)
    site.start_scheduler("a")
    serving = model.Step(count=3, need=model.Resources(1000, 1000, 8), is_endless=True, may_miss=1)
    job = site.submit(serving, plan=tasks.Plan(lasts=True))
    await site.wait_for(job, "running")
    await trio.sleep(2.0)
    site.request_wave(*WAVE, within_s=30.0, most_down=2)
    fewest_running = 3
    while site.wave_state() != "completed":
        await trio.sleep(0.05)
        running = [
            run
            for executor in site.world.executors.values()
            for run in executor.runs.values()
            if run.stop_at_s is None
        ]
        fewest_running = min(fewest_running, len(running))
        assert trio.current_time() < 60.0
    assert fewest_running == 2


async def test_a_machine_that_crashes_before_its_upkeep_has_not_had_it(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a wave that is shown as completed although a machine's upkeep comes later."""
    machines = site.add_machines()
    executors = [site.add_executor(number) for number in range(3)]
    site.start_scheduler("a")
    await trio.sleep(5.0)
    site.network.refused.add(("a", site.machine_address))
    site.request_wave(WAVE[0], within_s=30.0, most_down=1)
    await trio.sleep(1.0)
    site.crash(executors[0])
    await trio.sleep(1.0)
    site.reboot(executors[0])
    await trio.sleep(3.0)
    assert site.wave_state() == "running"
    site.network.refused.clear()
    await site.wait_until(lambda: site.wave_state() == "completed", timeout_s=12.0)
    assert machines.accepted == {(WAVE[0], 1)}
    assert not machines.down


async def test_nothing_starts_on_a_machine_that_is_ordered_down(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against tasks of a service that end because their machine was already ordered down."""
    site.add_machines()
    for number in range(2):
        site.add_executor(number)
    site.start_scheduler("a")
    await trio.sleep(5.0)
    site.network.refused.add(("a", site.machine_address))
    site.request_wave(WAVE[0], within_s=30.0, most_down=1)
    await trio.sleep(1.0)
    step = model.Step(count=8, need=model.Resources(1000, 1000, 1), estimate_s=30.0)
    site.submit(step, plan=tasks.Plan(run_s=30.0))
    await site.wait_until(lambda: len(site.events("start")) == 8)
    assert {name for _, event, name, _, _ in site.world.log if event == "start"} == {"i-1"}
