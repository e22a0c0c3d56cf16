"""Durable job records: buckets in the store, fenced by the epoch of the last takeover."""

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
RETRY_S = 0.25
ARCHIVE_BYTES = 64_000
MAX_BUCKET_BYTES = 700_000
KEY_BYTES = 64
ABSENT = ids.Revision(0)
OWNER_BYTES = 8


class Bucket(msgspec.Struct, array_like=True):
    """Value of a bucket key.

    :param epoch: number of the takeover that wrote it
    :param owner: random name of that takeover
    :param write: number of the write within the takeover, to know one's own write again
    :param jobs: encoded records
    :param segments: number of archive segments that belong to the bucket
    """

    epoch: ids.Epoch
    owner: str
    write: int
    jobs: dict[ids.JobId, msgspec.Raw]
    segments: int = 0


class Slot:
    """A bucket as last made durable."""

    def __init__(self, number: int, key: str, bucket: Bucket, rev: ids.Revision) -> None:
        self.number = number
        self.key = key
        self.bucket = bucket
        self.rev = rev
        self.size = 0


_encoder = msgspec.msgpack.Encoder()
_buckets = msgspec.msgpack.Decoder(Bucket)
_records = msgspec.msgpack.Decoder(model.JobRecord)


def bucket_of(job: ids.JobId) -> int:
    """Return the number of the bucket that holds a job."""
    return hashlib.sha256(job.encode()).digest()[0] % BUCKETS


def bucket_key(partition: ids.RegionId, number: int) -> str:
    """Return the store key of a bucket."""
    return f"part/{partition}/bucket/{number:02}"


def decode_record(raw: msgspec.Raw) -> model.JobRecord:
    """Decode one record of a bucket."""
    return _records.decode(raw)


async def read_bucket(
    store: ports.Store, partition: ids.RegionId, number: int
) -> tuple[Bucket, ids.Revision]:
    """Read one bucket.

    :param store: the platform's service
    :param partition: the partition
    :param number: number of the bucket
    :return: the bucket, empty when absent, and its revision
    """
    entry = await store.get(bucket_key(partition, number), purpose=ports.Purpose.READ)
    if entry is None:
        return Bucket(ids.Epoch(0), "", 0, {}), ABSENT
    return _buckets.decode(entry.value), entry.rev


async def read_buckets(
    store: ports.Store, partition: ids.RegionId
) -> list[tuple[Bucket, ids.Revision]]:
    """Read every bucket, all at once.

    :param store: the platform's service
    :param partition: the partition
    :return: the buckets in order, each with its revision
    """
    found: dict[int, tuple[Bucket, ids.Revision]] = {}

    async def read(number: int) -> None:
        found[number] = await read_bucket(store, partition, number)

    results = _Results()
    async with trio.open_nursery() as nursery:
        for number in range(BUCKETS):
            nursery.start_soon(results.collect, read, number)
    results.check()
    return [found[number] for number in range(BUCKETS)]


class Reader:
    """Reads durable records from the store, for instances without a scheduler's term.

    :param store: the platform's service
    :param partition: the partition
    """

    def __init__(self, *, store: ports.Store, partition: ids.RegionId) -> None:
        self._store = store
        self._partition = partition
        self._archive = archive.Archive(store=store, partition=partition)

    async def find(self, job: ids.JobId) -> model.JobRecord | None:
        """Return a job's record, archived or not, None when there is none."""
        number = bucket_of(job)
        bucket, _ = await read_bucket(self._store, self._partition, number)
        if job in bucket.jobs:
            return decode_record(bucket.jobs[job])
        return await self._archive.find(job, number, bucket.segments)

    async def scan(
        self, *, is_wanted: Callable[[model.JobRecord], bool], limit: int | None
    ) -> list[model.JobRecord]:
        """Return records, archived or not.

        :param is_wanted: which records are returned
        :param limit: how many of the newest suffice
        :return: the records
        """
        found: list[model.JobRecord] = []
        for number, (bucket, _) in enumerate(await read_buckets(self._store, self._partition)):
            live = map(decode_record, bucket.jobs.values())
            found += filter(is_wanted, live)
            found += await self._archive.scan(
                number, bucket.segments, is_wanted=is_wanted, limit=limit
            )
        return found


class Journal:
    """The buckets of a partition during one takeover.

    :param store: the platform's service
    :param partition: the partition
    """

    def __init__(self, *, store: ports.Store, partition: ids.RegionId) -> None:
        self._store = store
        self._partition = partition
        self._owner = secrets.token_hex(OWNER_BYTES)
        self._archive = archive.Archive(store=store, partition=partition)
        self._slots: list[Slot] = []
        self._writes = 0
        self.epoch = ids.Epoch(0)
        self.is_blocked = False

    async def take_over(self) -> tuple[model.JobRecord, ...]:
        """Raise the epoch in every bucket, so that no earlier scheduler can write.

        :return: every record that is not archived
        :raises errors.BronzequayError: FENCED when another takeover came between
        """
        found = await read_buckets(self._store, self._partition)
        self.epoch = ids.Epoch(max(bucket.epoch for bucket, _ in found) + 1)
        self._slots = [
            Slot(number, bucket_key(self._partition, number), bucket, rev)
            for number, (bucket, rev) in enumerate(found)
        ]
        async with trio.open_nursery() as nursery:
            results = _Results()
            for slot in self._slots:
                nursery.start_soon(
                    results.collect, self._write, slot, slot.bucket.jobs, slot.bucket.segments
                )
        results.check()
        return tuple(self.records())

    def records(self) -> Iterable[model.JobRecord]:
        """Decode every durable record."""
        for slot in self._slots:
            for raw in slot.bucket.jobs.values():
                yield decode_record(raw)

    def get(self, job: ids.JobId) -> model.JobRecord | None:
        """Return the durable record of a job, None when there is none."""
        if not self._slots:
            return None
        raw = self._slots[bucket_of(job)].bucket.jobs.get(job)
        return None if raw is None else decode_record(raw)

    async def commit(self, records: Iterable[model.JobRecord]) -> None:
        """Make records durable, one write a bucket; retries until the outcome is known.

        :param records: changed records
        :raises errors.BronzequayError: FENCED when another scheduler has taken over
        """
        changed: dict[int, dict[ids.JobId, msgspec.Raw]] = {}
        for record in records:
            raw = msgspec.Raw(_encoder.encode(record))
            changed.setdefault(bucket_of(record.job), {})[record.job] = raw
        results = _Results()
        async with trio.open_nursery() as nursery:
            for number, jobs in changed.items():
                slot = self._slots[number]
                merged = slot.bucket.jobs | jobs
                nursery.start_soon(results.collect, self._write, slot, merged, slot.bucket.segments)
        results.check()

    def has_room(self, job: ids.JobId, size: int) -> bool:
        """Return whether the job's bucket has room for new records.

        :param job: a job of the bucket
        :param size: bytes of the new records that are not written yet
        """
        return self._slots[bucket_of(job)].size + size <= MAX_BUCKET_BYTES

    async def find(self, job: ids.JobId) -> model.JobRecord | None:
        """Return a job's durable record, archived or not, None when there is none."""
        found = self.get(job)
        if found is not None or not self._slots:
            return found
        number = bucket_of(job)
        return await self._archive.find(job, number, self._slots[number].bucket.segments)

    async def scan(
        self, *, is_wanted: Callable[[model.JobRecord], bool], limit: int | None
    ) -> list[model.JobRecord]:
        """Return durable records, archived or not.

        :param is_wanted: which records are returned
        :param limit: how many of the newest suffice
        :return: the records
        """
        found = [record for record in self.records() if is_wanted(record)]
        for slot in self._slots:
            found += await self._archive.scan(
                slot.number, slot.bucket.segments, is_wanted=is_wanted, limit=limit
            )
        return found

    async def compact(self) -> tuple[ids.JobId, ...]:
        """Move ended jobs of buckets with many of them to the archive.

        :return: the archived jobs
        :raises errors.BronzequayError: FENCED when another scheduler has taken over
        """
        moved: list[ids.JobId] = []
        for slot in self._slots:
            if self._ended_bytes(slot) >= ARCHIVE_BYTES:
                moved += await self._archive_ended(slot)
        return tuple(moved)

    def _ended_bytes(self, slot: Slot) -> int:
        if slot.size < ARCHIVE_BYTES:
            return 0
        return sum(len(raw) for raw in _ended(slot.bucket.jobs).values())

    async def _archive_ended(self, slot: Slot) -> list[ids.JobId]:
        jobs: dict[ids.JobId, msgspec.Raw] = {}
        size = 0
        for job, raw in _ended(slot.bucket.jobs).items():
            size += len(raw) + KEY_BYTES
            if size > archive.SEGMENT_BYTES:
                break
            jobs[job] = raw
        try:
            await self._archive.add(slot.number, slot.bucket.segments, jobs, self.epoch)
        except errors.BronzequayError as exc:
            if exc.code is codes.ResultCode.STORE_CONFLICT or ports.is_unanswered(exc):
                return []
            raise
        kept = {job: raw for job, raw in slot.bucket.jobs.items() if job not in jobs}
        await self._write(slot, kept, slot.bucket.segments + 1)
        return list(jobs)

    async def _write(self, slot: Slot, jobs: dict[ids.JobId, msgspec.Raw], segments: int) -> None:
        self._writes += 1
        bucket = Bucket(self.epoch, self._owner, self._writes, jobs, segments)
        value = _encoder.encode(bucket)
        while True:
            rev = await self._try_write(slot, value)
            if rev is not None:
                break
            self.is_blocked = True
            await trio.sleep(RETRY_S)
        self.is_blocked = False
        slot.bucket, slot.rev, slot.size = bucket, rev, len(value)

    async def _try_write(self, slot: Slot, value: bytes) -> ids.Revision | None:
        try:
            return await self._store.put(
                slot.key, value, rev=slot.rev, purpose=ports.Purpose.JOURNAL
            )
        except errors.BronzequayError as exc:
            if ports.is_unanswered(exc):
                return None
            if exc.code is not codes.ResultCode.STORE_CONFLICT:
                raise
        return await self._own_write(slot, value)

    async def _own_write(self, slot: Slot, value: bytes) -> ids.Revision | None:
        """Return the revision of a write whose answer was lost, None when the store is down."""
        try:
            entry = await self._store.get(slot.key, purpose=ports.Purpose.JOURNAL)
        except errors.BronzequayError as exc:
            if ports.is_unanswered(exc):
                return None
            raise
        if entry is not None and entry.value == value:
            return entry.rev
        message = f"another scheduler wrote {slot.key}"
        raise errors.BronzequayError(codes.ResultCode.FENCED, message)


def _ended(jobs: dict[ids.JobId, msgspec.Raw]) -> dict[ids.JobId, msgspec.Raw]:
    return {job: raw for job, raw in jobs.items() if _states.decode(raw).state in _FINAL}


class _StateOnly(msgspec.Struct):
    state: model.JobState


_states = msgspec.msgpack.Decoder(_StateOnly)
_FINAL = model.FINAL_STATES


class _Results:
    """First error of several concurrent writes."""

    def __init__(self) -> None:
        self._error: errors.BronzequayError | None = None

    async def collect(self, write: Callable[..., Awaitable[None]], *args: object) -> None:
        try:
            await write(*args)
        except errors.BronzequayError as exc:
            self._error = exc

    def check(self) -> None:
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
