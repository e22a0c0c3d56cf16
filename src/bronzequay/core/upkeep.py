"""Waves of upkeep: chooses the machines of a wave that go down next."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.core import lifecycle, model

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay.core.state import State, Worker

MACHINE_DOWNTIME_S = 4.0
"""Time for which a machine is down: 0.9 s for stops, 2 s of upkeep, 1 s until it is listed."""
DEADLINE_MARGIN_S = 2.0
"""Time that has to be left before the deadline when the last machine is back."""
MACHINE_GONE_S = 30.0
"""Time without a worker after which a machine counts as removed for good."""


class Wave(msgspec.Struct):
    """A wave of upkeep that the operator requested.

    :param most_down: machines that may be down for it at the same time
    :param due_s: deadline of the wave, in seconds since the Unix epoch
    :param done: machines that are back, removed for good, or refused by the platform
    :param ordered: machines ordered down, with the worker incarnation that the upkeep ends
    :param begun_s: when the platform was known to carry out the upkeep, on the runtime's clock
    :param unseen_s: since when machines have had no worker, on the runtime's clock
    """

    number: int
    machines: tuple[ids.MachineId, ...]
    most_down: int
    due_s: float
    done: set[ids.MachineId] = msgspec.field(default_factory=set)
    ordered: dict[ids.MachineId, ids.WorkerId] = msgspec.field(default_factory=dict)
    unseen_s: dict[ids.MachineId, float] = msgspec.field(default_factory=dict)
    begun_s: dict[ids.MachineId, float] = msgspec.field(default_factory=dict)

    @property
    def is_done(self) -> bool:
        """Return whether every machine has had its upkeep, is gone for good or was refused."""
        return set(self.machines) <= self.done

    @property
    def pending_machines(self) -> list[ids.MachineId]:
        """Return the machines that are still to be ordered down."""
        handled = self.done | self.ordered.keys()
        return [machine for machine in self.machines if machine not in handled]


def run(state: State) -> None:
    """Advance all waves: record machines that are back and order the next ones down."""
    if not state.waves:
        return
    workers_by_machine: dict[str, list[Worker]] = {}
    ordered = {machine for wave in state.waves.values() for machine in wave.ordered}
    for worker in state.workers.values():
        worker.is_held_for_upkeep = worker.spec.machine in ordered
        workers_by_machine.setdefault(worker.spec.machine, []).append(worker)
    for wave in state.waves.values():
        if not wave.is_done:
            _record_returns(state, wave, workers_by_machine)
            _select_machines(state, wave, workers_by_machine)


def _record_returns(state: State, wave: Wave, workers_by_machine: dict[str, list[Worker]]) -> None:
    for machine in list(wave.ordered):
        if any(_is_back(wave, worker) for worker in workers_by_machine.get(machine, ())):
            del wave.ordered[machine]
            _finish_machine(state, wave, machine, "back")
            for worker in workers_by_machine[machine]:
                worker.is_held_for_upkeep = False
    for machine in wave.pending_machines:
        if machine in workers_by_machine:
            wave.unseen_s.pop(machine, None)
        elif state.now_s - wave.unseen_s.setdefault(machine, state.now_s) > MACHINE_GONE_S:
            _finish_machine(state, wave, machine, "gone")


def _is_back(wave: Wave, worker: Worker) -> bool:
    """Return whether a worker has joined and answered after the upkeep of its machine.

    A machine may crash before its order is carried out, and the entry of a worker that the upkeep
    has ended may be read late. An order that has been carried out may be acknowledged only after
    the machine is back; a worker that has joined before that is back if it is still heard after the
    time that the upkeep takes.
    """
    machine = worker.spec.machine
    begun_s = wave.begun_s.get(machine)
    if begun_s is None or worker.spec.worker == wave.ordered[machine]:
        return False
    has_answered = worker.is_ready and worker.joined_s > begun_s
    return has_answered or worker.heard_s - begun_s > MACHINE_DOWNTIME_S


def record_begun(state: State, number: int, machine: ids.MachineId) -> None:
    """Record that the platform carries out the upkeep of a machine, or has done so."""
    wave = state.waves.get(number)
    if wave is not None:
        wave.begun_s.setdefault(machine, state.now_s)


def _finish_machine(state: State, wave: Wave, machine: ids.MachineId, reason: str) -> None:
    wave.done.add(machine)
    state.dirty_waves.add(wave.number)
    state.record_decision("upkeep_done", None, wave=wave.number, machine=machine, why=reason)


def drop_machine(state: State, number: int, machine: ids.MachineId) -> None:
    """Mark a machine done after the platform has refused its upkeep for good."""
    wave = state.waves.get(number)
    if wave is not None:
        wave.ordered.pop(machine, None)
        _finish_machine(state, wave, machine, "refused")


def _select_machines(state: State, wave: Wave, workers_by_machine: dict[str, list[Worker]]) -> None:
    """Order idle machines down; close to the deadline also evict tasks from busy ones."""
    available_slots = wave.most_down - len(wave.ordered)
    candidates = [
        worker
        for machine in wave.pending_machines
        for worker in workers_by_machine.get(machine, ())
        if worker.is_ready and not worker.is_draining
    ]
    candidates.sort(key=lambda worker: (len(worker.tasks), worker.spec.worker))
    is_deadline_near = _is_deadline_near(state, wave)
    for worker in candidates[: max(0, available_slots)]:
        is_empty = not worker.tasks and not worker.stray_runs
        worker.is_held_for_upkeep = is_empty or is_deadline_near
        if is_empty:
            _order_upkeep(state, wave, worker)
        elif is_deadline_near:
            _evict_tasks(state, worker)


def _is_deadline_near(state: State, wave: Wave) -> bool:
    rounds = math.ceil(len(wave.pending_machines) / max(1, wave.most_down))
    return state.wall_s + rounds * MACHINE_DOWNTIME_S + DEADLINE_MARGIN_S > wave.due_s


def _order_upkeep(state: State, wave: Wave, worker: Worker) -> None:
    machine = worker.spec.machine
    wave.ordered[machine] = worker.spec.worker
    state.dirty_waves.add(wave.number)
    state.upkeep_orders.append(model.BeginUpkeep(machine, wave.number))
    state.record_decision("upkeep_ordered", None, wave=wave.number, machine=machine)


def _evict_tasks(state: State, worker: Worker) -> None:
    for task in list(worker.tasks.values()):
        step = state.step_of(task.key)
        if step is None or not lifecycle.may_stop_another(step):
            continue
        for member in step.placed_tasks if step.spec.is_gang else [task]:
            lifecycle.stop(state, member)


def restore(state: State, waves: Iterable[Wave]) -> None:
    """Restore waves from their records; machines ordered down are ordered again."""
    for wave in waves:
        wave.unseen_s.clear()
        wave.begun_s.clear()
        state.waves[wave.number] = wave
        state.upkeep_orders.extend(
            model.BeginUpkeep(machine, wave.number) for machine in wave.ordered
        )


__all__ = ["Wave", "drop_machine", "record_begun", "restore", "run"]
