"""Supervises placed gangs: members run only while every member's worker answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from bronzequay import errors, ids
from bronzequay.policy import model
from bronzequay.sched import attempt as attempts
from bronzequay.sched import gang as gangs
from bronzequay.work import client, keeper, tasks

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Any

    Method = Callable[..., Awaitable[Any]]
    Call = Callable[..., Awaitable[Any]]

PROBE_INTERVAL_S = 1.0
WORKER_LOST_AFTER_S = 3 * keeper.TASK_TTL_S


class GangSupervisor:
    """Starts, releases and stops attempts and reports their ends to the core.

    :param context: the term's clients and callbacks
    :param nursery: the term's nursery
    :param is_current: returns whether a job's record has an attempt as placed
    :param spec_of: returns the specification of a job that has a record
    """

    def __init__(
        self,
        *,
        context: gangs.TermContext,
        nursery: trio.Nursery,
        is_current: Callable[[ids.JobId, int], bool],
        spec_of: Callable[[ids.JobId], model.JobSpec],
    ) -> None:
        self._context = context
        self._nursery = nursery
        self._is_current = is_current
        self._spec_of = spec_of
        self._usage: dict[ids.WorkerId, tuple[model.TaskUsage, ...]] = {}
        self._attempts: dict[ids.JobId, attempts.Attempt] = {}
        self._suspects: set[ids.WorkerId] = set()
        self._probing: set[ids.WorkerId] = set()

    def execute(self, command: model.Command, *, is_idempotent: bool) -> None:
        """Start executing a command whose records are durable.

        :param command: the core's command
        :param is_idempotent: whether the job may run again without a checkpoint
        """
        if isinstance(command, model.StartGang):
            attempt = self._add_attempt(
                command, attempts.Phase.STARTING, is_idempotent=is_idempotent
            )
            self._spawn(gangs.start, self._context, attempt, command)
        elif isinstance(command, model.ReleaseGang):
            self._release(command, is_idempotent=is_idempotent)
        else:
            self._stop(command, is_idempotent=is_idempotent)

    def adopt(self, record: model.JobRecord) -> None:
        """Continue an attempt that an earlier scheduler started.

        :param record: record of a job in a placed state
        """
        command = _ADOPT_COMMANDS[record.state](record)
        self.execute(command, is_idempotent=record.spec.idempotent)

    def remove(self, job: ids.JobId) -> None:
        """Stop tracking a job that is no longer placed."""
        self._attempts.pop(job, None)

    def on_listing(
        self, worker: ids.WorkerId, listing: tuple[client.Status, ...]
    ) -> tuple[ids.TaskId, ...]:
        """Apply a worker's listing that a keeper received.

        :param worker: id of the worker
        :param listing: status of every task on the worker
        :return: tasks of stopping attempts, whose leases must no longer be renewed
        """
        self._apply_statuses(worker, listing)
        self._report_usage(worker, listing)
        listed = {status.task for status in listing}
        for attempt in list(self._attempts.values()):
            if attempt.phase is not attempts.Phase.RUNNING or worker not in attempt.tasks_by_worker:
                continue
            self._report_outcome(attempt)
            if not listed.issuperset(attempt.live_tasks(worker)):
                self.on_unreachable(worker)
        return tuple(
            task
            for attempt in self._attempts.values()
            if attempt.phase is attempts.Phase.STOPPING
            for task in attempt.tasks_by_worker.get(worker, ())
        )

    def _report_usage(self, worker: ids.WorkerId, listing: tuple[client.Status, ...]) -> None:
        """Report tasks that use more than declared to the core, if the report has changed."""
        excess = tuple(
            usage for status in listing if (usage := self._excess_usage(status)) is not None
        )
        if excess != self._usage.get(worker, ()):
            self._usage[worker] = excess
            self._context.emit(model.UsageReported(worker, excess))

    def _excess_usage(self, status: client.Status) -> model.TaskUsage | None:
        key = tasks.parse(status.task)
        if key is None or status.state not in client.LIVE_STATES:
            return None
        attempt = self._attempts.get(key.job)
        if attempt is None or attempt.number != key.attempt:
            return None
        spec = self._spec_of(key.job)
        if status.cpu_used <= spec.cpu and status.mem_gb_used <= spec.mem_gb:
            return None
        cpu, mem_gb = math.ceil(status.cpu_used), math.ceil(status.mem_gb_used)
        return model.TaskUsage(key.job, key.attempt, key.member, cpu, mem_gb)

    def _apply_statuses(self, worker: ids.WorkerId, listing: tuple[client.Status, ...]) -> None:
        for status in listing:
            key = tasks.parse(status.task)
            if key is None:
                continue
            attempt = self._attempts.get(key.job)
            if attempt is not None and attempt.number == key.attempt:
                attempt.update_statuses([status])
            elif status.state in client.LIVE_STATES and not self._is_current(key.job, key.attempt):
                self._spawn(self._stop_orphan, worker, status.task)

    def on_unreachable(self, worker: ids.WorkerId) -> None:
        """Probe a worker that a keeper could not reach, unless a probe is running.

        :param worker: id of the worker
        """
        if worker not in self._probing:
            self._probing.add(worker)
            self._spawn(self._probe, worker)

    def _spawn(self, func: Callable[..., Awaitable[None]], *args: object) -> None:
        self._nursery.start_soon(func, *args)

    def _current_attempt(self, command: model.Command) -> attempts.Attempt | None:
        attempt = self._attempts.get(command.job)
        return attempt if attempt is not None and attempt.number == command.attempt else None

    def _add_attempt(
        self, command: model.Command, phase: attempts.Phase, *, is_idempotent: bool
    ) -> attempts.Attempt:
        attempt = attempts.Attempt(
            command.job,
            command.attempt,
            command.placements,
            phase=phase,
            is_idempotent=is_idempotent,
        )
        self._attempts[command.job] = attempt
        return attempt

    def _release(self, command: model.ReleaseGang, *, is_idempotent: bool) -> None:
        attempt = self._current_attempt(command) or self._add_attempt(
            command, attempts.Phase.RUNNING, is_idempotent=is_idempotent
        )
        attempt.phase = attempts.Phase.RUNNING
        attempt.was_released = True
        attempt.scope = trio.CancelScope()
        self._spawn(self._drive_attempt, attempt)

    def _stop(self, command: model.StopGang, *, is_idempotent: bool) -> None:
        """Stop an attempt; a repeated command can only turn a checkpoint into a plain stop."""
        attempt = self._current_attempt(command) or self._add_attempt(
            command, attempts.Phase.STOPPING, is_idempotent=is_idempotent
        )
        if attempt.stop_mode is None:
            attempt.stop_mode = command.mode
            self._spawn(gangs.stop, self._context, attempt)
        elif command.mode is model.StopMode.STOP:
            attempt.stop_mode = command.mode

    async def _drive_attempt(self, attempt: attempts.Attempt) -> None:
        """Keep members released while all their workers answer, and held otherwise."""
        with attempt.scope:
            while attempt.phase is attempts.Phase.RUNNING:
                attempt.wake = trio.Event()
                is_settled = await self._drive_once(attempt)
                self._report_outcome(attempt)
                with trio.move_on_after(math.inf if is_settled else gangs.RETRY_INTERVAL_S):
                    await attempt.wake.wait()

    async def _drive_once(self, attempt: attempts.Attempt) -> bool:
        if attempt.first_failure() is not None:
            return True
        if not self._suspects.isdisjoint(attempt.live_workers()):
            return await self._call_live_workers(
                attempt, self._context.call, self._context.workers.throttle
            )
        if not attempt.is_verified:
            attempt.is_verified = await self._call_live_workers(
                attempt, self._context.call, self._query_statuses
            )
            return False
        return await self._call_live_workers(
            attempt, self._context.call_active, self._context.workers.release
        )

    async def _call_live_workers(
        self, attempt: attempts.Attempt, call: Call, method: Method
    ) -> bool:
        """Call every worker of the attempt that is not suspected; False if any did not answer."""
        unreachable: list[ids.WorkerId] = []
        async with trio.open_nursery() as nursery:
            for worker in attempt.live_workers():
                if worker not in self._suspects:
                    nursery.start_soon(
                        self._call_worker, attempt, worker, call, method, unreachable
                    )
        for worker in unreachable:
            self._suspects.add(worker)
            self.on_unreachable(worker)
        return not unreachable

    async def _call_worker(
        self,
        attempt: attempts.Attempt,
        worker: ids.WorkerId,
        call: Call,
        method: Method,
        unreachable: list[ids.WorkerId],
    ) -> None:
        try:
            attempt.update_statuses(await call(method, worker, attempt.live_tasks(worker)))
        except errors.BronzequayError as exc:
            if not client.is_unreachable(exc):
                raise
            unreachable.append(worker)

    async def _query_statuses(
        self, address: str, task_ids: list[ids.TaskId]
    ) -> list[client.Status]:
        """Return the status of tasks; a task that the worker does not list is UNKNOWN."""
        renewal = await self._context.workers.renew(address, (), ttl_s=keeper.TASK_TTL_S)
        listed = {status.task: status for status in renewal.tasks}
        unknown = client.TaskState.UNKNOWN
        return [listed.get(task, client.Status(task, 0, unknown)) for task in task_ids]

    def _report_outcome(self, attempt: attempts.Attempt) -> None:
        """Report to the core that the gang has finished or that a member has failed."""
        if attempt.phase is not attempts.Phase.RUNNING:
            return
        failure = attempt.first_failure()
        if failure is not None:
            attempt.phase = attempts.Phase.STOPPING
            self._context.emit(failure)
        elif attempt.has_succeeded():
            attempt.phase = attempts.Phase.OVER
            self._context.emit(model.GangFinished(attempt.job, attempt.number))
        else:
            return
        attempt.wake_driver()

    async def _probe(self, worker: ids.WorkerId) -> None:
        """Probe a worker until it answers or is removed.

        Its gangs are held meanwhile and fail when their leases expire.
        """
        started_s = trio.current_time()
        is_reported_lost = False
        while not await self._probe_once(worker):
            self._suspects.add(worker)
            unanswered_s = trio.current_time() - started_s
            for attempt in self._running_attempts_on(worker):
                if unanswered_s >= keeper.TASK_TTL_S:
                    self._fail_attempt(attempt, worker)
                attempt.wake_driver()
            if unanswered_s >= WORKER_LOST_AFTER_S and not is_reported_lost:
                is_reported_lost = True
                self._context.emit(model.WorkerLost(worker))
            if is_reported_lost and self._context.fleet.address(worker) is None:
                break
            await trio.sleep(PROBE_INTERVAL_S)
        self._suspects.discard(worker)
        self._probing.discard(worker)
        for attempt in self._running_attempts_on(worker):
            attempt.wake_driver()
        known_worker = self._context.fleet.known_workers.get(worker)
        if is_reported_lost and known_worker is not None:
            self._context.emit(model.WorkerJoined(known_worker.spec))

    def _running_attempts_on(self, worker: ids.WorkerId) -> list[attempts.Attempt]:
        running = attempts.Phase.RUNNING
        return [
            attempt
            for attempt in self._attempts.values()
            if attempt.phase is running and attempt.live_tasks(worker)
        ]

    def _fail_attempt(self, attempt: attempts.Attempt, worker: ids.WorkerId) -> None:
        attempt.phase = attempts.Phase.STOPPING
        fault = model.MemberFault.WORKER_LOST
        self._context.emit(model.MemberFailed(attempt.job, attempt.number, worker, fault))

    async def _probe_once(self, worker: ids.WorkerId) -> bool:
        """Query a worker's tasks and renew the leases of live ones; False if it does not answer."""
        attempts_there = self._running_attempts_on(worker)
        task_ids = [task for attempt in attempts_there for task in attempt.live_tasks(worker)]
        try:
            statuses = await self._context.call(self._query_statuses, worker, task_ids)
            for attempt in attempts_there:
                attempt.update_statuses(statuses)
            live_tasks = [task for attempt in attempts_there for task in attempt.live_tasks(worker)]
            await self._context.call(self._renew, worker, live_tasks)
        except errors.BronzequayError as exc:
            if not client.is_unreachable(exc):
                raise
            return False
        for attempt in attempts_there:
            self._report_outcome(attempt)
        return True

    async def _renew(self, address: str, task_ids: list[ids.TaskId]) -> None:
        await self._context.workers.renew(address, task_ids, ttl_s=keeper.TASK_TTL_S)

    async def _stop_orphan(self, worker: ids.WorkerId, task: ids.TaskId) -> None:
        try:
            await self._context.call_active(self._context.workers.stop, worker, [task])
        except errors.BronzequayError as exc:
            if not client.is_unreachable(exc):
                raise


def _start_command(record: model.JobRecord) -> model.Command:
    return model.StartGang(record.job, record.attempt, record.spec, record.placements)


def _release_command(record: model.JobRecord) -> model.Command:
    return model.ReleaseGang(record.job, record.attempt, record.placements)


def _stop_command(mode: model.StopMode) -> Callable[[model.JobRecord], model.Command]:
    return lambda record: model.StopGang(record.job, record.attempt, record.placements, mode)


_ADOPT_COMMANDS: dict[model.JobState, Callable[[model.JobRecord], model.Command]] = {
    model.JobState.STARTING: _start_command,
    model.JobState.RUNNING: _release_command,
    model.JobState.RECLAIMING: _stop_command(model.StopMode.CHECKPOINT),
    model.JobState.CANCELLING: _stop_command(model.StopMode.STOP),
    model.JobState.IN_DOUBT: _stop_command(model.StopMode.STOP),
}

__all__ = ["GangSupervisor"]
