"""Discovery of executors and other entry instances through the platform's instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay import errors, ids
from bronzequay.route import model as route_model
from bronzequay.work import executor as executor_client

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from bronzequay.store import entries

_log = structlog.get_logger()

ExecutorsByService = dict[ids.ServiceId, list[route_model.Executor]]


class Discovery:
    """Polls the instance list, which lags, and queries each new executor for its service.

    :param instances: reads the platform's instance list
    :param executors: client of the executors
    :param interval_s: seconds between two polls
    :param on_executors: called after each poll with the executors of every service
    :param on_entries: called after each poll with the listed entry instances
    """

    def __init__(
        self,
        *,
        instances: Callable[[], Awaitable[Sequence[entries.InstanceEntry]]],
        executors: executor_client.ExecutorClient,
        interval_s: float,
        on_executors: Callable[[ExecutorsByService], None],
        on_entries: Callable[[Sequence[entries.InstanceEntry]], Awaitable[None]],
    ) -> None:
        self._list_instances = instances
        self._executors = executors
        self._interval_s = interval_s
        self._on_executors = on_executors
        self._on_entries = on_entries
        self._services: dict[str, ids.ServiceId] = {}

    async def run(self) -> None:
        """Poll the list until cancelled; after a failed poll the previous list stays in use."""
        while True:
            try:
                listed = await self._list_instances()
            except errors.BronzequayError as exc:
                _log.warning("instance_list_unavailable", code=exc.code.value)
            else:
                await self._on_entries([item for item in listed if item.kind == "entry"])
                await self._update_executors([item for item in listed if item.kind == "executor"])
            await trio.sleep(self._interval_s)

    async def _update_executors(self, listed: Sequence[entries.InstanceEntry]) -> None:
        async with trio.open_nursery() as nursery:
            for item in listed:
                if item.id not in self._services:
                    nursery.start_soon(self._describe, item)
        executors_by_service: ExecutorsByService = {}
        for item in listed:
            service = self._services.get(item.id)
            if service is not None:
                executors_by_service.setdefault(service, []).append(_executor(item))
        self._on_executors(executors_by_service)

    async def _describe(self, item: entries.InstanceEntry) -> None:
        try:
            description = await self._executors.describe(item.address)
        except executor_client.RunError as exc:
            _log.warning("executor_description_failed", executor=item.id, code=exc.code.value)
            return
        self._services[item.id] = description.service


def _executor(item: entries.InstanceEntry) -> route_model.Executor:
    return route_model.Executor(
        executor=ids.ExecutorId(item.id),
        address=item.address,
        data_centre=item.data_centre,
        state=route_model.ExecutorState(item.state),
    )


__all__ = ["Discovery", "ExecutorsByService"]
