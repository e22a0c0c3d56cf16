from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from bench import baseline, driver, faults, fleet, outcome, trace
from bronzequay import ids
from bronzequay.policy import core, model

if TYPE_CHECKING:
    from collections.abc import Iterable

WORKERS = fleet.workers(fleet.Deployment.QUISPE)
HOUR_S = 3_600.0


def _play(candidate: driver.Core, seed: int) -> outcome.Outcome:
    jobs = trace.generate(seed=seed, deployment=fleet.Deployment.QUISPE, span_s=HOUR_S)
    worker_faults = faults.generate(seed=seed, workers=WORKERS, span_s=HOUR_S)
    return driver.play(
        candidate,
        jobs,
        workers=WORKERS,
        rules=fleet.rules(),
        worker_faults=worker_faults,
        until_s=2 * HOUR_S,
    )


def _job(**changes: Any) -> trace.TraceJob:
    job = trace.TraceJob(
        at_s=10.0,
        org=fleet.ORGS[0],
        caller=ids.CallerId("c"),
        job=ids.JobId("j1"),
        members=2,
        accelerators=8,
        cpu=8,
        mem_gb=8,
        declared_s=100.0,
        actual_s=100.0,
        idempotent=True,
    )
    return msgspec.structs.replace(job, **changes)


class _PartialReleaseCore:
    """The baseline, but each release omits one member."""

    new_state = staticmethod(baseline.new_state)
    pop_dirty = staticmethod(baseline.pop_dirty)
    forget = staticmethod(baseline.forget)

    def step(self, state: Any, event: model.Event, *, now_s: float) -> tuple[model.Command, ...]:
        commands: Iterable[model.Command] = baseline.step(state, event, now_s=now_s)
        return tuple(
            msgspec.structs.replace(command, placements=command.placements[1:])
            if isinstance(command, model.ReleaseGang)
            else command
            for command in commands
        )


@pytest.mark.parametrize("candidate", [core, baseline])
def test_same_seed_gives_the_same_run(candidate: driver.Core) -> None:
    first, second = _play(candidate, 1), _play(candidate, 1)
    assert first.jobs == second.jobs
    assert first.steps == second.steps


def test_single_job_takes_its_start_delay_and_its_run_time() -> None:
    run_outcome = driver.play(baseline, [_job()], workers=WORKERS, rules=fleet.rules())
    assert run_outcome.jobs[ids.JobId("j1")].ended_s == 112.0
    assert run_outcome.busy_s == 1_600.0


def test_release_without_a_member_is_counted_as_a_partial_gang() -> None:
    run_outcome = driver.play(_PartialReleaseCore(), [_job()], workers=WORKERS, rules=fleet.rules())
    assert run_outcome.partial_gangs > 0


def test_guarantees_that_the_baseline_ignores_are_counted_as_violated() -> None:
    # The jobs of org-d fill 20 of 24 workers; the others are guaranteed 11 whole workers.
    jobs = [
        _job(job=ids.JobId(f"j{index}"), org=fleet.ORGS[3], members=1, reclaimable=False)
        for index in range(20)
    ]
    run_outcome = driver.play(baseline, jobs, workers=WORKERS, rules=fleet.rules())
    assert run_outcome.guarantee_violations > 0


def test_job_of_a_lost_worker_is_restarted_with_its_full_run_time() -> None:
    fault = faults.WorkerFault(ids.WorkerId("w00"), 50.0, 1_000.0, is_lost=True)
    run_outcome = driver.play(
        baseline, [_job()], workers=WORKERS, rules=fleet.rules(), worker_faults=[fault]
    )
    result = run_outcome.jobs[ids.JobId("j1")]
    assert result.state is model.JobState.FINISHED
    # Lost at 50 s, detected 10 s later, stopped after 1 s, restarted after 2 s, run for 100 s.
    assert result.ended_s == 163.0
    assert run_outcome.partial_gangs == 0
