"""The command ``python -m soak``."""

from __future__ import annotations

import dataclasses
import functools
import signal
import sys
from typing import Annotated

import cappa
import msgspec
import structlog
import trio

from soak import run, seeds


@cappa.command(name="soak", help="Run instances under faults and check what must hold.")
@dataclasses.dataclass
class Soak:
    """Options of the soak."""

    seed: Annotated[int, cappa.Arg(long=True, help="first seed")] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="number of consecutive seeds to run")] = 1
    seconds: Annotated[float, cappa.Arg(long=True, help="length of the fault phase in seconds")] = (
        20.0
    )
    entries: Annotated[int, cappa.Arg(long=True, help="number of entry instances")] = 7
    workers: Annotated[int, cappa.Arg(long=True, help="number of workers")] = 12
    regressions: Annotated[bool, cappa.Arg(long=True, help="run the regression seeds instead")] = (
        False
    )
    hazards: Annotated[
        bool, cappa.Arg(long=True, help="tasks also crash their workers, and workers shrink")
    ] = False
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON")] = False


def main() -> int:
    """Run the seeds; return 1 if there was a breach."""
    options = cappa.parse(Soak, completion=False)
    # SIGTERM raises KeyboardInterrupt, so that a terminated soak also ends its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    requested_runs = [
        (options.seed + number, options.seconds, options.hazards) for number in range(options.seeds)
    ]
    regression_runs = [
        (regression.seed, regression.seconds, regression.has_hazards)
        for regression in seeds.REGRESSIONS
    ]
    has_breaches = False
    for seed, seconds, has_hazards in regression_runs if options.regressions else requested_runs:
        figures = trio.run(functools.partial(_run, seed, seconds, options, has_hazards=has_hazards))
        has_breaches |= bool(figures.breaches)
        print(msgspec.json.encode(figures).decode() if options.json else _format_figures(figures))
        sys.stdout.flush()
    return int(has_breaches)


async def _run(seed: int, seconds: float, options: Soak, *, has_hazards: bool) -> run.Figures:
    return await run.run(
        seed=seed,
        seconds=seconds,
        entries=options.entries,
        workers=options.workers,
        has_hazards=has_hazards,
    )


def _format_figures(figures: run.Figures) -> str:
    summary = (
        f"seed {figures.seed}: {sum(figures.injected.values())} faults, "
        f"{sum(figures.jobs.values())} jobs, {figures.starts} starts, {figures.checks} checks, "
        f"recovered after {figures.recovered_s} s, {len(figures.breaches)} breaches"
    )
    return "\n".join([summary, *(f"  {breach}" for breach in figures.breaches)])


if __name__ == "__main__":
    sys.exit(main())
