from __future__ import annotations

import pytest

from bench import fleet, shadow
from bronzequay import ids
from bronzequay.policy import model

ORG = ids.OrgId("org-a")
OTHER = ids.OrgId("org-b")


def _fleet(count: int) -> list[model.WorkerSpec]:
    return list(fleet.workers(fleet.Deployment.QUISPE)[:count])


def _rules(*shapes: model.Shape) -> model.Rules:
    return model.Rules(ids.BundleVersion(1), {ORG: model.OrgRules(shapes)})


def _start(
    job: str, *places: tuple[int, tuple[int, ...]], org: ids.OrgId = OTHER, pinned: bool = True
) -> model.StartGang:
    placements = tuple(
        model.Placement(member, ids.WorkerId(f"w{worker:02d}"), devices)
        for member, (worker, devices) in enumerate(places)
    )
    size = len(places[0][1])
    spec = model.JobSpec(
        org, ids.CallerId("c"), len(places), size, size, size, 60.0, reclaimable=not pinned
    )
    return model.StartGang(ids.JobId(job), 1, spec, placements)


def test_non_reclaimable_job_on_the_last_whole_worker_breaks_the_guarantee_of_a_worker() -> None:
    state = shadow.new_shadow(_rules(model.Shape(8, 1)), _fleet(2))
    shadow.start_attempt(state, _start("j1", (0, (0,))))
    assert shadow.missing_guarantees(state) == 0
    shadow.start_attempt(state, _start("j2", (1, (7,))))
    assert shadow.missing_guarantees(state) == 8


def test_reclaimable_job_breaks_no_guarantee() -> None:
    state = shadow.new_shadow(_rules(model.Shape(8, 2)), _fleet(2))
    shadow.start_attempt(state, _start("j1", (0, (0,)), (1, (0,)), pinned=False))
    assert shadow.missing_guarantees(state) == 0


def test_non_reclaimable_job_is_charged_to_a_cell_of_its_organisation() -> None:
    state = shadow.new_shadow(_rules(model.Shape(8, 2)), _fleet(2))
    shadow.start_attempt(state, _start("j1", (0, (0, 1, 2, 3)), org=ORG))
    assert shadow.missing_guarantees(state) == 0


def test_cells_that_fit_no_worker_are_counted_as_unplaced() -> None:
    assert shadow.unplaced_accelerators([8, 4, 4], [8, 8]) == 0
    assert shadow.unplaced_accelerators([8, 4, 4], [8, 7, 7]) == 0
    assert shadow.unplaced_accelerators([8, 8, 1], [8, 7, 7]) == 8


@pytest.mark.parametrize(
    ("members", "cells"),
    [
        ((), [4, 8]),
        (((0, 4),), [8]),
        (((0, 3),), [1, 8]),
        (((0, 4), (0, 1)), [1, 2, 4]),
        (((0, 3), (0, 1)), [8]),
        (((0, 3), (1, 1)), [1, 1, 2, 4]),
        (((0, 16),), [4, 8]),
    ],
)
def test_members_are_charged_to_the_smallest_cells_that_hold_them(
    members: tuple[tuple[int, int], ...], cells: list[int]
) -> None:
    guarantee = (model.Shape(8, 1), model.Shape(4, 1))
    placed = [shadow.Member(ids.WorkerId(f"w{worker}"), size) for worker, size in members]
    assert shadow.remaining_cells(guarantee, placed) == cells


def test_device_of_two_attempts_is_over_committed() -> None:
    state = shadow.new_shadow(_rules(), _fleet(1))
    shadow.start_attempt(state, _start("j1", (0, (0, 1))))
    shadow.start_attempt(state, _start("j2", (0, (1, 2))))
    assert state.overcommitted == 1


def test_gang_that_runs_without_a_member_is_partial() -> None:
    state = shadow.new_shadow(_rules(), _fleet(2))
    attempt = shadow.start_attempt(state, _start("j1", (0, (0,)), (1, (0,))))
    attempt.running = {0, 1}
    assert shadow.partial_gangs(state) == []
    shadow.remove_worker(state, ids.WorkerId("w01"))
    assert shadow.partial_gangs(state) == [ids.JobId("j1")]


def test_free_accelerators_that_hold_no_member_are_unusable() -> None:
    state = shadow.new_shadow(_rules(), _fleet(2))
    shadow.start_attempt(state, _start("j1", (0, (0, 1, 2))))
    assert shadow.unusable_accelerators(state, fleet.Size(2, 4, 4, 4)) == 1
    assert shadow.unusable_accelerators(state, fleet.Size(2, 8, 8, 8)) == 5
