"""Asks executors about themselves: before use when unheard of, and to bring them back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay.work import executor as adapter

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids
    from bronzequay.route import health, model, ports, slots

TICK_S = 0.25
TICKS_BETWEEN_ROUNDS = 4
ASK_TIMEOUT_S = 1.0
ASKED_A_ROUND_QUIET = 1
ASKED_A_ROUND_ACTIVE = 4


class Prober:
    """Questions to executors, at most one at a time to each.

    :param service: the service that they must serve
    :param waiting: number of requests that wait for a slot
    :param active: whether requests came lately
    :param on_free: called when slots may have become free
    """

    def __init__(
        self,
        *,
        service: ids.ServiceId,
        client: ports.RunClient,
        table: slots.SlotTable,
        records: health.Health,
        waiting: Callable[[], int],
        active: Callable[[], bool],
        on_free: Callable[[], None],
    ) -> None:
        self._service = service
        self._client = client
        self._table = table
        self._records = records
        self._waiting = waiting
        self._active = active
        self._on_free = on_free
        self._pending: dict[ids.ExecutorId, trio.Event] = {}

    async def ask(self, executor: model.Executor) -> bool:
        """Ask an executor and take in its answer; callers at once share one question.

        :return: whether it takes new work
        """
        name = executor.executor
        while (pending := self._pending.get(name)) is not None:
            await pending.wait()
            if self._table.is_heard(name):
                return True
            if name in self._records.closed():
                return False
        self._pending[name] = trio.Event()
        self._table.set_asked(name, is_asked=True)
        try:
            return await self._ask(executor)
        finally:
            self._table.set_asked(name, is_asked=False)
            self._pending.pop(name).set()
            self._on_free()

    async def _ask(self, executor: model.Executor) -> bool:
        name = executor.executor
        try:
            described = await self._client.describe(executor.address, deadline_s=ASK_TIMEOUT_S)
        except adapter.RunError:
            self._records.note_silence(name)
            return False
        if described.executor != name or described.service != self._service:
            self._records.note_silence(name)
            return False
        if described.state != adapter.LIVE:
            self._table.note_doubt(name)
            self._records.note_leaving(name)
            return False
        self._table.observe_description(name, busy=described.busy)
        self._table.note_heard(name)
        self._records.note_live(name)
        return True

    async def run(self) -> None:
        """Ask whoever is due, until cancelled."""
        tick = 0
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(TICK_S)
                tick += 1
                for executor in self._targets(is_round=tick % TICKS_BETWEEN_ROUNDS == 0):
                    nursery.start_soon(self.ask, executor)

    def _targets(self, *, is_round: bool) -> list[model.Executor]:
        due = set(self._records.due())
        chosen = {
            executor.executor: executor
            for executor in self._table.executors()
            if executor.executor in due
        }
        if self._waiting():
            chosen.update((executor.executor, executor) for executor in self._table.stale())
        if is_round:
            limit = ASKED_A_ROUND_ACTIVE if self._active() else ASKED_A_ROUND_QUIET
            chosen.update((executor.executor, executor) for executor in self._table.unheard(limit))
        return [executor for name, executor in chosen.items() if name not in self._pending]


__all__ = ["Prober"]
