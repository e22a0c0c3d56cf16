from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from bronzequay import codes, errors, ids
from bronzequay.policy import model
from bronzequay.sched import journal
from tests.sched import harness, memory

if TYPE_CHECKING:
    from trio import testing


def record(job: str) -> model.JobRecord:
    return model.JobRecord(
        job=ids.JobId(job),
        spec=harness.spec(),
        state=model.JobState.ACCEPTED,
        code=codes.ResultCode.ACCEPTED,
        accepted_s=1.0,
    )


def open_journal(store: memory.MemoryStore, gate: memory.Gate | None = None) -> journal.Journal:
    view = memory.StoreClient(store, gate or memory.Gate())
    return journal.Journal(store=view, partition=harness.PARTITION)


async def test_a_takeover_reads_all_committed_records(autojump_clock: testing.MockClock) -> None:
    store = memory.MemoryStore()
    first = open_journal(store)
    assert await first.take_over() == ()
    await first.commit([record("a"), record("b")])
    second = open_journal(store)
    assert {record.job for record in await second.take_over()} == {"a", "b"}
    assert second.epoch == first.epoch + 1


async def test_an_earlier_scheduler_cannot_write_any_bucket(
    autojump_clock: testing.MockClock,
) -> None:
    store = memory.MemoryStore()
    first = open_journal(store)
    await first.take_over()
    await open_journal(store).take_over()
    for number in range(64):
        with pytest.raises(errors.BronzequayError) as caught:
            await first.commit([record(f"j{number}")])
        assert caught.value.code is codes.ResultCode.FENCED


async def test_many_records_are_committed_with_one_write_per_bucket(
    autojump_clock: testing.MockClock,
) -> None:
    store = memory.MemoryStore()
    opened = open_journal(store)
    await opened.take_over()
    writes_before = store.writes
    await opened.commit([record(f"j{number}") for number in range(500)])
    assert store.writes - writes_before == journal.BUCKETS


async def test_a_write_whose_answer_was_lost_is_recognised(
    autojump_clock: testing.MockClock,
) -> None:
    store, gate = memory.MemoryStore(), memory.Gate()
    opened = open_journal(store, gate)
    await opened.take_over()
    gate.fault_at, gate.fault = len(gate.effects), memory.Fault.LOST
    await opened.commit([record("a")])
    await opened.commit([record("a"), record("b")])
    assert {record.job for record in opened.records()} == {"a", "b"}


async def test_a_record_that_was_not_committed_is_not_durable(
    autojump_clock: testing.MockClock, nursery: object
) -> None:
    store, gate = memory.MemoryStore(), memory.Gate()
    opened = open_journal(store, gate)
    await opened.take_over()
    await opened.commit([record("a")])
    changed = record("a")
    changed.attempt = 7
    durable = opened.get(ids.JobId("a"))
    assert durable is not None
    assert durable.attempt == 0
