"""Losses of workers, and the tasks that are suspected of having caused them.

A crash of a worker has two kinds of cause that look alike: a task that runs on it, and the machine
or its rack. A task whose worker crashes as it starts is a suspect. Suspects are started apart from
other tasks, see ``isolate``, so that a further crash shows which of them is the cause.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

from bronzequay import figures
from bronzequay.core import isolate, lifecycle, model

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from bronzequay import ids
    from bronzequay.core.state import State, Worker
    from bronzequay.core.tasks import Task

MIN_FATAL_STARTS = 2
"""Crashes at the starts of a task after which it is given up, if only its step can have caused the
last one."""
MAX_CRASHES = 4
"""Crashes under a task after which it is given up, whatever else ran on those workers."""
MIN_CONFIRMED_CRASHES = 2
"""Crashes that were certainly under a task without which it is not given up before it has reached
``MAX_UNCONFIRMED_CRASHES``."""
MAX_UNCONFIRMED_CRASHES = 5
"""Crashes after which a task is given up although most of its starts went unanswered."""
SILENCE_S = 2.0
"""Time since its last listing after which a worker counts as silent; a sound one sends a listing
every 1.6 s at most. A start that follows the last listing within this time may have been received.
"""
SERVICE_MEMORY_S = 600.0
"""Run time after which the crashes under a task of a service are forgotten."""
RACK_MEMORY_S = 15.0
"""Time for which lost workers count as silent members of their rack."""
MAX_LOGGED_RUNS = 10


class Loss(enum.Enum):
    """Why the runs on a worker are lost.

    CRASHED workers have been replaced by another incarnation without notice, LEFT workers after a
    drain and those in UPKEEP by order. The run leases on LAPSED workers have expired, and ABSENT
    workers have not been reached in this term.
    """

    CRASHED = "crashed"
    LEFT = "left"
    UPKEEP = "upkeep"
    LAPSED = "lapsed"
    ABSENT = "absent"


_COUNTED_LOSSES = frozenset({Loss.CRASHED, Loss.LAPSED})


class LostWorker(NamedTuple):
    """A worker that was lost a short time ago.

    :param heard_s: when its last listing arrived
    :param steps: steps that had runs on it
    :param had_starting_tasks: whether a task had just started there, which may have crashed it
    """

    rack: str
    heard_s: float
    lost_s: float
    steps: frozenset[model.StepKey]
    had_starting_tasks: bool


def record(state: State, worker: Worker, loss: Loss) -> None:
    """Record that the runs on a worker are lost, before they are ended.

    A task under which too many workers have crashed is given up with its job. A worker whose leases
    have lapsed may only be unreachable: ``forgive`` takes its crashes back.
    """
    if _is_in_upkeep(state, worker.spec.worker):
        loss = Loss.UPKEEP
    mates = _rack_mates(state, worker)
    silent_mates = [mate for mate in mates if _fell_silent_together(state, worker, mate)]
    tasks = list(worker.tasks.values())
    _log_loss(
        state,
        tasks,
        worker=worker.spec.worker,
        why=loss.value,
        silent_s=round(state.now_s - worker.heard_s, 2),
        rack=worker.spec.rack,
        rack_silent=f"{len(silent_mates)} of {len(mates)}",
    )
    if loss is Loss.CRASHED:
        state.lost_workers.append(_as_lost(state, worker))
        for task in state.lapsed_tasks.pop(worker.spec.worker, ()):
            task.unsure_crashes.pop(worker.spec.worker, None)
    if loss not in _COUNTED_LOSSES:
        return
    begun = [task for task in tasks if _may_have_begun(worker, task)]
    excused = [task for task in begun if _is_excused(task, len(mates), silent_mates)]
    _count(state, worker, begun, excused, is_certain=loss is Loss.CRASHED)


def record_absent(state: State, worker: ids.WorkerId, tasks: Sequence[Task]) -> None:
    """Record the loss of a worker that has not joined in this term, before its runs are ended.

    The worker may only be unreachable, see ``forgive``.
    """
    loss = Loss.UPKEEP if _is_in_upkeep(state, worker) else Loss.ABSENT
    _log_loss(state, tasks, worker=worker, why=loss.value)
    if loss is Loss.UPKEEP:
        return
    for task in tasks:
        task.crashes += 1
        _mark_unsure(state, worker, task, was_starting=False)
    _give_up(state, worker, tasks, is_certain=False)


def forgive(state: State, worker: Worker) -> None:
    """Take back the crashes of a worker that was only unreachable, also in earlier terms."""
    for task in state.lapsed_tasks.pop(worker.spec.worker, ()):
        was_starting = task.unsure_crashes.pop(worker.spec.worker, None)
        if was_starting is None:
            continue
        task.crashes = max(0, task.crashes - 1)
        task.fatal_starts = max(0, task.fatal_starts - was_starting)
        state.dirty_jobs.update({task.key.job} & state.jobs.keys())


def _mark_unsure(state: State, worker: ids.WorkerId, task: Task, *, was_starting: bool) -> None:
    """Record that a crash is taken back should its worker be heard again."""
    task.unsure_crashes[worker] = was_starting
    state.lapsed_tasks.setdefault(worker, []).append(task)


def clear_suspects(state: State, worker: Worker) -> None:
    """Clear the suspects on a worker whose start it has survived.

    A service runs for months; its tasks are cleared of all crashes after a long run.
    """
    for task in worker.tasks.values():
        if task.fatal_starts and isolate.is_past_start(task):
            task.fatal_starts = 0
            _clear_gang(state, task)
            state.dirty_jobs.add(task.key.job)
        if task.crashes and state.now_s - task.started_s > SERVICE_MEMORY_S:
            step = state.step_of(task.key)
            if step is not None and step.spec.is_endless:
                task.crashes = task.confirmed_crashes = 0
                task.unsure_crashes.clear()
                state.dirty_jobs.add(task.key.job)


def _count(
    state: State, worker: Worker, begun: list[Task], excused: list[Task], *, is_certain: bool
) -> None:
    """Count a crash for the tasks that may have caused it.

    :param begun: tasks that had begun on the worker, or may have
    :param excused: those of them that are excused by the failure of their rack
    """
    suspects = [task for task in begun if task not in excused]
    starting = [task for task in suspects if _was_starting(task)]
    for task in suspects:
        task.crashes += 1
        state.dirty_jobs.add(task.key.job)
    _suspect(state, starting)
    if is_certain:
        _count_for_gang(state, starting)
        for task in begun:
            task.confirmed_crashes += task.is_confirmed
            state.dirty_jobs.add(task.key.job)
        # Excused tasks are suspected all the same, so that they are not excused again.
        _suspect(state, [task for task in excused if _was_starting(task)])
    else:
        for task in suspects:
            _mark_unsure(state, worker.spec.worker, task, was_starting=task in starting)
    _give_up(state, worker.spec.worker, starting or suspects, is_certain=is_certain)
    if starting:
        _give_up(state, worker.spec.worker, suspects, is_certain=False)


def _count_for_gang(state: State, starting: Sequence[Task]) -> None:
    """Count a crash for a gang, once a run, if only its members can have caused it.

    Each run may crash the worker of another member, which then ends the others.
    """
    if len({task.key[:3] for task in starting}) != 1 or not starting[0].is_confirmed:
        return
    step, run = state.step_of(starting[0].key), starting[0].run
    if step is not None and step.spec.is_gang and step.crashed_run != run:
        step.crashed_run = run
        step.crashes += 1


def _clear_gang(state: State, task: Task) -> None:
    step = state.step_of(task.key)
    if step is not None:
        step.crashes = 0


def _suspect(state: State, tasks: Iterable[Task]) -> None:
    """Count a crash at the start of tasks, which from now on start apart from others."""
    for task in tasks:
        task.fatal_starts += 1
        state.suspect_steps.add(model.StepKey(*task.key[:3]))


def _give_up(
    state: State, worker: ids.WorkerId, candidates: Sequence[Task], *, is_certain: bool
) -> None:
    """Fail the jobs of the tasks under which too many workers have crashed.

    :param candidates: tasks that are most likely to have caused the last crash
    :param is_certain: whether the worker has crashed for certain
    """
    is_only_step = len({task.key[:3] for task in candidates}) == 1
    for task in candidates:
        step = state.step_of(task.key)
        if step is None or step.is_done or step.job.is_final:
            continue
        subject = f"task {task.key.number} of step {task.key.step}"
        is_identified = is_certain and is_only_step and task.is_confirmed
        is_confirmed = task.confirmed_crashes >= MIN_CONFIRMED_CRASHES
        if is_identified and is_confirmed and task.fatal_starts >= MIN_FATAL_STARTS:
            what = f"{subject} crashed its worker at {task.fatal_starts} starts"
        elif is_identified and step.crashes >= MAX_CRASHES:
            what = f"the gang of step {task.key.step} crashed workers at {step.crashes} starts"
        elif task.crashes >= (MAX_CRASHES if is_confirmed else MAX_UNCONFIRMED_CRASHES):
            what = f"{subject} was on {task.crashes} workers as they crashed"
        else:
            continue
        reason = f"{what}, last on {worker}"
        lifecycle.end_job(state, step.job, model.JobState.FAILED, reason)


def _is_in_upkeep(state: State, worker: ids.WorkerId) -> bool:
    return any(worker in wave.ordered.values() for wave in state.waves.values())


def _was_starting(task: Task) -> bool:
    """Return whether a task of this term had not run for long when its worker fell silent."""
    is_of_this_term = task.is_confirmed or task.phase is not model.Phase.RUNNING
    return is_of_this_term and not isolate.is_past_start(task)


def _may_have_begun(worker: Worker, task: Task) -> bool:
    is_inherited = task.phase is model.Phase.RUNNING
    return task.is_confirmed or is_inherited or task.started_s - worker.heard_s < SILENCE_S


def _rack_mates(state: State, worker: Worker) -> list[LostWorker]:
    """Return the other workers that its rack had when a worker was last heard."""
    rack, heard_s = worker.spec.rack, worker.heard_s
    if not rack:
        return []
    state.lost_workers = [
        lost for lost in state.lost_workers if state.now_s - lost.lost_s < RACK_MEMORY_S
    ]
    present = [
        _as_lost(state, mate)
        for mate in state.workers.values()
        if mate is not worker and mate.spec.rack == rack and mate.joined_s <= heard_s
    ]
    return present + [
        lost for lost in state.lost_workers if lost.rack == rack and lost.lost_s > heard_s
    ]


def _fell_silent_together(state: State, worker: Worker, mate: LostWorker) -> bool:
    is_silent = state.now_s - mate.heard_s > SILENCE_S
    return is_silent and abs(mate.heard_s - worker.heard_s) < SILENCE_S


def _is_excused(task: Task, mate_count: int, silent_mates: list[LostWorker]) -> bool:
    """Return whether a crash is not counted under a task because its rack has failed.

    A suspect is not excused, since power hardly fails at the start of one task again and again.
    """
    return not task.fatal_starts and _is_rack_failure(task, mate_count, silent_mates)


def _is_rack_failure(task: Task, mate_count: int, silent_mates: list[LostWorker]) -> bool:
    """Return whether half of the other workers of a rack crashed with a task's worker.

    Those that ran the same step may have crashed because of it and do not count. Of the others one
    at least must have had no starting task, since several tasks may crash their workers at once.
    """
    step = model.StepKey(*task.key[:3])
    unrelated = [mate for mate in silent_mates if step not in mate.steps]
    is_unexplained = any(not mate.had_starting_tasks for mate in unrelated)
    return is_unexplained and len(unrelated) * 2 >= mate_count


def _as_lost(state: State, worker: Worker) -> LostWorker:
    lapsed_tasks = state.lapsed_tasks.get(worker.spec.worker, ())
    tasks = (*worker.tasks.values(), *lapsed_tasks)
    steps = frozenset(model.StepKey(*task.key[:3]) for task in tasks)
    had_starting_tasks = any(
        task.unsure_crashes.get(worker.spec.worker) for task in lapsed_tasks
    ) or any(
        _may_have_begun(worker, task) and _was_starting(task) for task in worker.tasks.values()
    )
    return LostWorker(worker.spec.rack, worker.heard_s, state.now_s, steps, had_starting_tasks)


def _log_loss(state: State, tasks: Iterable[Task], *, why: str, **inputs: object) -> None:
    runs = [_describe(state, task) for task in tasks]
    figures.count(f'workers_lost{{why="{why}"}}')
    figures.count(f'runs_lost{{why="{why}"}}', len(runs))
    state.record_decision(
        "worker_lost", None, why=why, **inputs, count=len(runs), runs=runs[:MAX_LOGGED_RUNS]
    )


def _describe(state: State, task: Task) -> str:
    """Return a run's task, number, age, and whether its worker had acknowledged and listed it."""
    key = task.key
    age_s = state.now_s - task.started_s
    known = "listed" if task.first_sample else "confirmed" if task.is_confirmed else "unconfirmed"
    return f"{key.job}.{key.occurrence}.{key.step}.{key.number}/{task.run} {age_s:.1f} s {known}"


__all__ = [
    "Loss",
    "LostWorker",
    "clear_suspects",
    "forgive",
    "record",
    "record_absent",
]
