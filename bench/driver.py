"""Replays a trace through a scheduling core in virtual time.

The driver takes the place of the shell and the workers: it answers the core's commands after
fixed delays, loses and restores workers, cancels jobs, and measures. The members of a started
gang are held after ``start_s``; a released gang ends after its remaining run time; a checkpoint
takes ``checkpoint_s`` and saves the progress, which the next attempt restores in ``restart_s``;
a stop takes ``stop_s`` and loses the progress of the attempt, as does the checkpoint of a gang
that has lost a member. Ticks come every ``tick_s`` while a job waits.

Measured during a run:

- a job's first release, end and outcome;
- the counts of ``bench.shadow``, after each step;
- fragmentation, while a waiting gang that fits the empty fleet asks for no more accelerators
  than are free in all; the largest such gang counts. Place on each worker as many members of
  this gang as its free accelerators, cores and memory allow: the free accelerators left over
  are unusable. ``fragmentation`` is the mean over that time of the unusable share of the free
  accelerators. A core that places every gang that fits leaves only gangs waiting for which the
  free accelerators suffice in number but not in position, so this covers the worst moments
  only. ``fragmentation_of_free`` is the ratio of unusable to all free accelerator-seconds of
  the run;
- the time for which a waiting job would fit in cells of its organisation's guarantee that
  none of the organisation's placed jobs uses (``entitled_wait_s``, the longest of each job).
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
LEASE_S = 10.0  # time until the loss of a worker is detected

OptionalEvent = model.Event | None


class Core(Protocol):
    """Interface of ``bronzequay.policy.core``; a module satisfies it too."""

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
        """Remove a job in a final state."""


class Timing(msgspec.Struct, frozen=True):
    """Delays of the workers and of the shell, in seconds."""

    start_s: float = 2.0
    stop_s: float = 1.0
    checkpoint_s: float = 5.0
    restart_s: float = 30.0
    tick_s: float = 10.0


class Run(msgspec.Struct):
    """State of a run in progress.

    :param timers: heap of (time, sequence number, callback that returns the event due, if any)
    :param fail_starts: time until which each failing worker fails all starts
    :param progress_s: progress saved by checkpoints, per job
    :param waiting: accepted jobs that fit the empty fleet
    :param waiting_sizes: number of waiting jobs by size of the gang
    """

    core: Core
    state: Any
    timing: Timing
    shadow: shadow.Shadow
    outcome: outcome.Outcome
    timers: list[tuple[float, int, Callable[[], OptionalEvent]]]
    sequence: Iterator[int]
    fail_starts: dict[ids.WorkerId, float]
    progress_s: dict[ids.JobId, float]
    waiting: set[ids.JobId]
    waiting_sizes: collections.Counter[fleet.Size]
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
    """Replay a trace to its end.

    :param core: the scheduling core under measurement
    :param jobs: the trace
    :param workers: the fleet
    :param rules: the bundle in force throughout
    :param worker_faults: losses and failing workers
    :param timing: delays
    :param until_s: virtual time in seconds at which the run is cut off; without it the run ends
        with the last job, or after ``IDLE_TICKS_TO_END`` ticks in which nothing else happens
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
        progress_s=collections.defaultdict(float),
        waiting=set(),
        entitled=entitled.new_waits(rules),
        waiting_sizes=collections.Counter(),
    )
    is_feasible = functools.cache(functools.partial(fleet.fits_empty_fleet, tuple(workers)))
    for job in jobs:
        _plan_job(run, job, is_feasible=is_feasible(fleet.size_of(trace.spec_of(job))))
    for fault in worker_faults:
        _plan_fault(run, fault, {spec.worker: spec for spec in workers})
    for at_s, event in _events(run, until_s):
        _advance(run, at_s)
        if event is not None:
            _step(run, event)
    run.outcome.ended_s = run.now_s
    run.outcome.overcommitted = run.shadow.overcommitted
    return run.outcome


def _events(run: Run, until_s: float | None) -> Iterator[tuple[float, OptionalEvent]]:
    tick_s = run.timing.tick_s
    idle_ticks = 0
    while run.timers or (run.waiting and idle_ticks < IDLE_TICKS_TO_END):
        next_tick_s = (run.now_s // tick_s + 1) * tick_s
        is_tick = bool(run.waiting) and (not run.timers or next_tick_s < run.timers[0][0])
        at_s = next_tick_s if is_tick else run.timers[0][0]
        if until_s is not None and at_s > until_s:
            return
        if is_tick:
            idle_ticks = 0 if run.timers else idle_ticks + 1
            yield at_s, model.Tick()
            continue
        _, _, callback = heapq.heappop(run.timers)
        _advance(run, at_s)
        yield at_s, callback()


def _schedule(run: Run, at_s: float, callback: Callable[[], OptionalEvent]) -> None:
    heapq.heappush(run.timers, (at_s, next(run.sequence), callback))


def _plan_job(run: Run, job: trace.TraceJob, *, is_feasible: bool) -> None:
    spec = trace.spec_of(job)
    run.outcome.jobs[job.job] = outcome.JobResult(job, is_feasible)
    _schedule(run, job.at_s, lambda: model.JobSubmitted(job.job, spec))
    if job.cancel_at_s is not None:
        _schedule(run, max(job.cancel_at_s, job.at_s), lambda: _cancel(run, job.job))


def _cancel(run: Run, job: ids.JobId) -> OptionalEvent:
    if run.outcome.jobs[job].state in model.FINAL_STATES:
        return None
    return model.JobCancelled(job)


def _plan_fault(
    run: Run, fault: faults.WorkerFault, specs: dict[ids.WorkerId, model.WorkerSpec]
) -> None:
    if not fault.is_lost:
        _schedule(run, fault.from_s, lambda: run.fail_starts.update({fault.worker: fault.until_s}))
        return
    _schedule(run, fault.from_s + LEASE_S, lambda: _lose_worker(run, fault.worker))
    _schedule(run, fault.until_s, lambda: _restore_worker(run, specs[fault.worker]))


def _lose_worker(run: Run, worker: ids.WorkerId) -> OptionalEvent:
    shadow.remove_worker(run.shadow, worker)
    return model.WorkerLost(worker)


def _restore_worker(run: Run, spec: model.WorkerSpec) -> OptionalEvent:
    shadow.add_worker(run.shadow, spec)
    return model.WorkerJoined(spec)


def _advance(run: Run, at_s: float) -> None:
    elapsed_s = at_s - run.now_s
    run.now_s = at_s
    if elapsed_s <= 0:
        return
    for attempt in run.shadow.attempts.values():
        work_s = elapsed_s * len(attempt.running) * attempt.spec.accelerators
        run.outcome.busy_s += work_s
        run.outcome.caller_busy_s[attempt.spec.caller] += work_s
    free_accelerators = sum(len(worker.devices) for worker in run.shadow.workers.values())
    run.outcome.free_s += elapsed_s * free_accelerators
    size = max(
        (
            size
            for size in run.waiting_sizes
            if 0 < size.members * size.accelerators <= free_accelerators
        ),
        key=lambda size: (size.members * size.accelerators, size.accelerators),
        default=None,
    )
    if size is None:
        return
    unusable_accelerators = shadow.unusable_accelerators(run.shadow, size)
    run.outcome.fragmented_s += elapsed_s
    run.outcome.unusable_share_s += elapsed_s * unusable_accelerators / free_accelerators
    run.outcome.unusable_s += elapsed_s * unusable_accelerators


def _step(run: Run, event: model.Event) -> None:
    run.outcome.steps += 1
    before = time.thread_time_ns()
    commands = run.core.step(run.state, event, now_s=run.now_s)
    took_us = (time.thread_time_ns() - before) / 1_000
    _apply_starts(run, commands, event)
    for command in commands:
        _COMMANDS[type(command)](run, command)
    _check_gangs(run, event)
    for record in run.core.pop_dirty(run.state):
        _record_state(run, record, took_us)
    entitled.update(run.entitled, run.shadow, run.now_s)


def _apply_starts(run: Run, commands: Sequence[model.Command], event: model.Event) -> None:
    starts = [command for command in commands if isinstance(command, model.StartGang)]
    pinned_starts = [command for command in starts if not command.spec.reclaimable]
    before = shadow.missing_guarantees(run.shadow) if pinned_starts else 0
    for command in starts:
        shadow.start_attempt(run.shadow, command)
    after = shadow.missing_guarantees(run.shadow) if pinned_starts else 0
    if after <= before:
        return
    run.outcome.guarantee_violations += 1
    started = ", ".join(f"{command.job} of {command.spec.org}" for command in pinned_starts)
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
    _schedule(run, due_s, lambda: _end_start(run, attempt))


def _end_start(run: Run, attempt: shadow.Attempt) -> OptionalEvent:
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
    progress_s = run.progress_s[command.job]
    attempt.phase = shadow.Phase.RUNNING
    present = {place.member for place in attempt.placements}
    attempt.running = present & {place.member for place in command.placements}
    attempt.released_s = run.now_s
    attempt.restore_s = run.timing.restart_s if progress_s else 0.0
    due_s = run.now_s + attempt.restore_s + result.job.actual_s - progress_s
    _schedule(run, due_s, lambda: _end_run(run, attempt))


def _end_run(run: Run, attempt: shadow.Attempt) -> OptionalEvent:
    if not _is_current(run, attempt) or attempt.phase is not shadow.Phase.RUNNING:
        return None
    if attempt.has_lost_member:
        return None
    if run.outcome.jobs[attempt.job].job.outcome is trace.Outcome.FAIL:
        attempt.running.clear()
        worker = attempt.placements[0].worker
        fault = model.MemberFault.TASK_FAILED
        return model.MemberFailed(attempt.job, attempt.number, worker, fault)
    shadow.free_attempt(run.shadow, attempt.job)
    return model.GangFinished(attempt.job, attempt.number)


def _on_stop(run: Run, command: model.StopGang) -> None:
    attempt = run.shadow.attempts.get(command.job)
    if attempt is None or attempt.phase is shadow.Phase.STOPPING:
        return
    is_checkpoint = command.mode is model.StopMode.CHECKPOINT and bool(attempt.running)
    progress_s = 0.0
    if is_checkpoint and not attempt.has_lost_member:
        run.outcome.reclaims += 1
        progress_s = max(0.0, run.now_s - attempt.released_s - attempt.restore_s)
    attempt.phase = shadow.Phase.STOPPING
    attempt.running.clear()
    due_s = run.now_s + (run.timing.checkpoint_s if is_checkpoint else run.timing.stop_s)
    _schedule(run, due_s, lambda: _end_stop(run, attempt, progress_s))


def _end_stop(run: Run, attempt: shadow.Attempt, progress_s: float) -> OptionalEvent:
    run.progress_s[attempt.job] += progress_s
    shadow.free_attempt(run.shadow, attempt.job)
    return model.GangStopped(attempt.job, attempt.number, progress_s)


_COMMANDS: dict[type[model.Command], Callable[[Run, Any], None]] = {
    model.StartGang: _on_start,
    model.ReleaseGang: _on_release,
    model.StopGang: _on_stop,
}


def _record_state(run: Run, record: model.JobRecord, took_us: float) -> None:
    result = run.outcome.jobs[record.job]
    result.state = record.state
    result.code = record.code
    if record.state is model.JobState.REFUSED:
        run.outcome.refuse_us.append(took_us)
    if record.state in model.FINAL_STATES:
        result.ended_s = run.now_s
        run.core.forget(run.state, record.job)
    is_waiting = record.state is model.JobState.ACCEPTED and result.is_feasible
    size = fleet.size_of(record.spec)
    if is_waiting == (record.job in run.waiting):
        return
    if is_waiting:
        run.waiting.add(record.job)
        run.waiting_sizes[size] += 1
        entitled.add(run.entitled, result, run.now_s)
        return
    run.waiting.remove(record.job)
    entitled.remove(run.entitled, result, run.now_s)
    run.waiting_sizes[size] -= 1
    if not run.waiting_sizes[size]:
        del run.waiting_sizes[size]


__all__ = ["Core", "Timing", "play"]
