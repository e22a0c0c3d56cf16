"""Learns of executors, workers and other entry instances from the platform's list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay import errors, ids
from bronzequay.route import model as route_model
from bronzequay.work import executor as executor_client

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from bronzequay.store import client

_log = structlog.get_logger()

ExecutorList = dict[ids.ServiceId, list[route_model.Executor]]


class Discovery:
    """Reads the lagging list and asks each new executor for its service.

    :param store: client of the platform's service
    :param executors: adapter to the executors
    :param interval_s: seconds between looks
    :param on_executors: called with the executors of every service at each look
    :param on_entries: called with the listed entry instances at each look
    """

    def __init__(
        self,
        *,
        store: client.Store,
        executors: executor_client.ExecutorClient,
        interval_s: float,
        on_executors: Callable[[ExecutorList], None],
        on_entries: Callable[[Sequence[client.InstanceEntry]], Awaitable[None]],
    ) -> None:
        self._store = store
        self._executors = executors
        self._interval_s = interval_s
        self._on_executors = on_executors
        self._on_entries = on_entries
        self._services: dict[str, ids.ServiceId] = {}

    async def run(self) -> None:
        """Look at the list until cancelled; keeps the last one through an outage."""
        while True:
            try:
                listed = await self._store.instances()
            except errors.BronzequayError as exc:
                _log.warning("list_unavailable", code=exc.code.value)
            else:
                await self._on_entries([item for item in listed if item.kind == "entry"])
                await self._learn_executors([item for item in listed if item.kind == "executor"])
            await trio.sleep(self._interval_s)

    async def _learn_executors(self, listed: Sequence[client.InstanceEntry]) -> None:
        async with trio.open_nursery() as nursery:
            for item in listed:
                if item.id not in self._services:
                    nursery.start_soon(self._describe, item)
        found: ExecutorList = {}
        for item in listed:
            service = self._services.get(item.id)
            if service is not None:
                found.setdefault(service, []).append(_executor(item))
        self._on_executors(found)

    async def _describe(self, item: client.InstanceEntry) -> None:
        try:
            description = await self._executors.describe(item.address)
        except executor_client.RunError as exc:
            _log.warning("executor_silent", executor=item.id, code=exc.code.value)
            return
        self._services[item.id] = description.service


def _executor(item: client.InstanceEntry) -> route_model.Executor:
    return route_model.Executor(
        executor=ids.ExecutorId(item.id),
        address=item.address,
        data_centre=item.data_centre,
        state=route_model.ExecutorState(item.state),
    )


__all__ = ["Discovery", "ExecutorList"]
