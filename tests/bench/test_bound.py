from __future__ import annotations

import pytest

from bench import baseline, bound, driver, fleet, stats, trace

QUISPE = fleet.Deployment.QUISPE


def test_bound_is_at_most_the_mean_of_a_run() -> None:
    workers = fleet.workers(QUISPE)
    for seed in range(3):
        jobs = trace.generate(seed=seed, deployment=QUISPE, span_s=7_200)
        run_outcome = driver.play(baseline, jobs, workers=workers, rules=fleet.rules())
        finished = [
            result for result in run_outcome.jobs.values() if result.state.value == "finished"
        ]
        mean_s = sum((result.ended_s or 0) - result.job.at_s for result in finished) / len(finished)
        bound_s = bound.mean_jct_s(
            [result.job for result in finished], accelerators=192, start_s=2.0
        )
        assert 0 < bound_s <= mean_s


def test_bound_of_equal_jobs_that_fill_the_fleet_is_the_mean_of_running_them_in_turn() -> None:
    job = trace.generate(seed=1, deployment=QUISPE, span_s=7_200)[0]
    full_fleet_jobs = [
        trace.TraceJob(0.0, job.org, job.caller, job.job, 24, 8, 8, 8, 100.0, 100.0)
        for _ in range(3)
    ]
    assert bound.mean_jct_s(full_fleet_jobs, accelerators=192) == pytest.approx(200.0)


def test_percentile_uses_the_nearest_rank() -> None:
    values = list(range(1, 101))
    assert [stats.percentile(values, share) for share in (0.5, 0.95, 0.99)] == [50, 95, 99]
