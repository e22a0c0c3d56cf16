"""Durable decisions: every write of a term is fenced by one key's revision."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import codes, errors, ids
from bronzequay.control import keys, status
from bronzequay.core import explain, records
from bronzequay.platform import kv, machines

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay.core import upkeep
    from bronzequay.core.state import Job, State
    from bronzequay.platform.kv import Store

FENCE_ENTRIES = 2
"""Entries of a transaction that its fence takes: the condition and the next head."""
MAX_ENTRIES = kv.MAX_ENTRIES - FENCE_ENTRIES
RETRY_S = 0.1

_log = structlog.get_logger()


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The last write of all terms.

    :param number: counts the writes of the term
    """

    epoch: ids.Epoch
    number: int


class Change(msgspec.Struct, frozen=True):
    """Writes that belong together."""

    puts: list[kv.Put] = []
    deletes: list[str] = []

    @property
    def size(self) -> int:
        """Return how many entries of a transaction it takes."""
        return len(self.puts) + len(self.deletes)


class Journal:
    """Writes of one term, one after the other.

    A write whose answer is lost is repeated; the revision of the head lets it take effect at
    most once, and its number tells whether it did.

    :param epoch: of the term
    """

    def __init__(self, store: Store, epoch: ids.Epoch) -> None:
        self._store = store
        self._head = Head(epoch, 0)
        self._rev = kv.ABSENT
        self._told: dict[ids.JobId, str] = {}
        self._begun: set[ids.JobId] = set()

    async def take_over(self) -> None:
        """Fence the writes of earlier terms.

        :raises errors.BronzequayError: FENCED when a later term has begun
        """
        while True:
            found = await self._store.get(keys.HEAD)
            if found is not None and found.value is not None:
                head = msgspec.msgpack.decode(found.value, type=Head)
                if head.epoch >= self._head.epoch:
                    raise _fenced(head.epoch)
            self._rev = kv.ABSENT if found is None else found.rev
            try:
                await self._write(Change())
            except errors.BronzequayError as exc:
                if exc.code is not codes.ResultCode.FENCED:
                    raise
            else:
                return

    def know(self, job: Job) -> None:
        """Note what the store holds of a job that was read from it."""
        self._told[job.spec.job] = job.state.value
        if job.has_begun:
            self._begun.add(job.spec.job)

    async def commit(self, state: State, stray_cancels: Iterable[ids.JobId]) -> None:
        """Make all changes of the core durable.

        :param stray_cancels: jobs to cancel that are not there any more
        :raises errors.BronzequayError: FENCED when a later term has begun
        """
        changes = [
            self._of_job(state.jobs[name], state.wall_s) for name in sorted(state.dirty_jobs)
        ]
        changes += [self._of_retired(job, state.wall_s) for job in state.retired_jobs]
        changes += [Change(deletes=[keys.cancel(name)]) for name in stray_cancels]
        changes += [_of_wave(state.waves[number]) for number in sorted(state.dirty_waves)]
        state.dirty_waves.clear()
        state.dirty_jobs.clear()
        state.retired_jobs.clear()
        batch = Change([], [])
        for change in changes:
            if batch.size + change.size > MAX_ENTRIES:
                await self._write(batch)
                batch = Change([], [])
            batch.puts.extend(change.puts)
            batch.deletes.extend(change.deletes)
        if batch.size:
            await self._write(batch)

    def _of_job(self, job: Job, wall_s: float) -> Change:
        name = job.spec.job
        change = Change([kv.Put(keys.progress(name), records.encode(job))], [])
        self._tell(job, change, wall_s)
        if job.has_begun and name not in self._begun:
            self._begun.add(name)
            if not job.spec.times:
                change.deletes.append(keys.waiting(job.spec.queue, name))
        return change

    def _of_retired(self, job: Job, wall_s: float) -> Change:
        name = job.spec.job
        change = Change([], [keys.job(name), keys.cancel(name), keys.progress(name)])
        if name not in self._begun:
            change.deletes.append(keys.waiting(job.spec.queue, name))
        self._tell(job, change, wall_s)
        self._begun.discard(name)
        self._told.pop(name, None)
        return change

    def _tell(self, job: Job, change: Change, wall_s: float) -> None:
        name = job.spec.job
        if self._told.get(name) == job.state.value:
            return
        self._told[name] = job.state.value
        told = msgspec.structs.replace(
            status.of_spec(job.spec, job.state),
            begun_s=job.begun_s,
            ended_s=wall_s if job.is_final else 0.0,
            failures=explain.count_failures(job),
            reason=job.reason,
        )
        change.puts.append(kv.Put(keys.state(name), status.encode(told)))

    async def _write(self, change: Change) -> None:
        """Write one transaction, as often as it takes to know that it is done."""
        head = Head(self._head.epoch, self._head.number + 1)
        value = msgspec.msgpack.encode(head)
        puts = [kv.Put(keys.HEAD, value), *change.puts]
        while True:
            try:
                self._rev = await self._store.txn(
                    expect=[(keys.HEAD, self._rev)], puts=puts, deletes=change.deletes
                )
            except kv.Conflict as exc:
                self._rev = _own_rev(exc, value)
                break
            except errors.BronzequayError as exc:
                _log.warning("write_failed", number=head.number, error=str(exc))
                await trio.sleep(RETRY_S)
            else:
                break
        self._head = head


def _of_wave(wave: upkeep.Wave) -> Change:
    told = machines.encode_status(wave.number, is_done=wave.is_done)
    return Change(
        [
            kv.Put(keys.wave(wave.number), msgspec.msgpack.encode(wave)),
            kv.Put(machines.status_key(wave.number), told),
        ]
    )


def _own_rev(conflict: kv.Conflict, value: bytes) -> ids.Revision:
    """Return the head's revision if an earlier try of the same write took effect."""
    for item in conflict.items:
        if item.key == keys.HEAD and item.value == value:
            return item.rev
    raise _fenced(0)


def _fenced(epoch: int) -> errors.BronzequayError:
    return errors.BronzequayError(codes.ResultCode.FENCED, f"a later term has begun: {epoch}")


__all__ = ["Change", "Head", "Journal"]
