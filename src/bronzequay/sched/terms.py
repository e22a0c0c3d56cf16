"""One term of the active scheduler: from its takeover to the loss of its lease."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors, ids
from bronzequay.policy import core, lifecycle, model
from bronzequay.sched import gang, gang_supervisor, jobs, journal, lease

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from bronzequay.work import client
    from bronzequay.work import fleet as fleets

COMMIT_TIMEOUT_S = 5.0
TICK_INTERVAL_S = 1.0
RETRY_AFTER_S = 1.0
MAX_QUEUED_EVENTS = 20_000


class QueuedEvent:
    """An event queued for the scheduling core, and its result.

    :param event: the event
    """

    def __init__(self, event: model.Event) -> None:
        self.event = event
        self.is_in_batch = False
        self.done = trio.Event()
        self.error: errors.BronzequayError | None = None

    def finish(self, error: errors.BronzequayError | None) -> None:
        """Record the result and wake the caller that waits for it."""
        self.error = error
        self.done.set()


class Term:
    """State of the active scheduler during one term.

    :param held_lease: the partition's lease
    :param job_journal: the journal after its takeover
    :param state: state of the core, built from the journal
    :param rules: returns the rules of the bundle in force
    :param wall_clock: returns seconds since the Unix epoch
    """

    def __init__(
        self,
        *,
        held_lease: lease.HeldLease,
        job_journal: journal.Journal,
        state: core.State,
        rules: Callable[[], model.Rules | None],
        wall_clock: Callable[[], float],
    ) -> None:
        self.held_lease = held_lease
        self.job_journal = job_journal
        self.state = state
        self.supervisor: gang_supervisor.GangSupervisor | None = None
        self._rules = rules
        self._wall_clock = wall_clock
        self._queue: list[QueuedEvent] = []
        self._batch: list[QueuedEvent] = []
        self._wake = trio.Event()
        self._is_closed = False

    @property
    def is_active(self) -> bool:
        """Return whether the lease is certainly still held and the term is open."""
        return self.held_lease.is_valid and not self._is_closed

    def emit(self, event: model.Event) -> QueuedEvent:
        """Queue an event for the core.

        :param event: the event
        :return: the queued event, whose ``done`` is set once its records are durable
        """
        queued_event = QueuedEvent(event)
        self._queue.append(queued_event)
        self._wake.set()
        return queued_event

    async def apply_event(self, event: model.Event) -> None:
        """Queue a caller's event and wait until its records are durable.

        :param event: a submission or cancellation
        :raises errors.BronzequayError: STORE_UNAVAILABLE, QUEUE_FULL or NO_SCHEDULER if it
            was not applied, OUTCOME_UNKNOWN if it may have been
        """
        if len(self._queue) >= MAX_QUEUED_EVENTS:
            raise _not_run_error(codes.ResultCode.QUEUE_FULL, "the scheduler's event queue is full")
        if self.job_journal.is_blocked:
            raise _not_run_error(
                codes.ResultCode.STORE_UNAVAILABLE, "the journal cannot be written"
            )
        queued_event = self.emit(event)
        with trio.move_on_after(COMMIT_TIMEOUT_S):
            await queued_event.done.wait()
        if queued_event.error is not None:
            raise queued_event.error
        if queued_event.done.is_set():
            return
        if queued_event.is_in_batch:
            raise _outcome_unknown_error()
        self._queue.remove(queued_event)
        raise _not_run_error(codes.ResultCode.STORE_UNAVAILABLE, "the journal cannot be written")

    async def run(
        self, supervisor_factory: Callable[[Term, trio.Nursery], gang_supervisor.GangSupervisor]
    ) -> None:
        """Apply queued events until cancelled or fenced.

        :param supervisor_factory: builds the supervisor of the attempts
        :raises errors.BronzequayError: FENCED
        """
        async with trio.open_nursery() as nursery:
            self.supervisor = supervisor_factory(self, nursery)
            for record in list(self.state.jobs.values()):
                if record.state in model.PLACED_STATES:
                    self.supervisor.adopt(record)
            nursery.start_soon(self._emit_ticks)
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                await self._process_batch(self.supervisor)

    def close(self) -> None:
        """End the term and fail every pending event."""
        self._is_closed = True
        for queued_event in self._queue:
            queued_event.finish(
                _not_run_error(codes.ResultCode.NO_SCHEDULER, "this scheduler's term has ended")
            )
        for queued_event in self._batch:
            queued_event.finish(_outcome_unknown_error())
        self._queue.clear()
        self._batch.clear()

    async def _process_batch(self, supervisor: gang_supervisor.GangSupervisor) -> None:
        """Apply all queued events, make the changes durable, then execute the commands."""
        self._batch, self._queue = self._queue, []
        commands: list[model.Command] = []
        for queued_event in self._admit_batch():
            queued_event.is_in_batch = True
            commands.extend(self._apply(queued_event.event))
        events = [queued_event.event for queued_event in self._batch]
        records = core.pop_dirty(self.state)
        await self.job_journal.commit(records)
        for queued_event in self._batch:
            queued_event.finish(None)
        self._batch = []
        for record in records:
            if record.state not in model.PLACED_STATES:
                supervisor.remove(record.job)
        for command in commands:
            record = self.state.jobs[command.job]
            if record.attempt == command.attempt and record.state in model.PLACED_STATES:
                supervisor.execute(command, is_idempotent=record.spec.idempotent)
        if any(isinstance(event, model.Tick) for event in events):
            for job in await self.job_journal.compact():
                core.forget(self.state, job)

    def _admit_batch(self) -> list[QueuedEvent]:
        """Return the batch's events whose records fit; new jobs for a full bucket are refused."""
        admitted: list[QueuedEvent] = []
        pending_bytes: collections.Counter[int] = collections.Counter()
        for queued_event in self._batch:
            event = queued_event.event
            if isinstance(event, model.JobSubmitted) and event.job not in self.state.jobs:
                number = journal.bucket_of(event.job)
                pending_bytes[number] += jobs.max_record_bytes(event.spec)
                if not self.job_journal.has_room(event.job, pending_bytes[number]):
                    pending_bytes[number] -= jobs.max_record_bytes(event.spec)
                    queued_event.finish(
                        _not_run_error(
                            codes.ResultCode.QUEUE_FULL, "the job's journal bucket is full"
                        )
                    )
                    continue
            admitted.append(queued_event)
        self._batch = admitted
        return admitted

    def _apply(self, event: model.Event) -> Sequence[model.Command]:
        if isinstance(event, model.JobSubmitted) and event.job in self.state.jobs:
            return ()
        if isinstance(event, model.JobCancelled) and event.job not in self.state.jobs:
            return ()
        return core.step(self.state, event, now_s=self._wall_clock())

    async def _emit_ticks(self) -> None:
        while True:
            await trio.sleep(TICK_INTERVAL_S)
            rules = self._rules()
            if rules is not None and rules.version > self.state.rules.version:
                self.emit(model.RulesChanged(rules))
            self.emit(model.Tick())


def _not_run_error(code: codes.ResultCode, reason: str) -> errors.BronzequayError:
    return errors.BronzequayError(code, f"not run: {reason}", retry_after_s=RETRY_AFTER_S)


def _outcome_unknown_error() -> errors.BronzequayError:
    message = "the journal write was not confirmed in time; the change may have taken effect"
    return errors.BronzequayError(codes.ResultCode.OUTCOME_UNKNOWN, message)


def _emit(term: Term, event: model.Event) -> None:
    term.emit(event)


def supervisor_factory(
    *,
    workers: client.WorkerClient,
    fleet: fleets.Fleet,
    withhold_renewals: Callable[[Sequence[ids.TaskId]], Awaitable[bool]],
    payload: Callable[[model.JobSpec], bytes],
) -> Callable[[Term, trio.Nursery], gang_supervisor.GangSupervisor]:
    """Return a factory of supervisors, one for each term.

    :param workers: client of the workers
    :param fleet: directory of the workers
    :param withhold_renewals: makes every keeper stop renewing the leases of tasks
    :param payload: returns what a worker runs for a job
    :return: builds the supervisor of a term's attempts
    """

    def build(term: Term, nursery: trio.Nursery) -> gang_supervisor.GangSupervisor:
        def is_current(job: ids.JobId, number: int) -> bool:
            record = term.state.jobs.get(job)
            is_placed = record is not None and record.state in model.PLACED_STATES
            return is_placed and record is not None and record.attempt == number

        context = gang.TermContext(
            workers=workers,
            fleet=fleet,
            epoch=term.job_journal.epoch,
            is_active=lambda: term.is_active,
            emit=lambda event: _emit(term, event),
            attained_s=lambda job, member: lifecycle.attained_by(term.state.jobs[job], member),
            withhold_renewals=withhold_renewals,
            payload=payload,
        )
        return gang_supervisor.GangSupervisor(
            context=context,
            nursery=nursery,
            is_current=is_current,
            spec_of=lambda job: term.state.jobs[job].spec,
        )

    return build


__all__ = ["QueuedEvent", "Term", "supervisor_factory"]
