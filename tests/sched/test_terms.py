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
    entries = fleet.store.entries.values()
    return {entry.key: entry.rev for entry, _ in entries if "/bucket/" in entry.key}


async def test_a_resumed_scheduler_does_not_act_after_losing_its_lease(
    autojump_clock: testing.MockClock, nursery: trio.Nursery
) -> None:
    fleet = harness.Fleet()
    first, second = harness.Instance(fleet, "i1"), harness.Instance(fleet, "i2")
    nursery.start_soon(first.run)
    await harness.wait_until(lambda: first.scheduler.is_active)
    nursery.start_soon(second.run)
    spec = harness.spec(members=4, accelerators=8, declared_s=1e6, idempotent=False)
    record = await first.scheduler.submit(spec, key=None)
    await harness.wait_for_state(first.scheduler, record.job, [model.JobState.RUNNING])
    first.gate.freeze()
    await trio.sleep(FREEZE_S)
    assert second.scheduler.is_active
    assert not first.scheduler.is_active
    await second.scheduler.cancel([record.job])
    await harness.wait_for_state(second.scheduler, record.job, [model.JobState.CANCELLED])
    effects_before = len(first.gate.effects)
    buckets_before = buckets(fleet)
    first.gate.resume()
    await trio.sleep(FREEZE_S)
    assert not [name for name in first.gate.effects[effects_before:] if "/v1/" in name]
    assert buckets(fleet) == buckets_before
    assert second.scheduler.is_active
    assert second.scheduler.epoch == 2
    checks.check_epochs(fleet)


async def test_a_short_store_outage_does_not_end_the_term(
    autojump_clock: testing.MockClock, nursery: trio.Nursery
) -> None:
    fleet = harness.Fleet()
    instance = harness.Instance(fleet, "i1")
    nursery.start_soon(instance.run)
    await harness.wait_until(lambda: instance.scheduler.is_active)
    instance.gate.is_down = True
    await trio.sleep(lease.TTL_S - lease.RENEW_INTERVAL_S - 0.5)
    instance.gate.is_down = False
    await trio.sleep(lease.RENEW_INTERVAL_S + 0.5)
    assert instance.scheduler.is_active
    assert instance.scheduler.epoch == 1


async def test_a_slow_store_does_not_end_the_term(
    autojump_clock: testing.MockClock, nursery: trio.Nursery
) -> None:
    fleet = harness.Fleet()
    first, second = harness.Instance(fleet, "i1"), harness.Instance(fleet, "i2")
    for instance in (first, second):
        instance.gate.delay_s = 1.2
        nursery.start_soon(instance.run)
    await harness.wait_until(lambda: first.scheduler.is_active or second.scheduler.is_active)
    active = first if first.scheduler.is_active else second
    record = await active.scheduler.submit(harness.spec(declared_s=60.0), key=None)
    ended = await harness.wait_for_state(active.scheduler, record.job, [model.JobState.FINISHED])
    assert ended.history[0].at_s < 30.0
    assert active.scheduler.epoch == 1


async def test_a_scheduler_refuses_commands_once_its_lease_may_be_lost(
    autojump_clock: testing.MockClock, nursery: trio.Nursery
) -> None:
    fleet = harness.Fleet()
    instance = harness.Instance(fleet, "i1")
    nursery.start_soon(instance.run)
    await harness.wait_until(lambda: instance.scheduler.is_active)
    instance.gate.is_down = True
    await trio.sleep(lease.TTL_S + 0.1)
    with pytest.raises(errors.BronzequayError) as caught:
        await instance.scheduler.submit(harness.spec(), key=None)
    assert caught.value.code is codes.ResultCode.NO_SCHEDULER
    assert instance.scheduler.can_answer


async def test_full_buckets_refuse_new_jobs_but_accept_cancellations(
    autojump_clock: testing.MockClock, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("bronzequay.sched.journal.MAX_BUCKET_BYTES", 4_000)
    fleet = harness.Fleet()
    instance = harness.Instance(fleet, "i1")
    nursery.start_soon(instance.run)
    await harness.wait_until(lambda: instance.scheduler.is_active)
    refused: list[codes.ResultCode] = []

    async def submit(number: int) -> None:
        try:
            await instance.scheduler.submit(harness.spec(declared_s=1e6), key=str(number))
        except errors.BronzequayError as exc:
            refused.append(exc.code)

    async with trio.open_nursery() as callers:
        for number in range(64):
            callers.start_soon(submit, number)
    assert set(refused) == {codes.ResultCode.QUEUE_FULL}
    accepted = await instance.scheduler.list()
    assert len(accepted) == 64 - len(refused)
    cancelled = await instance.scheduler.cancel([record.job for record in accepted])
    assert len(cancelled) == len(accepted)
