"""Completion time, waits and fragmentation of the core, against a baseline and a lower bound.

``python -m bench.policy --seed N --deployment quispe|trentmere [--trace FILE] --json``

``ours`` is ``bronzequay.policy.core``, ``fifo_first_fit`` is ``bench.baseline`` and ``bound``
is the lower bound of ``bench.bound``. Times are virtual; ``bench.driver`` defines the delays of
starts, checkpoints and restarts, and fragmentation.

- ``jct_mean_s``, ``jct_p95_s``: job completion time, from arrival to end, over the jobs of the
  outcome ``ok`` that finish under both cores, so that cores and bound are compared on the same
  jobs; ``ended`` counts the jobs of each core by their last state.
- ``large_wait_p95_s``: over the same jobs, those of 16 accelerators or more; all time in which
  the job makes no progress, that is completion time less run time.
- ``urgent_start_p99_s``: from arrival to the first release, over the urgent jobs that fit the
  empty fleet and are not cancelled; for a job that never starts, until the end of the run.
- ``guarantee_violations``, ``partial_gangs``, ``overcommitted``: see ``bench.shadow``.
- ``entitled_wait_p99_s``, ``entitled_wait_max_s``: see ``bench.entitled``.
"""

from __future__ import annotations

import dataclasses
import pathlib
import time
import typing

import cappa
import msgspec

from bench import baseline, bound, driver, faults, fleet, outcome, stats, trace
from bronzequay.policy import core, model

if typing.TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from bronzequay import ids

LARGE_ACCELERATORS = 16
MAX_EXAMPLES = 5
MAX_DRAIN_S = 2 * trace.DAY_S


class Targets(msgspec.Struct, frozen=True):
    """Targets of issue 4; each ratio is that of ``ours`` to the named run or bound."""

    jct_mean_over_fifo: float = 0.4
    jct_mean_over_bound: float = 1.5
    large_wait_p95_over_fifo: float = 0.5
    fragmentation: float = 0.03
    urgent_start_p99_s: float = 8.3
    guarantee_violations: int = 0
    partial_gangs: int = 0


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run, or of the lower bound on all runs."""

    jct_mean_s: float
    jct_p95_s: float
    large_wait_p95_s: float
    fragmentation: float
    urgent_start_p99_s: float
    guarantee_violations: int
    partial_gangs: int


class RunFigures(Figures, frozen=True, kw_only=True):
    """Figures of a run, with the counts behind them.

    :param utilisation: work of released gangs over the fleet's capacity until the last arrival
    :param ended: jobs of the outcome ``ok`` that fit the empty fleet, by their last state
    :param never_fitted: jobs that do not fit the empty fleet, by their last state
    :param run_s: real time of the run
    """

    fragmentation_of_free: float
    overcommitted: int
    entitled_wait_p99_s: float
    entitled_wait_max_s: float
    reclaims: int
    utilisation: float
    ended: dict[str, int]
    never_fitted: dict[str, int]
    steps: int
    run_s: float
    examples: list[str]


class Ratios(msgspec.Struct, frozen=True):
    """Ratios for which there are targets."""

    jct_mean_over_fifo: float
    jct_mean_over_bound: float
    large_wait_p95_over_fifo: float


class Report(msgspec.Struct, frozen=True):
    """Printed report."""

    seed: int
    deployment: fleet.Deployment
    jobs: int
    compared_jobs: int
    compared_large_jobs: int
    ours: RunFigures
    fifo_first_fit: RunFigures
    bound: Figures
    ratios: Ratios
    targets: Targets
    missed: list[str]


def compare(*, seed: int, deployment: fleet.Deployment, jobs: Sequence[trace.TraceJob]) -> Report:
    """Replay a trace through both cores.

    :param seed: seed of the worker faults
    :param deployment: deployment whose fleet is simulated
    :param jobs: the trace
    :return: the figures and their targets
    """
    workers = fleet.workers(deployment)
    span_s = max(job.at_s for job in jobs)
    worker_faults = faults.generate(seed=seed, workers=workers, span_s=span_s)
    runs: list[tuple[outcome.Outcome, float]] = []
    for scheduler in (core, baseline):
        before_s = time.perf_counter()
        run_outcome = driver.play(
            scheduler,
            jobs,
            workers=workers,
            rules=fleet.rules(),
            worker_faults=worker_faults,
            until_s=span_s + MAX_DRAIN_S,
        )
        runs.append((run_outcome, time.perf_counter() - before_s))
    compared_ids = frozenset.intersection(*(_finished(run_outcome) for run_outcome, _ in runs))
    capacity_s = sum(worker.accelerators for worker in workers) * span_s
    ours, fifo = (
        _figures(run_outcome, compared_ids, capacity_s=capacity_s, run_s=run_s)
        for run_outcome, run_s in runs
    )
    compared = [job for job in jobs if job.job in compared_ids]
    lower_bound = _bound_figures(
        compared, accelerators=sum(worker.accelerators for worker in workers)
    )
    ratios = Ratios(
        jct_mean_over_fifo=_ratio(ours.jct_mean_s, fifo.jct_mean_s),
        jct_mean_over_bound=_ratio(ours.jct_mean_s, lower_bound.jct_mean_s),
        large_wait_p95_over_fifo=_ratio(ours.large_wait_p95_s, fifo.large_wait_p95_s),
    )
    return Report(
        seed=seed,
        deployment=deployment,
        jobs=len(jobs),
        compared_jobs=len(compared),
        compared_large_jobs=sum(trace.size_of(job) >= LARGE_ACCELERATORS for job in compared),
        ours=ours,
        fifo_first_fit=fifo,
        bound=lower_bound,
        ratios=ratios,
        targets=Targets(),
        missed=_missed_targets(ours, ratios),
    )


def _finished(run_outcome: outcome.Outcome) -> frozenset[ids.JobId]:
    return frozenset(
        job
        for job, result in run_outcome.jobs.items()
        if result.state is model.JobState.FINISHED and result.job.outcome is trace.Outcome.OK
    )


def _figures(
    run_outcome: outcome.Outcome,
    compared_ids: Collection[ids.JobId],
    *,
    capacity_s: float,
    run_s: float,
) -> RunFigures:
    results = list(run_outcome.jobs.values())
    compared = [result for result in results if result.job.job in compared_ids]
    jct_s = [_jct_s(result) for result in compared]
    large_waits_s = [
        _jct_s(result) - result.job.actual_s
        for result in compared
        if trace.size_of(result.job) >= LARGE_ACCELERATORS
    ]
    entitled_s = [result.entitled_wait_s for result in results if result.is_feasible]
    return RunFigures(
        jct_mean_s=_mean(jct_s),
        jct_p95_s=stats.percentile(jct_s, 0.95),
        large_wait_p95_s=stats.percentile(large_waits_s, 0.95),
        fragmentation=_ratio(run_outcome.unusable_share_s, run_outcome.fragmented_s),
        urgent_start_p99_s=stats.percentile(_urgent_starts_s(run_outcome), 0.99),
        guarantee_violations=run_outcome.guarantee_violations,
        partial_gangs=run_outcome.partial_gangs,
        fragmentation_of_free=_ratio(run_outcome.unusable_s, run_outcome.free_s),
        overcommitted=run_outcome.overcommitted,
        entitled_wait_p99_s=stats.percentile(entitled_s, 0.99),
        entitled_wait_max_s=max(entitled_s, default=0.0),
        reclaims=run_outcome.reclaims,
        utilisation=_ratio(run_outcome.busy_s, capacity_s),
        ended=_count_states(result for result in results if _is_expected_to_finish(result)),
        never_fitted=_count_states(result for result in results if not result.is_feasible),
        steps=run_outcome.steps,
        run_s=run_s,
        examples=[
            *run_outcome.guarantee_violation_examples[:MAX_EXAMPLES],
            *run_outcome.partial_gang_examples[:MAX_EXAMPLES],
        ],
    )


def _jct_s(result: outcome.JobResult) -> float:
    return (result.ended_s or 0.0) - result.job.at_s


def _is_expected_to_finish(result: outcome.JobResult) -> bool:
    return result.is_feasible and result.job.outcome is trace.Outcome.OK


def _urgent_starts_s(run_outcome: outcome.Outcome) -> list[float]:
    return [
        (run_outcome.ended_s if result.first_run_s is None else result.first_run_s)
        - result.job.at_s
        for result in run_outcome.jobs.values()
        if result.job.urgency is model.Urgency.URGENT
        and result.is_feasible
        and result.job.outcome is not trace.Outcome.CANCEL
    ]


def _count_states(results: typing.Iterable[outcome.JobResult]) -> dict[str, int]:
    states = [result.state.value for result in results]
    return {state: states.count(state) for state in sorted(set(states))}


def _bound_figures(jobs: Sequence[trace.TraceJob], *, accelerators: int) -> Figures:
    start_s = driver.Timing().start_s
    return Figures(
        jct_mean_s=bound.mean_jct_s(jobs, accelerators=accelerators, start_s=start_s),
        jct_p95_s=bound.p95_jct_s(jobs, start_s=start_s),
        large_wait_p95_s=start_s,
        fragmentation=0.0,
        urgent_start_p99_s=start_s,
        guarantee_violations=0,
        partial_gangs=0,
    )


def _missed_targets(ours: RunFigures, ratios: Ratios) -> list[str]:
    targets = Targets()
    values = {**msgspec.structs.asdict(ours), **msgspec.structs.asdict(ratios)}
    return [
        f"{name}: {values[name]:.3f}, target {limit}"
        for name, limit in msgspec.structs.asdict(targets).items()
        if values[name] > limit
    ]


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _ratio(part: float, total: float) -> float:
    return part / total if total else 0.0


@cappa.command(name="bench.policy", description="Measure the decisions on a trace.")
@dataclasses.dataclass
class Args:
    """Command line of this module."""

    seed: typing.Annotated[int, cappa.Arg(long=True, help="seed of the trace and the faults")]
    deployment: typing.Annotated[
        fleet.Deployment, cappa.Arg(long=True, help="deployment whose fleet is simulated")
    ]
    trace: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="trace file to use instead of a generated trace"),
    ] = None
    json: typing.Annotated[
        bool, cappa.Arg(long=True, help="print one line of JSON, not an indented object")
    ] = False


def main() -> None:
    """Run the benchmark and print its report."""
    args = cappa.parse(Args)
    if args.trace is None:
        jobs = trace.generate(seed=args.seed, deployment=args.deployment)
    else:
        jobs = trace.load(args.trace)
    report = msgspec.json.encode(compare(seed=args.seed, deployment=args.deployment, jobs=jobs))
    print((report if args.json else msgspec.json.format(report)).decode())


if __name__ == "__main__":
    main()
