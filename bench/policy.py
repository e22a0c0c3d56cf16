"""Completion time, waits and fragmentation of the core beside a naive one and a bound.

``python -m bench.policy --seed N --deployment quispe|trentmere [--trace FILE] --json``

``ours`` is ``bronzequay.policy.core``, ``fifo_first_fit`` is ``bench.baseline`` and ``bound``
that of ``bench.bound``. Times are virtual; starts, checkpoints and restarts are charged as
``bench.driver`` says, which also defines fragmentation.

- ``jct_mean_s``, ``jct_p95_s``: from arrival to end, over the jobs of the outcome ``ok`` that
  finish under both cores, so that all three figures are of the same jobs; how many each core
  finishes, fails or leaves is beside them.
- ``large_wait_p95_s``: of the same jobs, those of 16 accelerators or more; all time in which
  the job makes no progress, so completion time less run time.
- ``urgent_start_p99_s``: from arrival to the first release of urgent jobs that could run and
  are not cancelled; one that never starts counts with the rest of the run.
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
EXAMPLES = 5
DRAIN_S = 2 * trace.DAY_S


class Targets(msgspec.Struct, frozen=True):
    """What issue 4 asks for; the ratios are of ``ours`` over the named run."""

    jct_mean_over_fifo: float = 0.4
    jct_mean_over_bound: float = 1.5
    large_wait_p95_over_fifo: float = 0.5
    fragmentation: float = 0.03
    urgent_start_p99_s: float = 8.3
    guarantee_violations: int = 0
    partial_gangs: int = 0


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run, or of the bound on every run."""

    jct_mean_s: float
    jct_p95_s: float
    large_wait_p95_s: float
    fragmentation: float
    urgent_start_p99_s: float
    guarantee_violations: int
    partial_gangs: int


class RunFigures(Figures, frozen=True, kw_only=True):
    """Figures of a run, with what they rest on.

    :param ended: jobs of the outcome ``ok`` that could run, by their last state
    :param never_fitted: jobs that never fit the fleet, by their last state
    :param utilisation: work of released gangs over the fleet's capacity until the last arrival
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
    """Figures that the targets bound."""

    jct_mean_over_fifo: float
    jct_mean_over_bound: float
    large_wait_p95_over_fifo: float


class Report(msgspec.Struct, frozen=True):
    """The object printed."""

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
    """Play a trace through both cores.

    :param seed: of the worker faults
    :param deployment: whose fleet
    :param jobs: the trace
    :return: the figures beside their targets
    """
    workers = fleet.workers(deployment)
    span_s = max(job.at_s for job in jobs)
    lost = faults.generate(seed=seed, workers=workers, span_s=span_s)
    runs: list[tuple[outcome.Outcome, float]] = []
    for candidate in (core, baseline):
        before_s = time.perf_counter()
        played = driver.play(
            candidate,
            jobs,
            workers=workers,
            rules=fleet.rules(),
            worker_faults=lost,
            until_s=span_s + DRAIN_S,
        )
        runs.append((played, time.perf_counter() - before_s))
    both = frozenset.intersection(*(_finished(played) for played, _ in runs))
    capacity_s = sum(worker.accelerators for worker in workers) * span_s
    ours, naive = (
        _figures(played, both, capacity_s=capacity_s, run_s=run_s) for played, run_s in runs
    )
    compared = [job for job in jobs if job.job in both]
    floor = _bound(compared, accelerators=sum(worker.accelerators for worker in workers))
    ratios = Ratios(
        jct_mean_over_fifo=_ratio(ours.jct_mean_s, naive.jct_mean_s),
        jct_mean_over_bound=_ratio(ours.jct_mean_s, floor.jct_mean_s),
        large_wait_p95_over_fifo=_ratio(ours.large_wait_p95_s, naive.large_wait_p95_s),
    )
    return Report(
        seed=seed,
        deployment=deployment,
        jobs=len(jobs),
        compared_jobs=len(compared),
        compared_large_jobs=sum(trace.size_of(job) >= LARGE_ACCELERATORS for job in compared),
        ours=ours,
        fifo_first_fit=naive,
        bound=floor,
        ratios=ratios,
        targets=Targets(),
        missed=_missed(ours, ratios),
    )


def _finished(played: outcome.Outcome) -> frozenset[ids.JobId]:
    return frozenset(
        job
        for job, result in played.jobs.items()
        if result.state is model.JobState.FINISHED and result.job.outcome is trace.Outcome.OK
    )


def _figures(
    played: outcome.Outcome, both: Collection[ids.JobId], *, capacity_s: float, run_s: float
) -> RunFigures:
    results = list(played.jobs.values())
    compared = [result for result in results if result.job.job in both]
    jct_s = [_jct_s(result) for result in compared]
    large_waits_s = [
        _jct_s(result) - result.job.actual_s
        for result in compared
        if trace.size_of(result.job) >= LARGE_ACCELERATORS
    ]
    entitled_s = [result.entitled_wait_s for result in results if result.could_run]
    return RunFigures(
        jct_mean_s=_mean(jct_s),
        jct_p95_s=stats.percentile(jct_s, 0.95),
        large_wait_p95_s=stats.percentile(large_waits_s, 0.95),
        fragmentation=_ratio(played.unusable_share_s, played.counted_s),
        urgent_start_p99_s=stats.percentile(_urgent_starts_s(played), 0.99),
        guarantee_violations=played.guarantee_violations,
        partial_gangs=played.partial_gangs,
        fragmentation_of_free=_ratio(played.unusable_s, played.free_s),
        overcommitted=played.overcommitted,
        entitled_wait_p99_s=stats.percentile(entitled_s, 0.99),
        entitled_wait_max_s=max(entitled_s, default=0.0),
        reclaims=played.reclaims,
        utilisation=_ratio(played.busy_s, capacity_s),
        ended=_states(result for result in results if _should_finish(result)),
        never_fitted=_states(result for result in results if not result.could_run),
        steps=played.steps,
        run_s=run_s,
        examples=[
            *played.guarantee_violation_examples[:EXAMPLES],
            *played.partial_gang_examples[:EXAMPLES],
        ],
    )


def _jct_s(result: outcome.JobResult) -> float:
    return (result.ended_s or 0.0) - result.job.at_s


def _should_finish(result: outcome.JobResult) -> bool:
    return result.could_run and result.job.outcome is trace.Outcome.OK


def _urgent_starts_s(played: outcome.Outcome) -> list[float]:
    return [
        (played.ended_s if result.first_run_s is None else result.first_run_s) - result.job.at_s
        for result in played.jobs.values()
        if result.job.urgency is model.Urgency.URGENT
        and result.could_run
        and result.job.outcome is not trace.Outcome.CANCEL
    ]


def _states(results: typing.Iterable[outcome.JobResult]) -> dict[str, int]:
    states = [result.state.value for result in results]
    return {state: states.count(state) for state in sorted(set(states))}


def _bound(jobs: Sequence[trace.TraceJob], *, accelerators: int) -> Figures:
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


def _missed(ours: RunFigures, ratios: Ratios) -> list[str]:
    targets = Targets()
    seen = {**msgspec.structs.asdict(ours), **msgspec.structs.asdict(ratios)}
    return [
        f"{name}: {seen[name]:.3f}, target {most}"
        for name, most in msgspec.structs.asdict(targets).items()
        if seen[name] > most
    ]


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _ratio(part: float, whole: float) -> float:
    return part / whole if whole else 0.0


@cappa.command(name="bench.policy", description="Measure the decisions on a trace.")
@dataclasses.dataclass
class Args:
    """Command line of this module."""

    seed: typing.Annotated[int, cappa.Arg(long=True, help="seed of the trace and the faults")]
    deployment: typing.Annotated[fleet.Deployment, cappa.Arg(long=True, help="whose fleet")]
    trace: typing.Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="trace file in place of a generated one")
    ] = None
    json: typing.Annotated[
        bool, cappa.Arg(long=True, help="print one line of JSON, not an indented object")
    ] = False


def main() -> None:
    """Run the measurement and print its object."""
    args = cappa.parse(Args)
    if args.trace is None:
        jobs = trace.generate(seed=args.seed, deployment=args.deployment)
    else:
        jobs = trace.load(args.trace)
    report = msgspec.json.encode(compare(seed=args.seed, deployment=args.deployment, jobs=jobs))
    print((report if args.json else msgspec.json.format(report)).decode())


if __name__ == "__main__":
    main()
