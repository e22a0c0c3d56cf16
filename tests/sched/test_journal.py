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
    view = memory.StoreView(store, gate or memory.Gate())
    return journal.Journal(store=view, partition=harness.PARTITION)


async def test_a_takeover_finds_what_was_committed(autojump_clock: testing.MockClock) -> None:
    store = memory.MemoryStore()
    first = open_journal(store)
    assert await first.take_over() == ()
    await first.commit([record("a"), record("b")])
    second = open_journal(store)
    assert {found.job for found in await second.take_over()} == {"a", "b"}
    assert second.epoch == first.epoch + 1


async def test_an_earlier_scheduler_can_write_no_bucket(autojump_clock: testing.MockClock) -> None:
    store = memory.MemoryStore()
    first = open_journal(store)
    await first.take_over()
    await open_journal(store).take_over()
    for number in range(64):
        with pytest.raises(errors.BronzequayError) as caught:
            await first.commit([record(f"j{number}")])
        assert caught.value.code is codes.ResultCode.FENCED


async def test_one_write_a_bucket_for_many_records(autojump_clock: testing.MockClock) -> None:
    store = memory.MemoryStore()
    only = open_journal(store)
    await only.take_over()
    before = store.writes
    await only.commit([record(f"j{number}") for number in range(500)])
    assert store.writes - before == journal.BUCKETS


async def test_a_lost_answer_is_found_to_have_taken_effect(
    autojump_clock: testing.MockClock,
) -> None:
    store, gate = memory.MemoryStore(), memory.Gate()
    only = open_journal(store, gate)
    await only.take_over()
    gate.cut_at, gate.cut = len(gate.effects), memory.Cut.LOST
    await only.commit([record("a")])
    await only.commit([record("a"), record("b")])
    assert {found.job for found in only.records()} == {"a", "b"}


async def test_nothing_counts_as_durable_before_the_store_confirms(
    autojump_clock: testing.MockClock, nursery: object
) -> None:
    store, gate = memory.MemoryStore(), memory.Gate()
    only = open_journal(store, gate)
    await only.take_over()
    await only.commit([record("a")])
    changed = record("a")
    changed.attempt = 7
    found = only.get(ids.JobId("a"))
    assert found is not None
    assert found.attempt == 0
