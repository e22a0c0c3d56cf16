"""Follows running gangs: members work only while none is missing."""

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

PROBE_S = 1.0
GONE_S = 3 * keeper.TASK_TTL_S


class Watch:
    """Every attempt that the active scheduler follows.

    :param shell: the term's tools
    :param nursery: the term's nursery
    :param is_current: whether the records name an attempt as placed
    :param declared: the specification of a job that the records name
    """

    def __init__(
        self,
        *,
        shell: gangs.Shell,
        nursery: trio.Nursery,
        is_current: Callable[[ids.JobId, int], bool],
        declared: Callable[[ids.JobId], model.JobSpec],
    ) -> None:
        self._shell = shell
        self._nursery = nursery
        self._is_current = is_current
        self._declared = declared
        self._usage: dict[ids.WorkerId, tuple[model.TaskUsage, ...]] = {}
        self._attempts: dict[ids.JobId, attempts.Attempt] = {}
        self._suspects: set[ids.WorkerId] = set()
        self._probed: set[ids.WorkerId] = set()

    def carry_out(self, command: model.Command, *, is_idempotent: bool) -> None:
        """Start carrying out a command whose records are durable.

        :param command: the core's command
        :param is_idempotent: whether the job may be started again
        """
        if isinstance(command, model.StartGang):
            gang = self._add(command, attempts.Phase.STARTING, is_idempotent=is_idempotent)
            self._spawn(gangs.start, self._shell, gang, command)
        elif isinstance(command, model.ReleaseGang):
            self._release(command, is_idempotent=is_idempotent)
        else:
            self._stop(command, is_idempotent=is_idempotent)

    def adopt(self, record: model.JobRecord) -> None:
        """Go on with an attempt of an earlier scheduler.

        :param record: a job in a placed state
        """
        command = _ADOPTIONS[record.state](record)
        self.carry_out(command, is_idempotent=record.spec.idempotent)

    def forget(self, job: ids.JobId) -> None:
        """Drop a job that is placed no longer."""
        self._attempts.pop(job, None)

    def on_listing(
        self, worker: ids.WorkerId, listing: tuple[client.Status, ...]
    ) -> tuple[ids.TaskId, ...]:
        """Apply a worker's listing, as a keeper received it.

        :param worker: the worker
        :param listing: every task on it
        :return: tasks that are to be renewed no longer
        """
        self._note(worker, listing)
        self._report_usage(worker, listing)
        listed = {status.task for status in listing}
        for gang in list(self._attempts.values()):
            if gang.phase is not attempts.Phase.RUNNING or worker not in gang.by_worker:
                continue
            self._judge(gang)
            if not listed.issuperset(gang.live(worker)):
                self.on_silence(worker)
        return tuple(
            task
            for gang in self._attempts.values()
            if gang.phase is attempts.Phase.STOPPING
            for task in gang.by_worker.get(worker, ())
        )

    def _report_usage(self, worker: ids.WorkerId, listing: tuple[client.Status, ...]) -> None:
        """Tell the core of tasks that use more than declared, each change once."""
        found = tuple(usage for status in listing if (usage := self._excess(status)) is not None)
        if found != self._usage.get(worker, ()):
            self._usage[worker] = found
            self._shell.emit(model.UsageReported(worker, found))

    def _excess(self, status: client.Status) -> model.TaskUsage | None:
        key = tasks.parse(status.task)
        if key is None or status.state not in client.LIVE_STATES:
            return None
        gang = self._attempts.get(key.job)
        if gang is None or gang.number != key.attempt:
            return None
        spec = self._declared(key.job)
        if status.cpu_used <= spec.cpu and status.mem_gb_used <= spec.mem_gb:
            return None
        cpu, mem_gb = math.ceil(status.cpu_used), math.ceil(status.mem_gb_used)
        return model.TaskUsage(key.job, key.attempt, key.member, cpu, mem_gb)

    def _note(self, worker: ids.WorkerId, listing: tuple[client.Status, ...]) -> None:
        for status in listing:
            key = tasks.parse(status.task)
            if key is None:
                continue
            gang = self._attempts.get(key.job)
            if gang is not None and gang.number == key.attempt:
                gang.note([status])
            elif status.state in client.LIVE_STATES and not self._is_current(key.job, key.attempt):
                self._spawn(self._stop_orphan, worker, status.task)

    def on_silence(self, worker: ids.WorkerId) -> None:
        """Ask a worker that a keeper could not reach.

        :param worker: the worker
        """
        if worker not in self._probed:
            self._probed.add(worker)
            self._spawn(self._probe, worker)

    def _spawn(self, func: Callable[..., Awaitable[None]], *args: object) -> None:
        self._nursery.start_soon(func, *args)

    def _get(self, command: model.Command) -> attempts.Attempt | None:
        gang = self._attempts.get(command.job)
        return gang if gang is not None and gang.number == command.attempt else None

    def _add(
        self, command: model.Command, phase: attempts.Phase, *, is_idempotent: bool
    ) -> attempts.Attempt:
        gang = attempts.Attempt(
            command.job,
            command.attempt,
            command.placements,
            phase=phase,
            is_idempotent=is_idempotent,
        )
        self._attempts[command.job] = gang
        return gang

    def _release(self, command: model.ReleaseGang, *, is_idempotent: bool) -> None:
        gang = self._get(command) or self._add(
            command, attempts.Phase.RUNNING, is_idempotent=is_idempotent
        )
        gang.phase = attempts.Phase.RUNNING
        gang.was_released = True
        gang.scope = trio.CancelScope()
        self._spawn(self._run, gang)

    def _stop(self, command: model.StopGang, *, is_idempotent: bool) -> None:
        """Stop an attempt once; a repeated command can only end the wait for a checkpoint."""
        gang = self._get(command) or self._add(
            command, attempts.Phase.STOPPING, is_idempotent=is_idempotent
        )
        if gang.stop_mode is None:
            gang.stop_mode = command.mode
            self._spawn(gangs.stop, self._shell, gang)
        elif command.mode is model.StopMode.STOP:
            gang.stop_mode = command.mode

    async def _run(self, gang: attempts.Attempt) -> None:
        """Keep members released while none is missing, else throttled."""
        with gang.scope:
            while gang.phase is attempts.Phase.RUNNING:
                gang.wake = trio.Event()
                is_settled = await self._drive(gang)
                self._judge(gang)
                with trio.move_on_after(math.inf if is_settled else gangs.RETRY_S):
                    await gang.wake.wait()

    async def _drive(self, gang: attempts.Attempt) -> bool:
        if gang.fault() is not None:
            return True
        if not self._suspects.isdisjoint(gang.live_workers()):
            return await self._on_all(gang, self._shell.call, self._shell.workers.throttle)
        if not gang.is_verified:
            gang.is_verified = await self._on_all(gang, self._shell.call, self._ask)
            return False
        return await self._on_all(gang, self._shell.call_active, self._shell.workers.release)

    async def _on_all(self, gang: attempts.Attempt, call: Call, method: Method) -> bool:
        """Call every worker of the gang that is not suspect; False when one did not answer."""
        missed: list[ids.WorkerId] = []
        async with trio.open_nursery() as nursery:
            for worker in gang.live_workers():
                if worker not in self._suspects:
                    nursery.start_soon(self._on_one, gang, worker, call, method, missed)
        for worker in missed:
            self._suspects.add(worker)
            self.on_silence(worker)
        return not missed

    async def _on_one(
        self,
        gang: attempts.Attempt,
        worker: ids.WorkerId,
        call: Call,
        method: Method,
        missed: list[ids.WorkerId],
    ) -> None:
        try:
            gang.note(await call(method, worker, gang.live(worker)))
        except errors.BronzequayError as exc:
            if not client.is_unreachable(exc):
                raise
            missed.append(worker)

    async def _ask(self, address: str, names: list[ids.TaskId]) -> list[client.Status]:
        """Return the status of tasks; one that the worker does not list is unknown there."""
        renewal = await self._shell.workers.renew(address, (), ttl_s=keeper.TASK_TTL_S)
        found = {status.task: status for status in renewal.tasks}
        unknown = client.TaskState.UNKNOWN
        return [found.get(name, client.Status(name, 0, unknown)) for name in names]

    def _judge(self, gang: attempts.Attempt) -> None:
        """Tell the core when the gang has ended or lost a member."""
        if gang.phase is not attempts.Phase.RUNNING:
            return
        fault = gang.fault()
        if fault is not None:
            gang.phase = attempts.Phase.STOPPING
            self._shell.emit(fault)
        elif gang.is_whole():
            gang.phase = attempts.Phase.OVER
            self._shell.emit(model.GangFinished(gang.job, gang.number))
        else:
            return
        gang.nudge()

    async def _probe(self, worker: ids.WorkerId) -> None:
        """Ask a silent worker until it answers; its gangs wait, and fail after the lease."""
        since_s = trio.current_time()
        is_gone = False
        while not await self._is_answering(worker):
            self._suspects.add(worker)
            silent_s = trio.current_time() - since_s
            for gang in self._gangs_on(worker):
                if silent_s >= keeper.TASK_TTL_S:
                    self._lose(gang, worker)
                gang.nudge()
            if silent_s >= GONE_S and not is_gone:
                is_gone = True
                self._shell.emit(model.WorkerLost(worker))
            if is_gone and self._shell.fleet.address(worker) is None:
                break
            await trio.sleep(PROBE_S)
        self._suspects.discard(worker)
        self._probed.discard(worker)
        for gang in self._gangs_on(worker):
            gang.nudge()
        member = self._shell.fleet.members.get(worker)
        if is_gone and member is not None:
            self._shell.emit(model.WorkerJoined(member.spec))

    def _gangs_on(self, worker: ids.WorkerId) -> list[attempts.Attempt]:
        running = attempts.Phase.RUNNING
        return [
            gang for gang in self._attempts.values() if gang.phase is running and gang.live(worker)
        ]

    def _lose(self, gang: attempts.Attempt, worker: ids.WorkerId) -> None:
        gang.phase = attempts.Phase.STOPPING
        fault = model.MemberFault.WORKER_LOST
        self._shell.emit(model.MemberFailed(gang.job, gang.number, worker, fault))

    async def _is_answering(self, worker: ids.WorkerId) -> bool:
        """Ask a worker for its tasks and, once it answers, renew those that are current."""
        followed = self._gangs_on(worker)
        names = [task for gang in followed for task in gang.live(worker)]
        try:
            statuses = await self._shell.call(self._ask, worker, names)
            for gang in followed:
                gang.note(statuses)
            live = [task for gang in followed for task in gang.live(worker)]
            await self._shell.call(self._renew, worker, live)
        except errors.BronzequayError as exc:
            if not client.is_unreachable(exc):
                raise
            return False
        for gang in followed:
            self._judge(gang)
        return True

    async def _renew(self, address: str, names: list[ids.TaskId]) -> None:
        await self._shell.workers.renew(address, names, ttl_s=keeper.TASK_TTL_S)

    async def _stop_orphan(self, worker: ids.WorkerId, task: ids.TaskId) -> None:
        try:
            await self._shell.call_active(self._shell.workers.stop, worker, [task])
        except errors.BronzequayError as exc:
            if not client.is_unreachable(exc):
                raise


def _restart(record: model.JobRecord) -> model.Command:
    return model.StartGang(record.job, record.attempt, record.spec, record.placements)


def _rerelease(record: model.JobRecord) -> model.Command:
    return model.ReleaseGang(record.job, record.attempt, record.placements)


def _stopping(mode: model.StopMode) -> Callable[[model.JobRecord], model.Command]:
    return lambda record: model.StopGang(record.job, record.attempt, record.placements, mode)


_ADOPTIONS: dict[model.JobState, Callable[[model.JobRecord], model.Command]] = {
    model.JobState.STARTING: _restart,
    model.JobState.RUNNING: _rerelease,
    model.JobState.RECLAIMING: _stopping(model.StopMode.CHECKPOINT),
    model.JobState.CANCELLING: _stopping(model.StopMode.STOP),
    model.JobState.IN_DOUBT: _stopping(model.StopMode.STOP),
}

__all__ = ["Watch"]
