from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio

from bronzequay import codes, errors, ids
from bronzequay.policy import model
from bronzequay.sched import journal
from tests.sched import harness, memory

if TYPE_CHECKING:
    from trio import testing


def record(number: int, state: model.JobState) -> model.JobRecord:
    return model.JobRecord(
        job=ids.JobId(f"j{number}"),
        spec=harness.spec(),
        state=state,
        code=codes.ResultCode.OK,
        accepted_s=float(number),
        history=[
            model.HistoryEntry(1.0, state, codes.ResultCode.OK, 1, ids.BundleVersion(1))
            for _ in range(8)
        ],
    )


@pytest.fixture(autouse=True)
def _two_buckets(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(journal, "BUCKETS", 2)


async def open_journal(store: memory.MemoryStore, gate: memory.Gate) -> journal.Journal:
    opened = journal.Journal(store=memory.StoreClient(store, gate), partition=harness.PARTITION)
    await opened.take_over()
    return opened


async def fill(opened: journal.Journal, first: int, count: int) -> None:
    ended = [record(first + number, model.JobState.FINISHED) for number in range(count)]
    await opened.commit([*ended, record(first + count, model.JobState.RUNNING)])


async def findable_jobs(opened: journal.Journal, count: int) -> list[int]:
    jobs = [ids.JobId(f"j{number}") for number in range(count)]
    return [number for number, job in enumerate(jobs) if await opened.find(job) is not None]


async def test_archived_jobs_can_still_be_found(autojump_clock: testing.MockClock) -> None:
    store = memory.MemoryStore()
    first = await open_journal(store, memory.Gate())
    for start in range(0, 1600, 400):
        await fill(first, start, 399)
        await first.compact()
    assert len(list(first.records())) < 200
    assert all(len(entry.value) < 1_000_000 for entry, _ in store.entries.values())
    second = await open_journal(store, memory.Gate())
    reader = journal.Reader(
        store=memory.StoreClient(store, memory.Gate()), partition=harness.PARTITION
    )
    assert await findable_jobs(second, 1600) == list(range(1600))
    assert await second.find(ids.JobId("j1600")) is None
    archived = await reader.find(ids.JobId("j3"))
    assert archived is not None
    assert len(archived.history) == 8
    all_records = await reader.scan(is_wanted=lambda _record: True, limit=None)
    assert sorted(record.accepted_s for record in all_records) == list(range(1600))


@pytest.mark.parametrize("fault_at", range(12))
async def test_a_crash_at_any_write_of_a_compaction_loses_no_job(
    autojump_clock: testing.MockClock, fault_at: int
) -> None:
    store, gate = memory.MemoryStore(), memory.Gate()
    first = await open_journal(store, gate)
    await fill(first, 0, 399)
    gate.fault_at, gate.fault = len(gate.effects) + fault_at, memory.Fault.CRASH_AFTER
    with trio.CancelScope() as scope:
        gate.kill = scope.cancel
        await first.compact()
    second = await open_journal(store, memory.Gate())
    await fill(second, 400, 99)
    await second.compact()
    assert await findable_jobs(second, 500) == list(range(500))
    all_records = await second.scan(is_wanted=lambda _record: True, limit=None)
    assert sorted(entry.accepted_s for entry in all_records) == list(range(500))


async def test_an_earlier_scheduler_cannot_overwrite_a_segment(
    autojump_clock: testing.MockClock,
) -> None:
    store = memory.MemoryStore()
    first = await open_journal(store, memory.Gate())
    await fill(first, 0, 399)
    second = await open_journal(store, memory.Gate())
    await fill(second, 400, 99)
    await second.compact()
    with pytest.raises(errors.BronzequayError) as caught:
        await first.compact()
    assert caught.value.code is codes.ResultCode.FENCED
    assert await findable_jobs(second, 500) == list(range(500))


async def test_a_full_bucket_has_no_room_for_a_new_job(autojump_clock: testing.MockClock) -> None:
    opened = await open_journal(memory.MemoryStore(), memory.Gate())
    await opened.commit([record(number, model.JobState.RUNNING) for number in range(1700)])
    jobs = [ids.JobId(f"n{number}") for number in range(8)]
    assert not all(opened.has_room(job, 1_500) for job in jobs)
    assert all(len(entry.value) < 1_000_000 for entry, _ in opened._store._store.entries.values())  # type: ignore[attr-defined]


async def test_the_key_of_an_archived_job_still_deduplicates(
    autojump_clock: testing.MockClock, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(journal, "ARCHIVE_THRESHOLD_BYTES", 100)
    fleet = harness.Fleet()
    instance = harness.Instance(fleet, "i1")
    nursery.start_soon(instance.run)
    await harness.wait_until(lambda: instance.scheduler.is_active)
    first = await instance.scheduler.submit(harness.spec(declared_s=1.0), key="k")
    await trio.sleep(5.0)
    assert any("/archive/" in key for key in fleet.store.entries)
    repeated = await instance.scheduler.submit(harness.spec(declared_s=1.0), key="k")
    assert repeated.job == first.job
    assert repeated.state is model.JobState.FINISHED
    with pytest.raises(errors.BronzequayError) as caught:
        await instance.scheduler.submit(harness.spec(members=2), key="k")
    assert caught.value.code is codes.ResultCode.KEY_REUSED
    assert [entry.job for entry in await instance.scheduler.list()] == [first.job]
    assert len(harness.events(await fleet.log(), "release")) == 1


async def test_a_cancellation_whose_records_cannot_be_read_back_is_not_reported_as_not_run(
    autojump_clock: testing.MockClock, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(journal, "ARCHIVE_THRESHOLD_BYTES", 100)
    fleet = harness.Fleet()
    instance = harness.Instance(fleet, "i1")
    nursery.start_soon(instance.run)
    await harness.wait_until(lambda: instance.scheduler.is_active)
    archived = await instance.scheduler.submit(harness.spec(declared_s=1.0), key=None)
    await trio.sleep(5.0)
    assert any("/archive/" in key for key in fleet.store.entries)
    live = await instance.scheduler.submit(harness.spec(declared_s=1e6), key=None)
    await harness.wait_for_state(instance.scheduler, live.job, [model.JobState.RUNNING])
    get, writes = instance.store.get, fleet.store.writes

    async def get_until_cancelled(key: str, *, purpose: Any) -> memory.Entry | None:
        if fleet.store.writes > writes:
            raise memory.store_error(codes.ResultCode.STORE_TIMEOUT)
        return await get(key, purpose=purpose)

    monkeypatch.setattr(instance.store, "get", get_until_cancelled)
    with pytest.raises(errors.BronzequayError) as caught:
        await instance.scheduler.cancel([live.job, archived.job])
    assert caught.value.code is codes.ResultCode.OUTCOME_UNKNOWN
    await harness.wait_for_state(instance.scheduler, live.job, [model.JobState.CANCELLED])
