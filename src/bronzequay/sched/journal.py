"""Durable job records, kept in buckets of the store and fenced by the takeover's epoch."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.policy import model
from bronzequay.sched import archive, ports

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

BUCKETS = 16
RETRY_INTERVAL_S = 0.25
ARCHIVE_THRESHOLD_BYTES = 64_000
MAX_BUCKET_BYTES = 700_000
KEY_OVERHEAD_BYTES = 64
ABSENT_REVISION = ids.Revision(0)
OWNER_BYTES = 8


class Bucket(msgspec.Struct, array_like=True):
    """Value of a bucket key.

    :param epoch: epoch of the takeover that wrote the bucket
    :param owner: random id of that takeover
    :param write: number of the write within the takeover; makes each value unique, so that a
        scheduler recognises its own write after a lost answer
    :param jobs: encoded records by job
    :param segments: number of the bucket's archive segments
    """

    epoch: ids.Epoch
    owner: str
    write: int
    jobs: dict[ids.JobId, msgspec.Raw]
    segments: int = 0


class StoredBucket:
    """The last durable value of a bucket, with its revision and size in bytes."""

    def __init__(self, number: int, key: str, value: Bucket, rev: ids.Revision) -> None:
        self.number = number
        self.key = key
        self.value = value
        self.rev = rev
        self.size = 0


_encoder = msgspec.msgpack.Encoder()
_bucket_decoder = msgspec.msgpack.Decoder(Bucket)
_record_decoder = msgspec.msgpack.Decoder(model.JobRecord)


def bucket_of(job: ids.JobId) -> int:
    """Return the number of the bucket that holds a job."""
    return hashlib.sha256(job.encode()).digest()[0] % BUCKETS


def bucket_key(partition: ids.RegionId, number: int) -> str:
    """Return the store key of a bucket."""
    return f"part/{partition}/bucket/{number:02}"


def decode_record(raw: msgspec.Raw) -> model.JobRecord:
    """Decode one record of a bucket."""
    return _record_decoder.decode(raw)


async def read_bucket(
    store: ports.Store, partition: ids.RegionId, number: int
) -> tuple[Bucket, ids.Revision]:
    """Read one bucket.

    :param store: client of the platform's store
    :param partition: id of the partition
    :param number: number of the bucket
    :return: the bucket, empty if absent, and its revision
    """
    entry = await store.get(bucket_key(partition, number), purpose=ports.Purpose.READ)
    if entry is None:
        return Bucket(ids.Epoch(0), "", 0, {}), ABSENT_REVISION
    return _bucket_decoder.decode(entry.value), entry.rev


async def read_buckets(
    store: ports.Store, partition: ids.RegionId
) -> list[tuple[Bucket, ids.Revision]]:
    """Read all buckets concurrently.

    :param store: client of the platform's store
    :param partition: id of the partition
    :return: the buckets in order of their numbers, each with its revision
    """
    buckets: dict[int, tuple[Bucket, ids.Revision]] = {}

    async def read(number: int) -> None:
        buckets[number] = await read_bucket(store, partition, number)

    collector = _ErrorCollector()
    async with trio.open_nursery() as nursery:
        for number in range(BUCKETS):
            nursery.start_soon(collector.run, read, number)
    collector.raise_if_failed()
    return [buckets[number] for number in range(BUCKETS)]


class Reader:
    """Reads durable records from the store, for instances that are not the active scheduler.

    :param store: client of the platform's store
    :param partition: id of the partition
    """

    def __init__(self, *, store: ports.Store, partition: ids.RegionId) -> None:
        self._store = store
        self._partition = partition
        self._archive = archive.Archive(store=store, partition=partition)

    async def find(self, job: ids.JobId) -> model.JobRecord | None:
        """Return a job's record, archived or not, None if there is none."""
        number = bucket_of(job)
        bucket, _ = await read_bucket(self._store, self._partition, number)
        if job in bucket.jobs:
            return decode_record(bucket.jobs[job])
        return await self._archive.find(job, number, bucket.segments)

    async def scan(
        self, *, is_wanted: Callable[[model.JobRecord], bool], limit: int | None
    ) -> list[model.JobRecord]:
        """Return records, archived or not.

        :param is_wanted: selects the records to return
        :param limit: number of the newest records that suffice, None for all
        :return: the records, in no order
        """
        records: list[model.JobRecord] = []
        for number, (bucket, _) in enumerate(await read_buckets(self._store, self._partition)):
            live = map(decode_record, bucket.jobs.values())
            records += filter(is_wanted, live)
            records += await self._archive.scan(
                number, bucket.segments, is_wanted=is_wanted, limit=limit
            )
        return records


class Journal:
    """Writes the buckets of a partition during one term.

    :param store: client of the platform's store
    :param partition: id of the partition
    """

    def __init__(self, *, store: ports.Store, partition: ids.RegionId) -> None:
        self._store = store
        self._partition = partition
        self._owner = secrets.token_hex(OWNER_BYTES)
        self._archive = archive.Archive(store=store, partition=partition)
        self._stored_buckets: list[StoredBucket] = []
        self._writes = 0
        self.epoch = ids.Epoch(0)
        self.is_blocked = False

    async def take_over(self) -> tuple[model.JobRecord, ...]:
        """Raise the epoch in every bucket, so that no earlier scheduler can write.

        :return: every record that is not archived
        :raises errors.BronzequayError: FENCED if another takeover happens meanwhile
        """
        buckets = await read_buckets(self._store, self._partition)
        self.epoch = ids.Epoch(max(bucket.epoch for bucket, _ in buckets) + 1)
        self._stored_buckets = [
            StoredBucket(number, bucket_key(self._partition, number), bucket, rev)
            for number, (bucket, rev) in enumerate(buckets)
        ]
        async with trio.open_nursery() as nursery:
            collector = _ErrorCollector()
            for stored_bucket in self._stored_buckets:
                nursery.start_soon(
                    collector.run,
                    self._write,
                    stored_bucket,
                    stored_bucket.value.jobs,
                    stored_bucket.value.segments,
                )
        collector.raise_if_failed()
        return tuple(self.records())

    def records(self) -> Iterable[model.JobRecord]:
        """Decode every durable record that is not archived."""
        for stored_bucket in self._stored_buckets:
            for raw in stored_bucket.value.jobs.values():
                yield decode_record(raw)

    def get(self, job: ids.JobId) -> model.JobRecord | None:
        """Return the durable record of a job, None if it is archived or unknown."""
        if not self._stored_buckets:
            return None
        raw = self._stored_buckets[bucket_of(job)].value.jobs.get(job)
        return None if raw is None else decode_record(raw)

    async def commit(self, records: Iterable[model.JobRecord]) -> None:
        """Make records durable with one write per bucket; retries until the outcome is known.

        :param records: changed records
        :raises errors.BronzequayError: FENCED if another scheduler has taken over
        """
        changed: dict[int, dict[ids.JobId, msgspec.Raw]] = {}
        for record in records:
            raw = msgspec.Raw(_encoder.encode(record))
            changed.setdefault(bucket_of(record.job), {})[record.job] = raw
        collector = _ErrorCollector()
        async with trio.open_nursery() as nursery:
            for number, jobs in changed.items():
                stored_bucket = self._stored_buckets[number]
                merged = stored_bucket.value.jobs | jobs
                nursery.start_soon(
                    collector.run, self._write, stored_bucket, merged, stored_bucket.value.segments
                )
        collector.raise_if_failed()

    def has_room(self, job: ids.JobId, size: int) -> bool:
        """Return whether the job's bucket has room for new records.

        :param job: id of a job in the bucket
        :param size: size in bytes of the new records that are not written yet
        """
        return self._stored_buckets[bucket_of(job)].size + size <= MAX_BUCKET_BYTES

    async def find(self, job: ids.JobId) -> model.JobRecord | None:
        """Return a job's durable record, archived or not, None if there is none."""
        record = self.get(job)
        if record is not None or not self._stored_buckets:
            return record
        number = bucket_of(job)
        return await self._archive.find(job, number, self._stored_buckets[number].value.segments)

    async def scan(
        self, *, is_wanted: Callable[[model.JobRecord], bool], limit: int | None
    ) -> list[model.JobRecord]:
        """Return durable records, archived or not.

        :param is_wanted: selects the records to return
        :param limit: number of the newest records that suffice, None for all
        :return: the records, in no order
        """
        records = [record for record in self.records() if is_wanted(record)]
        for stored_bucket in self._stored_buckets:
            records += await self._archive.scan(
                stored_bucket.number, stored_bucket.value.segments, is_wanted=is_wanted, limit=limit
            )
        return records

    async def compact(self) -> tuple[ids.JobId, ...]:
        """Archive ended jobs of buckets in which they take ``ARCHIVE_THRESHOLD_BYTES`` or more.

        :return: ids of the archived jobs
        :raises errors.BronzequayError: FENCED if another scheduler has taken over
        """
        archived: list[ids.JobId] = []
        for stored_bucket in self._stored_buckets:
            if self._ended_job_bytes(stored_bucket) >= ARCHIVE_THRESHOLD_BYTES:
                archived += await self._archive_ended(stored_bucket)
        return tuple(archived)

    def _ended_job_bytes(self, stored_bucket: StoredBucket) -> int:
        if stored_bucket.size < ARCHIVE_THRESHOLD_BYTES:
            return 0
        return sum(len(raw) for raw in _ended_jobs(stored_bucket.value.jobs).values())

    async def _archive_ended(self, stored_bucket: StoredBucket) -> list[ids.JobId]:
        jobs: dict[ids.JobId, msgspec.Raw] = {}
        size = 0
        for job, raw in _ended_jobs(stored_bucket.value.jobs).items():
            size += len(raw) + KEY_OVERHEAD_BYTES
            if size > archive.MAX_SEGMENT_BYTES:
                break
            jobs[job] = raw
        try:
            await self._archive.append_segment(
                stored_bucket.number, stored_bucket.value.segments, jobs, self.epoch
            )
        except errors.BronzequayError as exc:
            if exc.code is codes.ResultCode.STORE_CONFLICT or ports.is_unanswered(exc):
                return []
            raise
        remaining = {job: raw for job, raw in stored_bucket.value.jobs.items() if job not in jobs}
        await self._write(stored_bucket, remaining, stored_bucket.value.segments + 1)
        return list(jobs)

    async def _write(
        self, stored_bucket: StoredBucket, jobs: dict[ids.JobId, msgspec.Raw], segments: int
    ) -> None:
        self._writes += 1
        bucket = Bucket(self.epoch, self._owner, self._writes, jobs, segments)
        value = _encoder.encode(bucket)
        while True:
            rev = await self._write_once(stored_bucket, value)
            if rev is not None:
                break
            self.is_blocked = True
            await trio.sleep(RETRY_INTERVAL_S)
        self.is_blocked = False
        stored_bucket.value, stored_bucket.rev, stored_bucket.size = bucket, rev, len(value)

    async def _write_once(self, stored_bucket: StoredBucket, value: bytes) -> ids.Revision | None:
        try:
            return await self._store.put(
                stored_bucket.key, value, rev=stored_bucket.rev, purpose=ports.Purpose.JOURNAL
            )
        except errors.BronzequayError as exc:
            if ports.is_unanswered(exc):
                return None
            if exc.code is not codes.ResultCode.STORE_CONFLICT:
                raise
        return await self._find_own_write(stored_bucket, value)

    async def _find_own_write(
        self, stored_bucket: StoredBucket, value: bytes
    ) -> ids.Revision | None:
        """Return the revision of a write whose answer was lost, None if the store is down."""
        try:
            entry = await self._store.get(stored_bucket.key, purpose=ports.Purpose.JOURNAL)
        except errors.BronzequayError as exc:
            if ports.is_unanswered(exc):
                return None
            raise
        if entry is not None and entry.value == value:
            return entry.rev
        message = f"another scheduler wrote {stored_bucket.key}"
        raise errors.BronzequayError(codes.ResultCode.FENCED, message)


def _ended_jobs(jobs: dict[ids.JobId, msgspec.Raw]) -> dict[ids.JobId, msgspec.Raw]:
    return {
        job: raw for job, raw in jobs.items() if _state_decoder.decode(raw).state in _FINAL_STATES
    }


class _StateOnly(msgspec.Struct):
    state: model.JobState


_state_decoder = msgspec.msgpack.Decoder(_StateOnly)
_FINAL_STATES = model.FINAL_STATES


class _ErrorCollector:
    """Collects an error of several concurrent calls, so that one does not cancel the others."""

    def __init__(self) -> None:
        self._error: errors.BronzequayError | None = None

    async def run(self, call: Callable[..., Awaitable[None]], *args: object) -> None:
        try:
            await call(*args)
        except errors.BronzequayError as exc:
            self._error = exc

    def raise_if_failed(self) -> None:
        if self._error is not None:
            raise self._error


__all__ = [
    "BUCKETS",
    "Bucket",
    "Journal",
    "Reader",
    "bucket_key",
    "bucket_of",
    "decode_record",
    "read_bucket",
]
