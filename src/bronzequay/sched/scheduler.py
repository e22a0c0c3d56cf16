"""The scheduler of a partition: campaigns, takes over, serves until its lease is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import codes, errors, ids
from bronzequay.policy import core, model
from bronzequay.sched import jobs, journal, lease, terms
from bronzequay.work import client, keeper
from bronzequay.work import fleet as fleets

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

    from bronzequay.sched import ports

RULES_POLL_S = 0.2
FIRST_POLL_S = 2.0
RETRY_AFTER_S = 1.0

_log = structlog.get_logger()


def default_payload(spec: model.JobSpec) -> bytes:
    """Return a payload that runs for the declared time."""
    return msgspec.json.encode({"actual_s": spec.declared_s, "outcome": "ok"})


class Scheduler:
    """Takes every job decision of a partition while it holds the partition's lease.

    :param partition: the partition, a region
    :param instance: this instance
    :param address: mesh address published with the lease
    :param store: the platform's service
    :param workers: calls to workers
    :param rules: the bundle in force, None before the first is known
    :param wall_clock: seconds since the Unix epoch
    :param fleet: the workers; by default one of its own, which ``run`` polls
    :param withhold: has every keeper stop renewing tasks; by default a keeper of its own for
        every worker, which ``run`` runs, right only where no other instance keeps leases
    :param payload: what a worker is to run for a job
    """

    def __init__(
        self,
        *,
        partition: ids.RegionId,
        instance: ids.InstanceId,
        address: str,
        store: ports.Store,
        workers: client.WorkerClient,
        rules: Callable[[], model.Rules | None],
        wall_clock: Callable[[], float],
        fleet: fleets.Fleet | None = None,
        withhold: Callable[[Sequence[ids.TaskId]], Awaitable[bool]] | None = None,
        payload: Callable[[model.JobSpec], bytes] = default_payload,
    ) -> None:
        self._partition = partition
        self._instance = instance
        self._address = address
        self._store = store
        self._workers = workers
        self._rules = rules
        self._wall_clock = wall_clock
        self._owns_fleet = fleet is None
        self._fleet = fleet or fleets.Fleet(instances=store.instances, workers=workers)
        self._keeper: keeper.Keeper | None = None
        if withhold is None:
            self._keeper = self._own_keeper()
        self._withhold = withhold or self._withhold_own
        self._payload = payload
        self._term: terms.Term | None = None
        self._closing = trio.Event()
        self._closed = trio.Event()

    @property
    def is_active(self) -> bool:
        """Return whether this instance takes the partition's decisions now."""
        return self._term is not None and self._term.is_active

    @property
    def can_answer(self) -> bool:
        """Return whether this instance knows the partition's jobs."""
        return self._term is not None

    @property
    def epoch(self) -> ids.Epoch:
        """Return the epoch of the present term, 0 when there is none."""
        return ids.Epoch(0) if self._term is None else self._term.durable.epoch

    async def run(self) -> None:
        """Campaign and serve until ``shutdown``."""
        async with trio.open_nursery() as nursery:
            if self._owns_fleet:
                nursery.start_soon(self._fleet.run)
            if self._keeper is not None:
                nursery.start_soon(self._keeper.run)
            nursery.start_soon(self._serve_terms)
            await self._closing.wait()
            nursery.cancel_scope.cancel()
        self._closed.set()

    async def shutdown(self) -> None:
        """Hand over: finish no new decision, give the lease up at once."""
        self._closing.set()
        await self._closed.wait()

    async def submit(
        self, spec: model.JobSpec, *, key: str | None, job: ids.JobId | None = None
    ) -> model.JobRecord:
        """Accept a job; it is durable when this returns.

        :param spec: the job
        :param key: the caller's deduplication key; two submissions with one key are one job
        :param job: the id, when the job was named before it was forwarded
        :return: the job's record
        :raises errors.BronzequayError: KEY_REUSED, or as ``Term.decide`` does
        """
        term = self._active_term()
        job = job or jobs.job_id(spec, key)
        jobs.check_sizes(spec, key)
        if key is None or await _find(term, job) is None:
            await term.decide(model.JobSubmitted(job, spec, key))
        record = _found(await _find(term, job), job)
        jobs.check_same(record, spec)
        return record

    async def cancel(self, wanted: Sequence[ids.JobId]) -> tuple[model.JobRecord, ...]:
        """Cancel jobs; the wish is durable when this returns.

        :param wanted: the jobs
        :return: their records
        :raises errors.BronzequayError: UNKNOWN_JOB, or as ``Term.decide`` does
        """
        term = self._active_term()
        for job in wanted:
            _found(await _find(term, job), job)
        async with trio.open_nursery() as nursery:
            failures: list[errors.BronzequayError] = []
            for job in wanted:
                nursery.start_soon(_collect, failures, term, model.JobCancelled(job))
        if failures:
            raise failures[0]
        return tuple([_found(await _find(term, job), job) for job in wanted])

    async def get(self, job: ids.JobId) -> model.JobRecord:
        """Return a job's durable record.

        :raises errors.BronzequayError: UNKNOWN_JOB or NO_SCHEDULER
        """
        return _found(await _find(self._readable_term(), job), job)

    async def list(
        self,
        *,
        org: ids.OrgId | None = None,
        state: model.JobState | None = None,
        limit: int | None = None,
    ) -> tuple[model.JobRecord, ...]:
        """Return durable records, newest first.

        :param org: only this organisation's
        :param state: only those in this state
        :param limit: at most this many
        :raises errors.BronzequayError: NO_SCHEDULER
        """
        is_wanted = matching(org=org, state=state)
        found = await self._readable_term().durable.scan(is_wanted=is_wanted, limit=limit)
        return newest(found, limit=limit)

    async def why(self, job: ids.JobId) -> str:
        """Explain what a job waits for.

        :raises errors.BronzequayError: UNKNOWN_JOB or NO_SCHEDULER
        """
        term = self._readable_term()
        record = _found(await _find(term, job), job)
        if job not in term.state.jobs:
            return f"the job is {record.state.value}"
        return core.why(term.state, job).text

    def on_listing(
        self, worker: ids.WorkerId, listing: tuple[client.Status, ...]
    ) -> tuple[ids.TaskId, ...]:
        """Take a worker's listing from a keeper.

        :param worker: the worker
        :param listing: every task on it
        :return: tasks that are to be renewed no longer
        """
        if self._term is None or self._term.watch is None:
            return ()
        return self._term.watch.on_listing(worker, listing)

    def on_silence(self, worker: ids.WorkerId) -> None:
        """Take a keeper's word that a worker does not answer.

        :param worker: the worker
        """
        if self._term is not None and self._term.watch is not None:
            self._term.watch.on_silence(worker)

    def _own_keeper(self) -> keeper.Keeper:
        return keeper.Keeper(
            fleet=self._fleet,
            workers=self._workers,
            share=lambda _worker: True,
            on_listing=self._own_listing,
            on_silence=self._own_silence,
        )

    async def _own_listing(
        self, worker: ids.WorkerId, listing: tuple[client.Status, ...]
    ) -> tuple[ids.TaskId, ...]:
        return self.on_listing(worker, listing)

    async def _own_silence(self, worker: ids.WorkerId) -> None:
        self.on_silence(worker)

    async def _withhold_own(self, names: Sequence[ids.TaskId]) -> bool:
        if self._keeper is not None:
            self._keeper.withhold(names)
        return True

    def _active_term(self) -> terms.Term:
        if self._term is None or not self._term.is_active:
            raise _no_scheduler()
        return self._term

    def _readable_term(self) -> terms.Term:
        if self._term is None:
            raise _no_scheduler()
        return self._term

    async def _serve_terms(self) -> None:
        while True:
            while self._rules() is None:  # noqa: ASYNC110  # a query, not an event
                await trio.sleep(RULES_POLL_S)
            holder = lease.Holder(self._instance, self._address, ids.Epoch(0))
            held = await lease.campaign(self._store, self._partition, holder)
            try:
                await self._serve(held)
            except* errors.BronzequayError as group:
                reason = lease.first_error(group)
                _log.warning("term_ended", partition=self._partition, reason=str(reason))
            finally:
                self._end_term()
                await lease.release(self._store, held.lease)

    def _end_term(self) -> None:
        if self._term is not None:
            self._term.close()
            self._term = None

    async def _serve(self, held: lease.Held) -> None:
        """Take over and serve until the lease is lost or another scheduler has taken over."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lease.keep, self._store, held)
            durable = journal.Journal(store=self._store, partition=self._partition)
            records = await durable.take_over()
            with trio.move_on_after(FIRST_POLL_S):
                await self._fleet.polled.wait()
            term = self._new_term(held, durable, records)
            holder = lease.Holder(self._instance, self._address, durable.epoch)
            await lease.publish(self._store, self._partition, held, holder)
            self._term = term
            _log.info("term_began", partition=self._partition, epoch=durable.epoch)
            end_calls = self._fleet.listen(lambda member: _tell(term, member))
            for member in self._fleet.members.values():
                _tell(term, member)
            try:
                build = terms.open_watch(
                    workers=self._workers,
                    fleet=self._fleet,
                    withhold=self._withhold,
                    payload=self._payload,
                )
                await term.run(build)
            finally:
                end_calls()

    def _new_term(
        self, held: lease.Held, durable: journal.Journal, records: Sequence[model.JobRecord]
    ) -> terms.Term:
        rules = self._rules()
        assert rules is not None  # noqa: S101  # campaigns begin once there are rules
        specs = [member.spec for member in self._fleet.members.values() if not member.is_leaving]
        state = core.new_state(rules=rules, workers=specs, jobs=records)
        return terms.Term(
            held=held,
            durable=durable,
            state=state,
            rules=self._rules,
            wall_clock=self._wall_clock,
        )


def matching(
    *, org: ids.OrgId | None, state: model.JobState | None
) -> Callable[[model.JobRecord], bool]:
    """Return a filter of records.

    :param org: only this organisation's
    :param state: only those in this state
    """
    return lambda record: org in (None, record.spec.org) and state in (None, record.state)


def newest(records: Iterable[model.JobRecord], *, limit: int | None) -> tuple[model.JobRecord, ...]:
    """Put records in order of acceptance, the newest first.

    :param records: any records
    :param limit: at most this many are returned
    :return: the records
    """
    found = sorted(records, key=lambda record: (record.accepted_s, record.job), reverse=True)
    return tuple(found[:limit])


async def _find(term: terms.Term, job: ids.JobId) -> model.JobRecord | None:
    """Read a record; a store that does not answer means that nothing was decided."""
    try:
        return await term.durable.find(job)
    except errors.BronzequayError as exc:
        message = f"not run: the archive cannot be read: {exc.message}"
        raise errors.BronzequayError(
            codes.ResultCode.STORE_UNAVAILABLE, message, retry_after_s=RETRY_AFTER_S
        ) from exc


async def _collect(
    failures: list[errors.BronzequayError], term: terms.Term, event: model.Event
) -> None:
    try:
        await term.decide(event)
    except errors.BronzequayError as exc:
        failures.append(exc)


def _tell(term: terms.Term, member: fleets.Member) -> None:
    worker = member.spec.worker
    if member.is_gone:
        term.emit(model.WorkerLost(worker))
    elif not member.is_leaving:
        term.emit(model.WorkerJoined(member.spec))
    else:
        term.emit(model.WorkerLeaving(worker))


def _found(record: model.JobRecord | None, job: ids.JobId) -> model.JobRecord:
    if record is None:
        raise errors.BronzequayError(codes.ResultCode.UNKNOWN_JOB, f"no job {job}")
    return record


def _no_scheduler() -> errors.BronzequayError:
    return errors.BronzequayError(
        codes.ResultCode.NO_SCHEDULER,
        "not run: this instance is not the active scheduler",
        retry_after_s=RETRY_AFTER_S,
    )


__all__ = ["Scheduler", "default_payload", "matching", "newest"]
