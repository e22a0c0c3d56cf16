from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import codes, errors
from bronzequay.policy import model
from bronzequay.sched import lease
from bronzequay.work import keeper
from tests.sched import checks, harness

if TYPE_CHECKING:
    from trio import testing

FREEZE_S = 3 * keeper.TASK_TTL_S


def buckets(fleet: harness.Fleet) -> dict[str, int]:
    found = fleet.store.entries.values()
    return {entry.key: entry.rev for entry, _ in found if "/bucket/" in entry.key}


async def test_a_scheduler_that_was_frozen_acts_on_nothing_it_no_longer_holds(
    autojump_clock: testing.MockClock, nursery: trio.Nursery
) -> None:
    fleet = harness.Fleet()
    one, two = harness.Instance(fleet, "i1"), harness.Instance(fleet, "i2")
    nursery.start_soon(one.run)
    await harness.until(lambda: one.scheduler.is_active)
    nursery.start_soon(two.run)
    spec = harness.spec(members=4, accelerators=8, declared_s=1e6, idempotent=False)
    record = await one.scheduler.submit(spec, key=None)
    await harness.until_state(one.scheduler, record.job, [model.JobState.RUNNING])
    one.gate.freeze()
    await trio.sleep(FREEZE_S)
    assert two.scheduler.is_active
    assert not one.scheduler.is_active
    await two.scheduler.cancel([record.job])
    await harness.until_state(two.scheduler, record.job, [model.JobState.CANCELLED])
    before = len(one.gate.effects)
    kept = buckets(fleet)
    one.gate.resume()
    await trio.sleep(FREEZE_S)
    assert not [name for name in one.gate.effects[before:] if "/v1/" in name]
    assert buckets(fleet) == kept
    assert two.scheduler.is_active
    assert two.scheduler.epoch == 2
    checks.check_epochs(fleet)


async def test_a_short_loss_of_the_store_ends_no_term(
    autojump_clock: testing.MockClock, nursery: trio.Nursery
) -> None:
    fleet = harness.Fleet()
    one = harness.Instance(fleet, "i1")
    nursery.start_soon(one.run)
    await harness.until(lambda: one.scheduler.is_active)
    one.gate.is_down = True
    await trio.sleep(lease.TTL_S - lease.RENEW_S - 0.5)
    one.gate.is_down = False
    await trio.sleep(lease.RENEW_S + 0.5)
    assert one.scheduler.is_active
    assert one.scheduler.epoch == 1


async def test_a_slow_store_slows_the_scheduler_but_ends_no_term(
    autojump_clock: testing.MockClock, nursery: trio.Nursery
) -> None:
    fleet = harness.Fleet()
    one, two = harness.Instance(fleet, "i1"), harness.Instance(fleet, "i2")
    for instance in (one, two):
        instance.gate.delay_s = 1.2
        nursery.start_soon(instance.run)
    await harness.until(lambda: one.scheduler.is_active or two.scheduler.is_active)
    active = one if one.scheduler.is_active else two
    record = await active.scheduler.submit(harness.spec(declared_s=60.0), key=None)
    ended = await harness.until_state(active.scheduler, record.job, [model.JobState.FINISHED])
    assert ended.history[0].at_s < 30.0
    assert active.scheduler.epoch == 1


async def test_a_scheduler_whose_lease_may_be_lost_takes_no_command(
    autojump_clock: testing.MockClock, nursery: trio.Nursery
) -> None:
    fleet = harness.Fleet()
    one = harness.Instance(fleet, "i1")
    nursery.start_soon(one.run)
    await harness.until(lambda: one.scheduler.is_active)
    one.gate.is_down = True
    await trio.sleep(lease.TTL_S + 0.1)
    with pytest.raises(errors.BronzequayError) as caught:
        await one.scheduler.submit(harness.spec(), key=None)
    assert caught.value.code is codes.ResultCode.NO_SCHEDULER
    assert one.scheduler.can_answer


async def test_a_full_job_store_refuses_only_new_jobs(
    autojump_clock: testing.MockClock, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("bronzequay.sched.journal.MAX_BUCKET_BYTES", 4_000)
    fleet = harness.Fleet()
    one = harness.Instance(fleet, "i1")
    nursery.start_soon(one.run)
    await harness.until(lambda: one.scheduler.is_active)
    refused: list[codes.ResultCode] = []

    async def submit(number: int) -> None:
        try:
            await one.scheduler.submit(harness.spec(declared_s=1e6), key=str(number))
        except errors.BronzequayError as exc:
            refused.append(exc.code)

    async with trio.open_nursery() as callers:
        for number in range(64):
            callers.start_soon(submit, number)
    assert set(refused) == {codes.ResultCode.QUEUE_FULL}
    accepted = await one.scheduler.list()
    assert len(accepted) == 64 - len(refused)
    cancelled = await one.scheduler.cancel([record.job for record in accepted])
    assert len(cancelled) == len(accepted)
