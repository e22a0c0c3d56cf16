from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from bench import fleet, trace
from bronzequay import codes, errors

if TYPE_CHECKING:
    import pathlib

LINE = {
    "at_s": 12.5,
    "org": "org-a",
    "caller": "c17",
    "job": "j42",
    "members": 4,
    "accelerators": 2,
    "cpu": 4,
    "mem_gb": 16,
    "declared_s": 600,
    "actual_s": 2210,
    "urgency": "low",
    "idempotent": True,
    "reclaimable": True,
    "outcome": "ok",
    "cancel_at_s": None,
}


def _write(path: pathlib.Path, *lines: dict[str, object]) -> pathlib.Path:
    path.write_text("".join(json.dumps(line) + "\n" for line in lines), encoding="utf-8")
    return path


def test_unknown_key_is_an_error_that_names_the_line(tmp_path: pathlib.Path) -> None:
    path = _write(tmp_path / "trace", LINE, {**LINE, "job": "j43", "gpus": 2})
    with pytest.raises(errors.BronzequayError, match=r"line 2.*gpus") as exc_info:
        trace.load(path)
    assert exc_info.value.code is codes.ResultCode.UNKNOWN_FIELD


@pytest.mark.parametrize(
    "changes",
    [
        {"members": 0},
        {"actual_s": 0},
        {"at_s": "noon"},
        {"urgency": "soon"},
        {"outcome": "cancel"},
        {"cancel_at_s": 99},
    ],
)
def test_illegal_value_is_an_error_that_names_the_line(
    tmp_path: pathlib.Path, changes: dict[str, object]
) -> None:
    path = _write(tmp_path / "trace", LINE, {**LINE, "job": "j43", **changes})
    with pytest.raises(errors.BronzequayError, match="line 2"):
        trace.load(path)


def test_duplicate_job_is_an_error_that_names_the_line(tmp_path: pathlib.Path) -> None:
    with pytest.raises(errors.BronzequayError, match=r"line 2.*j42"):
        trace.load(_write(tmp_path / "trace", LINE, LINE))


def test_saved_trace_is_loaded_unchanged(tmp_path: pathlib.Path) -> None:
    jobs = trace.generate(seed=1, deployment=fleet.Deployment.QUISPE, span_s=7_200)
    trace.save(jobs, tmp_path / "trace")
    assert trace.load(tmp_path / "trace") == jobs


def test_same_seed_gives_the_same_trace() -> None:
    first, second, other = (
        trace.generate(seed=seed, deployment=fleet.Deployment.TRENTMERE, span_s=7_200)
        for seed in (1, 1, 2)
    )
    assert first == second
    assert first != other


def test_declared_times_differ_by_factors_up_to_ten_both_ways() -> None:
    jobs = trace.generate(seed=3, deployment=fleet.Deployment.TRENTMERE)
    factors = [job.declared_s / job.actual_s for job in jobs]
    assert 0.09 < min(factors) < 0.15
    assert 7 < max(factors) < 10.1
