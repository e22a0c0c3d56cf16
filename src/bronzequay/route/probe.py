"""Probes of executors: before use when not recently live, and to readmit unavailable ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay.work import executor as adapter

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids
    from bronzequay.route import health, model, ports, slots

TICK_S = 0.25
TICKS_PER_ROUND = 4
PROBE_TIMEOUT_S = 1.0
PROBES_PER_ROUND_IDLE = 1
PROBES_PER_ROUND_ACTIVE = 4


class Prober:
    """Probes executors, each with at most one probe at a time.

    :param service: the service that the executors must serve
    :param waiting_count: returns the number of requests that wait for a slot
    :param is_active: returns whether requests arrived since the last call
    :param on_free: called when slots may have become free
    """

    def __init__(
        self,
        *,
        service: ids.ServiceId,
        client: ports.RunClient,
        slot_table: slots.SlotTable,
        health: health.Health,
        waiting_count: Callable[[], int],
        is_active: Callable[[], bool],
        on_free: Callable[[], None],
    ) -> None:
        self._service = service
        self._client = client
        self._slot_table = slot_table
        self._health = health
        self._waiting_count = waiting_count
        self._is_active = is_active
        self._on_free = on_free
        self._pending: dict[ids.ExecutorId, trio.Event] = {}

    async def probe(self, executor: model.Executor) -> bool:
        """Probe an executor and record the result; concurrent calls share one probe.

        :return: whether the executor accepts new requests
        """
        name = executor.executor
        while (pending := self._pending.get(name)) is not None:
            await pending.wait()
            if self._slot_table.is_recently_live(name):
                return True
            if name in self._health.unavailable():
                return False
        self._pending[name] = trio.Event()
        self._slot_table.set_probe_pending(name, is_probe_pending=True)
        try:
            return await self._probe(executor)
        finally:
            self._slot_table.set_probe_pending(name, is_probe_pending=False)
            self._pending.pop(name).set()
            self._on_free()

    async def _probe(self, executor: model.Executor) -> bool:
        name = executor.executor
        try:
            description = await self._client.describe(executor.address, deadline_s=PROBE_TIMEOUT_S)
        except adapter.RunError:
            self._health.record_probe_failure(name)
            return False
        if description.executor != name or description.service != self._service:
            self._health.record_probe_failure(name)
            return False
        if description.state != adapter.LIVE:
            self._slot_table.require_probe(name)
            self._health.record_leaving(name)
            return False
        self._slot_table.record_description(name, busy=description.busy)
        self._slot_table.record_live(name)
        self._health.record_live(name)
        return True

    async def run(self) -> None:
        """Probe executors that are due until cancelled."""
        tick = 0
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(TICK_S)
                tick += 1
                for executor in self._targets(is_round=tick % TICKS_PER_ROUND == 0):
                    nursery.start_soon(self.probe, executor)

    def _targets(self, *, is_round: bool) -> list[model.Executor]:
        due = set(self._health.due_for_probe())
        chosen = {
            executor.executor: executor
            for executor in self._slot_table.executors()
            if executor.executor in due
        }
        if self._waiting_count():
            chosen.update(
                (executor.executor, executor) for executor in self._slot_table.stale_executors()
            )
        if is_round:
            limit = PROBES_PER_ROUND_ACTIVE if self._is_active() else PROBES_PER_ROUND_IDLE
            chosen.update(
                (executor.executor, executor)
                for executor in self._slot_table.probe_candidates(limit)
            )
        return [executor for name, executor in chosen.items() if name not in self._pending]


__all__ = ["Prober"]
