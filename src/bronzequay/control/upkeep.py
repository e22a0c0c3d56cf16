"""Follows the operator's waves of upkeep and orders machines down for them."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import clock, codes, errors
from bronzequay.control import keys, prefix
from bronzequay.core import model, upkeep
from bronzequay.platform import machines

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay.control.term import Term
    from bronzequay.core.state import State
    from bronzequay.platform.kv import Item, Store

WATCH_S = 5.0
"""Wait of one watch; waves are given tens of seconds."""
RETRY_S = 1.0
TIMEOUT_S = 1.5
"""Wait for the answer to one order; a slow platform takes a few tenths of a second."""

_log = structlog.get_logger()


class Upkeep:
    """Carries out the waves of one term.

    :param calls: to the platform's machines, None where there are none
    :param quiet_s: time for which a new term gives no orders, so that holders do not alternate
    """

    def __init__(
        self, store: Store, term: Term, calls: machines.MachineClient | None, *, quiet_s: float
    ) -> None:
        self._store = store
        self._term = term
        self._calls = calls
        self._quiet_until_s = trio.current_time() + quiet_s
        self._send, self._receive = trio.open_memory_channel[model.Upkeep](float("inf"))

    async def load(self, state: State) -> None:
        """Read the waves that earlier terms began.

        :raises errors.BronzequayError: when the store cannot be read
        """
        found = await self._store.range(keys.WAVES)
        upkeep.restore(state, _waves(found.items))

    def give(self, command: model.Upkeep) -> None:
        """Take an order for a machine."""
        self._send.send_nowait(command)

    async def run(self) -> None:
        """Follow the operator's waves and give orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            async for command in self._receive:
                nursery.start_soon(self._order, command)

    async def _follow(self) -> None:
        found = await prefix.read(self._store, machines.WAVES)
        self._post(found.items)
        await prefix.follow(
            self._store,
            machines.WAVES,
            found.rev,
            on_change=self._post,
            on_reading=self._post,
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
            self._term.post(functools.partial(_begin, request=request))

    async def _order(self, command: model.Upkeep) -> None:
        """Order a machine down until the platform has answered."""
        await trio.sleep_until(self._quiet_until_s)
        while self._calls is not None:
            await self._term.wait_trusted()
            outcome = await self._calls.begin_upkeep(
                command.machine, command.wave, timeout_s=TIMEOUT_S
            )
            _log.info(
                "upkeep_answered",
                machine=command.machine,
                wave=command.wave,
                outcome=outcome.value,
            )
            if outcome is machines.Outcome.OK:
                return
            if outcome is machines.Outcome.STALE_EPOCH:
                raise errors.BronzequayError(
                    codes.ResultCode.FENCED, f"{command.machine} has seen a later term"
                )
            if outcome is machines.Outcome.REFUSED:
                self._term.post(lambda state: upkeep.drop(state, command.wave, command.machine))
                return
            await trio.sleep(RETRY_S)


def _begin(state: State, request: machines.WaveRequest) -> None:
    if request.number in state.waves:
        return
    due_s = clock.wall_s() + request.time_limit_s
    state.waves[request.number] = upkeep.Wave(
        request.number, request.machines, request.max_down, due_s
    )
    state.dirty_waves.add(request.number)
    state.note("wave_taken_up", None, wave=request.number, machines=len(request.machines))


def _waves(items: Iterable[Item]) -> list[upkeep.Wave]:
    found = []
    for item in items:
        try:
            found.append(msgspec.msgpack.decode(item.value or b"", type=upkeep.Wave))
        except msgspec.MsgspecError as exc:
            _log.error("wave_record_unreadable", key=item.key, error=str(exc))
    return found


__all__ = ["Upkeep"]
