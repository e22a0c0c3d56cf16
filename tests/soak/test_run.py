"""A short seeded run of real instances, and the fault plans."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from soak import plan, run, seeds

if TYPE_CHECKING:
    import pathlib


def test_the_same_seed_draws_the_same_plan() -> None:
    faults = plan.draw_faults(7, 60.0, per_s=1.0)
    assert faults == plan.draw_faults(7, 60.0, per_s=1.0)
    assert faults != plan.draw_faults(8, 60.0, per_s=1.0)
    assert [fault.at_s for fault in faults] == sorted(fault.at_s for fault in faults)


def test_every_kind_of_fault_is_drawn() -> None:
    faults = [fault for seed in range(20) for fault in plan.draw_faults(seed, 60.0, per_s=1.0)]
    hazards = [fault for seed in range(20) for fault in plan.draw_hazards(seed, 60.0, per_s=1.0)]
    assert {fault.kind for fault in hazards} == plan.HAZARDS
    intrusions = [
        fault for seed in range(20) for fault in plan.draw_intrusions(seed, 60.0, per_s=1.0)
    ]
    assert {fault.kind for fault in intrusions} == plan.INTRUSIONS
    evacuations = [
        fault for seed in range(20) for fault in plan.draw_evacuations(seed, 60.0, per_s=1.0)
    ]
    assert {fault.kind for fault in evacuations} == plan.EVACUATIONS
    crowds = [fault for seed in range(20) for fault in plan.draw_crowds(seed, 60.0, per_s=1.0)]
    assert {fault.kind for fault in crowds} == plan.CROWDS
    growths = [fault for seed in range(20) for fault in plan.draw_growths(seed, 60.0, per_s=1.0)]
    assert {fault.kind for fault in growths} == plan.GROWTHS
    recuts = [fault for seed in range(20) for fault in plan.draw_recuts(seed, 60.0, per_s=1.0)]
    assert {fault.kind for fault in recuts} == plan.RECUTS
    drawn_apart = plan.HAZARDS | plan.INTRUSIONS | plan.EVACUATIONS | plan.CROWDS | plan.GROWTHS
    losses = [fault for seed in range(20) for fault in plan.draw_losses(seed, 60.0, per_s=1.0)]
    assert {fault.kind for fault in losses} == plan.LOSSES
    holds = [fault for seed in range(20) for fault in plan.draw_holds(seed, 60.0, per_s=1.0)]
    assert {fault.kind for fault in holds} == plan.HOLDS
    drawn_apart |= plan.RECUTS | plan.LOSSES | plan.HOLDS
    assert {fault.kind for fault in faults} == set(plan.Kind) - drawn_apart


def test_every_regression_seed_has_a_cause() -> None:
    assert all(regression.cause for regression in seeds.REGRESSIONS)


@pytest.mark.parametrize("seed", [3])
async def test_no_breach_in_a_short_run(seed: int, tmp_path: pathlib.Path) -> None:
    figures = await run.run(seed=seed, seconds=6.0, entries=3, workers=4, folder=tmp_path)
    assert figures.breaches == []
    assert figures.starts > 0
    assert figures.checks > 0


@pytest.mark.parametrize("seed", [36])
async def test_no_breach_when_workers_restart_and_are_cut_off(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Guards against leases of a restarted worker that are taken as expired too early."""
    figures = await run.run(seed=seed, seconds=6.0, entries=3, workers=8, folder=tmp_path)
    assert figures.injected[plan.Kind.WORKERS_RECUT.value] > 0
    assert figures.breaches == []
