from __future__ import annotations

import pytest

from bench import baseline, bound, driver, fleet, stats, trace

QUISPE = fleet.Deployment.QUISPE


def test_bound_is_no_more_than_any_run() -> None:
    workers = fleet.workers(QUISPE)
    for seed in range(3):
        jobs = trace.generate(seed=seed, deployment=QUISPE, span_s=7_200)
        played = driver.play(baseline, jobs, workers=workers, rules=fleet.rules())
        done = [each for each in played.jobs.values() if each.state.value == "finished"]
        mean_s = sum((each.ended_s or 0) - each.job.at_s for each in done) / len(done)
        least_s = bound.mean_jct_s([each.job for each in done], accelerators=192, start_s=2.0)
        assert 0 < least_s <= mean_s


def test_bound_of_equal_jobs_that_fill_the_fleet_is_that_of_one_after_another() -> None:
    job = trace.generate(seed=1, deployment=QUISPE, span_s=7_200)[0]
    whole = [
        trace.TraceJob(0.0, job.org, job.caller, job.job, 24, 8, 8, 8, 100.0, 100.0)
        for _ in range(3)
    ]
    assert bound.mean_jct_s(whole, accelerators=192) == pytest.approx(200.0)


def test_percentile_is_of_the_nearest_rank() -> None:
    values = list(range(1, 101))
    assert [stats.percentile(values, share) for share in (0.5, 0.95, 0.99)] == [50, 95, 99]
