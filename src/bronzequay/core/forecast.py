"""Predictions of run times and of the speeds of workers, learned from runs and their progress.

Plain values go in and out: the module knows neither the scheduler's state nor the network.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, NamedTuple

from bronzequay import ids
from bronzequay.core import learned, model, run_times, speeds
from bronzequay.core.speeds import WorkerTraits

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from collections.abc import Set as AbstractSet

    from bronzequay.core import tasks

MIN_PERCENT = 5.0
"""Progress from which a run time is projected: reports are whole percents, so the error is 20%."""
MIN_RUN_S = 0.4
"""Run time from which it is projected; the start of a run is known to some 0.1 s."""
GANG_SETTLE_S = 1.2
"""Time after which all members of a gang have been seen to run: they wait for the last one, and
progress is reported every second."""
MAX_FOLLOWED = 5_000
"""Runs at a time whose progress is followed from their first report."""

FULL_SPEED_PERCENT = 100
"""Throttle of a run that is not throttled."""

MIN_BASELINE_RUNS = 3
"""Runs of a step from which its own error of the estimate is used for its other tasks."""
BASELINE_RUN_VARIANCE = 0.04
"""Variance of one run around its step's baseline, with the doubt about its machine's speed."""
MIN_PROJECTED_PERCENT = 20.0
"""Progress from which a stopped or failed run counts with its projected run time."""
MIN_RUN_TIME_S = 1e-3
"""Least prediction, so that its logarithm exists."""

WORK_CACHE_S = 2.0
"""Time for which a prediction is kept; it takes 5 us, and a pass needs those of 350 steps."""
HIGH_SHARE = 0.9
"""Quantile by which the predicted distributions are judged."""
MAX_ACCURACY_RUNS = 1_000
"""Runs over which that is judged; older ones decay."""

RunKey = tuple[model.TaskKey, int]


class Run(NamedTuple):
    """A run of a single task or of a whole gang.

    :param key: the task, or any member of the gang
    :param workers: workers of the task or of all members of the gang
    :param slow_down: factor on the run time due to the racks of the workers
    :param expected_s: run time that was expected at its start, 0 if unknown
    :param since_s: when it began, on the runtime's clock; None when that is unknown
    :param is_whole: whether it began anew and in this term, so that progress is counted from then
    """

    key: model.TaskKey
    number: int
    org: ids.OrgId
    queue: ids.QueueId
    step: model.Step
    workers: tuple[WorkerTraits, ...]
    slow_down: float
    expected_s: float
    since_s: float | None
    is_whole: bool


class EndedRun(NamedTuple):
    """The end of a run.

    :param ended_s: when it was learned, on the runtime's clock
    """

    run: Run
    end: model.End
    ended_s: float


class Accuracy:
    """How well run times were predicted at the start of the runs that are done.

    :ivar share_below: share of the runs below the predicted 90th percentile
    """

    def __init__(self) -> None:
        self._ratios = run_times.Distribution()
        self._runs = 0
        self.share_below = 0.0

    def add(self, ratio: float, *, is_below: bool) -> None:
        """Add the logarithm of a run time over its prediction."""
        self._ratios.add(ratio, 1.0)
        self._runs = min(MAX_ACCURACY_RUNS, self._runs + 1)
        self.share_below += (is_below - self.share_below) / self._runs

    def quantile(self, share: float) -> float:
        """Return the ratio of predicted to actual run time that a share does not exceed."""
        return math.exp(-self._ratios.quantile(1.0 - share)) if self._runs else 1.0


class Forecast:
    """Predictions, and what they are learned from.

    :ivar revision: grows with everything that is learned
    :ivar accuracy: how well earlier runs were predicted
    """

    def __init__(self) -> None:
        self.revision = 0
        self._speeds = speeds.Speeds()
        self._run_times = run_times.RunTimes()
        self._first_reports: dict[RunKey, tuple[float, float]] = {}
        self._projected: dict[RunKey, float] = {}
        # By identity of the step, which is kept alive here.
        self._work: dict[int, tuple[model.Step, ids.OrgId, ids.QueueId, float]] = {}
        self._cleared_s = 0.0
        self.accuracy = Accuracy()
        self.speed = self._speeds.speed
        self.speed_of = self._speeds.speed_of
        self.groups = self._speeds.groups
        self.is_even = self._speeds.is_even

    def refresh(self, now_s: float) -> None:
        """Bring the predictions up to date with what has been recorded; called after each pass.

        :param now_s: the runtime's clock
        """
        self._speeds.refresh(now_s)
        if now_s - self._cleared_s >= WORK_CACHE_S:
            self._cleared_s = now_s
            self._work.clear()

    def work_s(self, org: ids.OrgId, queue: ids.QueueId, step: model.Step) -> float:
        """Return the expected run time of a task on a worker of speed 1, in seconds."""
        known = self._work.get(id(step))
        if known is not None and known[0] is step and known[1] == org and known[2] == queue:
            return known[3]
        prediction = None if _is_unbounded(step) else self._run_times.predict(org, queue, step)
        work_s = step.estimate_s if prediction is None else math.exp(prediction.mean)
        self._work[id(step)] = (step, org, queue, work_s)
        return work_s

    def work_quantile_s(
        self, org: ids.OrgId, queue: ids.QueueId, step: model.Step, share: float
    ) -> float:
        """Return the run time that a share of such tasks does not exceed at speed 1, in seconds."""
        return self.work_s(org, queue, step) * self._run_times.quantile(org, queue, step, share)

    def run_time_s(
        self,
        org: ids.OrgId,
        queue: ids.QueueId,
        step: model.Step,
        workers: Iterable[WorkerTraits],
        key: model.StepKey | None = None,
    ) -> float:
        """Return the expected run time on some workers, in seconds: the slowest one decides.

        :param key: the step whose runs so far say more than its estimate, None to leave them out
        """
        slowest, service = 1.0, None
        for worker in workers:
            speed = self.speed(worker)
            slowest = speed if service is None else min(slowest, speed)
            service = worker.service
        work_s = self.work_s(org, queue, step)
        baseline = None if key is None or service is None else self._speeds.baseline(service, key)
        if baseline is not None and baseline[1] >= MIN_BASELINE_RUNS and step.estimate_s > 0.0:
            prior = self._run_times.predict(org, queue, step)
            variance = BASELINE_RUN_VARIANCE / baseline[1]
            weight = prior.variance / (prior.variance + variance) if prior else 0.0
            work_s = work_s ** (1.0 - weight) * (step.estimate_s * math.exp(baseline[0])) ** weight
        return work_s / slowest

    def record_progress(self, run: Run, now_s: float, percent: float) -> None:
        """Record the progress that a worker reports for a run.

        :param percent: share that is done; anything but a number from 0 to 100 is ignored
        """
        if not 0.0 <= percent <= 100.0:  # noqa: PLR2004
            return
        full_s = self._projected_s(run, now_s, percent)
        if full_s is None:
            return
        self._record_slowness(run, full_s)
        if percent >= MIN_PROJECTED_PERCENT:
            self._projected[run.key, run.number] = full_s
            while len(self._projected) > MAX_FOLLOWED:
                del self._projected[next(iter(self._projected))]

    def record_end(self, ended: EndedRun) -> None:
        """Record the end of a run.

        A run that was stopped, failed or was lost counts with the run time that its progress shows,
        else as a run of at least the time that it had.
        """
        run = ended.run
        key = (run.key, run.number)
        self._first_reports.pop(key, None)
        projected_s = self._projected.pop(key, None)
        ran_s = None if run.since_s is None else max(0.0, ended.ended_s - run.since_s)
        if ended.end is not model.End.DONE:
            full_s = projected_s or self._censored_s(run, ran_s)
        elif run.is_whole and ran_s is not None:
            full_s = ran_s
            self._record_slowness(run, ran_s)
        else:
            full_s = projected_s
        if full_s is not None and full_s > MIN_RUN_TIME_S:
            self._record_run_time(run, full_s, is_exact=ended.end is model.End.DONE)

    def _censored_s(self, run: Run, ran_s: float | None) -> float | None:
        """Return the median run time of the runs that take longer than one that was ended.

        A run that was ended before its expected end says nothing, since most are.
        """
        if ran_s is None or not run.is_whole or ran_s <= run.expected_s or not run.expected_s:
            return None
        known = self._run_times.distribution(run.org, run.queue, run.step)
        if known is None:
            return ran_s
        share = known.share_below(math.log(ran_s / run.expected_s))
        factor = self._run_times.quantile(run.org, run.queue, run.step, (1.0 + share) / 2.0)
        return max(ran_s, run.expected_s * factor)

    def _record_run_time(self, run: Run, full_s: float, *, is_exact: bool) -> None:
        slowest = min(self.speed(worker) for worker in run.workers)
        work_s = full_s / run.slow_down * slowest
        ratio = math.log(full_s / run.expected_s) if run.expected_s > 0.0 else 0.0
        if is_exact and run.expected_s > 0.0:
            limit = self._run_times.quantile(run.org, run.queue, run.step, HIGH_SHARE)
            self.accuracy.add(ratio, is_below=ratio <= math.log(limit))
        self._run_times.record(run.org, run.queue, run.step, work_s, ratio)

    def services(self) -> tuple[ids.ServiceId, ...]:
        """Return the services of which something is known."""
        return tuple(self._speeds.pools)

    def snapshot(self) -> bytes:
        """Return what has been learned, for the next term."""
        return learned.encode(self._speeds.pools, self._run_times, self._figures())

    def restore(self, value: bytes) -> bool:
        """Add what an earlier term has learned.

        :return: false when the value is damaged or not in the present format; it is ignored then
        """
        snapshot = learned.decode(value)
        if snapshot is None:
            return False
        for record in snapshot.services:
            learned.restore_pool(self._speeds.pool(ids.ServiceId(record.service)), record)
        self._speeds.forget_estimates()
        learned.restore_run_times(self._run_times, snapshot.classes)
        self._work.clear()
        return True

    def _figures(self) -> learned.Figures:
        accuracy = self.accuracy
        return learned.Figures(accuracy.quantile(0.5), accuracy.quantile(0.9), accuracy.share_below)

    def dump(self) -> dict[str, Any]:
        """Return the predictions' accuracy and the groups of machines for the state dump."""
        figures = self._figures()
        return {
            "ratio_p50": round(figures.ratio_p50, 3),
            "ratio_p90": round(figures.ratio_p90, 3),
            "share_below_p90": round(figures.share_below_p90, 3),
            "groups": {
                service: [round(speed, 3) for speed in self.groups(service)]
                for service in self.services()
            },
        }

    def _record_slowness(self, run: Run, full_s: float) -> None:
        self.revision += 1
        if run.step.estimate_s <= 0.0 or full_s <= 0.0:
            return
        slowness = math.log(full_s / run.slow_down / run.step.estimate_s)
        if run.step.is_gang:
            step_key = model.StepKey(*run.key[:3])
            self._speeds.record_gang(run.workers, step_key, run.number, slowness)
        else:
            self._speeds.record_run(run.workers[0], run.key, run.number, slowness)

    def _projected_s(self, run: Run, now_s: float, percent: float) -> float | None:
        """Return the run time at the present rate of progress, None if it is not known yet."""
        if run.since_s is None:
            return None
        begin = (run.since_s, 0.0)
        if run.step.is_gang or not run.is_whole:
            key = (run.key, run.number)
            if run.step.is_gang and now_s - run.since_s < GANG_SETTLE_S:
                return None
            begin = self._first_reports.setdefault(key, (now_s, percent))
            while len(self._first_reports) > MAX_FOLLOWED:
                del self._first_reports[next(iter(self._first_reports))]
        done, ran_s = percent - begin[1], now_s - begin[0]
        if done < MIN_PERCENT or ran_s < MIN_RUN_S:
            return None
        return ran_s * 100.0 / done


def _is_unbounded(step: model.Step) -> bool:
    """Return whether the run time of a step's tasks says nothing about their work."""
    return step.is_endless or step.is_filler


def run_of(
    job: model.JobSpec,
    step: model.Step,
    members: Sequence[tuple[tasks.Task, model.WorkerSpec]],
    remote_factor: float,
) -> Run | None:
    """Return the run of a single task or of a gang; None if its run time would say nothing.

    Services never end, fillers take what others leave, and gangs count when all members run.

    :param members: tasks of the run and the workers that they are placed on
    :param remote_factor: slow-down of a task off its data's rack, or of a gang spread over racks
    """
    wanted = step.count if step.is_gang else 1
    if _is_unbounded(step) or len(members) != wanted:
        return None
    slow_down = slow_down_of(step, {worker.rack for _, worker in members}, remote_factor)
    if slow_down > remote_factor:
        return None
    is_running = all(task.phase is model.Phase.RUNNING for task, _ in members)
    if any(task.speed_percent != FULL_SPEED_PERCENT for task, _ in members):
        return None
    first = members[0][0]
    return Run(
        key=first.key,
        number=first.run,
        org=job.org,
        queue=job.queue,
        step=step,
        workers=tuple(speeds.traits_of(worker) for _, worker in members),
        slow_down=slow_down,
        expected_s=first.expected_s,
        since_s=max(task.phase_since_s for task, _ in members) if is_running else None,
        is_whole=all(task.is_whole for task, _ in members),
    )


def slow_down_of(step: model.Step, racks: AbstractSet[str], remote_factor: float) -> float:
    """Return the factor on the run time of a task, or of a gang, due to the racks that it runs on.

    :param remote_factor: slow-down of a task off its data's rack, or of a gang spread over racks
    """
    factor = 1.0
    if step.data_rack and racks != {step.data_rack}:
        factor *= remote_factor
    if step.is_gang and step.same_rack and len(racks) > 1:
        factor *= remote_factor
    return factor


__all__ = ["Accuracy", "EndedRun", "Forecast", "Run", "WorkerTraits", "run_of", "slow_down_of"]
