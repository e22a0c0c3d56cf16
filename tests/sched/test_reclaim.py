from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec
import pytest
import trio

from bronzequay import ids
from bronzequay.policy import model
from tests.sched import checks, harness

if TYPE_CHECKING:
    from trio import testing

OTHER = ids.OrgId("org-b")
RULES = model.Rules(
    version=ids.BundleVersion(1),
    orgs={
        harness.ORG: model.OrgRules(guarantee=(model.Shape(8, 2),)),
        OTHER: model.OrgRules(guarantee=()),
    },
)


@dataclasses.dataclass
class Reclaim:
    """A borrower that occupies the whole fleet, and a guaranteed job that reclaims it."""

    fleet: harness.Fleet
    instance: harness.Instance
    borrower: model.JobRecord
    owner: model.JobRecord


async def start_reclaim(
    nursery: trio.Nursery,
    monkeypatch: pytest.MonkeyPatch,
    *,
    delay_s: float = 0.0,
    **faults: bool,
) -> Reclaim:
    monkeypatch.setattr(harness, "RULES", RULES)
    fleet = harness.Fleet(workers=2)
    instance = harness.Instance(fleet, "i1")
    nursery.start_soon(instance.run)
    await harness.wait_until(lambda: instance.scheduler.is_active)
    spec = harness.spec(org=OTHER, members=2, accelerators=8, declared_s=60.0, idempotent=False)
    fleet.set_faults("w1", delay_s=delay_s)
    borrower = await instance.scheduler.submit(spec, key="borrower")
    await harness.wait_for_state(instance.scheduler, borrower.job, [model.JobState.RUNNING])
    await trio.sleep(20.0)
    if faults.pop("forgets", False):
        fleet.tasks("w1").clear()
    fleet.set_faults("w1", **faults)
    urgent = harness.spec(members=2, accelerators=8, declared_s=10.0, urgency=model.Urgency.URGENT)
    owner = await instance.scheduler.submit(urgent, key="owner")
    return Reclaim(fleet, instance, borrower, owner)


async def test_a_borrower_is_checkpointed_and_resumes_from_its_checkpoint(
    autojump_clock: testing.MockClock, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    run = await start_reclaim(nursery, monkeypatch)
    states = [model.JobState.RUNNING]
    started = await harness.wait_for_state(run.instance.scheduler, run.owner.job, states)
    assert started.started_s is not None
    assert started.started_s - started.accepted_s < 8.3
    states = [model.JobState.FINISHED]
    ended = await harness.wait_for_state(run.instance.scheduler, run.borrower.job, states)
    assert ended.attempt == 2
    assert ended.attained_s == pytest.approx(20.0, abs=0.5)
    assert ended.ended_s is not None
    assert ended.ended_s - ended.accepted_s == pytest.approx(70.0, abs=2.0)
    checks.check_spans(await run.fleet.log(), {ended.job: ended})


async def test_a_takeover_during_a_reclaim_keeps_the_checkpointed_progress(
    autojump_clock: testing.MockClock, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    run = await start_reclaim(nursery, monkeypatch)
    run.instance.kill()
    successor = harness.Instance(run.fleet, "i2")
    nursery.start_soon(successor.run)
    states = [model.JobState.FINISHED]
    owner = await harness.wait_for_state(successor.scheduler, run.owner.job, states)
    ended = await harness.wait_for_state(successor.scheduler, run.borrower.job, states)
    assert ended.attained_s > 19.0
    log = await run.fleet.log()
    checks.check_spans(log, {ended.job: ended, owner.job: owner})


async def test_a_gang_released_unevenly_repeats_no_work_after_a_checkpoint(
    autojump_clock: testing.MockClock, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    run = await start_reclaim(nursery, monkeypatch, delay_s=1.5)
    states = [model.JobState.FINISHED]
    ended = await harness.wait_for_state(run.instance.scheduler, run.borrower.job, states)
    checks.check_no_repeated_work(
        await run.fleet.log(), {ended.job: ended.spec, run.owner.job: run.owner.spec}
    )


@pytest.mark.parametrize("fault", ["silent", "forgets"])
async def test_a_checkpoint_without_all_members_never_restarts_the_job(
    autojump_clock: testing.MockClock,
    nursery: trio.Nursery,
    monkeypatch: pytest.MonkeyPatch,
    fault: str,
) -> None:
    run = await start_reclaim(nursery, monkeypatch, **{fault: True})
    await trio.sleep(100.0)
    run.fleet.set_faults("w1")
    states = [model.JobState.FAILED]
    ended = await harness.wait_for_state(run.instance.scheduler, run.borrower.job, states)
    await harness.wait_for_state(run.instance.scheduler, run.owner.job, [model.JobState.FINISHED])
    log = await run.fleet.log()
    checks.check_single_release(log, {ended.job: ended.spec})


async def test_usage_above_the_declaration_is_recorded(
    autojump_clock: testing.MockClock, nursery: trio.Nursery
) -> None:
    fleet = harness.Fleet(workers=1)
    payload = {"actual_s": 60.0, "cpu_used": 9.5, "mem_gb_used": 1.0}
    instance = harness.Instance(fleet, "i1", payload=lambda _spec: msgspec.json.encode(payload))
    nursery.start_soon(instance.run)
    await harness.wait_until(lambda: instance.scheduler.is_active)
    record = await instance.scheduler.submit(harness.spec(cpu=4), key=None)
    await trio.sleep(15.0)
    assert (await instance.scheduler.get(record.job)).seen_cpu == 10
