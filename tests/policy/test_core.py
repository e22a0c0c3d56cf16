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

START = model.MemberFault.START_FAILED


def submit(here: world.World, name: str, **changes: object) -> model.JobRecord:
    job = ids.JobId(name)
    here.step(model.JobSubmitted(job, world.spec(**changes)))
    return here.state.jobs[job]


def fleet_of(count: int, *, rack_size: int = 2, accelerators: int = 8) -> list[model.WorkerSpec]:
    sizes = {"rack_size": rack_size, "accelerators": accelerators}
    return [world.worker(index, **sizes) for index in range(count)]


def run(here: world.World, record: model.JobRecord) -> None:
    here.held(record.job)
    here.now_s += 2 * preemption.MIN_RUN_S


def test_borrower_is_checkpointed_for_a_guarantee_and_resumes() -> None:
    here = world.World(world.rules(a=[(8, 1)], b=[]), fleet_of(1))
    borrower = submit(here, "lent", org="b", accelerators=8, idempotent=False)
    run(here, borrower)
    owner = submit(here, "own", org="a", accelerators=8)
    assert here.gangs[borrower.job].stop is model.StopMode.CHECKPOINT
    here.stopped(borrower.job, 60.0)
    assert owner.placements
    assert owner.share is model.Share.GUARANTEED
    assert borrower.state is model.JobState.ACCEPTED
    here.held(owner.job)
    here.finish(owner.job)
    assert borrower.attempt == 2


def test_cheapest_gangs_are_reclaimed() -> None:
    here = world.World(world.rules(a=[(4, 1)], b=[]), fleet_of(1))
    old = submit(here, "old", org="b", accelerators=4)
    run(here, old)
    here.now_s += 10_000
    new = submit(here, "new", org="b", accelerators=4)
    run(here, new)
    submit(here, "own", org="a", accelerators=4)
    assert here.gangs[old.job].stop is None
    assert here.gangs[new.job].stop is model.StopMode.CHECKPOINT


def test_reclaim_ends_in_a_plain_stop_after_its_bound() -> None:
    here = world.World(world.rules(a=[(8, 1)], b=[]), fleet_of(1))
    borrower = submit(here, "lent", org="b", accelerators=8)
    run(here, borrower)
    submit(here, "own", org="a", accelerators=8)
    here.now_s += preemption.CHECKPOINT_BOUND_S
    here.step(model.Tick())
    assert here.gangs[borrower.job].stop is model.StopMode.STOP


def test_reclaim_bound_outlives_a_takeover() -> None:
    here = world.World(world.rules(a=[(8, 1)], b=[]), fleet_of(1))
    borrower = submit(here, "lent", org="b", accelerators=8)
    run(here, borrower)
    submit(here, "own", org="a", accelerators=8)
    here.take_over()
    here.now_s += preemption.CHECKPOINT_BOUND_S
    here.step(model.Tick())
    assert here.gangs[borrower.job].stop is model.StopMode.STOP


def test_non_reclaimable_work_may_not_use_another_guarantee() -> None:
    here = world.World(world.rules(a=[(4, 1)], b=[]), fleet_of(1))
    first = submit(here, "first", org="b", accelerators=4, reclaimable=False)
    second = submit(here, "second", org="b", accelerators=1, reclaimable=False)
    assert first.share is model.Share.FIXED
    assert second.state is model.JobState.ACCEPTED


def test_memory_of_a_guarantee_is_kept_as_well() -> None:
    here = world.World(world.rules(a=[(4, 1)], b=[]), fleet_of(1))
    hungry = submit(here, "hungry", org="b", accelerators=1, mem_gb=100, reclaimable=False)
    assert hungry.state is model.JobState.INFEASIBLE or not hungry.placements
    assert submit(here, "own", org="a", accelerators=4, mem_gb=64).placements


def test_lost_worker_names_the_unmet_guarantee() -> None:
    here = world.World(world.rules(a=[(8, 2)]), fleet_of(2))
    here.lose(ids.WorkerId("w0000"))
    (found,) = core.unmet(here.state)
    assert (found.org, found.accelerators, found.count) == ("a", 8, 1)
    assert "accelerators" in found.reason


def test_gang_prefers_one_rack_then_one_data_centre() -> None:
    here = world.World(world.rules(a=[]), fleet_of(8))
    submit(here, "other", accelerators=4)
    narrow = submit(here, "narrow", members=2, accelerators=8)
    assert len({here.state.workers[p.worker].rack for p in narrow.placements}) == 1
    wide = submit(here, "wide", members=4, accelerators=8)
    assert len({here.state.workers[p.worker].spec.data_centre for p in wide.placements}) == 1


def test_gang_waits_for_one_data_centre_if_that_could_hold_it() -> None:
    here = world.World(world.rules(a=[]), fleet_of(8))
    for index in range(2):
        submit(here, f"pin{index}", members=2, accelerators=8, reclaimable=False)
    waiting = submit(here, "wide", members=4, accelerators=8)
    centres = {here.state.workers[p.worker].spec.data_centre for p in waiting.placements}
    assert len(centres) <= 1
    spanning = world.World(world.rules(a=[]), fleet_of(8))
    assert submit(spanning, "huge", members=6, accelerators=8).state is model.JobState.STARTING


def test_cpu_only_gang_runs_on_a_worker_without_accelerators_first() -> None:
    workers = [world.worker(0, accelerators=8), world.worker(1, accelerators=0)]
    here = world.World(world.rules(a=[(8, 1)]), workers)
    record = submit(here, "cpu", members=2, accelerators=0, cpu=4, reclaimable=False)
    assert {place.worker for place in record.placements} == {"w0001"}


def test_urgent_work_stops_a_borrower_at_once() -> None:
    here = world.World(world.rules(a=[], b=[]), fleet_of(2))
    for index in range(4):
        run(here, submit(here, f"n{index}", org="b", accelerators=4))
    urgent = submit(here, "urgent", org="a", urgency="urgent", accelerators=4)
    stopped = [job for job, gang in here.gangs.items() if gang.stop]
    assert len(stopped) == 1
    here.stopped(stopped[0], 100.0)
    assert urgent.state is model.JobState.STARTING


def test_small_caller_is_served_beside_a_flood() -> None:
    here = world.World(world.rules(a=[], b=[]), fleet_of(1))
    for index in range(100):
        submit(here, f"f{index}", org="a", caller="flood")
    for job in tuple(here.gangs):
        here.held(job)
    here.now_s += 2 * preemption.MIN_RUN_S
    small = submit(here, "small", org="b", caller="small")
    (victim,) = [job for job, gang in here.gangs.items() if gang.stop]
    here.stopped(victim, 100.0)
    assert small.state is model.JobState.STARTING


def drain(here: world.World, turns: int, name: str) -> bool:
    """Feed small work that fills the fleet for ever, and see whether a large gang starts."""
    for turn in range(turns):
        here.now_s += 600.0
        done = [job for job, gang in here.gangs.items() if gang.is_running and gang.stop is None]
        for job in done[:2]:
            here.finish(job)
        for job, gang in tuple(here.gangs.items()):
            if gang.stop is not None:
                here.stopped(job, 1.0)
            elif not gang.is_running:
                here.held(job)
        for index in range(2):
            submit(here, f"s{turn}-{index}", caller=f"c{index}", accelerators=2)
        here.step(model.Tick())
        if here.state.jobs[ids.JobId(name)].placements:
            return True
    return False


def large_beside_small() -> bool:
    here = world.World(world.rules(a=[]), fleet_of(2))
    for index in range(8):
        submit(here, f"first{index}", accelerators=2)
    submit(here, "large", caller="big", members=2, accelerators=8, declared_s=7_200.0)
    return drain(here, 100, "large")


def test_large_gang_is_not_starved_by_small_work() -> None:
    assert large_beside_small()


def test_starvation_without_its_guards_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(dispatch, "_rights", lambda *_: iter(()))
    assert not large_beside_small()


def calls_of_cancelling(queued: int) -> int:
    here = world.World(world.rules(a=[]), fleet_of(1))
    blocker = submit(here, "blocker", accelerators=8, reclaimable=False)
    here.held(blocker.job)
    jobs = [submit(here, f"j{index:05d}", accelerators=8).job for index in range(queued)]
    calls = 0

    def count(_frame: FrameType, event: str, _arg: object) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        for job in jobs[::10][:20]:
            core.step(here.state, model.JobCancelled(job), now_s=here.now_s)
    finally:
        sys.setprofile(None)
    return calls


def test_cancelling_costs_the_same_beside_a_long_queue() -> None:
    assert calls_of_cancelling(1_000) <= 1.1 * calls_of_cancelling(200)


def test_wave_of_cancellations_leaves_nothing_behind() -> None:
    here = world.World(world.rules(a=[]), fleet_of(1))
    jobs = [submit(here, f"j{index}", accelerators=4).job for index in range(50)]
    for job in jobs:
        here.cancelled.add(job)
        here.step(model.JobCancelled(job))
    for job in tuple(here.gangs):
        here.stopped(job, 0.0)
    assert not here.state.queues.ranks
    assert not here.state.demands
    assert {here.state.jobs[job].state for job in jobs} == {model.JobState.CANCELLED}


def test_infeasible_job_is_told_and_runs_when_the_fleet_grows() -> None:
    here = world.World(world.rules(a=[]), fleet_of(1))
    record = submit(here, "wide", members=2, accelerators=8)
    assert (record.state, record.code) == (model.JobState.INFEASIBLE, codes.ResultCode.INFEASIBLE)
    assert submit(here, "other").state is model.JobState.STARTING
    for each in fleet_of(4)[2:]:
        here.workers[each.worker] = each
        here.step(model.WorkerJoined(each))
    assert record.placements


@pytest.mark.parametrize(
    ("org", "limits", "code"),
    [
        ("zz", {}, codes.ResultCode.UNKNOWN_ORG),
        ("a", {"max_queued": 1}, codes.ResultCode.QUEUE_FULL),
        ("a", {"max_caller_queued": 1}, codes.ResultCode.OVER_SHARE),
    ],
)
def test_bounded_queue_refuses_with_a_code(
    org: str, limits: dict[str, int], code: codes.ResultCode
) -> None:
    orgs = {ids.OrgId("a"): msgspec.structs.replace(model.OrgRules(()), **limits)}
    bundle = model.Rules(ids.BundleVersion(1), orgs)
    here = world.World(bundle, fleet_of(1))
    for index in range(2):
        submit(here, f"j{index}", accelerators=8)
    record = submit(here, "last", org=org, accelerators=8)
    assert (record.state, record.code) == (model.JobState.REFUSED, code)


def failing_worker() -> tuple[world.World, int]:
    here = world.World(world.rules(a=[]), fleet_of(2))
    bad = ids.WorkerId("w0000")
    failures = 0
    for index in range(12):
        job = submit(here, f"j{index}", accelerators=1).job
        while job in here.gangs:
            if here.state.jobs[job].placements[0].worker != bad:
                here.held(job)
                here.finish(job)
                break
            failures += 1
            here.fail(job, 0, START)
            here.stopped(job, 0.0)
    return here, failures


def test_worker_that_fails_everything_is_quarantined_and_probed_back() -> None:
    here, failures = failing_worker()
    worker = here.state.workers[ids.WorkerId("w0000")]
    assert worker.is_quarantined
    assert 0 < failures <= 4
    here.now_s += health.FIRST_PROBE_S
    here.step(model.Tick())
    assert not worker.is_quarantined
    for index in range(16):
        record = submit(here, f"k{index}", accelerators=1)
        if record.placements[0].worker == "w0000":
            here.held(record.job)
    assert not worker.is_probing


def test_worker_never_quarantined_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(health, "failed", lambda *_: health.Verdict.KEEP)
    here, failures = failing_worker()
    assert not here.state.workers[ids.WorkerId("w0000")].is_quarantined
    assert failures > 4


def jobs_failing_everywhere() -> tuple[world.World, list[model.JobRecord]]:
    here = world.World(world.rules(a=[]), fleet_of(4))
    records = [submit(here, f"j{index}", accelerators=2) for index in range(6)]
    for _ in range(200):
        for job in tuple(here.gangs):
            here.fail(job, 0, START)
            here.stopped(job, 0.0)
    return here, records


def test_jobs_that_fail_everywhere_end_and_quarantine_no_worker() -> None:
    here, records = jobs_failing_everywhere()
    assert {record.state for record in records} == {model.JobState.FAILED}
    assert {record.code for record in records} == {codes.ResultCode.RETRIES_EXHAUSTED}
    assert not any(each.is_quarantined for each in here.state.workers.values())


def test_blaming_workers_for_bad_jobs_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(health, "is_blamed", lambda *_: False)
    here, _records = jobs_failing_everywhere()
    assert any(each.is_quarantined for each in here.state.workers.values())


def test_start_that_failed_before_release_is_retried_even_if_not_idempotent() -> None:
    here = world.World(world.rules(a=[]), fleet_of(2))
    record = submit(here, "once", idempotent=False)
    here.fail(record.job, 0, START)
    here.stopped(record.job, 0.0)
    assert (record.state, record.attempt) == (model.JobState.STARTING, 2)


def test_failure_after_release_ends_a_non_idempotent_job() -> None:
    here = world.World(world.rules(a=[]), fleet_of(2))
    record = submit(here, "once", idempotent=False)
    here.held(record.job)
    here.fail(record.job, 0, model.MemberFault.WORKER_LOST)
    here.stopped(record.job, 0.0)
    assert (record.state, record.code) == (model.JobState.FAILED, codes.ResultCode.WORKER_LOST)


def test_cancelled_job_in_doubt_never_comes_back() -> None:
    here = world.World(world.rules(a=[]), fleet_of(1))
    record = submit(here, "doubt")
    here.held(record.job)
    here.step(model.GangUnknown(record.job, 1))
    here.step(model.JobCancelled(record.job))
    here.stopped(record.job, 0.0)
    assert record.state is model.JobState.CANCELLED


def test_why_names_what_holds_a_job_and_who_is_ahead() -> None:
    here = world.World(world.rules(a=[]), fleet_of(1))
    run(here, submit(here, "runs", accelerators=8, reclaimable=False))
    submit(here, "ahead", accelerators=8, reclaimable=False)
    submit(here, "behind", accelerators=8, reclaimable=False)
    why = core.why(here.state, ids.JobId("behind"))
    assert (why.ahead, why.ahead_jobs, why.estimate_s) == (1, ("ahead",), None)
    assert "cells that no guarantee needs" in str(why)


def test_why_vouches_for_the_bound_of_a_reclaim() -> None:
    here = world.World(world.rules(a=[(8, 1)], b=[]), fleet_of(1))
    run(here, submit(here, "lent", org="b", accelerators=8))
    submit(here, "own", org="a", accelerators=8)
    why = core.why(here.state, ids.JobId("own"))
    assert why.estimate_s == preemption.CHECKPOINT_BOUND_S


def test_caller_that_declares_badly_is_corrected() -> None:
    here = world.World(world.rules(a=[]), fleet_of(1))
    for index in range(20):
        job = submit(here, f"j{index}", declared_s=100.0).job
        here.held(job)
        here.now_s += 1_000.0
        here.finish(job)
    record = submit(here, "next", declared_s=100.0)
    assert ordering.predicted_s(here.state.queues, record) > 500.0


def test_takeover_keeps_what_gangs_hold_on_workers_that_join_later() -> None:
    here = world.World(world.rules(a=[(4, 1)]), fleet_of(1))
    record = submit(here, "runs", accelerators=4)
    here.held(record.job)
    state = core.new_state(rules=here.state.rules, jobs=[record])
    core.step(state, model.WorkerJoined(world.worker(0)), now_s=here.now_s)
    assert state.workers[ids.WorkerId("w0000")].free.bit_count() == 4
