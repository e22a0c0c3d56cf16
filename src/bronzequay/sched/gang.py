"""Carries out the core's commands: start held, release together, stop for certain."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.policy import model
from bronzequay.sched import attempt as attempts
from bronzequay.work import client, keeper, tasks
from bronzequay.work import fleet as fleets

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

START_TIMEOUT_S = 5.0
RETRY_S = 0.5
LAPSE_S = 2 * keeper.TASK_TTL_S + 1.0


@dataclasses.dataclass(frozen=True)
class Shell:
    """What the drivers of attempts work with during one term.

    :param is_active: whether no other scheduler can hold the lease
    :param emit: passes an event to the core
    :param attained_s: run time that checkpoints of a job have kept
    :param withhold: has every keeper stop renewing tasks; False when one did not confirm
    :param payload: what a worker is to run for a job
    """

    workers: client.WorkerClient
    fleet: fleets.Fleet
    epoch: ids.Epoch
    is_active: Callable[[], bool]
    emit: Callable[[model.Event], None]
    attained_s: Callable[[ids.JobId], float]
    withhold: Callable[[Sequence[ids.TaskId]], Awaitable[bool]]
    payload: Callable[[model.JobSpec], bytes]

    async def call(
        self, method: Callable[..., Awaitable[Any]], worker: ids.WorkerId, names: Sequence[Any]
    ) -> Any:
        """Call a worker, for what can only lessen the work done.

        :raises errors.BronzequayError: WORKER_UNREACHABLE when the outcome is unknown
        """
        address = self.fleet.address(worker)
        if address is None:
            message = f"the address of worker {worker} is not known"
            raise errors.BronzequayError(codes.ResultCode.WORKER_UNREACHABLE, message)
        return await method(address, names)

    async def call_active(
        self, method: Callable[..., Awaitable[Any]], worker: ids.WorkerId, names: Sequence[Any]
    ) -> Any:
        """Call a worker as soon as this scheduler is certainly the active one.

        :raises errors.BronzequayError: WORKER_UNREACHABLE when the outcome is unknown
        """
        while not self.is_active():  # noqa: ASYNC110  # time decides, not an event
            await trio.sleep(RETRY_S)
        return await self.call(method, worker, names)


async def start(shell: Shell, gang: attempts.Attempt, command: model.StartGang) -> None:
    """Start every member held and tell the core when all have answered.

    :param shell: the term's tools
    :param gang: the attempt
    :param command: the core's command
    """
    with gang.scope:
        async with trio.open_nursery() as nursery:
            for worker, starts in _starts(shell, command).items():
                nursery.start_soon(_start_on, shell, gang, worker, starts)
        fault = gang.fault()
        shell.emit(fault or model.GangHeld(gang.job, gang.number))


def _starts(shell: Shell, command: model.StartGang) -> dict[ids.WorkerId, list[client.Start]]:
    spec = command.spec
    resume_s = shell.attained_s(command.job)
    starts: dict[ids.WorkerId, list[client.Start]] = {}
    for place in command.placements:
        start = client.Start(
            task=tasks.task_id(command.job, command.attempt, place.member),
            attempt=command.attempt,
            epoch=shell.epoch,
            devices=place.devices,
            accelerators=spec.accelerators,
            cpu=spec.cpu,
            mem_gb=spec.mem_gb,
            ttl_s=keeper.TASK_TTL_S,
            held=True,
            resume_s=resume_s,
            payload=msgspec.Raw(shell.payload(spec)),
        )
        starts.setdefault(place.worker, []).append(start)
    return starts


async def _start_on(
    shell: Shell, gang: attempts.Attempt, worker: ids.WorkerId, starts: list[client.Start]
) -> None:
    until_s = trio.current_time() + START_TIMEOUT_S
    while True:
        try:
            gang.note(await _start_once(shell, worker, starts))
        except errors.BronzequayError as exc:
            if client.is_unreachable(exc) and trio.current_time() < until_s:
                await trio.sleep(RETRY_S)
                continue
            is_refused = exc.code in _REFUSALS
            state = client.TaskState.FAILED if is_refused else client.TaskState.UNKNOWN
            for start in starts:
                gang.end(start.task, state)
        return


_REFUSALS = frozenset({codes.ResultCode.FENCED, codes.ResultCode.EXECUTOR_FAILED})


async def _start_once(
    shell: Shell, worker: ids.WorkerId, starts: list[client.Start]
) -> tuple[client.Status, ...]:
    """Start tasks unless the worker says itself that it leaves."""
    described = await shell.call_active(_describe(shell.workers), worker, ())
    if described.is_leaving:
        shell.fleet.mark_leaving(worker)
        message = f"worker {worker} is leaving"
        raise errors.BronzequayError(codes.ResultCode.NO_EXECUTOR, message)
    statuses: tuple[client.Status, ...] = await shell.call_active(
        shell.workers.start, worker, starts
    )
    return statuses


def _describe(workers: client.WorkerClient) -> Callable[..., Awaitable[Any]]:
    return lambda address, _names: workers.describe(address)


async def stop(shell: Shell, gang: attempts.Attempt) -> None:
    """Stop every member and tell the core once all are known to be stopped.

    :param shell: the term's tools
    :param gang: the attempt, which says whether progress is kept
    """
    gang.scope.cancel()
    gang.phase = attempts.Phase.STOPPING
    silent: list[ids.WorkerId] = []
    async with trio.open_nursery() as nursery:
        for worker in gang.live_workers():
            nursery.start_soon(_stop_on, shell, gang, worker, silent)
    if silent and _may_be_whole(gang, silent):
        shell.emit(model.GangUnknown(gang.job, gang.number))
        for worker in silent:
            await _learn(shell, gang, worker)
    gang.phase = attempts.Phase.OVER
    if gang.is_whole():
        shell.emit(model.GangFinished(gang.job, gang.number))
    else:
        stopped = model.GangStopped(gang.job, gang.number, gang.kept_s(), gang.is_checkpointed())
        shell.emit(stopped)


async def _learn(shell: Shell, gang: attempts.Attempt, worker: ids.WorkerId) -> None:
    """Wait until a worker tells what became of its members."""
    names = gang.by_worker[worker]
    while True:
        try:
            statuses = await shell.call(shell.workers.stop, worker, names)
        except errors.BronzequayError:
            await trio.sleep(RETRY_S)
            continue
        gang.statuses.update({status.task: status for status in statuses})
        return


def _may_be_whole(gang: attempts.Attempt, silent: list[ids.WorkerId]) -> bool:
    """Return whether members that could not be asked may have completed the job."""
    if gang.is_idempotent or not gang.was_released:
        return False
    asked = [
        gang.statuses[task].state
        for worker, names in gang.by_worker.items()
        if worker not in silent
        for task in names
    ]
    return all(state is client.TaskState.OK for state in asked)


async def _stop_on(
    shell: Shell,
    gang: attempts.Attempt,
    worker: ids.WorkerId,
    silent: list[ids.WorkerId],
) -> None:
    lapse_s: float | None = None
    while names := gang.live(worker):
        try:
            await _stop_once(shell, gang, worker, names)
        except errors.BronzequayError:
            if lapse_s is None and await shell.withhold(names):
                lapse_s = trio.current_time() + LAPSE_S
            if lapse_s is not None and trio.current_time() >= lapse_s:
                silent.append(worker)
                for task in names:
                    gang.end(task, client.TaskState.LAPSED)
                return
        if gang.live(worker):
            await trio.sleep(RETRY_S)


async def _stop_once(
    shell: Shell,
    gang: attempts.Attempt,
    worker: ids.WorkerId,
    names: list[ids.TaskId],
) -> None:
    if gang.stop_mode is model.StopMode.CHECKPOINT:
        statuses = await shell.call(shell.workers.checkpoint, worker, names)
        gang.note(status for status in statuses if status.state is not client.TaskState.UNKNOWN)
        names = gang.live(worker)
    if names:
        gang.note(await shell.call(shell.workers.stop, worker, names))


__all__ = ["LAPSE_S", "RETRY_S", "Shell", "start", "stop"]
