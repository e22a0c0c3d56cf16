"""Records of ended jobs, moved out of the buckets into segments that are never changed."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from bronzequay import codes, errors, ids
from bronzequay.policy import model
from bronzequay.sched import ports

if TYPE_CHECKING:
    from collections.abc import Callable

SEGMENT_BYTES = 900_000
PAGE_SEGMENTS = 32
HASH_BYTES = 8
SEQ_BYTES = 4
ROW_BYTES = HASH_BYTES + SEQ_BYTES
ABSENT = ids.Revision(0)


class Segment(msgspec.Struct, array_like=True):
    """Value of an archive key.

    :param epoch: epoch of the scheduler that wrote it
    :param jobs: encoded records
    """

    epoch: ids.Epoch
    jobs: dict[ids.JobId, msgspec.Raw]


class Page(msgspec.Struct, array_like=True):
    """Part of a bucket's index of archived jobs.

    :param epoch: epoch of the scheduler that wrote it
    :param rows: for each job a hash of its id and the number of its segment
    """

    epoch: ids.Epoch
    rows: bytes


_encoder = msgspec.msgpack.Encoder()
_segments = msgspec.msgpack.Decoder(Segment)
_pages = msgspec.msgpack.Decoder(Page)
_records = msgspec.msgpack.Decoder(model.JobRecord)


def segment_key(partition: ids.RegionId, bucket: int, seq: int) -> str:
    """Return the store key of a segment."""
    return f"part/{partition}/archive/{bucket:02}/{seq:06}"


def page_key(partition: ids.RegionId, bucket: int, page: int) -> str:
    """Return the store key of a page of a bucket's index."""
    return f"part/{partition}/archive-index/{bucket:02}/{page:04}"


class Archive:
    """Ended jobs of a partition.

    :param store: the platform's service
    :param partition: the partition
    """

    def __init__(self, *, store: ports.Store, partition: ids.RegionId) -> None:
        self._store = store
        self._partition = partition
        self._rows: dict[tuple[int, int], bytes] = {}

    async def find(self, job: ids.JobId, bucket: int, segments: int) -> model.JobRecord | None:
        """Return the record of an archived job.

        :param job: the job
        :param bucket: number of the job's bucket
        :param segments: number of the bucket's segments
        :return: the record, None when the job is not archived
        """
        for page in range((segments + PAGE_SEGMENTS - 1) // PAGE_SEGMENTS):
            rows = await self._read_rows(bucket, page)
            for seq in _matches(rows, _hash(job)):
                raw = (await self._read_segment(bucket, seq)).jobs.get(job)
                if raw is not None:
                    return _records.decode(raw)
        return None

    async def scan(
        self,
        bucket: int,
        segments: int,
        *,
        is_wanted: Callable[[model.JobRecord], bool],
        limit: int | None,
    ) -> list[model.JobRecord]:
        """Return archived records, from the newest segment backwards.

        :param bucket: number of the bucket
        :param segments: number of its segments
        :param is_wanted: which records are returned
        :param limit: stop after the segment that brings this many
        :return: the records
        """
        found: list[model.JobRecord] = []
        for seq in reversed(range(segments)):
            if limit is not None and len(found) >= limit:
                break
            segment = await self._read_segment(bucket, seq)
            records = (_records.decode(raw) for raw in segment.jobs.values())
            found.extend(record for record in records if is_wanted(record))
        return found

    async def add(
        self, bucket: int, seq: int, jobs: dict[ids.JobId, msgspec.Raw], epoch: ids.Epoch
    ) -> None:
        """Write a segment and its rows of the index.

        :param bucket: number of the bucket that still holds the jobs
        :param seq: number of the bucket's next segment
        :param jobs: encoded records
        :param epoch: epoch of the writing scheduler
        :raises errors.BronzequayError: FENCED when a later scheduler has written there
        """
        key = segment_key(self._partition, bucket, seq)
        await self._overwrite(key, _encoder.encode(Segment(epoch, jobs)), epoch)
        page = seq // PAGE_SEGMENTS
        rows = await self._read_rows(bucket, page)
        rows += b"".join(_hash(job) + seq.to_bytes(SEQ_BYTES, "big") for job in jobs)
        value = _encoder.encode(Page(epoch, rows))
        await self._overwrite(page_key(self._partition, bucket, page), value, epoch)
        self._rows[bucket, page] = rows

    async def _overwrite(self, key: str, value: bytes, epoch: ids.Epoch) -> None:
        """Replace a value that no bucket refers to yet, unless a later scheduler wrote it."""
        entry = await self._store.get(key, purpose=ports.Purpose.JOURNAL)
        rev = ABSENT
        if entry is not None:
            written = msgspec.msgpack.decode(entry.value, type=tuple[ids.Epoch, msgspec.Raw])[0]
            rev = entry.rev
            if written > epoch:
                message = f"another scheduler wrote {key}"
                raise errors.BronzequayError(codes.ResultCode.FENCED, message)
        await self._store.put(key, value, rev=rev, purpose=ports.Purpose.JOURNAL)

    async def _read_rows(self, bucket: int, page: int) -> bytes:
        if (bucket, page) not in self._rows:
            key = page_key(self._partition, bucket, page)
            entry = await self._store.get(key, purpose=ports.Purpose.READ)
            self._rows[bucket, page] = b"" if entry is None else _pages.decode(entry.value).rows
        return self._rows[bucket, page]

    async def _read_segment(self, bucket: int, seq: int) -> Segment:
        key = segment_key(self._partition, bucket, seq)
        entry = await self._store.get(key, purpose=ports.Purpose.READ)
        if entry is None:
            return Segment(ids.Epoch(0), {})
        return _segments.decode(entry.value)


def _hash(job: ids.JobId) -> bytes:
    return hashlib.sha256(job.encode()).digest()[-HASH_BYTES:]


def _matches(rows: bytes, wanted: bytes) -> list[int]:
    """Return the segments of the rows with a hash, the newest first."""
    found: list[int] = []
    at = rows.find(wanted)
    while at >= 0:
        if at % ROW_BYTES == 0:
            found.append(int.from_bytes(rows[at + HASH_BYTES : at + ROW_BYTES], "big"))
        at = rows.find(wanted, at + 1)
    return found[::-1]


__all__ = ["ROW_BYTES", "SEGMENT_BYTES", "Archive", "Page", "Segment", "page_key", "segment_key"]
