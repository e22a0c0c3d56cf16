"""Starts and stops gangs on workers; a gang counts as stopped once no member can run."""

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
RETRY_INTERVAL_S = 0.5
LEASE_EXPIRY_WAIT_S = 2 * keeper.TASK_TTL_S + 1.0


@dataclasses.dataclass(frozen=True)
class TermContext:
    """Clients and callbacks that the drivers of attempts use during one term.

    :param is_active: returns whether the scheduler's lease is certainly still held
    :param emit: queues an event for the core
    :param attained_s: returns the run time of a job's member that checkpoints have kept, in seconds
    :param withhold_renewals: makes every keeper stop renewing the leases of tasks; returns False
        if a keeper did not confirm
    :param payload: returns what a worker runs for a job
    """

    workers: client.WorkerClient
    fleet: fleets.Fleet
    epoch: ids.Epoch
    is_active: Callable[[], bool]
    emit: Callable[[model.Event], None]
    attained_s: Callable[[ids.JobId, int], float]
    withhold_renewals: Callable[[Sequence[ids.TaskId]], Awaitable[bool]]
    payload: Callable[[model.JobSpec], bytes]

    async def call(
        self, method: Callable[..., Awaitable[Any]], worker: ids.WorkerId, items: Sequence[Any]
    ) -> Any:
        """Call a worker with a command that starts no work, so it is safe without the lease.

        :raises errors.BronzequayError: WORKER_UNREACHABLE if the outcome is unknown
        """
        address = self.fleet.address(worker)
        if address is None:
            message = f"the address of worker {worker} is unknown"
            raise errors.BronzequayError(codes.ResultCode.WORKER_UNREACHABLE, message)
        return await method(address, items)

    async def call_active(
        self, method: Callable[..., Awaitable[Any]], worker: ids.WorkerId, items: Sequence[Any]
    ) -> Any:
        """Call a worker once this scheduler certainly holds the lease.

        :raises errors.BronzequayError: WORKER_UNREACHABLE if the outcome is unknown
        """
        while not self.is_active():  # noqa: ASYNC110  # validity expires by the clock
            await trio.sleep(RETRY_INTERVAL_S)
        return await self.call(method, worker, items)


async def start(context: TermContext, attempt: attempts.Attempt, command: model.StartGang) -> None:
    """Start every member held and report to the core once all workers have answered.

    :param context: the term's clients and callbacks
    :param attempt: the attempt to start
    :param command: the core's command
    """
    with attempt.scope:
        async with trio.open_nursery() as nursery:
            for worker, starts in _starts_by_worker(context, command).items():
                nursery.start_soon(_start_on_worker, context, attempt, worker, starts)
        failure = attempt.first_failure()
        context.emit(failure or model.GangHeld(attempt.job, attempt.number))


def _starts_by_worker(
    context: TermContext, command: model.StartGang
) -> dict[ids.WorkerId, list[client.Start]]:
    spec = command.spec
    starts: dict[ids.WorkerId, list[client.Start]] = {}
    for placement in command.placements:
        start = client.Start(
            task=tasks.task_id(command.job, command.attempt, placement.member),
            attempt=command.attempt,
            epoch=context.epoch,
            devices=placement.devices,
            accelerators=spec.accelerators,
            cpu=spec.cpu,
            mem_gb=spec.mem_gb,
            ttl_s=keeper.TASK_TTL_S,
            held=True,
            resume_s=context.attained_s(command.job, placement.member),
            payload=msgspec.Raw(context.payload(spec)),
        )
        starts.setdefault(placement.worker, []).append(start)
    return starts


async def _start_on_worker(
    context: TermContext,
    attempt: attempts.Attempt,
    worker: ids.WorkerId,
    starts: list[client.Start],
) -> None:
    deadline_s = trio.current_time() + START_TIMEOUT_S
    while True:
        try:
            attempt.update_statuses(await _start_once(context, worker, starts))
        except errors.BronzequayError as exc:
            if client.is_unreachable(exc) and trio.current_time() < deadline_s:
                await trio.sleep(RETRY_INTERVAL_S)
                continue
            is_refused = exc.code in _REFUSAL_CODES
            state = client.TaskState.FAILED if is_refused else client.TaskState.UNKNOWN
            for start in starts:
                attempt.record_end(start.task, state)
        return


_REFUSAL_CODES = frozenset({codes.ResultCode.FENCED, codes.ResultCode.EXECUTOR_FAILED})


async def _start_once(
    context: TermContext, worker: ids.WorkerId, starts: list[client.Start]
) -> tuple[client.Status, ...]:
    """Start tasks unless the worker describes itself as leaving."""
    description = await context.call_active(_describe(context.workers), worker, ())
    if description.is_leaving:
        context.fleet.mark_leaving(worker)
        message = f"worker {worker} is leaving"
        raise errors.BronzequayError(codes.ResultCode.NO_EXECUTOR, message)
    statuses: tuple[client.Status, ...] = await context.call_active(
        context.workers.start, worker, starts
    )
    return statuses


def _describe(workers: client.WorkerClient) -> Callable[..., Awaitable[Any]]:
    return lambda address, _items: workers.describe(address)


async def stop(context: TermContext, attempt: attempts.Attempt) -> None:
    """Stop every member and report to the core once all have certainly stopped.

    If all reachable members of a non-idempotent job have succeeded, the job may be complete: its
    outcome is then reported as unknown until the other workers answer.

    :param context: the term's clients and callbacks
    :param attempt: the attempt; its ``stop_mode`` says whether members are checkpointed
    """
    attempt.scope.cancel()
    attempt.phase = attempts.Phase.STOPPING
    unreachable: list[ids.WorkerId] = []
    async with trio.open_nursery() as nursery:
        for worker in attempt.live_workers():
            nursery.start_soon(_stop_on_worker, context, attempt, worker, unreachable)
    if unreachable and _may_have_succeeded(attempt, unreachable):
        context.emit(model.GangUnknown(attempt.job, attempt.number))
        for worker in unreachable:
            await _await_final_statuses(context, attempt, worker)
    attempt.phase = attempts.Phase.OVER
    if attempt.has_succeeded():
        context.emit(model.GangFinished(attempt.job, attempt.number))
    else:
        context.emit(attempt.stopped())


async def _await_final_statuses(
    context: TermContext, attempt: attempts.Attempt, worker: ids.WorkerId
) -> None:
    """Repeat the stop until the worker reports the final status of its members."""
    task_ids = attempt.tasks_by_worker[worker]
    while True:
        try:
            statuses = await context.call(context.workers.stop, worker, task_ids)
        except errors.BronzequayError:
            await trio.sleep(RETRY_INTERVAL_S)
            continue
        attempt.statuses.update({status.task: status for status in statuses})
        return


def _may_have_succeeded(attempt: attempts.Attempt, unreachable: list[ids.WorkerId]) -> bool:
    """Return whether the job may be complete: all members succeeded except unreachable ones."""
    if attempt.is_idempotent or not attempt.was_released:
        return False
    known_states = [
        attempt.statuses[task].state
        for worker, task_ids in attempt.tasks_by_worker.items()
        if worker not in unreachable
        for task in task_ids
    ]
    return all(state is client.TaskState.OK for state in known_states)


async def _stop_on_worker(
    context: TermContext,
    attempt: attempts.Attempt,
    worker: ids.WorkerId,
    unreachable: list[ids.WorkerId],
) -> None:
    expired_at_s: float | None = None
    while task_ids := attempt.live_tasks(worker):
        try:
            await _stop_once(context, attempt, worker, task_ids)
        except errors.BronzequayError:
            if expired_at_s is None and await context.withhold_renewals(task_ids):
                expired_at_s = trio.current_time() + LEASE_EXPIRY_WAIT_S
            if expired_at_s is not None and trio.current_time() >= expired_at_s:
                unreachable.append(worker)
                for task in task_ids:
                    attempt.record_end(task, client.TaskState.LAPSED)
                return
        if attempt.live_tasks(worker):
            await trio.sleep(RETRY_INTERVAL_S)


async def _stop_once(
    context: TermContext,
    attempt: attempts.Attempt,
    worker: ids.WorkerId,
    task_ids: list[ids.TaskId],
) -> None:
    if attempt.stop_mode is model.StopMode.CHECKPOINT:
        statuses = await context.call(context.workers.checkpoint, worker, task_ids)
        attempt.update_statuses(
            status for status in statuses if status.state is not client.TaskState.UNKNOWN
        )
        task_ids = attempt.live_tasks(worker)
    if task_ids:
        attempt.update_statuses(await context.call(context.workers.stop, worker, task_ids))


__all__ = ["LEASE_EXPIRY_WAIT_S", "RETRY_INTERVAL_S", "TermContext", "start", "stop"]
