"""Who is stopped so that urgent work can start: the cheapest unsaved work."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from bronzequay.core import lifecycle, model, order, place, reserve
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids
    from bronzequay.core.state import State, StepRun, Task, Worker

    _Option = tuple[float, list[Task]]

SAVE_S = 1.0
"""Work between two checkpoints, which a stop loses at most."""
RESTORE_S = 0.25
"""Time that a start from a checkpoint takes."""
CORES_PER_GPU = 8.0
"""An accelerator counts as this many cores of lost work."""
PATIENCE_S = 1.5
"""Time after which a claim whose room is not free is made anew."""
_STOPPABLE = frozenset({model.Phase.STARTING, model.Phase.RUNNING})
DEAR_FACTOR = 20.0
"""Stopping urgent or serving work loses its objective beside the work itself."""


def claim(
    state: State,
    step: StepRun,
    view: place.View,
    may_stop: Callable[[StepRun], bool],
    *,
    most: float,
    is_certain: bool,
) -> reserve.Claim | None:
    """Choose whom to stop for a step, and stop them.

    :param may_stop: whether tasks of a step may be stopped for this one
    :param most: largest loss that is worth it, in core-seconds
    :param is_certain: whether work that is expected to end soon is not waited for
    :return: the room that is being freed, None when there is no way
    """
    wanted = len(step.waiting)
    if step.spec.is_gang and wanted < step.spec.count:
        return None
    best: _Plan | None = None
    costs = _Costs(state, may_stop, is_certain=is_certain)
    for group in view.groups(step):
        plan = _Plan(state, step, group, view, costs)
        if plan.make(wanted, most=most):
            best, most = plan, plan.cost
            if not plan.cost:
                break
    if best is None:
        return None
    state.note(
        "preempting",
        step.job.spec.job,
        step=step.number,
        need=step.spec.need,
        slots=best.slots,
        loss=round(best.cost, 1),
        victims=sorted({f"{task.key.job}.{task.key.step}" for task in best.victims}),
    )
    for task in best.victims:
        lifecycle.stop(state, task)
    now_s = state.now_s
    return reserve.Claim(
        best.slots,
        from_s=now_s,
        until_s=now_s + PATIENCE_S,
        is_freed=True,
        is_certain=is_certain,
    )


class _Plan:
    """A way to make room in one group of workers."""

    def __init__(
        self,
        state: State,
        step: StepRun,
        group: list[Worker],
        view: place.View,
        costs: _Costs,
    ) -> None:
        self._state = state
        self._need = states.need_of(step.spec)
        self._costs = costs
        self._group = {worker.spec.worker: worker for worker in group}
        self._most = {name: place.most_on(worker, step) for name, worker in self._group.items()}
        self._rooms = {name: self._soon(worker, view) for name, worker in self._group.items()}
        self._fits = {name: self._fits_in(name, room) for name, room in self._rooms.items()}
        self._options: dict[ids.WorkerId, _Option | None] = {}
        self._gone: set[model.TaskKey] = set()
        self.slots: dict[ids.WorkerId, int] = {}
        self.victims: list[Task] = []
        self.cost = 0.0

    def _soon(self, worker: Worker, view: place.View) -> place.Room:
        room = view.room(worker, float("inf"))
        soon = reserve.room_soon(self._state, worker, is_certain=self._costs.is_certain)
        return place.Room(
            room.cpu + soon.cpu - worker.cpu,
            room.mem_mb + soon.mem_mb - worker.mem_mb,
            room.gpu + soon.gpu - worker.gpu,
        )

    def _fits_in(self, name: ids.WorkerId, room: place.Room) -> int:
        return room.fits(self._need, self._most[name])

    def make(self, wanted: int, *, most: float) -> bool:
        """Find room for so many tasks.

        :param most: largest cost
        :return: false when there is no way that costs less
        """
        while sum(self._fits.values()) < wanted:
            for name in self._group:
                if name not in self._options:
                    self._options[name] = self._cheapest(name)
            options = [option for option in self._options.values() if option is not None]
            if not options:
                return False
            self._take(min(options, key=lambda option: option[0])[1])
            if self.cost > most:
                return False
        left = wanted
        for name, fits in self._fits.items():
            if fits and left:
                self.slots[name] = min(fits, left)
                left -= min(fits, left)
        return True

    def _cheapest(self, name: ids.WorkerId) -> _Option | None:
        """Return the cheapest way to more slots on a worker, by cost for each slot."""
        before = self._fits[name]
        if before >= self._most[name]:
            return None
        room = self._rooms[name]
        trial = place.Room(room.cpu, room.mem_mb, room.gpu)
        victims: list[Task] = []
        missing = collections.Counter(key[:3] for key in self._gone)
        cost = 0.0
        for lost, task, step in self._costs.of(self._group[name]):
            if task.key in self._gone:
                continue
            if not lifecycle.may_miss_more(step, missing[step.key]):
                continue
            missing[step.key] += 1
            trial.add(states.need_of(step.spec))
            victims.append(task)
            cost += lost
            gained = self._fits_in(name, trial) - before
            if gained > 0:
                return cost / gained, victims
        return None

    def _take(self, victims: list[Task]) -> None:
        for victim in victims:
            step = self._state.step_of(victim.key)
            if step is None or victim.key in self._gone:
                continue
            if not lifecycle.may_miss_more(step, self._gone_of(step)):
                continue
            self.cost += self._costs.loss(step, victim)
            for task in step.placed if step.spec.is_gang else [victim]:
                self._gone.add(task.key)
                self.victims.append(task)
                if task.worker in self._rooms and not self._costs.is_ending(step, task):
                    self._free(task.worker, states.need_of(step.spec))

    def _gone_of(self, step: StepRun) -> int:
        return sum(key[:3] == step.key for key in self._gone)

    def _free(self, name: ids.WorkerId, need: model.Resources) -> None:
        self._rooms[name].add(need)
        self._fits[name] = self._fits_in(name, self._rooms[name])
        self._options.pop(name, None)


class _Costs:
    """What stops would lose, by worker, for one search.

    :param may_stop: whether tasks of a step may be stopped
    :param is_certain: whether work that is expected to end soon is not waited for
    """

    def __init__(
        self, state: State, may_stop: Callable[[StepRun], bool], *, is_certain: bool
    ) -> None:
        self.is_certain = is_certain
        self._state = state
        self._may_stop = may_stop
        self._allowed: dict[int, bool] = {}
        self._gangs: dict[int, float] = {}

    def is_ending(self, step: StepRun, task: Task) -> bool:
        """Return whether a task's room becomes free without a stop."""
        return reserve.is_ending(self._state, step, task, is_certain=self.is_certain)

    def loss(self, step: StepRun, task: Task) -> float:
        """Return the loss of a task, which a gang's members share."""
        if not step.spec.is_gang:
            return loss(self._state, step, task)
        if id(step) not in self._gangs:
            self._gangs[id(step)] = loss(self._state, step, task)
        return self._gangs[id(step)]

    def of(self, worker: Worker) -> list[tuple[float, Task, StepRun]]:
        """Return the tasks of a worker that may be stopped, the cheapest first."""
        found = []
        for task in worker.tasks.values():
            if task.phase not in _STOPPABLE:
                continue
            step = self._state.step_of(task.key)
            if step is None or self.is_ending(step, task):
                continue
            if id(step) not in self._allowed:
                self._allowed[id(step)] = self._may_stop(step)
            if self._allowed[id(step)]:
                found.append((self.loss(step, task), task, step))
        return sorted(found, key=lambda each: each[0])


def loss(state: State, step: StepRun, task: Task) -> float:
    """Return the core-seconds that a stop throws away, with a gang's other members."""
    tasks = step.placed if step.spec.is_gang else [task]
    need = step.spec.need
    cores = need.cpu / 1000 + CORES_PER_GPU * need.gpu
    total = 0.0
    for each in tasks:
        ran_s = max(0.0, state.now_s - each.since_s)
        if step.spec.saves_progress:
            ran_s = min(ran_s, SAVE_S) + RESTORE_S
        total += cores * (ran_s + RESTORE_S)
    is_dear = step.spec.is_endless or order.is_urgent(state, step.job)
    return total * DEAR_FACTOR if is_dear else total


def work(step: StepRun) -> float:
    """Return a step's work in core-seconds."""
    need = step.spec.need
    cores = need.cpu / 1000 + CORES_PER_GPU * need.gpu
    return cores * step.spec.count * step.spec.estimate_s


__all__ = ["claim", "loss", "work"]
