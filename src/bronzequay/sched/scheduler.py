"""Scheduler of a partition: wins the lease, takes over, and decides until the lease is lost."""

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

RULES_POLL_INTERVAL_S = 0.2
FIRST_POLL_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1.0

_log = structlog.get_logger()


def default_payload(spec: model.JobSpec) -> bytes:
    """Return a payload that runs for the declared time and succeeds."""
    return msgspec.json.encode({"actual_s": spec.declared_s, "outcome": "ok"})


class Scheduler:
    """Makes every job decision of a partition while it holds the partition's lease.

    :param partition: the region whose jobs are scheduled
    :param instance: id of this instance
    :param address: mesh address published with the lease
    :param store: client of the platform's store
    :param workers: client of the workers
    :param rules: returns the rules of the bundle in force, None until the first is loaded
    :param wall_clock: returns seconds since the Unix epoch
    :param fleet: directory of the workers; by default a new one, which ``run`` polls
    :param withhold_renewals: makes every keeper stop renewing the leases of tasks, returns whether
        all have confirmed; by default the scheduler runs its own keeper for every worker,
        which is correct only if no other instance renews task leases
    :param payload: returns what a worker runs for a job
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
        withhold_renewals: Callable[[Sequence[ids.TaskId]], Awaitable[bool]] | None = None,
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
        self._keeper: keeper.LeaseKeeper | None = None
        if withhold_renewals is None:
            self._keeper = self._new_keeper()
        self._withhold_renewals = withhold_renewals or self._withhold_own_renewals
        self._payload = payload
        self._term: terms.Term | None = None
        self._closing = trio.Event()
        self._closed = trio.Event()

    @property
    def is_active(self) -> bool:
        """Return whether this instance is the partition's active scheduler."""
        return self._term is not None and self._term.is_active

    @property
    def can_answer(self) -> bool:
        """Return whether this instance holds the partition's jobs, even if its lease is lost."""
        return self._term is not None

    @property
    def epoch(self) -> ids.Epoch:
        """Return the epoch of the current term, 0 outside a term."""
        return ids.Epoch(0) if self._term is None else self._term.job_journal.epoch

    async def run(self) -> None:
        """Campaign for the lease and serve terms until ``shutdown``."""
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
        """Stop deciding and release the lease, so that another instance takes over immediately."""
        self._closing.set()
        await self._closed.wait()

    async def submit(
        self, spec: model.JobSpec, *, key: str | None, job: ids.JobId | None = None
    ) -> model.JobRecord:
        """Accept a job; its record is durable when this returns.

        :param spec: specification of the job
        :param key: the caller's deduplication key; two submissions with the same key are one job
        :param job: id of the job if a forwarding instance has assigned it, else None
        :return: the job's record
        :raises errors.BronzequayError: KEY_REUSED, VALUE_TOO_LARGE, or as ``Term.apply_event``
        """
        term = self._active_term()
        job = job or jobs.job_id(spec, key)
        jobs.check_sizes(spec, key)
        if key is None or await _find_record(term, job) is None:
            await term.apply_event(model.JobSubmitted(job, spec, key))
        record = _require_record(await _find_record(term, job), job)
        jobs.check_same_spec(record, spec)
        return record

    async def cancel(self, job_ids: Sequence[ids.JobId]) -> tuple[model.JobRecord, ...]:
        """Cancel jobs; the cancellations are durable when this returns.

        :param job_ids: ids of the jobs
        :return: the records of the jobs
        :raises errors.BronzequayError: UNKNOWN_JOB, or as ``Term.apply_event``
        """
        term = self._active_term()
        for job in job_ids:
            _require_record(await _find_record(term, job), job)
        async with trio.open_nursery() as nursery:
            failures: list[errors.BronzequayError] = []
            for job in job_ids:
                nursery.start_soon(_apply_or_collect, failures, term, model.JobCancelled(job))
        if failures:
            raise failures[0]
        try:
            return tuple(
                [_require_record(await term.job_journal.find(job), job) for job in job_ids]
            )
        except errors.BronzequayError as exc:
            message = f"the jobs may be cancelled: cannot read their records: {exc.message}"
            raise errors.BronzequayError(codes.ResultCode.OUTCOME_UNKNOWN, message) from exc

    async def get(self, job: ids.JobId) -> model.JobRecord:
        """Return a job's durable record.

        :raises errors.BronzequayError: UNKNOWN_JOB or NO_SCHEDULER
        """
        return _require_record(await _find_record(self._readable_term(), job), job)

    async def list(
        self,
        *,
        org: ids.OrgId | None = None,
        state: model.JobState | None = None,
        limit: int | None = None,
    ) -> tuple[model.JobRecord, ...]:
        """Return durable records, newest first.

        :param org: only jobs of this organisation, None for all
        :param state: only jobs in this state, None for all
        :param limit: maximum number of records, None for all
        :raises errors.BronzequayError: NO_SCHEDULER
        """
        is_wanted = record_filter(org=org, state=state)
        records = await self._readable_term().job_journal.scan(is_wanted=is_wanted, limit=limit)
        return newest_first(records, limit=limit)

    async def why(self, job: ids.JobId) -> str:
        """Explain what a job waits for.

        :raises errors.BronzequayError: UNKNOWN_JOB or NO_SCHEDULER
        """
        term = self._readable_term()
        record = _require_record(await _find_record(term, job), job)
        if job not in term.state.jobs:
            return f"the job is {record.state.value}"
        return core.why(term.state, job).text

    def on_listing(
        self, worker: ids.WorkerId, listing: tuple[client.Status, ...]
    ) -> tuple[ids.TaskId, ...]:
        """Process a worker's listing that a keeper received.

        :param worker: id of the worker
        :param listing: status of every task on the worker
        :return: tasks whose leases must no longer be renewed
        """
        if self._term is None or self._term.supervisor is None:
            return ()
        return self._term.supervisor.on_listing(worker, listing)

    def on_unreachable(self, worker: ids.WorkerId) -> None:
        """Process a keeper's report that a worker does not answer.

        :param worker: id of the worker
        """
        if self._term is not None and self._term.supervisor is not None:
            self._term.supervisor.on_unreachable(worker)

    def _new_keeper(self) -> keeper.LeaseKeeper:
        return keeper.LeaseKeeper(
            fleet=self._fleet,
            workers=self._workers,
            is_assigned=lambda _worker: True,
            on_listing=self._on_own_listing,
            on_unreachable=self._on_own_unreachable,
        )

    async def _on_own_listing(
        self, worker: ids.WorkerId, listing: tuple[client.Status, ...]
    ) -> tuple[ids.TaskId, ...]:
        return self.on_listing(worker, listing)

    async def _on_own_unreachable(self, worker: ids.WorkerId) -> None:
        self.on_unreachable(worker)

    async def _withhold_own_renewals(self, tasks: Sequence[ids.TaskId]) -> bool:
        if self._keeper is not None:
            self._keeper.withhold_renewals(tasks)
        return True

    def _active_term(self) -> terms.Term:
        if self._term is None or not self._term.is_active:
            raise _no_scheduler_error()
        return self._term

    def _readable_term(self) -> terms.Term:
        if self._term is None:
            raise _no_scheduler_error()
        return self._term

    async def _serve_terms(self) -> None:
        while True:
            while self._rules() is None:  # noqa: ASYNC110  # a query, not an event
                await trio.sleep(RULES_POLL_INTERVAL_S)
            holder = lease.Holder(self._instance, self._address, ids.Epoch(0))
            held_lease = await lease.campaign(self._store, self._partition, holder)
            try:
                await self._serve_term(held_lease)
            except* errors.BronzequayError as group:
                reason = lease.first_error(group)
                _log.warning("term_ended", partition=self._partition, reason=str(reason))
            finally:
                self._end_term()
                await lease.release(self._store, held_lease.lease_id)

    def _end_term(self) -> None:
        if self._term is not None:
            self._term.close()
            self._term = None

    async def _serve_term(self, held_lease: lease.HeldLease) -> None:
        """Take over and decide until the lease is lost or another scheduler has taken over."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lease.renew_until_lost, self._store, held_lease)
            job_journal = journal.Journal(store=self._store, partition=self._partition)
            records = await job_journal.take_over()
            with trio.move_on_after(FIRST_POLL_TIMEOUT_S):
                await self._fleet.first_poll_done.wait()
            term = self._new_term(held_lease, job_journal, records)
            holder = lease.Holder(self._instance, self._address, job_journal.epoch)
            await lease.publish_holder(self._store, self._partition, held_lease, holder)
            self._term = term
            _log.info("term_began", partition=self._partition, epoch=job_journal.epoch)
            stop_listening = self._fleet.add_listener(
                lambda known_worker: _emit_worker_event(term, known_worker)
            )
            for known_worker in self._fleet.known_workers.values():
                _emit_worker_event(term, known_worker)
            try:
                new_supervisor = terms.supervisor_factory(
                    workers=self._workers,
                    fleet=self._fleet,
                    withhold_renewals=self._withhold_renewals,
                    payload=self._payload,
                )
                await term.run(new_supervisor)
            finally:
                stop_listening()

    def _new_term(
        self,
        held_lease: lease.HeldLease,
        job_journal: journal.Journal,
        records: Sequence[model.JobRecord],
    ) -> terms.Term:
        rules = self._rules()
        assert rules is not None  # noqa: S101  # checked before the campaign
        specs = [
            known_worker.spec
            for known_worker in self._fleet.known_workers.values()
            if not known_worker.is_leaving
        ]
        state = core.new_state(rules=rules, workers=specs, jobs=records)
        return terms.Term(
            held_lease=held_lease,
            job_journal=job_journal,
            state=state,
            rules=self._rules,
            wall_clock=self._wall_clock,
        )


def record_filter(
    *, org: ids.OrgId | None, state: model.JobState | None
) -> Callable[[model.JobRecord], bool]:
    """Return a predicate that selects job records.

    :param org: organisation to select, None for all
    :param state: state to select, None for all
    """
    return lambda record: org in (None, record.spec.org) and state in (None, record.state)


def newest_first(
    records: Iterable[model.JobRecord], *, limit: int | None
) -> tuple[model.JobRecord, ...]:
    """Sort records by time of acceptance, the newest first.

    :param records: records in any order
    :param limit: maximum number of records to return, None for all
    :return: the sorted records
    """
    ordered = sorted(records, key=lambda record: (record.accepted_s, record.job), reverse=True)
    return tuple(ordered[:limit])


async def _find_record(term: terms.Term, job: ids.JobId) -> model.JobRecord | None:
    """Read a record; if the archive cannot be read, the command is refused as not run."""
    try:
        return await term.job_journal.find(job)
    except errors.BronzequayError as exc:
        message = f"not run: cannot read the job archive: {exc.message}"
        raise errors.BronzequayError(
            codes.ResultCode.STORE_UNAVAILABLE, message, retry_after_s=RETRY_AFTER_S
        ) from exc


async def _apply_or_collect(
    failures: list[errors.BronzequayError], term: terms.Term, event: model.Event
) -> None:
    try:
        await term.apply_event(event)
    except errors.BronzequayError as exc:
        failures.append(exc)


def _emit_worker_event(term: terms.Term, known_worker: fleets.KnownWorker) -> None:
    worker = known_worker.spec.worker
    if known_worker.is_removed:
        term.emit(model.WorkerLost(worker))
    elif not known_worker.is_leaving:
        term.emit(model.WorkerJoined(known_worker.spec))
    else:
        term.emit(model.WorkerLeaving(worker))


def _require_record(record: model.JobRecord | None, job: ids.JobId) -> model.JobRecord:
    if record is None:
        raise errors.BronzequayError(codes.ResultCode.UNKNOWN_JOB, f"unknown job {job}")
    return record


def _no_scheduler_error() -> errors.BronzequayError:
    return errors.BronzequayError(
        codes.ResultCode.NO_SCHEDULER,
        "not run: this instance is not the active scheduler",
        retry_after_s=RETRY_AFTER_S,
    )


__all__ = ["Scheduler", "default_payload", "newest_first", "record_filter"]
