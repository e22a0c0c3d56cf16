"""Job commands and queries on any instance, forwarded to the active scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.policy import model
from bronzequay.sched import jobs, journal, scheduler, scheduler_locator

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from bronzequay.sched import ports

CALL_TIMEOUT_S = 6.0
QUERY_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 8.0
RETRY_INTERVAL_S = 0.25

T = TypeVar("T")


class Submit(msgspec.Struct, frozen=True):
    """A submission forwarded to the active scheduler; the job id is already assigned."""

    job: ids.JobId
    spec: model.JobSpec
    key: str | None


class Cancel(msgspec.Struct, frozen=True):
    """A cancellation forwarded to the active scheduler."""

    jobs: tuple[ids.JobId, ...]


class Query(msgspec.Struct, frozen=True):
    """A query for one job, or for all jobs that match the other fields."""

    job: ids.JobId | None = None
    org: ids.OrgId | None = None
    state: model.JobState | None = None
    limit: int | None = None


_Records = tuple[model.JobRecord, ...]

_STALE_ADDRESS_CODES = frozenset({codes.ResultCode.NO_SCHEDULER, codes.ResultCode.PEER_TIMEOUT})
_UNKNOWN_OUTCOME_CODES = frozenset(
    {codes.ResultCode.OUTCOME_UNKNOWN, codes.ResultCode.PEER_TIMEOUT}
)
_NOT_RUN_CODES = frozenset(
    {
        codes.ResultCode.NO_SCHEDULER,
        codes.ResultCode.STORE_UNAVAILABLE,
        codes.ResultCode.QUEUE_FULL,
    }
)


class Gateway:
    """Carries out job commands and queries of a partition, locally or on another instance.

    :param partition: id of the partition
    :param scheduler: this instance's scheduler, active or not
    :param store: client of the platform's store
    :param mesh: messages to other instances
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
        self._locator = scheduler_locator.SchedulerLocator(store=store, partition=partition)
        for kind, handler in {
            "submit": self._on_submit,
            "cancel": self._on_cancel,
            "get": self._on_get,
            "list": self._on_list,
            "why": self._on_why,
        }.items():
            mesh.serve(self._message_kind(kind), handler)

    async def submit(self, spec: model.JobSpec, *, key: str | None) -> model.JobRecord:
        """Accept a job; its record is durable when this returns.

        The job id is assigned before the first forward, so that a retry cannot create two jobs.

        :param spec: specification of the job
        :param key: the caller's deduplication key
        :return: the job's record
        :raises errors.BronzequayError: a "not run" code only if the job was certainly not
            accepted, else OUTCOME_UNKNOWN
        """
        body = Submit(jobs.job_id(spec, key), spec, key)

        async def local() -> model.JobRecord:
            return await self._scheduler.submit(spec, key=key, job=body.job)

        return await self._send_command("submit", body, local, model.JobRecord)

    async def cancel(self, job_ids: Sequence[ids.JobId]) -> _Records:
        """Cancel jobs; the cancellations are durable when this returns.

        :param job_ids: ids of the jobs
        :return: the records of the jobs
        :raises errors.BronzequayError: as ``submit``, and UNKNOWN_JOB
        """
        body = Cancel(tuple(job_ids))
        return await self._send_command(
            "cancel", body, lambda: self._scheduler.cancel(body.jobs), _Records
        )

    async def get(self, job: ids.JobId) -> model.JobRecord:
        """Return a job's durable record, read from the store if no scheduler answers."""

        async def fallback() -> model.JobRecord:
            record = await self._reader().find(job)
            if record is None:
                raise errors.BronzequayError(codes.ResultCode.UNKNOWN_JOB, f"unknown job {job}")
            return record

        return await self._run_query(
            "get", Query(job=job), lambda: self._scheduler.get(job), model.JobRecord, fallback
        )

    async def list(
        self,
        *,
        org: ids.OrgId | None = None,
        state: model.JobState | None = None,
        limit: int | None = None,
    ) -> _Records:
        """Return durable records, newest first, read from the store if no scheduler answers."""

        async def fallback() -> _Records:
            is_wanted = scheduler.record_filter(org=org, state=state)
            records = await self._reader().scan(is_wanted=is_wanted, limit=limit)
            return scheduler.newest_first(records, limit=limit)

        return await self._run_query(
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

        return await self._run_query(
            "why", Query(job=job), lambda: self._scheduler.why(job), str, fallback
        )

    def _reader(self) -> journal.Reader:
        return journal.Reader(store=self._store, partition=self._partition)

    def _message_kind(self, name: str) -> str:
        return f"sched/{self._partition}/{name}"

    async def _send_command(
        self,
        name: str,
        body: Submit | Cancel,
        local: Callable[[], Awaitable[T]],
        reply_type: type[T],
    ) -> T:
        """Retry until answered or ``COMMAND_TIMEOUT_S`` have passed; commands are idempotent."""
        deadline_s = trio.current_time() + COMMAND_TIMEOUT_S
        may_have_run = False
        while True:
            try:
                return await self._attempt_command(name, body, local, reply_type, deadline_s)
            except errors.BronzequayError as exc:
                may_have_run = may_have_run or exc.code in _UNKNOWN_OUTCOME_CODES
                is_past_deadline = trio.current_time() + RETRY_INTERVAL_S >= deadline_s
                if (
                    is_past_deadline
                    or exc.code not in _STALE_ADDRESS_CODES | _UNKNOWN_OUTCOME_CODES
                ):
                    raise _final_error(exc, may_have_run=may_have_run) from exc
            await trio.sleep(RETRY_INTERVAL_S)

    async def _attempt_command(
        self,
        name: str,
        body: Submit | Cancel,
        local: Callable[[], Awaitable[T]],
        reply_type: type[T],
        deadline_s: float,
    ) -> T:
        """Try once; a command that is cut off before the scheduler's address is known was not run.

        :raises errors.BronzequayError: NO_SCHEDULER or OUTCOME_UNKNOWN at the deadline, or the
            error of the attempt
        """
        error = errors.BronzequayError(
            codes.ResultCode.NO_SCHEDULER,
            "not run: the active scheduler could not be located in time",
            retry_after_s=scheduler_locator.RETRY_AFTER_S,
        )
        with trio.move_on_at(deadline_s):
            if not self._scheduler.is_active:
                address = await self._locator.address()
                error = _unknown_outcome_error()
                return await self._call(address, name, body, reply_type, CALL_TIMEOUT_S)
            error = _unknown_outcome_error()
            return await local()
        self._locator.invalidate()
        raise error

    async def _run_query(
        self,
        name: str,
        body: Query,
        local: Callable[[], Awaitable[T]],
        reply_type: type[T],
        fallback: Callable[[], Awaitable[T]],
    ) -> T:
        try:
            if self._scheduler.can_answer:
                return await local()
            address = await self._locator.address()
            return await self._call(address, name, body, reply_type, QUERY_TIMEOUT_S)
        except errors.BronzequayError as exc:
            if exc.code not in _STALE_ADDRESS_CODES:
                raise
        return await fallback()

    async def _call(
        self, address: str, name: str, body: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T:
        content = msgspec.msgpack.encode(body)
        try:
            reply = await self._mesh.call(
                address, self._message_kind(name), content, timeout_s=timeout_s
            )
        except errors.BronzequayError as exc:
            if exc.code in _STALE_ADDRESS_CODES:
                self._locator.invalidate()
            raise
        return msgspec.msgpack.decode(reply, type=reply_type)

    async def _on_submit(self, body: bytes) -> bytes:
        message = msgspec.msgpack.decode(body, type=Submit)
        record = await self._scheduler.submit(message.spec, key=message.key, job=message.job)
        return msgspec.msgpack.encode(record)

    async def _on_cancel(self, body: bytes) -> bytes:
        message = msgspec.msgpack.decode(body, type=Cancel)
        return msgspec.msgpack.encode(await self._scheduler.cancel(message.jobs))

    async def _on_get(self, body: bytes) -> bytes:
        return msgspec.msgpack.encode(await self._scheduler.get(_decode_job(body)))

    async def _on_list(self, body: bytes) -> bytes:
        message = msgspec.msgpack.decode(body, type=Query)
        records = await self._scheduler.list(
            org=message.org, state=message.state, limit=message.limit
        )
        return msgspec.msgpack.encode(records)

    async def _on_why(self, body: bytes) -> bytes:
        return msgspec.msgpack.encode(await self._scheduler.why(_decode_job(body)))


def _decode_job(body: bytes) -> ids.JobId:
    job = msgspec.msgpack.decode(body, type=Query).job
    if job is None:
        raise errors.BronzequayError(codes.ResultCode.MALFORMED_BODY, "the query has no job id")
    return job


def _final_error(exc: errors.BronzequayError, *, may_have_run: bool) -> errors.BronzequayError:
    """Return OUTCOME_UNKNOWN in place of a refusal if an earlier attempt may have taken effect."""
    if may_have_run and exc.code in _NOT_RUN_CODES | _UNKNOWN_OUTCOME_CODES:
        return _unknown_outcome_error()
    return exc


def _unknown_outcome_error() -> errors.BronzequayError:
    message = "no scheduler confirmed the change; it may have taken effect"
    return errors.BronzequayError(codes.ResultCode.OUTCOME_UNKNOWN, message)


__all__ = ["Gateway"]
