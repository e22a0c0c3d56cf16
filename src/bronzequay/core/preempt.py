"""Preemption: frees room for urgent work by stopping the tasks that lose the least work."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from bronzequay.core import lifecycle, model, reserve, rooms, stop_costs
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay import ids
    from bronzequay.core.fleet_view import FleetView
    from bronzequay.core.state import State, StepRun, Worker
    from bronzequay.core.tasks import Task

    _Option = tuple[float, list[Task]]

WITHHELD_BY_RATE, WITHHELD_BY_COST = "rate", "cost"
"""Why nothing is stopped: enough was stopped a short time ago; stops cost more than the step gains,
or free too little room."""
FOR_GUARANTEE, FOR_URGENT_WORK = "guarantee", "urgent"
"""Why work is stopped."""
RESERVATION_TIMEOUT_S = 1.5
"""Time after which a preempting reservation expires if its room has not become free."""


def free_room(
    state: State,
    step: StepRun,
    view: FleetView,
    costs: stop_costs.StopCosts,
    *,
    max_cost: float,
) -> reserve.Reservation | None:
    """Choose the tasks to stop for a step, and stop them.

    No task is stopped if enough room becomes free without.

    :param costs: costs of the stops that are permitted for the step
    :param max_cost: largest acceptable cost of the stops, as a value of ``stop_limits``; infinity
        for guaranteed work, whose stops are not limited
    :return: reservation of the room being freed, None when stops cost too much or free too little
        room, or when members of a gang are still placed
    """
    task_count = len(step.waiting_tasks)
    if step.spec.is_gang and task_count < step.spec.count:
        return None
    allowance = float("inf")
    if max_cost < float("inf"):
        allowance = _allowance(state, step)
    if allowance <= 0:
        state.stops.count_withheld(WITHHELD_BY_RATE)
        return None
    for groups in view.group_tiers(step):
        plans = (_Plan(state, step, group, view, costs) for group in groups)
        best = _cheapest(plans, task_count, max_cost=max_cost, allowance=allowance)
        if best is not None:
            break
    else:
        state.stops.count_withheld(WITHHELD_BY_COST)
        return None
    losses = stop_costs.losses(state, best.losses)
    state.record_decision(
        "preempting",
        step.job.spec.job,
        step=step.number,
        need=step.spec.need,
        slots=best.slots,
        cost=round(best.cost, 3),
        lost_work=round(sum(loss.work for loss in losses), 1),
        victims=sorted({f"{task.key.job}.{task.key.step}" for task in best.victims}),
    )
    if best.victims:
        _record_stops(state, step, best)
        reason = FOR_GUARANTEE if max_cost == float("inf") else FOR_URGENT_WORK
        state.stops.count_losses(reason, losses)
    for task in best.victims:
        lifecycle.stop(state, task)
    costs.forget(task.worker for task in best.victims)
    now_s = state.now_s
    return reserve.Reservation(
        best.slots,
        available_s=now_s,
        expires_s=now_s + RESERVATION_TIMEOUT_S,
        is_preempting=True,
        ignores_estimates=costs.ignores_estimates,
    )


def _allowance(state: State, step: StepRun) -> float:
    """Return the capacity that may be stopped now for a step without a guarantee, in cores."""
    queue = state.queue_of(step.job)
    if queue is None:
        return 0.0
    capacity = sum(
        rooms.weight(worker.spec.capacity.cpu, worker.spec.capacity.gpu)
        for worker in state.workers.values()
        if worker.spec.service == queue.service
    )
    return state.stops.allowance(state.now_s, queue.service, capacity)


def _record_stops(state: State, step: StepRun, plan: _Plan) -> None:
    queue = state.queue_of(step.job)
    if queue is not None:
        victims = {stop_costs.victim_key(state, task) for task in plan.victims}
        state.stops.record_stops(state.now_s, queue.service, plan.capacity, victims)


def _cheapest(
    plans: Iterable[_Plan], task_count: int, *, max_cost: float, allowance: float
) -> _Plan | None:
    """Return the plan with the lowest cost, None when each costs too much or frees too little."""
    best: _Plan | None = None
    for plan in plans:
        if plan.find_victims(task_count, max_cost=max_cost, allowance=allowance):
            best, max_cost = plan, plan.cost
            if not plan.cost:
                break
    return best


class _Plan:
    """Stops that make room for a step in one group of workers."""

    def __init__(
        self,
        state: State,
        step: StepRun,
        group: list[Worker],
        view: FleetView,
        costs: stop_costs.StopCosts,
    ) -> None:
        self._state = state
        self._need = states.allocation_of(step.spec)
        self._costs = costs
        self._group = {worker.spec.worker: worker for worker in group}
        self._max_tasks = {
            worker_id: rooms.max_additional_tasks(worker, step)
            for worker_id, worker in self._group.items()
        }
        self._rooms = {
            worker_id: self._available_room(worker, view)
            for worker_id, worker in self._group.items()
        }
        self._fit_counts = {
            worker_id: self._count_fitting(worker_id, room)
            for worker_id, room in self._rooms.items()
        }
        self._options: dict[ids.WorkerId, _Option | None] = {}
        self._victim_keys: set[model.TaskKey] = set()
        self.slots: dict[ids.WorkerId, int] = {}
        self.victims: list[Task] = []
        self.cost = 0.0
        self.losses: list[tuple[StepRun, Task]] = []
        self.capacity = 0.0

    def _available_room(self, worker: Worker, view: FleetView) -> rooms.Room:
        """Return the room of a worker that is free soon without stops and not reserved."""
        room = view.unreserved_room(worker, float("inf"))
        expected = self._costs.expected_room(worker)
        return rooms.Room(
            room.cpu + expected.cpu - worker.free_cpu,
            room.mem_mb + expected.mem_mb - worker.free_mem_mb,
            room.gpu + expected.gpu - worker.free_gpu,
        )

    def _count_fitting(self, worker_id: ids.WorkerId, room: rooms.Room) -> int:
        return room.count_fitting(self._need, self._max_tasks[worker_id])

    def find_victims(self, task_count: int, *, max_cost: float, allowance: float) -> bool:
        """Choose victims until the tasks fit, and assign the tasks to workers.

        :param task_count: number of tasks that must fit
        :param max_cost: largest acceptable cost of the stops
        :param allowance: largest capacity that may be stopped, in cores
        :return: false when the tasks do not fit, or the stops cost more or exceed the allowance
        """
        while sum(self._fit_counts.values()) < task_count:
            for worker_id in self._group:
                if worker_id not in self._options:
                    self._options[worker_id] = self._cheapest_option(
                        worker_id, max_cost=max_cost - self.cost
                    )
            options = [option for option in self._options.values() if option is not None]
            if not options:
                return False
            self._add_victims(min(options, key=lambda option: option[0])[1])
            if self.cost > max_cost or self.capacity > allowance:
                return False
        unassigned = task_count
        for worker_id, fits in self._fit_counts.items():
            if fits and unassigned:
                self.slots[worker_id] = min(fits, unassigned)
                unassigned -= min(fits, unassigned)
        return True

    def _cheapest_option(self, worker_id: ids.WorkerId, *, max_cost: float) -> _Option | None:
        """Return the cost per task gained and the victims on a worker, None if no more can fit."""
        before = self._fit_counts[worker_id]
        if before >= self._max_tasks[worker_id]:
            return None
        room = self._rooms[worker_id]
        trial = rooms.Room(room.cpu, room.mem_mb, room.gpu)
        victims: list[Task] = []
        planned_stops: collections.Counter[model.StepKey] = collections.Counter()
        cost = 0.0
        for task_cost, task, step in self._costs.stoppable_tasks(self._group[worker_id]):
            if task.key in self._victim_keys:
                continue
            if step.spec.is_endless:
                planned_count = self._count_victims(step) + planned_stops[step.key]
                if not lifecycle.may_stop_another(step, planned_count):
                    continue
                planned_stops[step.key] += 1
            trial.release(states.allocation_of(step.spec))
            victims.append(task)
            cost += task_cost
            if cost > max_cost:
                return None
            gained = self._count_fitting(worker_id, trial) - before
            if gained > 0:
                return cost / gained, victims
        return None

    def _add_victims(self, victims: list[Task]) -> None:
        for victim in victims:
            step = self._state.step_of(victim.key)
            if step is None or victim.key in self._victim_keys:
                continue
            if not lifecycle.may_stop_another(step, self._count_victims(step)):
                continue
            self.cost += self._costs.cost(step, victim)
            self.losses.append((step, victim))
            for task in step.placed_tasks if step.spec.is_gang else [victim]:
                self._victim_keys.add(task.key)
                self.victims.append(task)
                self.capacity += rooms.weight(step.spec.need.cpu, step.spec.need.gpu)
                if task.worker in self._rooms and not self._costs.is_ending(step, task):
                    self._release(task.worker, states.allocation_of(step.spec))

    def _count_victims(self, step: StepRun) -> int:
        return sum(key[:3] == step.key for key in self._victim_keys)

    def _release(self, worker_id: ids.WorkerId, need: model.Resources) -> None:
        self._rooms[worker_id].release(need)
        self._fit_counts[worker_id] = self._count_fitting(worker_id, self._rooms[worker_id])
        self._options.pop(worker_id, None)


__all__ = ["free_room"]
