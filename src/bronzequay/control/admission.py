"""Publishes the predicted waits of overloaded queues, on which instances refuse jobs."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NoReturn

import msgspec
import structlog
import trio

from bronzequay import clock, codec, errors, figures, ids
from bronzequay.control import keys
from bronzequay.core import admission, model, order
from bronzequay.platform import kv

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bronzequay.core.state import State
    from bronzequay.platform.kv import Store

WRITE_TIMEOUT_S = 0.5
"""Timeout of a write; a slow store takes 0.25 s, and a late value would soon be replaced."""

_log = structlog.get_logger()


class Waits(msgspec.Struct, frozen=True, array_like=True):
    """Predicted waits at a time.

    :param written_s: seconds since the Unix epoch
    :param waits: seconds by queue, for the overloaded queues
    """

    written_s: float
    waits: dict[ids.QueueId, float]


def encode(waits: Waits) -> bytes:
    """Encode predicted waits for the store."""
    return msgspec.msgpack.encode(waits)


def decode(value: bytes) -> Waits:
    """Decode predicted waits.

    :raises msgspec.MsgspecError: the value is malformed
    """
    return codec.from_msgpack(value, Waits)


def predicted_waits(state: State) -> dict[ids.QueueId, float]:
    """Return the predicted waits of jobs submitted now, in seconds, for the overloaded queues."""
    services = {queue.service for queue in state.rules.queues.values()}
    loads = _queue_loads(state)
    waits: dict[ids.QueueId, float] = {}
    for service in services:
        capacity = _add(
            worker.spec.capacity
            for worker in state.workers.values()
            if worker.spec.service == service and worker.is_ready and not worker.is_draining
        )
        of_service = [load for load in loads if load.queue.service == service]
        waits |= admission.predicted_waits(of_service, capacity)
    return waits


def _queue_loads(state: State) -> list[admission.QueueLoad]:
    waiting: dict[ids.QueueId, list[float]] = collections.defaultdict(lambda: [0.0, 0.0])
    in_use: dict[ids.QueueId, list[float]] = collections.defaultdict(lambda: [0.0, 0.0])
    for job in state.jobs.values():
        queue = state.queue_of(job)
        if queue is None or job.is_final:
            continue
        for step in job.steps():
            cores, gpus = step.spec.need.cpu / 1000, step.spec.need.gpu
            placed = len(step.placed_tasks)
            in_use[queue.queue][0] += cores * placed
            in_use[queue.queue][1] += gpus * placed
            if step.is_done or step.spec.is_endless or order.slack_s(state, step, queue)[1] < 0:
                continue
            work_s = len(step.waiting_tasks) * step.spec.estimate_s
            waiting[queue.queue][0] += cores * work_s
            waiting[queue.queue][1] += gpus * work_s
    return [
        admission.QueueLoad(
            queue, admission.Amount(*waiting[name]), admission.Amount(*in_use[name])
        )
        for name, queue in state.rules.queues.items()
    ]


def _add(amounts: Iterable[model.Resources]) -> admission.Amount:
    total = list(amounts)
    return admission.Amount(
        sum(amount.cpu for amount in total) / 1000, float(sum(amount.gpu for amount in total))
    )


async def publish(
    store: Store,
    waits: Callable[[], dict[ids.QueueId, float]],
    is_trusted: Callable[[], bool],
) -> NoReturn:
    """Write the predicted waits every ``admission.PUBLISH_S`` while any queue is overloaded.

    A write that fails is not repeated; the values of instances then expire.

    :param waits: returns the predicted waits of the overloaded queues
    :param is_trusted: returns whether this term may act
    """
    overloaded: frozenset[ids.QueueId] = frozenset()
    while True:
        await trio.sleep(admission.PUBLISH_S)
        current = waits() if is_trusted() else {}
        if current.keys() != overloaded:
            overloaded = frozenset(current)
            _log.info("overload_changed", waits={q: round(s, 1) for q, s in current.items()})
        if not current:
            continue
        put = kv.Put(keys.ADMISSION, encode(Waits(clock.wall_s(), current)))
        try:
            await store.txn(expect=(), puts=[put], timeout_s=WRITE_TIMEOUT_S)
        except errors.BronzequayError as exc:
            figures.count("admission_unpublished")
            _log.info("admission_unpublished", error=str(exc))
        else:
            figures.count("admission_published")


__all__ = ["Waits", "decode", "encode", "predicted_waits", "publish"]
