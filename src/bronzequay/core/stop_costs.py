"""Costs of stops of running work, as values of ``stop_limits``, and what a step gains by stops."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from bronzequay.core import model, order, reserve, rooms, spread, stop_limits, tasks, work
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from collections.abc import Set as AbstractSet

    from bronzequay import ids
    from bronzequay.core.state import Job, State, StepRun, Worker
    from bronzequay.core.tasks import Task

    _Stoppable = tuple[float, Task, StepRun]
    _Version = tuple[int, int]

CHECKPOINT_INTERVAL_S = 1.0
"""Run time between two checkpoints; a stop loses at most this much."""
RESTORE_S = 0.25
"""Run time that a restart costs; resuming from a checkpoint costs it once more."""
PROTECTED_COST_FACTOR = 20.0
"""Factor on the cost for urgent or serving work, since a stop also makes it miss its objective."""
_STOPPABLE_PHASES = frozenset({model.Phase.STARTING, model.Phase.RUNNING})


class StopCosts:
    """Costs of stops for steps of one kind, cached during a pass.

    :param may_stop: whether tasks of a step may be stopped
    :param ignores_estimates: whether work that is expected to end soon is stopped too
    :param stop_counts: plans with stops in the pass by worker, shared by all kinds of steps
    """

    def __init__(
        self,
        state: State,
        may_stop: Callable[[StepRun], bool],
        stop_counts: collections.Counter[ids.WorkerId | None],
        *,
        ignores_estimates: bool,
    ) -> None:
        self.ignores_estimates = ignores_estimates
        self._state = state
        self._stop_counts = stop_counts
        self._may_stop = may_stop
        self._may_stop_step: dict[int, bool] = {}
        self._gang_costs: dict[int, float] = {}
        self._stoppable: dict[ids.WorkerId, tuple[_Version, list[_Stoppable]]] = {}
        self._expected: dict[ids.WorkerId, tuple[_Version, rooms.Room]] = {}

    def forget(self, workers: Iterable[ids.WorkerId | None]) -> None:
        """Drop what is cached about workers on which tasks are being stopped."""
        self._stop_counts.update(set(workers))

    def _version(self, worker: Worker) -> _Version:
        """Return what changes as tasks are started or stopped on a worker during a pass."""
        return len(worker.tasks), self._stop_counts[worker.spec.worker]

    def expected_room(self, worker: Worker) -> rooms.Room:
        """Return the room of a worker once all tasks that are about to end have ended."""
        version, cached = self._version(worker), self._expected.get(worker.spec.worker)
        if cached is None or cached[0] != version:
            room = reserve.expected_room(
                self._state, worker, ignores_estimates=self.ignores_estimates
            )
            cached = self._expected[worker.spec.worker] = (version, room)
        return cached[1]

    def is_ending(self, step: StepRun, task: Task) -> bool:
        """Return whether the room of a task becomes free without another stop."""
        return reserve.is_ending(self._state, step, task, ignores_estimates=self.ignores_estimates)

    def cost(self, step: StepRun, task: Task) -> float:
        """Return the cost of a stop; a gang is stopped as a whole, so its members have one cost."""
        if not step.spec.is_gang:
            return stop_cost(self._state, step, task)
        if id(step) not in self._gang_costs:
            self._gang_costs[id(step)] = stop_cost(self._state, step, task)
        return self._gang_costs[id(step)]

    def stoppable_tasks(self, worker: Worker) -> list[_Stoppable]:
        """Return the tasks of a worker that may be stopped, by increasing cost."""
        version, cached = self._version(worker), self._stoppable.get(worker.spec.worker)
        if cached is None or cached[0] != version:
            cached = self._stoppable[worker.spec.worker] = (version, self._find_stoppable(worker))
        return cached[1]

    def _find_stoppable(self, worker: Worker) -> list[_Stoppable]:
        stoppable = []
        for task in worker.tasks.values():
            if task.phase not in _STOPPABLE_PHASES:
                continue
            step = self._state.step_of(task.key)
            if step is None or self.is_ending(step, task):
                continue
            if id(step) not in self._may_stop_step:
                self._may_stop_step[id(step)] = self._may_stop(step)
            if self._may_stop_step[id(step)]:
                stoppable.append((self.cost(step, task), task, step))
        return sorted(stoppable, key=lambda entry: entry[0])


def _run_times(state: State, step: StepRun, task: Task) -> tuple[float, float]:
    """Return the expected run time of a run and the part of it that is left, in seconds."""
    return tasks.expected_s(step.spec, task), states.remaining_s(step, task, state.now_s)


def stop_gain(state: State, step: StepRun) -> float:
    """Return the value that stops of other work are expected to gain for a waiting step."""
    queue = state.queue_of(step.job)
    if queue is None:
        return 0.0
    deadline = stop_limits.Deadline(*order.slack_s(state, step, queue))
    held = work.step_weight(step.spec)
    return stop_limits.stop_gain(
        _job_value(state, step.job),
        deadline,
        spread.waited_s(state, step),
        held / _mean_work(state, step.job) if step.spec.is_gang else 0.0,
    )


def _mean_work(state: State, job: Job) -> float:
    """Return the mean work of the jobs of a job's queue, in core-seconds."""
    return max(state.stops.mean_work(job.spec.queue) or work.job_work(job.spec), 1.0)


def _job_value(state: State, job: Job) -> float:
    return stop_limits.job_value(work.job_work(job.spec), _mean_work(state, job))


def stop_cost(state: State, step: StepRun, task: Task) -> float:
    """Return the cost of a stop as a value of ``stop_limits``; a gang is stopped as a whole.

    The cost for urgent or serving work is multiplied by ``PROTECTED_COST_FACTOR``.
    """
    run_time_s, remaining_s = _run_times(state, step, task)
    deadline = None
    queue = state.queue_of(step.job)
    if queue is not None and not step.spec.is_endless:
        deadline = stop_limits.Deadline(*order.slack_s(state, step, queue))
        deadline = deadline.after(max(0.0, remaining_s) - run_time_s)
    victim = stop_limits.Victim(
        job_value=_job_value(state, step.job),
        lost_work_share=lost_work(state, step, task) / _mean_work(state, step.job),
        lost_s=_lost_s(state, step, task),
        remaining_s=remaining_s,
        run_time_s=run_time_s,
        waited_s=max(0.0, task.started_s - (step.ready_s or 0.0)),
        earlier_stops=state.stops.earlier_stops(step.key if step.spec.is_gang else task.key),
        deadline=deadline,
    )
    cost = stop_limits.stop_cost(victim)
    is_protected = step.spec.is_endless or order.is_urgent(state, step.job)
    return cost * PROTECTED_COST_FACTOR if is_protected else cost


def lost_work(state: State, step: StepRun, task: Task) -> float:
    """Return the work that a stop loses, in core-seconds; a gang is stopped as a whole.

    A task loses its run time, at most ``CHECKPOINT_INTERVAL_S`` of it if it saves progress, and the
    time to restart.
    """
    members = step.placed_tasks if step.spec.is_gang else [task]
    cores = rooms.weight(step.spec.need.cpu, step.spec.need.gpu)
    return cores * sum(_lost_s(state, step, member) for member in members)


def losses(state: State, victims: Iterable[tuple[StepRun, Task]]) -> list[stop_limits.Loss]:
    """Return what is lost by stops of tasks, and of gangs that are named by one of their tasks."""
    return [
        stop_limits.Loss(
            step.job.spec.org,
            step.job.spec.queue,
            len(step.placed_tasks) if step.spec.is_gang else 1,
            lost_work(state, step, task),
        )
        for step, task in victims
    ]


def _lost_s(state: State, step: StepRun, task: Task) -> float:
    """Return the run time that a stop of a task loses, in seconds."""
    ran_s = max(0.0, state.now_s - task.phase_since_s)
    if step.spec.saves_progress:
        ran_s = min(ran_s, CHECKPOINT_INTERVAL_S) + RESTORE_S
    return ran_s + RESTORE_S


def pass_costs(
    state: State, guaranteed: AbstractSet[ids.JobId]
) -> dict[tuple[bool, bool], StopCosts]:
    """Return the costs of stops in a pass, by whether a step is guaranteed, and overdue as such."""
    stop_counts: collections.Counter[ids.WorkerId | None] = collections.Counter()

    def costs(*, is_guaranteed: bool, is_overdue: bool) -> StopCosts:
        def may_stop(other: StepRun) -> bool:
            return order.may_stop(state, other, guaranteed, is_guaranteed=is_guaranteed)

        return StopCosts(state, may_stop, stop_counts, ignores_estimates=is_overdue)

    return {
        (False, False): costs(is_guaranteed=False, is_overdue=False),
        (True, False): costs(is_guaranteed=True, is_overdue=False),
        (True, True): costs(is_guaranteed=True, is_overdue=True),
    }


def victim_key(state: State, task: Task) -> model.TaskKey | model.StepKey:
    """Return what an earlier stop of a task counts for: the step of a gang, else the task."""
    step = state.step_of(task.key)
    return step.key if step is not None and step.spec.is_gang else task.key


__all__ = ["StopCosts", "losses", "lost_work", "pass_costs", "stop_cost", "stop_gain", "victim_key"]
