from __future__ import annotations

import pytest

from bronzequay import codes, errors, ids
from bronzequay.cfg import bundle, feasible
from bronzequay.policy import model


def fleet(count: int, accelerators: int) -> list[model.WorkerSpec]:
    return [
        model.WorkerSpec(
            worker=ids.WorkerId(f"w{number}"),
            rack=ids.RackId("r0"),
            data_centre=ids.DataCentreId("dc"),
            accelerators=accelerators,
            cpu=32,
            mem_gb=64,
        )
        for number in range(count)
    ]


def bundle_text(*cells: tuple[int, int]) -> bytes:
    guarantee = ", ".join(f"{{ accelerators = {size}, count = {count} }}" for size, count in cells)
    return f'format = 1\n[[organisation]]\nid = "org-a"\nguarantee = [{guarantee}]\n'.encode()


@pytest.mark.parametrize(
    ("cells", "workers"),
    [([(8, 2)], fleet(2, 8)), ([(8, 1), (4, 2)], fleet(2, 8)), ([(8, 9)], [])],
)
def test_guarantees_that_fit_the_fleet_pass(
    cells: list[tuple[int, int]], workers: list[model.WorkerSpec]
) -> None:
    feasible.check(bundle.parse(bundle_text(*cells)), workers)


@pytest.mark.parametrize(
    ("cells", "workers"),
    [([(8, 3)], fleet(2, 8)), ([(8, 1), (4, 3)], fleet(2, 8)), ([(8, 1)], fleet(4, 4))],
)
def test_guarantees_that_do_not_all_fit_are_refused_naming_the_organisation(
    cells: list[tuple[int, int]], workers: list[model.WorkerSpec]
) -> None:
    with pytest.raises(errors.BronzequayError) as caught:
        feasible.check(bundle.parse(bundle_text(*cells)), workers)
    assert caught.value.code is codes.ResultCode.GUARANTEES_UNMET
    assert "org-a" in caught.value.message
