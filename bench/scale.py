"""Time and memory of the core by size of the fleet.

``python -m bench.scale --json [--max-workers N]``

The largest fleet has 5,700 workers, 850 of them with 8 accelerators each, 47,000 running
tasks in gangs of 1 to 64 and 270 organisations; smaller ones are scaled down from it. Each
fleet is filled through the core itself, with a backlog of gangs that do not fit (one for six
workers), and then goes on at that level: in each round a job is submitted, every fourth a
gang of 64 (every second of them of 64 accelerators, where the fleet has at least 128), and
random running ones end while the tasks are near that level. All times are processor time of
the one thread.

- ``decide_p50_ms``: median of the steps that take a submitted job or the end of one, after
  which the queue is tried; ``submit_p50_ms``, ``end_p50_ms``, ``tick_p50_ms`` by kind.
- ``decide_p99_ms``: 99th percentile of the steps that take or start a gang of 64.
- ``rss_mb``: growth of the resident memory while the state is built anew from the records,
  records included, read from ``/proc/self/statm``. Earlier states are kept alive, so that no
  freed memory is used again.
- ``takeover_rebuild_s``: ``new_state`` from all records.
- ``bytes_per_job_record``: mean size of a record in MessagePack.
- ``core_share``: share of a core at 18,000 jobs a day in proportion to the fleet, from the
  mean cost of a job's steps (stops that it caused included) and a tick a second.
- ``slopes``: least-squares slope of the logarithm of each against that of the workers.
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

from bench import bed as beds
from bench import stats
from bronzequay import ids
from bronzequay.policy import core, model

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

SIZES = (24, 240, 1_000, 5_700)
JOBS_A_DAY = 18_000
DAY_S = 86_400


class Targets(msgspec.Struct, frozen=True):
    """What issue 4 asks for at the largest size."""

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
    """The object printed."""

    sizes: list[Figures]
    slopes: dict[str, float]
    targets: Targets
    missed: list[str]


def measure(workers: int) -> tuple[Figures, core.State]:
    """Fill a fleet, go on at that level, and rebuild the state from the records.

    :param workers: size of the fleet
    :return: the figures, and the rebuilt state to be kept alive
    """
    specs = beds.workers(workers)
    orgs = [
        ids.OrgId(f"org-{index}") for index in range(max(4, beds.scaled(beds.FULL_ORGS, workers)))
    ]
    guarantee = (model.Shape(8, 1), model.Shape(4, 2)) if workers >= 200 else (model.Shape(4, 1),)
    rules = model.Rules(ids.BundleVersion(1), {org: model.OrgRules(guarantee) for org in orgs})
    bed = beds.Bed(core.new_state(rules=rules, workers=specs), random.Random(workers), orgs)
    before_s = time.thread_time()
    beds.fill(bed, workers)
    fill_s = time.thread_time() - before_s
    bed.times_ms.clear()
    bed.large_ms.clear()
    beds.go_on(bed, workers)
    records = [msgspec.msgpack.encode(record) for record in bed.records.values()]
    rebuilt, rss_mb, takeover_s = _rebuild(rules, specs, records)
    submits, ends = bed.times_ms[model.JobSubmitted], bed.times_ms[model.GangFinished]
    ticks = bed.times_ms[model.Tick]
    figures = Figures(
        workers=workers,
        accelerators=sum(spec.accelerators for spec in specs),
        orgs=len(orgs),
        tasks=bed.tasks,
        jobs=len(records),
        waiting=sum(each.state is model.JobState.ACCEPTED for each in bed.records.values()),
        decide_p50_ms=stats.percentile([*submits, *ends], 0.5),
        decide_p99_ms=stats.percentile(bed.large_ms, 0.99),
        submit_p50_ms=stats.percentile(submits, 0.5),
        end_p50_ms=stats.percentile(ends, 0.5),
        end_p99_ms=stats.percentile(ends, 0.99),
        tick_p50_ms=stats.percentile(ticks, 0.5),
        stops=len(bed.times_ms[model.GangStopped]),
        fill_s=fill_s,
        rss_mb=rss_mb,
        takeover_rebuild_s=takeover_s,
        bytes_per_job_record=sum(map(len, records)) / len(records),
        core_share=_core_share(bed, workers),
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


def _core_share(bed: beds.Bed, workers: int) -> float:
    of_jobs = [event for event in bed.times_ms if event is not model.Tick]
    job_ms = sum(sum(bed.times_ms[event]) for event in of_jobs) / beds.ROUNDS
    ticks = bed.times_ms[model.Tick]
    jobs_a_second = JOBS_A_DAY * workers / beds.FULL_WORKERS / DAY_S
    return (job_ms * jobs_a_second + sum(ticks) / len(ticks)) / 1_000


_SLOPED = (
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
    :return: the figures beside their targets
    """
    sizes: list[Figures] = []
    kept: list[core.State] = []
    for workers in SIZES:
        if workers <= max_workers:
            figures, state = measure(workers)
            sizes.append(figures)
            kept.append(state)
    slopes = {
        name: stats.slope([(each.workers, getattr(each, name)) for each in sizes])
        for name in _SLOPED
    }
    return Report(sizes, slopes, Targets(), _missed(sizes[-1], slopes))


def _missed(largest: Figures, slopes: dict[str, float]) -> list[str]:
    targets = Targets()
    names = ("decide_p50_ms", "decide_p99_ms", "core_share")
    limits = [(name, getattr(largest, name), getattr(targets, name)) for name in names]
    sloped = ("decide_p50_ms", "decide_p99_ms")
    limits += [(f"slope of {name}", slopes[name], targets.slope) for name in sloped]
    return [
        f"{name}: {seen:.3f}, target {most}, at {largest.workers} workers"
        for name, seen, most in limits
        if seen > most
    ]


@cappa.command(name="bench.scale", description="Measure time and memory by size of the fleet.")
@dataclasses.dataclass
class Args:
    """Command line of this module."""

    max_workers: typing.Annotated[int, cappa.Arg(long=True, help="largest fleet to measure")] = (
        beds.FULL_WORKERS
    )
    json: typing.Annotated[
        bool, cappa.Arg(long=True, help="print one line of JSON, not an indented object")
    ] = False


def main() -> None:
    """Run the measurement and print its object."""
    args = cappa.parse(Args)
    text = msgspec.json.encode(report(args.max_workers))
    print((text if args.json else msgspec.json.format(text)).decode())


if __name__ == "__main__":
    main()
