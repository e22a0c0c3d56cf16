"""Jobs on any instance: answered by the active scheduler, wherever it is."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.policy import model
from bronzequay.sched import active, jobs, journal, scheduler

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from bronzequay.sched import ports

CALL_TIMEOUT_S = 6.0
READ_TIMEOUT_S = 1.0
DEADLINE_S = 8.0
RETRY_S = 0.25

T = TypeVar("T")


class Submit(msgspec.Struct, frozen=True):
    """A submission on its way to the active scheduler, its job named already."""

    job: ids.JobId
    spec: model.JobSpec
    key: str | None


class Cancel(msgspec.Struct, frozen=True):
    """A cancellation on its way to the active scheduler."""

    jobs: tuple[ids.JobId, ...]


class Query(msgspec.Struct, frozen=True):
    """A question about one job, or about those that match."""

    job: ids.JobId | None = None
    org: ids.OrgId | None = None
    state: model.JobState | None = None
    limit: int | None = None


_Records = tuple[model.JobRecord, ...]

_MOVED = frozenset({codes.ResultCode.NO_SCHEDULER, codes.ResultCode.PEER_TIMEOUT})
_UNKNOWN = frozenset({codes.ResultCode.OUTCOME_UNKNOWN, codes.ResultCode.PEER_TIMEOUT})
_NOT_RUN = frozenset(
    {
        codes.ResultCode.NO_SCHEDULER,
        codes.ResultCode.STORE_UNAVAILABLE,
        codes.ResultCode.QUEUE_FULL,
    }
)


class Gateway:
    """Commands and queries about a partition's jobs.

    :param partition: the partition
    :param scheduler: this instance's scheduler, active or not
    :param store: the platform's service
    :param mesh: calls to other instances
    """

    def __init__(
        self,
        *,
        partition: ids.RegionId,
        scheduler: scheduler.Scheduler,
        store: ports.Store,
        mesh: ports.Mesh,
    ) -> None:
        self._partition = partition
        self._scheduler = scheduler
        self._store = store
        self._mesh = mesh
        self._active = active.Active(store=store, partition=partition)
        for kind, handler in {
            "submit": self._on_submit,
            "cancel": self._on_cancel,
            "get": self._on_get,
            "list": self._on_list,
            "why": self._on_why,
        }.items():
            mesh.serve(self._kind(kind), handler)

    async def submit(self, spec: model.JobSpec, *, key: str | None) -> model.JobRecord:
        """Accept a job; it is durable when this returns.

        The job is named before it is first forwarded, so that a retry cannot make two jobs.

        :param spec: the job
        :param key: the caller's deduplication key
        :return: the job's record
        :raises errors.BronzequayError: a "not run" code only when it was certainly not
            accepted, else OUTCOME_UNKNOWN
        """
        body = Submit(jobs.job_id(spec, key), spec, key)

        async def local() -> model.JobRecord:
            return await self._scheduler.submit(spec, key=key, job=body.job)

        return await self._command("submit", body, local, model.JobRecord)

    async def cancel(self, wanted: Sequence[ids.JobId]) -> _Records:
        """Cancel jobs; the wish is durable when this returns.

        :param wanted: the jobs
        :return: their records
        :raises errors.BronzequayError: as ``submit`` does, and UNKNOWN_JOB
        """
        body = Cancel(tuple(wanted))
        return await self._command(
            "cancel", body, lambda: self._scheduler.cancel(body.jobs), _Records
        )

    async def get(self, job: ids.JobId) -> model.JobRecord:
        """Return a job's durable record, from the journal when no scheduler answers."""

        async def fallback() -> model.JobRecord:
            found = await self._reader().find(job)
            if found is None:
                raise errors.BronzequayError(codes.ResultCode.UNKNOWN_JOB, f"no job {job}")
            return found

        return await self._query(
            "get", Query(job=job), lambda: self._scheduler.get(job), model.JobRecord, fallback
        )

    async def list(
        self,
        *,
        org: ids.OrgId | None = None,
        state: model.JobState | None = None,
        limit: int | None = None,
    ) -> _Records:
        """Return durable records, newest first, from the journal when no scheduler answers."""

        async def fallback() -> _Records:
            is_wanted = scheduler.matching(org=org, state=state)
            found = await self._reader().scan(is_wanted=is_wanted, limit=limit)
            return scheduler.newest(found, limit=limit)

        return await self._query(
            "list",
            Query(org=org, state=state, limit=limit),
            lambda: self._scheduler.list(org=org, state=state, limit=limit),
            _Records,
            fallback,
        )

    async def why(self, job: ids.JobId) -> str:
        """Explain what a job waits for."""

        async def fallback() -> str:
            record = await self.get(job)
            return f"the job is {record.state.value}; no scheduler is active"

        return await self._query(
            "why", Query(job=job), lambda: self._scheduler.why(job), str, fallback
        )

    def _reader(self) -> journal.Reader:
        return journal.Reader(store=self._store, partition=self._partition)

    def _kind(self, name: str) -> str:
        return f"sched/{self._partition}/{name}"

    async def _command(
        self,
        name: str,
        body: Submit | Cancel,
        local: Callable[[], Awaitable[T]],
        answer: type[T],
    ) -> T:
        """Try until answered or the deadline; commands may be repeated without harm."""
        until_s = trio.current_time() + DEADLINE_S
        is_unknown = False
        while True:
            try:
                if self._scheduler.is_active:
                    return await local()
                return await self._forward(name, body, answer, CALL_TIMEOUT_S)
            except errors.BronzequayError as exc:
                is_unknown = is_unknown or exc.code in _UNKNOWN
                is_late = trio.current_time() + RETRY_S >= until_s
                if is_late or exc.code not in _MOVED | _UNKNOWN:
                    raise _truth(exc, is_unknown=is_unknown) from exc
            await trio.sleep(RETRY_S)

    async def _query(
        self,
        name: str,
        body: Query,
        local: Callable[[], Awaitable[T]],
        answer: type[T],
        fallback: Callable[[], Awaitable[T]],
    ) -> T:
        try:
            if self._scheduler.can_answer:
                return await local()
            return await self._forward(name, body, answer, READ_TIMEOUT_S)
        except errors.BronzequayError as exc:
            if exc.code not in _MOVED:
                raise
        return await fallback()

    async def _forward(
        self, name: str, body: msgspec.Struct, answer: type[T], timeout_s: float
    ) -> T:
        address = await self._active.address()
        content = msgspec.msgpack.encode(body)
        try:
            reply = await self._mesh.call(address, self._kind(name), content, timeout_s=timeout_s)
        except errors.BronzequayError as exc:
            if exc.code in _MOVED:
                self._active.forget()
            raise
        return msgspec.msgpack.decode(reply, type=answer)

    async def _on_submit(self, body: bytes) -> bytes:
        call = msgspec.msgpack.decode(body, type=Submit)
        record = await self._scheduler.submit(call.spec, key=call.key, job=call.job)
        return msgspec.msgpack.encode(record)

    async def _on_cancel(self, body: bytes) -> bytes:
        call = msgspec.msgpack.decode(body, type=Cancel)
        return msgspec.msgpack.encode(await self._scheduler.cancel(call.jobs))

    async def _on_get(self, body: bytes) -> bytes:
        return msgspec.msgpack.encode(await self._scheduler.get(_job(body)))

    async def _on_list(self, body: bytes) -> bytes:
        call = msgspec.msgpack.decode(body, type=Query)
        found = await self._scheduler.list(org=call.org, state=call.state, limit=call.limit)
        return msgspec.msgpack.encode(found)

    async def _on_why(self, body: bytes) -> bytes:
        return msgspec.msgpack.encode(await self._scheduler.why(_job(body)))


def _job(body: bytes) -> ids.JobId:
    job = msgspec.msgpack.decode(body, type=Query).job
    if job is None:
        raise errors.BronzequayError(codes.ResultCode.MALFORMED_BODY, "the query names no job")
    return job


def _truth(exc: errors.BronzequayError, *, is_unknown: bool) -> errors.BronzequayError:
    """Turn a refusal into OUTCOME_UNKNOWN when an earlier try may have been accepted."""
    if is_unknown and exc.code in _NOT_RUN | _UNKNOWN:
        message = "no scheduler confirmed the change; it may have taken effect"
        return errors.BronzequayError(codes.ResultCode.OUTCOME_UNKNOWN, message)
    return exc


__all__ = ["Gateway"]
