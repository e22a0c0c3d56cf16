"""Archive of ended jobs: records are moved from the buckets to immutable segments."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from bronzequay import codes, errors, ids
from bronzequay.policy import model
from bronzequay.sched import ports

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_SEGMENT_BYTES = 900_000
SEGMENTS_PER_PAGE = 32
HASH_BYTES = 8
SEQ_BYTES = 4
ROW_BYTES = HASH_BYTES + SEQ_BYTES
ABSENT_REVISION = ids.Revision(0)


class Segment(msgspec.Struct, array_like=True):
    """Value of an archive key.

    :param epoch: epoch of the scheduler that wrote the segment
    :param jobs: encoded records by job
    """

    epoch: ids.Epoch
    jobs: dict[ids.JobId, msgspec.Raw]


class Page(msgspec.Struct, array_like=True):
    """One page of a bucket's index of archived jobs.

    :param epoch: epoch of the scheduler that wrote the page
    :param rows: for each job a hash of its id (8 bytes) and its segment's number (4 bytes)
    """

    epoch: ids.Epoch
    rows: bytes


_encoder = msgspec.msgpack.Encoder()
_segment_decoder = msgspec.msgpack.Decoder(Segment)
_page_decoder = msgspec.msgpack.Decoder(Page)
_record_decoder = msgspec.msgpack.Decoder(model.JobRecord)


def segment_key(partition: ids.RegionId, bucket: int, seq: int) -> str:
    """Return the store key of a segment."""
    return f"part/{partition}/archive/{bucket:02}/{seq:06}"


def page_key(partition: ids.RegionId, bucket: int, page: int) -> str:
    """Return the store key of a page of a bucket's index."""
    return f"part/{partition}/archive-index/{bucket:02}/{page:04}"


class Archive:
    """Reads and writes the archive of a partition.

    :param store: client of the platform's store
    :param partition: id of the partition
    """

    def __init__(self, *, store: ports.Store, partition: ids.RegionId) -> None:
        self._store = store
        self._partition = partition
        self._index_rows: dict[tuple[int, int], bytes] = {}

    async def find(self, job: ids.JobId, bucket: int, segments: int) -> model.JobRecord | None:
        """Return the record of an archived job.

        :param job: id of the job
        :param bucket: number of the job's bucket
        :param segments: how many segments the bucket has
        :return: the record, None if the job is not archived
        """
        for page in range((segments + SEGMENTS_PER_PAGE - 1) // SEGMENTS_PER_PAGE):
            rows = await self._read_rows(bucket, page)
            for seq in _matching_segments(rows, _job_hash(job)):
                raw = (await self._read_segment(bucket, seq)).jobs.get(job)
                if raw is not None:
                    return _record_decoder.decode(raw)
        return None

    async def scan(
        self,
        bucket: int,
        segments: int,
        *,
        is_wanted: Callable[[model.JobRecord], bool],
        limit: int | None,
    ) -> list[model.JobRecord]:
        """Return archived records, reading segments from the newest to the oldest.

        :param bucket: number of the bucket
        :param segments: how many segments the bucket has
        :param is_wanted: selects the records to return
        :param limit: stop after the segment that reaches this many records, None for no limit
        :return: the records
        """
        matching: list[model.JobRecord] = []
        for seq in reversed(range(segments)):
            if limit is not None and len(matching) >= limit:
                break
            segment = await self._read_segment(bucket, seq)
            records = (_record_decoder.decode(raw) for raw in segment.jobs.values())
            matching.extend(record for record in records if is_wanted(record))
        return matching

    async def append_segment(
        self, bucket: int, seq: int, jobs: dict[ids.JobId, msgspec.Raw], epoch: ids.Epoch
    ) -> None:
        """Write a segment and its rows in the index.

        :param bucket: number of the bucket that still holds the jobs
        :param seq: number of the bucket's next segment
        :param jobs: encoded records by job
        :param epoch: epoch of the writing scheduler
        :raises errors.BronzequayError: FENCED if a later scheduler wrote the segment or its page
        """
        key = segment_key(self._partition, bucket, seq)
        await self._overwrite(key, _encoder.encode(Segment(epoch, jobs)), epoch)
        page = seq // SEGMENTS_PER_PAGE
        rows = await self._read_rows(bucket, page)
        rows += b"".join(_job_hash(job) + seq.to_bytes(SEQ_BYTES, "big") for job in jobs)
        value = _encoder.encode(Page(epoch, rows))
        await self._overwrite(page_key(self._partition, bucket, page), value, epoch)
        self._index_rows[bucket, page] = rows

    async def _overwrite(self, key: str, value: bytes, epoch: ids.Epoch) -> None:
        """Write a value that no bucket refers to yet, unless a later scheduler wrote it."""
        entry = await self._store.get(key, purpose=ports.Purpose.JOURNAL)
        rev = ABSENT_REVISION
        if entry is not None:
            written_epoch = msgspec.msgpack.decode(entry.value, type=tuple[ids.Epoch, msgspec.Raw])[
                0
            ]
            rev = entry.rev
            if written_epoch > epoch:
                message = f"another scheduler wrote {key}"
                raise errors.BronzequayError(codes.ResultCode.FENCED, message)
        await self._store.put(key, value, rev=rev, purpose=ports.Purpose.JOURNAL)

    async def _read_rows(self, bucket: int, page: int) -> bytes:
        if (bucket, page) not in self._index_rows:
            key = page_key(self._partition, bucket, page)
            entry = await self._store.get(key, purpose=ports.Purpose.READ)
            self._index_rows[bucket, page] = (
                b"" if entry is None else _page_decoder.decode(entry.value).rows
            )
        return self._index_rows[bucket, page]

    async def _read_segment(self, bucket: int, seq: int) -> Segment:
        key = segment_key(self._partition, bucket, seq)
        entry = await self._store.get(key, purpose=ports.Purpose.READ)
        if entry is None:
            return Segment(ids.Epoch(0), {})
        return _segment_decoder.decode(entry.value)


def _job_hash(job: ids.JobId) -> bytes:
    return hashlib.sha256(job.encode()).digest()[-HASH_BYTES:]


def _matching_segments(rows: bytes, job_hash: bytes) -> list[int]:
    """Return the segments of the rows with this hash, the newest first."""
    segments: list[int] = []
    offset = rows.find(job_hash)
    while offset >= 0:
        if offset % ROW_BYTES == 0:
            segments.append(int.from_bytes(rows[offset + HASH_BYTES : offset + ROW_BYTES], "big"))
        offset = rows.find(job_hash, offset + 1)
    return segments[::-1]


__all__ = [
    "MAX_SEGMENT_BYTES",
    "ROW_BYTES",
    "Archive",
    "Page",
    "Segment",
    "page_key",
    "segment_key",
]
