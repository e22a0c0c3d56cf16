"""Follows the operator's upkeep waves and orders machines down for them."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import clock, codec
from bronzequay.control import keys, prefix
from bronzequay.core import model, upkeep
from bronzequay.platform import machines

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay.control.term import Term
    from bronzequay.core.state import State
    from bronzequay.platform.kv import Item, Store

WATCH_S = 5.0
"""Longest wait of one watch call; waves have tens of seconds to complete."""
RETRY_S = 1.0
TIMEOUT_S = 1.5
"""Wait for the answer to one order; a slow platform answers within a few tenths of a second."""

_log = structlog.get_logger()


class Upkeep:
    """Carries out upkeep waves during one term.

    :param machine_client: client of the platform's machine interface, None where there is none
    :param holdoff_s: time for which a new term sends no orders, so that its orders do not alternate
        with those of an earlier term
    """

    def __init__(
        self,
        store: Store,
        term: Term,
        machine_client: machines.MachineClient | None,
        *,
        holdoff_s: float,
    ) -> None:
        self._store = store
        self._term = term
        self._machine_client = machine_client
        self._holdoff_end_s = trio.current_time() + holdoff_s
        self._send, self._receive = trio.open_memory_channel[model.BeginUpkeep](float("inf"))

    async def load(self, state: State) -> None:
        """Read the waves that earlier terms began.

        :raises errors.BronzequayError: the store cannot be read
        """
        snapshot = await self._store.range(keys.WAVES)
        upkeep.restore(state, _decode_waves(snapshot.items))

    def enqueue(self, command: model.BeginUpkeep) -> None:
        """Queue an order for a machine."""
        self._send.send_nowait(command)

    async def run(self) -> None:
        """Follow the operator's waves and send orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            async for command in self._receive:
                nursery.start_soon(self._order, command)

    async def _follow(self) -> None:
        snapshot = await prefix.read_with_retries(self._store, machines.WAVES)
        self._post(snapshot.items)
        await prefix.follow(
            self._store,
            machines.WAVES,
            snapshot.rev,
            on_change=self._post,
            on_snapshot=self._post,
            wait_s=WATCH_S,
        )

    def _post(self, items: Iterable[Item]) -> None:
        for item in items:
            if item.value is None:
                continue
            request = machines.decode_wave(item.value)
            if request is None:
                _log.error("wave_unreadable", key=item.key, revision=item.rev)
                continue
            self._term.post(functools.partial(_add_wave, request=request))

    async def _order(self, command: model.BeginUpkeep) -> None:
        """Order a machine down; retry until the platform accepts or rejects the order."""
        await trio.sleep_until(self._holdoff_end_s)
        while self._machine_client is not None:
            await self._term.wait_until_trusted()
            outcome = await self._machine_client.begin_upkeep(
                command.machine, command.wave, timeout_s=TIMEOUT_S
            )
            _log.info(
                "upkeep_answered",
                machine=command.machine,
                wave=command.wave,
                outcome=outcome.value,
            )
            if outcome is machines.Outcome.OK:
                self._term.post(
                    lambda state: upkeep.record_begun(state, command.wave, command.machine)
                )
                return
            if outcome is machines.Outcome.STALE_EPOCH:
                await self._term.end_if_fenced(command.machine)
            if outcome is machines.Outcome.REFUSED:
                self._term.post(
                    lambda state: upkeep.drop_machine(state, command.wave, command.machine)
                )
                return
            await trio.sleep(RETRY_S)


def _add_wave(state: State, request: machines.WaveRequest) -> None:
    if request.number in state.waves:
        return
    due_s = clock.wall_s() + request.time_limit_s
    state.waves[request.number] = upkeep.Wave(
        request.number, request.machines, request.max_down, due_s
    )
    state.dirty_waves.add(request.number)
    state.record_decision(
        "wave_taken_up", None, wave=request.number, machines=len(request.machines)
    )


def _decode_waves(items: Iterable[Item]) -> list[upkeep.Wave]:
    """Decode the stored waves; unreadable ones are logged and skipped."""
    waves = []
    for item in items:
        try:
            waves.append(codec.from_msgpack(item.value or b"", upkeep.Wave))
        except msgspec.MsgspecError as exc:
            _log.error("wave_record_unreadable", key=item.key, error=str(exc))
    return waves


__all__ = ["Upkeep"]
