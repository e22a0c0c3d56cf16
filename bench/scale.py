"""Time and memory of the core by size of the fleet.

``python -m bench.scale --json [--max-workers N]``

The largest fleet has 5,700 workers, 850 of them with 8 accelerators each, 47,000 running
tasks in gangs of 1 to 64 and 270 organisations; smaller ones are scaled down from it. Each
fleet is filled by submitting jobs to the core, with a backlog of gangs that do not fit (one per
six workers), and is then held at that load: in each round a job is submitted, every fourth one
a gang of 64 (every second of these with 64 accelerators, where the fleet has at least 128), and
random running jobs end until the tasks are below 98% of that load, at most 8 a round. All
times are processor time of the only thread.

- ``decide_p50_ms``: median time of the steps that apply the submission or the end of a job and
  then scan the queue; ``submit_p50_ms``, ``end_p50_ms``, ``tick_p50_ms``: by kind of event.
- ``decide_p99_ms``: 99th percentile of the steps that submit or start a gang of 64.
- ``rss_mb``: growth of the resident memory while the state is rebuilt from the records,
  records included, read from ``/proc/self/statm``. Earlier states stay referenced, so that
  reuse of freed memory does not hide growth.
- ``takeover_rebuild_s``: time of ``new_state`` from all records.
- ``bytes_per_job_record``: mean size of a record in MessagePack.
- ``core_share``: share of a processor core at 18,000 jobs a day, scaled to the fleet, from the
  mean cost of a job's steps (including the stops it causes) and one tick a second.
- ``slopes``: least-squares slope of the logarithm of each figure against that of the number of
  workers.
"""

from __future__ import annotations

import dataclasses
import gc
import os
import pathlib
import random
import time
import typing

import cappa
import msgspec

from bench import load_harness, stats
from bronzequay import ids
from bronzequay.policy import core, model

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

SIZES = (24, 240, 1_000, 5_700)
JOBS_PER_DAY = 18_000
DAY_S = 86_400


class Targets(msgspec.Struct, frozen=True):
    """Targets of issue 4 at the largest size."""

    decide_p50_ms: float = 5.0
    decide_p99_ms: float = 50.0
    slope: float = 0.3
    core_share: float = 0.02


class Figures(msgspec.Struct, frozen=True):
    """Figures of one size of fleet."""

    workers: int
    accelerators: int
    orgs: int
    tasks: int
    jobs: int
    waiting: int
    decide_p50_ms: float
    decide_p99_ms: float
    submit_p50_ms: float
    end_p50_ms: float
    end_p99_ms: float
    tick_p50_ms: float
    stops: int
    fill_s: float
    rss_mb: float
    takeover_rebuild_s: float
    bytes_per_job_record: float
    core_share: float


class Report(msgspec.Struct, frozen=True):
    """Printed report."""

    sizes: list[Figures]
    slopes: dict[str, float]
    targets: Targets
    missed: list[str]


def measure(workers: int) -> tuple[Figures, core.State]:
    """Fill a fleet, run it at that load, and rebuild the state from the records.

    :param workers: size of the fleet
    :return: the figures, and the rebuilt state, which the caller keeps referenced
    """
    specs = load_harness.workers(workers)
    orgs = [
        ids.OrgId(f"org-{index}")
        for index in range(max(4, load_harness.scaled(load_harness.FULL_ORGS, workers)))
    ]
    guarantee = (model.Shape(8, 1), model.Shape(4, 2)) if workers >= 200 else (model.Shape(4, 1),)
    rules = model.Rules(ids.BundleVersion(1), {org: model.OrgRules(guarantee) for org in orgs})
    harness = load_harness.Harness(
        core.new_state(rules=rules, workers=specs), random.Random(workers), orgs
    )
    before_s = time.thread_time()
    load_harness.fill(harness, workers)
    fill_s = time.thread_time() - before_s
    harness.times_ms.clear()
    harness.large_ms.clear()
    load_harness.run_at_level(harness, workers)
    records = [msgspec.msgpack.encode(record) for record in harness.records.values()]
    rebuilt, rss_mb, takeover_s = _rebuild(rules, specs, records)
    submits, ends = harness.times_ms[model.JobSubmitted], harness.times_ms[model.GangFinished]
    ticks = harness.times_ms[model.Tick]
    figures = Figures(
        workers=workers,
        accelerators=sum(spec.accelerators for spec in specs),
        orgs=len(orgs),
        tasks=harness.tasks,
        jobs=len(records),
        waiting=sum(record.state is model.JobState.ACCEPTED for record in harness.records.values()),
        decide_p50_ms=stats.percentile([*submits, *ends], 0.5),
        decide_p99_ms=stats.percentile(harness.large_ms, 0.99),
        submit_p50_ms=stats.percentile(submits, 0.5),
        end_p50_ms=stats.percentile(ends, 0.5),
        end_p99_ms=stats.percentile(ends, 0.99),
        tick_p50_ms=stats.percentile(ticks, 0.5),
        stops=len(harness.times_ms[model.GangStopped]),
        fill_s=fill_s,
        rss_mb=rss_mb,
        takeover_rebuild_s=takeover_s,
        bytes_per_job_record=sum(map(len, records)) / len(records),
        core_share=_core_share(harness, workers),
    )
    return figures, rebuilt


def _rebuild(
    rules: model.Rules, specs: Sequence[model.WorkerSpec], records: Sequence[bytes]
) -> tuple[core.State, float, float]:
    gc.collect()
    before_mb = _rss_mb()
    jobs = [msgspec.msgpack.decode(record, type=model.JobRecord) for record in records]
    before_s = time.thread_time()
    state = core.new_state(rules=rules, workers=specs, jobs=jobs)
    took_s = time.thread_time() - before_s
    return state, _rss_mb() - before_mb, took_s


def _rss_mb() -> float:
    pages = int(pathlib.Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def _core_share(harness: load_harness.Harness, workers: int) -> float:
    job_events = [event for event in harness.times_ms if event is not model.Tick]
    job_ms = sum(sum(harness.times_ms[event]) for event in job_events) / load_harness.ROUNDS
    ticks = harness.times_ms[model.Tick]
    jobs_per_s = JOBS_PER_DAY * workers / load_harness.FULL_WORKERS / DAY_S
    return (job_ms * jobs_per_s + sum(ticks) / len(ticks)) / 1_000


_SCALED_FIGURES = (
    "decide_p50_ms",
    "decide_p99_ms",
    "end_p50_ms",
    "tick_p50_ms",
    "rss_mb",
    "takeover_rebuild_s",
    "bytes_per_job_record",
    "core_share",
)


def report(max_workers: int) -> Report:
    """Measure every size up to a limit.

    :param max_workers: largest fleet to measure
    :return: the figures and their targets
    """
    sizes: list[Figures] = []
    states: list[core.State] = []
    for workers in SIZES:
        if workers <= max_workers:
            figures, state = measure(workers)
            sizes.append(figures)
            states.append(state)
    slopes = {
        name: stats.slope([(size.workers, getattr(size, name)) for size in sizes])
        for name in _SCALED_FIGURES
    }
    return Report(sizes, slopes, Targets(), _missed_targets(sizes[-1], slopes))


def _missed_targets(largest: Figures, slopes: dict[str, float]) -> list[str]:
    targets = Targets()
    names = ("decide_p50_ms", "decide_p99_ms", "core_share")
    limits = [(name, getattr(largest, name), getattr(targets, name)) for name in names]
    bounded_slopes = ("decide_p50_ms", "decide_p99_ms")
    limits += [(f"slope of {name}", slopes[name], targets.slope) for name in bounded_slopes]
    return [
        f"{name}: {value:.3f}, target {limit}, at {largest.workers} workers"
        for name, value, limit in limits
        if value > limit
    ]


@cappa.command(name="bench.scale", description="Measure time and memory by size of the fleet.")
@dataclasses.dataclass
class Args:
    """Command line of this module."""

    max_workers: typing.Annotated[int, cappa.Arg(long=True, help="largest fleet to measure")] = (
        load_harness.FULL_WORKERS
    )
    json: typing.Annotated[
        bool, cappa.Arg(long=True, help="print one line of JSON, not an indented object")
    ] = False


def main() -> None:
    """Run the benchmark and print its report."""
    args = cappa.parse(Args)
    text = msgspec.json.encode(report(args.max_workers))
    print((text if args.json else msgspec.json.format(text)).decode())


if __name__ == "__main__":
    main()
