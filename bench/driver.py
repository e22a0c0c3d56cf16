"""Plays a trace through a scheduling core in virtual time.

The driver stands for the shell and the workers: it answers the core's commands after fixed
delays, loses and restores workers, cancels jobs, and measures. A start is held after
``start_s``; a released gang ends after the rest of its run time; a checkpoint takes
``checkpoint_s`` and keeps the progress, for which the next attempt pays ``restart_s``; a stop
takes ``stop_s`` and keeps nothing of the attempt, and neither does the checkpoint of a gang
that has lost a member. Ticks come every ``tick_s`` while a job waits.

Measured while it plays:

- a job's first release, end and outcome;
- the counts of ``bench.shadow``, after each step;
- fragmentation: of the waiting gangs that could run on the empty fleet and whose accelerators
  are no more than are free, the largest is taken. While there is one, each free accelerator
  that lies in no place for a member of that gang (for want of adjacent accelerators, cores or
  memory on its worker) is unusable; ``fragmentation`` is the mean over that time of the
  unusable share of the free accelerators. A core that places whatever fits leaves just
  those gangs waiting that fit by count alone, so this looks only at bad moments;
  ``fragmentation_of_free`` sets the unusable accelerator-seconds against all free ones of
  the run;
- the time for which a waiting job would fit in cells of its organisation's guarantee that
  none of the organisation's placed jobs uses (``entitled_wait_s``, per job the longest).
"""

from __future__ import annotations

import collections
import functools
import heapq
import itertools
import time
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from bench import entitled, faults, fleet, outcome, shadow, trace
from bronzequay import ids
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

IDLE_TICKS_TO_END = 360
LEASE_S = 10.0

Answer = model.Event | None


class Core(Protocol):
    """The interface of ``bronzequay.policy.core``; a module may stand for it."""

    def new_state(
        self,
        *,
        rules: model.Rules,
        workers: Iterable[model.WorkerSpec] = (),
        jobs: Iterable[model.JobRecord] = (),
    ) -> Any:
        """Build a state."""

    def step(self, state: Any, event: model.Event, *, now_s: float) -> tuple[model.Command, ...]:
        """Apply one event."""

    def pop_dirty(self, state: Any) -> tuple[model.JobRecord, ...]:
        """Return the records changed since the last call."""

    def forget(self, state: Any, job: ids.JobId) -> None:
        """Drop a job in a final state."""


class Timing(msgspec.Struct, frozen=True):
    """Delays of the workers and of the shell, in seconds."""

    start_s: float = 2.0
    stop_s: float = 1.0
    checkpoint_s: float = 5.0
    restart_s: float = 30.0
    tick_s: float = 10.0


class Run(msgspec.Struct):
    """A run in progress.

    :param timers: heap of (time, sequence, what to make of it when it is due)
    :param kept_s: progress that checkpoints kept, per job
    :param waiting: accepted jobs that could run
    :param shapes: waiting jobs by members and size of a member
    """

    core: Core
    state: Any
    timing: Timing
    shadow: shadow.Shadow
    outcome: outcome.Outcome
    timers: list[tuple[float, int, Callable[[], Answer]]]
    sequence: Iterator[int]
    fail_starts: dict[ids.WorkerId, float]
    kept_s: dict[ids.JobId, float]
    waiting: set[ids.JobId]
    shapes: collections.Counter[fleet.Size]
    entitled: entitled.Waits
    now_s: float = 0.0


def play(
    core: Core,
    jobs: Iterable[trace.TraceJob],
    *,
    workers: Sequence[model.WorkerSpec],
    rules: model.Rules,
    worker_faults: Iterable[faults.WorkerFault] = (),
    timing: Timing | None = None,
    until_s: float | None = None,
) -> outcome.Outcome:
    """Play a trace to its end.

    :param core: the decisions under measurement
    :param jobs: the trace
    :param workers: the fleet
    :param rules: the bundle in force throughout
    :param worker_faults: losses and failing workers
    :param timing: delays
    :param until_s: where to cut the run off, in virtual seconds; else it ends with the last
        job, or when nothing has happened for ``IDLE_TICKS_TO_END`` ticks
    :return: the measurements
    """
    run = Run(
        core=core,
        state=core.new_state(rules=rules, workers=workers),
        timing=timing or Timing(),
        shadow=shadow.new_shadow(rules, workers),
        outcome=outcome.Outcome(jobs={}),
        timers=[],
        sequence=itertools.count(),
        fail_starts={},
        kept_s=collections.defaultdict(float),
        waiting=set(),
        entitled=entitled.new_waits(rules),
        shapes=collections.Counter(),
    )
    could_run = functools.cache(functools.partial(fleet.could_ever_run, tuple(workers)))
    for job in jobs:
        _plan_job(run, job, could_run=could_run(fleet.size_of(trace.spec_of(job))))
    for fault in worker_faults:
        _plan_fault(run, fault, {spec.worker: spec for spec in workers})
    for at_s, event in _events(run, until_s):
        _advance(run, at_s)
        if event is not None:
            _step(run, event)
    run.outcome.ended_s = run.now_s
    run.outcome.overcommitted = run.shadow.overcommitted
    return run.outcome


def _events(run: Run, until_s: float | None) -> Iterator[tuple[float, Answer]]:
    tick_s = run.timing.tick_s
    idle = 0
    while run.timers or (run.waiting and idle < IDLE_TICKS_TO_END):
        next_tick_s = (run.now_s // tick_s + 1) * tick_s
        is_tick = bool(run.waiting) and (not run.timers or next_tick_s < run.timers[0][0])
        at_s = next_tick_s if is_tick else run.timers[0][0]
        if until_s is not None and at_s > until_s:
            return
        if is_tick:
            idle = 0 if run.timers else idle + 1
            yield at_s, model.Tick()
            continue
        _, _, make = heapq.heappop(run.timers)
        _advance(run, at_s)
        yield at_s, make()


def _at(run: Run, at_s: float, make: Callable[[], Answer]) -> None:
    heapq.heappush(run.timers, (at_s, next(run.sequence), make))


def _plan_job(run: Run, job: trace.TraceJob, *, could_run: bool) -> None:
    spec = trace.spec_of(job)
    run.outcome.jobs[job.job] = outcome.JobResult(job, could_run)
    _at(run, job.at_s, lambda: model.JobSubmitted(job.job, spec))
    if job.cancel_at_s is not None:
        _at(run, max(job.cancel_at_s, job.at_s), lambda: _cancel(run, job.job))


def _cancel(run: Run, job: ids.JobId) -> Answer:
    if run.outcome.jobs[job].state in model.FINAL_STATES:
        return None
    return model.JobCancelled(job)


def _plan_fault(
    run: Run, fault: faults.WorkerFault, specs: dict[ids.WorkerId, model.WorkerSpec]
) -> None:
    if not fault.is_lost:
        _at(run, fault.from_s, lambda: run.fail_starts.update({fault.worker: fault.until_s}))
        return
    _at(run, fault.from_s + LEASE_S, lambda: _lose(run, fault.worker))
    _at(run, fault.until_s, lambda: _restore(run, specs[fault.worker]))


def _lose(run: Run, worker: ids.WorkerId) -> Answer:
    shadow.lose_worker(run.shadow, worker)
    return model.WorkerLost(worker)


def _restore(run: Run, spec: model.WorkerSpec) -> Answer:
    shadow.add_worker(run.shadow, spec)
    return model.WorkerJoined(spec)


def _advance(run: Run, at_s: float) -> None:
    passed_s = at_s - run.now_s
    run.now_s = at_s
    if passed_s <= 0:
        return
    for attempt in run.shadow.attempts.values():
        work_s = passed_s * len(attempt.running) * attempt.spec.accelerators
        run.outcome.busy_s += work_s
        run.outcome.caller_busy_s[attempt.spec.caller] += work_s
    free = sum(len(worker.devices) for worker in run.shadow.workers.values())
    run.outcome.free_s += passed_s * free
    shape = max(
        (shape for shape in run.shapes if 0 < shape.members * shape.accelerators <= free),
        key=lambda shape: (shape.members * shape.accelerators, shape.accelerators),
        default=None,
    )
    if shape is None:
        return
    unusable = shadow.unusable(run.shadow, shape)
    run.outcome.counted_s += passed_s
    run.outcome.unusable_share_s += passed_s * unusable / free
    run.outcome.unusable_s += passed_s * unusable


def _step(run: Run, event: model.Event) -> None:
    run.outcome.steps += 1
    before = time.thread_time_ns()
    commands = run.core.step(run.state, event, now_s=run.now_s)
    took_us = (time.thread_time_ns() - before) / 1_000
    _occupy(run, commands, event)
    for command in commands:
        _COMMANDS[type(command)](run, command)
    _check_gangs(run, event)
    for record in run.core.pop_dirty(run.state):
        _note(run, record, took_us)
    entitled.update(run.entitled, run.shadow, run.now_s)


def _occupy(run: Run, commands: Sequence[model.Command], event: model.Event) -> None:
    starts = [command for command in commands if isinstance(command, model.StartGang)]
    firm = [command for command in starts if not command.spec.reclaimable]
    before = shadow.missing_guarantees(run.shadow) if firm else 0
    for command in starts:
        shadow.start(run.shadow, command)
    after = shadow.missing_guarantees(run.shadow) if firm else 0
    if after <= before:
        return
    run.outcome.guarantee_violations += 1
    started = ", ".join(f"{command.job} of {command.spec.org}" for command in firm)
    run.outcome.guarantee_violation_examples.append(
        f"{run.now_s:.1f} s, {type(event).__name__}: start of {started} leaves {after}"
        f" guaranteed accelerators without a place, {before} before"
    )


def _check_gangs(run: Run, event: model.Event) -> None:
    partial = shadow.partial_gangs(run.shadow)
    run.outcome.partial_gangs += len(partial)
    run.outcome.partial_gang_examples.extend(
        f"{run.now_s:.1f} s, {type(event).__name__}: {job}" for job in partial
    )


def _on_start(run: Run, command: model.StartGang) -> None:
    attempt = run.shadow.attempts[command.job]
    due_s = run.now_s + run.timing.start_s
    _at(run, due_s, lambda: _held(run, attempt))


def _held(run: Run, attempt: shadow.Attempt) -> Answer:
    if not _is_current(run, attempt) or attempt.phase is not shadow.Phase.HELD:
        return None
    for place in attempt.placements:
        if run.fail_starts.get(place.worker, -1.0) > run.now_s:
            fault = model.MemberFault.START_FAILED
            return model.MemberFailed(attempt.job, attempt.number, place.worker, fault)
    if attempt.has_lost_member:
        return None
    return model.GangHeld(attempt.job, attempt.number)


def _is_current(run: Run, attempt: shadow.Attempt) -> bool:
    return run.shadow.attempts.get(attempt.job) is attempt


def _on_release(run: Run, command: model.ReleaseGang) -> None:
    attempt = run.shadow.attempts[command.job]
    result = run.outcome.jobs[command.job]
    if result.first_run_s is None:
        result.first_run_s = run.now_s
    kept_s = run.kept_s[command.job]
    attempt.phase = shadow.Phase.RUNNING
    present = {place.member for place in attempt.placements}
    attempt.running = present & {place.member for place in command.placements}
    attempt.released_s = run.now_s
    attempt.charge_s = run.timing.restart_s if kept_s else 0.0
    due_s = run.now_s + attempt.charge_s + result.job.actual_s - kept_s
    _at(run, due_s, lambda: _ended(run, attempt))


def _ended(run: Run, attempt: shadow.Attempt) -> Answer:
    if not _is_current(run, attempt) or attempt.phase is not shadow.Phase.RUNNING:
        return None
    if attempt.has_lost_member:
        return None
    if run.outcome.jobs[attempt.job].job.outcome is trace.Outcome.FAIL:
        attempt.running.clear()
        worker = attempt.placements[0].worker
        fault = model.MemberFault.TASK_FAILED
        return model.MemberFailed(attempt.job, attempt.number, worker, fault)
    shadow.free(run.shadow, attempt.job)
    return model.GangFinished(attempt.job, attempt.number)


def _on_stop(run: Run, command: model.StopGang) -> None:
    attempt = run.shadow.attempts.get(command.job)
    if attempt is None or attempt.phase is shadow.Phase.STOPPING:
        return
    keeps = command.mode is model.StopMode.CHECKPOINT and bool(attempt.running)
    kept_s = 0.0
    if keeps and not attempt.has_lost_member:
        run.outcome.reclaims += 1
        kept_s = max(0.0, run.now_s - attempt.released_s - attempt.charge_s)
    attempt.phase = shadow.Phase.STOPPING
    attempt.running.clear()
    due_s = run.now_s + (run.timing.checkpoint_s if keeps else run.timing.stop_s)
    _at(run, due_s, lambda: _stopped(run, attempt, kept_s))


def _stopped(run: Run, attempt: shadow.Attempt, kept_s: float) -> Answer:
    run.kept_s[attempt.job] += kept_s
    shadow.free(run.shadow, attempt.job)
    return model.GangStopped(attempt.job, attempt.number, kept_s)


_COMMANDS: dict[type[model.Command], Callable[[Run, Any], None]] = {
    model.StartGang: _on_start,
    model.ReleaseGang: _on_release,
    model.StopGang: _on_stop,
}


def _note(run: Run, record: model.JobRecord, took_us: float) -> None:
    result = run.outcome.jobs[record.job]
    result.state = record.state
    result.code = record.code
    if record.state is model.JobState.REFUSED:
        run.outcome.refuse_us.append(took_us)
    if record.state in model.FINAL_STATES:
        result.ended_s = run.now_s
        run.core.forget(run.state, record.job)
    waits = record.state is model.JobState.ACCEPTED and result.could_run
    shape = fleet.size_of(record.spec)
    if waits == (record.job in run.waiting):
        return
    if waits:
        run.waiting.add(record.job)
        run.shapes[shape] += 1
        entitled.add(run.entitled, result, run.now_s)
        return
    run.waiting.remove(record.job)
    entitled.remove(run.entitled, result, run.now_s)
    run.shapes[shape] -= 1
    if not run.shapes[shape]:
        del run.shapes[shape]


__all__ = ["Core", "Timing", "play"]
