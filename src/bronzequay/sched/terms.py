"""One term of the active scheduler: from its takeover to the loss of its lease."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors, ids
from bronzequay.policy import core, model
from bronzequay.sched import gang, jobs, journal, lease, watch

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from bronzequay.work import client
    from bronzequay.work import fleet as fleets

SUBMIT_TIMEOUT_S = 5.0
TICK_S = 1.0
RETRY_AFTER_S = 1.0
MAX_WAITING_ITEMS = 20_000


class Item:
    """An event on its way to the core, and what became of it.

    :param event: what happened
    """

    def __init__(self, event: model.Event) -> None:
        self.event = event
        self.is_taken = False
        self.done = trio.Event()
        self.error: errors.BronzequayError | None = None

    def finish(self, error: errors.BronzequayError | None) -> None:
        """Wake whoever waits for the event."""
        self.error = error
        self.done.set()


class Term:
    """State of the active scheduler.

    :param held: the lease
    :param durable: the journal, after its takeover
    :param state: the core's state, built from the journal
    :param rules: the bundle in force
    :param wall_clock: seconds since the Unix epoch
    """

    def __init__(
        self,
        *,
        held: lease.Held,
        durable: journal.Journal,
        state: core.State,
        rules: Callable[[], model.Rules | None],
        wall_clock: Callable[[], float],
    ) -> None:
        self.held = held
        self.durable = durable
        self.state = state
        self.watch: watch.Watch | None = None
        self._rules = rules
        self._wall_clock = wall_clock
        self._items: list[Item] = []
        self._taken: list[Item] = []
        self._wake = trio.Event()
        self._is_over = False

    @property
    def is_active(self) -> bool:
        """Return whether no other scheduler can hold the lease."""
        return self.held.is_valid and not self._is_over

    def emit(self, event: model.Event) -> Item:
        """Queue an event for the core.

        :param event: what happened
        :return: the queued item
        """
        item = Item(event)
        self._items.append(item)
        self._wake.set()
        return item

    async def decide(self, event: model.Event) -> None:
        """Queue a caller's event and wait until its records are durable.

        :param event: a submission or cancellation
        :raises errors.BronzequayError: STORE_UNAVAILABLE, QUEUE_FULL or NO_SCHEDULER when it
            was not carried out, OUTCOME_UNKNOWN when that cannot be told
        """
        if len(self._items) >= MAX_WAITING_ITEMS:
            raise _refusal(codes.ResultCode.QUEUE_FULL, "too many events wait for the scheduler")
        if self.durable.is_blocked:
            raise _refusal(codes.ResultCode.STORE_UNAVAILABLE, "the journal cannot be written")
        item = self.emit(event)
        with trio.move_on_after(SUBMIT_TIMEOUT_S):
            await item.done.wait()
        if item.error is not None:
            raise item.error
        if item.done.is_set():
            return
        if item.is_taken:
            raise _unknown()
        self._items.remove(item)
        raise _refusal(codes.ResultCode.STORE_UNAVAILABLE, "the journal cannot be written")

    async def run(self, open_watch: Callable[[Term, trio.Nursery], watch.Watch]) -> None:
        """Decide until cancelled or fenced.

        :param open_watch: builds what follows the attempts
        :raises errors.BronzequayError: FENCED
        """
        async with trio.open_nursery() as nursery:
            self.watch = open_watch(self, nursery)
            for record in list(self.state.jobs.values()):
                if record.state in model.PLACED_STATES:
                    self.watch.adopt(record)
            nursery.start_soon(self._tick)
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                await self._step_all(self.watch)

    def close(self) -> None:
        """End the term and tell whoever still waits."""
        self._is_over = True
        for item in self._items:
            item.finish(_refusal(codes.ResultCode.NO_SCHEDULER, "the scheduler has changed"))
        for item in self._taken:
            item.finish(_unknown())
        self._items.clear()
        self._taken.clear()

    async def _step_all(self, following: watch.Watch) -> None:
        """Apply every queued event, make the changes durable, then act on them."""
        self._taken, self._items = self._items, []
        commands: list[model.Command] = []
        for item in self._admitted():
            item.is_taken = True
            commands.extend(self._step(item.event))
        events = [item.event for item in self._taken]
        records = core.pop_dirty(self.state)
        await self.durable.commit(records)
        for item in self._taken:
            item.finish(None)
        self._taken = []
        for record in records:
            if record.state not in model.PLACED_STATES:
                following.forget(record.job)
        for command in commands:
            record = self.state.jobs[command.job]
            if record.attempt == command.attempt and record.state in model.PLACED_STATES:
                following.carry_out(command, is_idempotent=record.spec.idempotent)
        if any(isinstance(event, model.Tick) for event in events):
            for job in await self.durable.compact():
                core.forget(self.state, job)

    def _admitted(self) -> list[Item]:
        """Return the taken items whose records fit; a new job of a full bucket is refused."""
        admitted: list[Item] = []
        waiting: collections.Counter[int] = collections.Counter()
        for item in self._taken:
            event = item.event
            if isinstance(event, model.JobSubmitted) and event.job not in self.state.jobs:
                number = journal.bucket_of(event.job)
                waiting[number] += jobs.record_size(event.spec)
                if not self.durable.has_room(event.job, waiting[number]):
                    waiting[number] -= jobs.record_size(event.spec)
                    item.finish(_refusal(codes.ResultCode.QUEUE_FULL, "the job store is full"))
                    continue
            admitted.append(item)
        self._taken = admitted
        return admitted

    def _step(self, event: model.Event) -> Sequence[model.Command]:
        if isinstance(event, model.JobSubmitted) and event.job in self.state.jobs:
            return ()
        if isinstance(event, model.JobCancelled) and event.job not in self.state.jobs:
            return ()
        return core.step(self.state, event, now_s=self._wall_clock())

    async def _tick(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            rules = self._rules()
            if rules is not None and rules.version > self.state.rules.version:
                self.emit(model.RulesChanged(rules))
            self.emit(model.Tick())


def _refusal(code: codes.ResultCode, reason: str) -> errors.BronzequayError:
    return errors.BronzequayError(code, f"not run: {reason}", retry_after_s=RETRY_AFTER_S)


def _unknown() -> errors.BronzequayError:
    message = "the journal did not confirm the change in time; it may have taken effect"
    return errors.BronzequayError(codes.ResultCode.OUTCOME_UNKNOWN, message)


def _emit(term: Term, event: model.Event) -> None:
    term.emit(event)


def open_watch(
    *,
    workers: client.WorkerClient,
    fleet: fleets.Fleet,
    withhold: Callable[[Sequence[ids.TaskId]], Awaitable[bool]],
    payload: Callable[[model.JobSpec], bytes],
) -> Callable[[Term, trio.Nursery], watch.Watch]:
    """Bind what a term's attempts need.

    :param workers: calls to workers
    :param fleet: addresses of workers
    :param withhold: has every keeper stop renewing tasks
    :param payload: what a worker is to run for a job
    :return: builds the watch of a term
    """

    def build(term: Term, nursery: trio.Nursery) -> watch.Watch:
        def is_current(job: ids.JobId, number: int) -> bool:
            record = term.state.jobs.get(job)
            placed = record is not None and record.state in model.PLACED_STATES
            return placed and record is not None and record.attempt == number

        shell = gang.Shell(
            workers=workers,
            fleet=fleet,
            epoch=term.durable.epoch,
            is_active=lambda: term.is_active,
            emit=lambda event: _emit(term, event),
            attained_s=lambda job: term.state.jobs[job].attained_s,
            withhold=withhold,
            payload=payload,
        )
        return watch.Watch(
            shell=shell,
            nursery=nursery,
            is_current=is_current,
            declared=lambda job: term.state.jobs[job].spec,
        )

    return build


__all__ = ["Item", "Term", "open_watch"]
