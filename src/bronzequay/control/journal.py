"""Durable record of decisions: every write of a term is fenced by the revision of one key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import codec, codes, errors, ids
from bronzequay.control import earlier_terms, failures, keys, status
from bronzequay.core import explain, records
from bronzequay.platform import kv, machines

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay.control.lease import LeaderLease
    from bronzequay.core import upkeep
    from bronzequay.core.state import Job, State
    from bronzequay.platform.kv import Store

FENCE_ENTRIES = 2
"""Transaction entries that fencing takes: the condition on the head and the next head."""
MAX_ENTRIES = kv.MAX_ENTRIES - FENCE_ENTRIES
RETRY_S = 0.1
FIRST_TIMEOUT_S = 0.5
"""Timeout of the first attempt of a write, doubled for each further one up to the client's limit. A
slow store takes 0.25 s; nothing is scheduled until the write is known to have taken effect."""

_log = structlog.get_logger()


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The most recent write of any term, stored under one key.

    :param number: number of the write within its term
    :param instance: the instance that holds the term
    :param address: ``IP:PORT`` of its own interface
    :param earlier: earlier terms whose schedulers may still renew run leases
    """

    epoch: ids.Epoch
    number: int
    instance: ids.InstanceId = ids.InstanceId("")
    address: str = ""
    earlier: tuple[earlier_terms.Holder, ...] = ()

    def holders(self) -> tuple[earlier_terms.Holder, ...]:
        """Return the terms that a later one has to know of."""
        own = earlier_terms.Holder(self.epoch, self.instance, self.address)
        return earlier_terms.shorten((*self.earlier, own))


class Change(msgspec.Struct, frozen=True):
    """Puts and deletes that are written in one transaction."""

    puts: list[kv.Put] = []
    deletes: list[str] = []

    @property
    def size(self) -> int:
        """Return how many entries of a transaction it takes."""
        return len(self.puts) + len(self.deletes)


class Journal:
    """The writes of one term, made one after another.

    A write whose answer is lost is repeated: the condition on the head's revision lets it take
    effect at most once, and the head's number shows whether it did.

    :param leader_lease: of the term
    :ivar earlier: earlier terms that each write names for the next term
    """

    def __init__(self, store: Store, leader_lease: LeaderLease) -> None:
        self._store = store
        self.earlier: tuple[earlier_terms.Holder, ...] = ()
        self._head = Head(leader_lease.epoch, 0, leader_lease.instance, leader_lease.address)
        self._rev = kv.ABSENT
        self._stored_states: dict[ids.JobId, str] = {}
        self._started_jobs: set[ids.JobId] = set()
        self._failures: tuple[failures.Failure, ...] = ()

    async def fence_earlier_terms(self) -> None:
        """Write the head, so that the writes of earlier terms fail from now on.

        :raises errors.BronzequayError: FENCED when a later term has begun
        """
        while True:
            item = await self._store.get(keys.HEAD)
            head = _head_in(item)
            if head is not None and head.epoch >= self._head.epoch:
                raise _fenced_error(head.epoch)
            if item is not None:
                self.earlier = (earlier_terms.UNKNOWN,) if head is None else head.holders()
            self._rev = kv.ABSENT if item is None else item.rev
            try:
                await self._write(Change())
            except errors.BronzequayError as exc:
                if exc.code is not codes.ResultCode.FENCED:
                    raise
            else:
                return

    async def check_fenced(self) -> None:
        """Raise the error of a fenced term if a later one has written the journal.

        :raises errors.BronzequayError: FENCED, or the store cannot be read
        """
        head = _head_in(await self._store.get(keys.HEAD))
        if head is not None and head.epoch > self._head.epoch:
            raise _fenced_error(head.epoch)

    def add_stored(self, job: Job) -> None:
        """Record what the store holds of a job that was read from it."""
        self._stored_states[job.spec.job] = job.state.value
        if job.has_begun:
            self._started_jobs.add(job.spec.job)

    def load_failures(self, value: bytes | None, wall_s: float) -> set[ids.JobId]:
        """Take over the stored failures of earlier terms and return the jobs to give up."""
        self._failures = failures.decode(value)
        return failures.given_up(self._failures, wall_s)

    async def record_failure(self, job: ids.JobId, wall_s: float) -> None:
        """Record that this term has failed at a job.

        :raises errors.BronzequayError: FENCED when a later term has begun
        """
        self._failures = failures.add(self._failures, job, wall_s)
        await self._write(Change([kv.Put(keys.FAILURES, failures.encode(self._failures))]))

    async def commit(
        self, state: State, orphaned_cancels: Iterable[ids.JobId], puts: Iterable[kv.Put] = ()
    ) -> None:
        """Make all changes of the core durable.

        :param orphaned_cancels: jobs that are not open and whose cancellations are to be removed
        :param puts: further writes
        :raises errors.BronzequayError: FENCED when a later term has begun
        """
        changes = [Change([put]) for put in puts]
        for name in sorted(state.dirty_jobs):
            state.considered_job = name
            changes.append(self._job_change(state.jobs[name], state.wall_s))
        for job in state.retired_jobs:
            state.considered_job = job.spec.job
            changes.append(self._retired_job_change(job, state.wall_s))
        state.considered_job = None
        changes += [Change(deletes=[keys.cancel(job_id)]) for job_id in orphaned_cancels]
        changes += [_wave_change(state.waves[number]) for number in sorted(state.dirty_waves)]
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

    def _job_change(self, job: Job, wall_s: float) -> Change:
        job_id = job.spec.job
        change = Change([kv.Put(keys.progress(job_id), records.encode(job))], [])
        self._add_status(job, change, wall_s)
        if job.has_begun and job_id not in self._started_jobs:
            self._started_jobs.add(job_id)
            if not job.spec.times:
                change.deletes.append(keys.waiting(job.spec.queue, job_id))
        return change

    def _retired_job_change(self, job: Job, wall_s: float) -> Change:
        job_id = job.spec.job
        change = Change([], [keys.job(job_id), keys.cancel(job_id), keys.progress(job_id)])
        if job_id not in self._started_jobs:
            change.deletes.append(keys.waiting(job.spec.queue, job_id))
        self._add_status(job, change, wall_s)
        self._started_jobs.discard(job_id)
        self._stored_states.pop(job_id, None)
        return change

    def _add_status(self, job: Job, change: Change, wall_s: float) -> None:
        """Add the job's status to a change if its state differs from the stored one."""
        job_id = job.spec.job
        if self._stored_states.get(job_id) == job.state.value:
            return
        self._stored_states[job_id] = job.state.value
        job_status = msgspec.structs.replace(
            status.from_spec(job.spec, job.state),
            begun_s=job.begun_s,
            ended_s=wall_s if job.is_final else 0.0,
            failures=explain.count_failures(job),
            reason=job.reason,
        )
        change.puts.append(kv.Put(keys.state(job_id), status.encode(job_status)))

    async def _write(self, change: Change) -> None:
        """Write one transaction; repeat it until it is known to have taken effect."""
        head = msgspec.structs.replace(
            self._head, number=self._head.number + 1, earlier=self.earlier
        )
        value = msgspec.msgpack.encode(head)
        puts = [kv.Put(keys.HEAD, value), *change.puts]
        timeout_s = FIRST_TIMEOUT_S
        while True:
            try:
                self._rev = await self._store.txn(
                    expect=[(keys.HEAD, self._rev)],
                    puts=puts,
                    deletes=change.deletes,
                    timeout_s=timeout_s,
                )
            except kv.Conflict as exc:
                self._rev = _own_head_rev(exc, value)
                break
            except errors.BronzequayError as exc:
                _log.warning("write_failed", number=head.number, error=str(exc))
                timeout_s = min(kv.CALL_TIMEOUT_S, 2 * timeout_s)
                await trio.sleep(RETRY_S)
            else:
                break
        self._head = head


def _head_in(item: kv.Item | None) -> Head | None:
    """Return the stored head, None when there is none or it is unreadable.

    Epochs are revisions of the store, so a head is never written before its epoch.
    """
    if item is None or item.value is None:
        return None
    try:
        head = codec.from_msgpack(item.value, Head)
    except msgspec.DecodeError as exc:
        _log.error("head_unreadable", revision=item.rev, error=str(exc))
        return None
    if head.epoch > item.rev:
        _log.error("head_invalid", revision=item.rev, epoch=head.epoch)
        return None
    return head


def _wave_change(wave: upkeep.Wave) -> Change:
    operator_status = machines.encode_status(wave.number, is_done=wave.is_done)
    return Change(
        [
            kv.Put(keys.wave(wave.number), msgspec.msgpack.encode(wave)),
            kv.Put(machines.status_key(wave.number), operator_status),
        ]
    )


def _own_head_rev(conflict: kv.Conflict, value: bytes) -> ids.Revision:
    """Return the head's revision if an earlier attempt at the same write took effect.

    :raises errors.BronzequayError: FENCED when another writer changed the head
    """
    for item in conflict.items:
        if item.key == keys.HEAD and item.value == value:
            return item.rev
    raise _fenced_error(0)


def _fenced_error(epoch: int) -> errors.BronzequayError:
    """Return the error of a fenced term.

    :param epoch: of the later term, 0 when it was not read
    """
    return errors.BronzequayError(
        codes.ResultCode.FENCED, f"a later term has written the journal: epoch {epoch}"
    )


__all__ = ["Change", "Head", "Journal"]
