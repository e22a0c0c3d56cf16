"""Waves of upkeep: which machine of a wave goes down next."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.core import lifecycle, model

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay.core.state import State, Worker

ROUND_S = 4.0
"""Time for which a machine is away: 0.9 s for stops, 2 s of upkeep, 1 s until it is listed."""
MARGIN_S = 2.0
"""Time that is to be left when the last machine is back."""
GONE_S = 30.0
"""Time without an executor after which a machine counts as gone."""


class Wave(msgspec.Struct):
    """A wave that the operator asked for.

    :param most_down: machines that may be down for it at once
    :param due_s: when all are to be done, in seconds since the Unix epoch
    :param done: machines that are back, or gone for good
    :param ordered: machines that were ordered down, with the life that ends by it
    :param unseen_s: since when machines have no executor
    """

    number: int
    machines: tuple[ids.MachineId, ...]
    most_down: int
    due_s: float
    done: set[ids.MachineId] = msgspec.field(default_factory=set)
    ordered: dict[ids.MachineId, ids.WorkerId] = msgspec.field(default_factory=dict)
    unseen_s: dict[ids.MachineId, float] = msgspec.field(default_factory=dict)

    @property
    def is_done(self) -> bool:
        """Return whether every machine that stays has had its upkeep."""
        return set(self.machines) <= self.done

    @property
    def rest(self) -> list[ids.MachineId]:
        """Return the machines that are still to be ordered down."""
        gone = self.done | self.ordered.keys()
        return [machine for machine in self.machines if machine not in gone]


def run(state: State) -> None:
    """Let the waves go on: note machines that are back, and choose the next ones."""
    if not state.waves:
        return
    lives: dict[str, list[Worker]] = {}
    for worker in state.workers.values():
        worker.is_withheld = False
        lives.setdefault(worker.spec.machine, []).append(worker)
    for wave in state.waves.values():
        if not wave.is_done:
            _note_returns(state, wave, lives)
            _choose(state, wave, lives)


def _note_returns(state: State, wave: Wave, lives: dict[str, list[Worker]]) -> None:
    for machine, old in list(wave.ordered.items()):
        if any(worker.spec.worker != old for worker in lives.get(machine, ())):
            del wave.ordered[machine]
            _finish(state, wave, machine, "back")
    for machine in wave.rest:
        if machine in lives:
            wave.unseen_s.pop(machine, None)
        elif state.now_s - wave.unseen_s.setdefault(machine, state.now_s) > GONE_S:
            _finish(state, wave, machine, "gone")


def _finish(state: State, wave: Wave, machine: ids.MachineId, why: str) -> None:
    wave.done.add(machine)
    state.dirty_waves.add(wave.number)
    state.note("upkeep_done", None, wave=wave.number, machine=machine, why=why)


def drop(state: State, number: int, machine: ids.MachineId) -> None:
    """Note that the platform refuses a machine's upkeep for good."""
    wave = state.waves.get(number)
    if wave is not None:
        wave.ordered.pop(machine, None)
        _finish(state, wave, machine, "refused")


def _choose(state: State, wave: Wave, lives: dict[str, list[Worker]]) -> None:
    """Take workers without work; others once time is short."""
    free = wave.most_down - len(wave.ordered)
    candidates = [
        worker
        for machine in wave.rest
        for worker in lives.get(machine, ())
        if worker.is_ready and not worker.is_draining
    ]
    candidates.sort(key=lambda worker: (len(worker.tasks), worker.spec.worker))
    is_pressed = _is_pressed(state, wave)
    for worker in candidates[: max(0, free)]:
        is_empty = not worker.tasks and not worker.strays
        worker.is_withheld = is_empty or is_pressed
        if is_empty:
            _order(state, wave, worker)
        elif is_pressed:
            _empty(state, worker)


def _is_pressed(state: State, wave: Wave) -> bool:
    rounds = math.ceil(len(wave.rest) / max(1, wave.most_down))
    return state.wall_s + rounds * ROUND_S + MARGIN_S > wave.due_s


def _order(state: State, wave: Wave, worker: Worker) -> None:
    machine = worker.spec.machine
    wave.ordered[machine] = worker.spec.worker
    state.dirty_waves.add(wave.number)
    state.upkeeps.append(model.Upkeep(machine, wave.number))
    state.note("upkeep_ordered", None, wave=wave.number, machine=machine)


def _empty(state: State, worker: Worker) -> None:
    for task in list(worker.tasks.values()):
        step = state.step_of(task.key)
        if step is None or not lifecycle.may_miss_more(step):
            continue
        for each in step.placed if step.spec.is_gang else [task]:
            lifecycle.stop(state, each)


def restore(state: State, waves: Iterable[Wave]) -> None:
    """Take up waves from their durable form; machines ordered down are ordered again."""
    for wave in waves:
        wave.unseen_s.clear()
        state.waves[wave.number] = wave
        state.upkeeps.extend(model.Upkeep(machine, wave.number) for machine in wave.ordered)


__all__ = ["Wave", "drop", "restore", "run"]
