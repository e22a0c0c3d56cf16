from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec
import pytest

from bronzequay import codes, ids
from bronzequay.policy import core, dispatch, health, model, ordering, preemption
from tests.policy import world

if TYPE_CHECKING:
    from types import FrameType

START_FAILED = model.MemberFault.START_FAILED


def submit(sim: world.World, name: str, **changes: object) -> model.JobRecord:
    job = ids.JobId(name)
    sim.step(model.JobSubmitted(job, world.spec(**changes)))
    return sim.state.jobs[job]


def worker_specs(
    count: int, *, rack_size: int = 2, accelerators: int = 8
) -> list[model.WorkerSpec]:
    sizes = {"rack_size": rack_size, "accelerators": accelerators}
    return [world.worker(index, **sizes) for index in range(count)]


def run(sim: world.World, record: model.JobRecord) -> None:
    sim.held(record.job)
    sim.now_s += 2 * preemption.MIN_RUN_S


def test_borrower_is_checkpointed_for_a_guarantee_and_resumes() -> None:
    sim = world.World(world.rules(a=[(8, 1)], b=[]), worker_specs(1))
    borrower = submit(sim, "lent", org="b", accelerators=8, idempotent=False)
    run(sim, borrower)
    owner = submit(sim, "own", org="a", accelerators=8)
    assert sim.gangs[borrower.job].stop is model.StopMode.CHECKPOINT
    sim.stopped(borrower.job, 60.0)
    assert owner.placements
    assert owner.share is model.Share.GUARANTEED
    assert borrower.state is model.JobState.ACCEPTED
    sim.held(owner.job)
    sim.finish(owner.job)
    assert borrower.attempt == 2


def test_gang_with_the_least_lost_work_is_reclaimed() -> None:
    sim = world.World(world.rules(a=[(4, 1)], b=[]), worker_specs(1))
    long_running = submit(sim, "old", org="b", accelerators=4)
    run(sim, long_running)
    sim.now_s += 10_000
    recent = submit(sim, "new", org="b", accelerators=4)
    run(sim, recent)
    submit(sim, "own", org="a", accelerators=4)
    assert sim.gangs[long_running.job].stop is None
    assert sim.gangs[recent.job].stop is model.StopMode.CHECKPOINT


def test_gang_is_stopped_without_checkpoint_after_the_timeout() -> None:
    sim = world.World(world.rules(a=[(8, 1)], b=[]), worker_specs(1))
    borrower = submit(sim, "lent", org="b", accelerators=8)
    run(sim, borrower)
    submit(sim, "own", org="a", accelerators=8)
    sim.now_s += preemption.CHECKPOINT_TIMEOUT_S
    sim.step(model.Tick())
    assert sim.gangs[borrower.job].stop is model.StopMode.STOP


def test_checkpoint_deadline_survives_a_takeover() -> None:
    sim = world.World(world.rules(a=[(8, 1)], b=[]), worker_specs(1))
    borrower = submit(sim, "lent", org="b", accelerators=8)
    run(sim, borrower)
    submit(sim, "own", org="a", accelerators=8)
    sim.take_over()
    sim.now_s += preemption.CHECKPOINT_TIMEOUT_S
    sim.step(model.Tick())
    assert sim.gangs[borrower.job].stop is model.StopMode.STOP


def test_non_reclaimable_work_does_not_use_guarantees_of_others() -> None:
    sim = world.World(world.rules(a=[(4, 1)], b=[]), worker_specs(1))
    first = submit(sim, "first", org="b", accelerators=4, reclaimable=False)
    second = submit(sim, "second", org="b", accelerators=1, reclaimable=False)
    assert first.share is model.Share.FIXED
    assert second.state is model.JobState.ACCEPTED


def test_guarantee_includes_memory() -> None:
    sim = world.World(world.rules(a=[(4, 1)], b=[]), worker_specs(1))
    memory_heavy = submit(sim, "hungry", org="b", accelerators=1, mem_gb=100, reclaimable=False)
    assert memory_heavy.state is model.JobState.INFEASIBLE or not memory_heavy.placements
    assert submit(sim, "own", org="a", accelerators=4, mem_gb=64).placements


def test_unmet_guarantee_is_reported_after_a_worker_is_lost() -> None:
    sim = world.World(world.rules(a=[(8, 2)]), worker_specs(2))
    sim.lose(ids.WorkerId("w0000"))
    (unmet,) = core.unmet_guarantees(sim.state)
    assert (unmet.org, unmet.accelerators, unmet.count) == ("a", 8, 1)
    assert "accelerators" in unmet.reason


def test_gang_prefers_one_rack_then_one_data_centre() -> None:
    sim = world.World(world.rules(a=[]), worker_specs(8))
    submit(sim, "other", accelerators=4)
    one_rack_gang = submit(sim, "narrow", members=2, accelerators=8)
    assert len({sim.state.workers[p.worker].rack for p in one_rack_gang.placements}) == 1
    wide_gang = submit(sim, "wide", members=4, accelerators=8)
    assert len({sim.state.workers[p.worker].spec.data_centre for p in wide_gang.placements}) == 1


def test_gang_waits_for_one_data_centre_if_it_would_fit_when_empty() -> None:
    sim = world.World(world.rules(a=[]), worker_specs(8))
    for index in range(2):
        submit(sim, f"pin{index}", members=2, accelerators=8, reclaimable=False)
    waiting = submit(sim, "wide", members=4, accelerators=8)
    centres = {sim.state.workers[p.worker].spec.data_centre for p in waiting.placements}
    assert len(centres) <= 1
    spanning = world.World(world.rules(a=[]), worker_specs(8))
    assert submit(spanning, "huge", members=6, accelerators=8).state is model.JobState.STARTING


def test_cpu_only_gang_prefers_workers_without_accelerators() -> None:
    workers = [world.worker(0, accelerators=8), world.worker(1, accelerators=0)]
    sim = world.World(world.rules(a=[(8, 1)]), workers)
    record = submit(sim, "cpu", members=2, accelerators=0, cpu=4, reclaimable=False)
    assert {place.worker for place in record.placements} == {"w0001"}


def test_urgent_work_preempts_one_borrower_immediately() -> None:
    sim = world.World(world.rules(a=[], b=[]), worker_specs(2))
    for index in range(4):
        run(sim, submit(sim, f"n{index}", org="b", accelerators=4))
    urgent = submit(sim, "urgent", org="a", urgency="urgent", accelerators=4)
    stopped = [job for job, gang in sim.gangs.items() if gang.stop]
    assert len(stopped) == 1
    sim.stopped(stopped[0], 100.0)
    assert urgent.state is model.JobState.STARTING


def test_caller_with_one_job_starts_despite_a_flood_of_another() -> None:
    sim = world.World(world.rules(a=[], b=[]), worker_specs(1))
    for index in range(100):
        submit(sim, f"f{index}", org="a", caller="flood")
    for job in tuple(sim.gangs):
        sim.held(job)
    sim.now_s += 2 * preemption.MIN_RUN_S
    small = submit(sim, "small", org="b", caller="small")
    (victim,) = [job for job, gang in sim.gangs.items() if gang.stop]
    sim.stopped(victim, 100.0)
    assert small.state is model.JobState.STARTING


def submit_small_work_until_started(sim: world.World, turns: int, name: str) -> bool:
    """Submit small jobs that keep the fleet full; return whether the named job starts meanwhile."""
    for turn in range(turns):
        sim.now_s += 600.0
        running = [job for job, gang in sim.gangs.items() if gang.is_running and gang.stop is None]
        for job in running[:2]:
            sim.finish(job)
        for job, gang in tuple(sim.gangs.items()):
            if gang.stop is not None:
                sim.stopped(job, 1.0)
            elif not gang.is_running:
                sim.held(job)
        for index in range(2):
            submit(sim, f"s{turn}-{index}", caller=f"c{index}", accelerators=2)
        sim.step(model.Tick())
        if sim.state.jobs[ids.JobId(name)].placements:
            return True
    return False


def does_large_gang_start() -> bool:
    sim = world.World(world.rules(a=[]), worker_specs(2))
    for index in range(8):
        submit(sim, f"first{index}", accelerators=2)
    submit(sim, "large", caller="big", members=2, accelerators=8, declared_s=7_200.0)
    return submit_small_work_until_started(sim, 100, "large")


def test_large_gang_is_not_starved_by_small_work() -> None:
    assert does_large_gang_start()


def test_large_gang_starves_without_preemption(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(dispatch, "_preemption_reasons", lambda *_: iter(()))
    assert not does_large_gang_start()


def count_calls_of_cancelling(queued: int) -> int:
    sim = world.World(world.rules(a=[]), worker_specs(1))
    blocker = submit(sim, "blocker", accelerators=8, reclaimable=False)
    sim.held(blocker.job)
    jobs = [submit(sim, f"j{index:05d}", accelerators=8).job for index in range(queued)]
    calls = 0

    def count(_frame: FrameType, event: str, _arg: object) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        for job in jobs[::10][:20]:
            core.step(sim.state, model.JobCancelled(job), now_s=sim.now_s)
    finally:
        sys.setprofile(None)
    return calls


def test_cost_of_cancelling_does_not_grow_with_the_queue() -> None:
    assert count_calls_of_cancelling(1_000) <= 1.1 * count_calls_of_cancelling(200)


def test_mass_cancellation_leaves_no_queue_entries() -> None:
    sim = world.World(world.rules(a=[]), worker_specs(1))
    jobs = [submit(sim, f"j{index}", accelerators=4).job for index in range(50)]
    for job in jobs:
        sim.cancelled.add(job)
        sim.step(model.JobCancelled(job))
    for job in tuple(sim.gangs):
        sim.stopped(job, 0.0)
    assert not sim.state.queues.ranks
    assert not sim.state.demands
    assert {sim.state.jobs[job].state for job in jobs} == {model.JobState.CANCELLED}


def test_infeasible_job_is_reported_and_starts_when_the_fleet_grows() -> None:
    sim = world.World(world.rules(a=[]), worker_specs(1))
    record = submit(sim, "wide", members=2, accelerators=8)
    assert (record.state, record.code) == (model.JobState.INFEASIBLE, codes.ResultCode.INFEASIBLE)
    assert submit(sim, "other").state is model.JobState.STARTING
    for spec in worker_specs(4)[2:]:
        sim.workers[spec.worker] = spec
        sim.step(model.WorkerJoined(spec))
    assert record.placements


@pytest.mark.parametrize(
    ("org", "limits", "code"),
    [
        ("zz", {}, codes.ResultCode.UNKNOWN_ORG),
        ("a", {"max_queued": 1}, codes.ResultCode.QUEUE_FULL),
        ("a", {"max_caller_queued": 1}, codes.ResultCode.OVER_SHARE),
    ],
)
def test_submission_beyond_a_limit_is_refused_with_a_code(
    org: str, limits: dict[str, int], code: codes.ResultCode
) -> None:
    orgs = {ids.OrgId("a"): msgspec.structs.replace(model.OrgRules(()), **limits)}
    bundle = model.Rules(ids.BundleVersion(1), orgs)
    sim = world.World(bundle, worker_specs(1))
    for index in range(2):
        submit(sim, f"j{index}", accelerators=8)
    record = submit(sim, "last", org=org, accelerators=8)
    assert (record.state, record.code) == (model.JobState.REFUSED, code)


def run_with_failing_worker() -> tuple[world.World, int]:
    sim = world.World(world.rules(a=[]), worker_specs(2))
    bad = ids.WorkerId("w0000")
    failures = 0
    for index in range(12):
        job = submit(sim, f"j{index}", accelerators=1).job
        while job in sim.gangs:
            if sim.state.jobs[job].placements[0].worker != bad:
                sim.held(job)
                sim.finish(job)
                break
            failures += 1
            sim.fail(job, 0, START_FAILED)
            sim.stopped(job, 0.0)
    return sim, failures


def test_worker_that_fails_every_start_is_quarantined_and_probed() -> None:
    sim, failures = run_with_failing_worker()
    worker = sim.state.workers[ids.WorkerId("w0000")]
    assert worker.is_quarantined
    assert 0 < failures <= 4
    sim.now_s += health.FIRST_QUARANTINE_S
    sim.step(model.Tick())
    assert not worker.is_quarantined
    for index in range(16):
        record = submit(sim, f"k{index}", accelerators=1)
        if record.placements[0].worker == "w0000":
            sim.held(record.job)
    assert not worker.is_probing


def test_failing_worker_keeps_failing_jobs_without_quarantine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(health, "record_failure", lambda *_: health.Verdict.KEEP)
    sim, failures = run_with_failing_worker()
    assert not sim.state.workers[ids.WorkerId("w0000")].is_quarantined
    assert failures > 4


def run_jobs_failing_everywhere() -> tuple[world.World, list[model.JobRecord]]:
    sim = world.World(world.rules(a=[]), worker_specs(4))
    records = [submit(sim, f"j{index}", accelerators=2) for index in range(6)]
    for _ in range(200):
        for job in tuple(sim.gangs):
            sim.fail(job, 0, START_FAILED)
            sim.stopped(job, 0.0)
    return sim, records


def test_jobs_that_fail_everywhere_fail_and_quarantine_no_worker() -> None:
    sim, records = run_jobs_failing_everywhere()
    assert {record.state for record in records} == {model.JobState.FAILED}
    assert {record.code for record in records} == {codes.ResultCode.RETRIES_EXHAUSTED}
    assert not any(worker.is_quarantined for worker in sim.state.workers.values())


def test_workers_are_quarantined_if_failing_jobs_are_not_blamed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(health, "is_blamed", lambda *_: False)
    sim, _records = run_jobs_failing_everywhere()
    assert any(worker.is_quarantined for worker in sim.state.workers.values())


def test_non_idempotent_job_is_retried_after_a_failure_before_release() -> None:
    sim = world.World(world.rules(a=[]), worker_specs(2))
    record = submit(sim, "once", idempotent=False)
    sim.fail(record.job, 0, START_FAILED)
    sim.stopped(record.job, 0.0)
    assert (record.state, record.attempt) == (model.JobState.STARTING, 2)


def test_non_idempotent_job_fails_after_a_failure_after_release() -> None:
    sim = world.World(world.rules(a=[]), worker_specs(2))
    record = submit(sim, "once", idempotent=False)
    sim.held(record.job)
    sim.fail(record.job, 0, model.MemberFault.WORKER_LOST)
    sim.stopped(record.job, 0.0)
    assert (record.state, record.code) == (model.JobState.FAILED, codes.ResultCode.WORKER_LOST)


def test_job_cancelled_in_doubt_is_not_restarted() -> None:
    sim = world.World(world.rules(a=[]), worker_specs(1))
    record = submit(sim, "doubt")
    sim.held(record.job)
    sim.step(model.GangUnknown(record.job, 1))
    sim.step(model.JobCancelled(record.job))
    sim.stopped(record.job, 0.0)
    assert record.state is model.JobState.CANCELLED


def test_why_names_what_blocks_a_job_and_the_jobs_ahead() -> None:
    sim = world.World(world.rules(a=[]), worker_specs(1))
    run(sim, submit(sim, "runs", accelerators=8, reclaimable=False))
    submit(sim, "ahead", accelerators=8, reclaimable=False)
    submit(sim, "behind", accelerators=8, reclaimable=False)
    why = core.why(sim.state, ids.JobId("behind"))
    assert (why.ahead, why.ahead_jobs, why.estimate_s) == (1, ("ahead",), None)
    assert "cells that no guarantee needs" in str(why)


def test_why_estimates_the_start_from_the_checkpoint_timeout() -> None:
    sim = world.World(world.rules(a=[(8, 1)], b=[]), worker_specs(1))
    run(sim, submit(sim, "lent", org="b", accelerators=8))
    submit(sim, "own", org="a", accelerators=8)
    why = core.why(sim.state, ids.JobId("own"))
    assert why.estimate_s == preemption.CHECKPOINT_TIMEOUT_S


def test_predictions_correct_a_caller_that_declares_too_little() -> None:
    sim = world.World(world.rules(a=[]), worker_specs(1))
    for index in range(20):
        job = submit(sim, f"j{index}", declared_s=100.0).job
        sim.held(job)
        sim.now_s += 1_000.0
        sim.finish(job)
    record = submit(sim, "next", declared_s=100.0)
    assert ordering.predicted_remaining_s(sim.state.queues, record) > 500.0


def test_takeover_restores_allocations_on_workers_that_join_later() -> None:
    sim = world.World(world.rules(a=[(4, 1)]), worker_specs(1))
    record = submit(sim, "runs", accelerators=4)
    sim.held(record.job)
    state = core.new_state(rules=sim.state.rules, jobs=[record])
    core.step(state, model.WorkerJoined(world.worker(0)), now_s=sim.now_s)
    assert state.workers[ids.WorkerId("w0000")].free_devices.bit_count() == 4
