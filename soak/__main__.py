"""The command ``python -m soak``."""

from __future__ import annotations

import dataclasses
import signal
import sys
from typing import Annotated

import cappa
import msgspec
import structlog
import trio

from soak import run, seeds


@cappa.command(name="soak", help="Run instances under faults and check what is promised.")
@dataclasses.dataclass
class Soak:
    """Options of the soak."""

    seed: Annotated[int, cappa.Arg(long=True, help="first seed")] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="number of seeds, one after the other")] = 1
    seconds: Annotated[float, cappa.Arg(long=True, help="length of the trouble")] = 20.0
    entries: Annotated[int, cappa.Arg(long=True, help="entry instances")] = 7
    workers: Annotated[int, cappa.Arg(long=True, help="workers")] = 12
    regressions: Annotated[bool, cappa.Arg(long=True, help="run the kept seeds instead")] = False
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON")] = False


def main() -> int:
    """Run the seeds; 1 when a promise was broken."""
    options = cappa.parse(Soak, completion=False)
    # A terminated soak ends its processes as an interrupted one does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    drawn = [(options.seed + number, options.seconds) for number in range(options.seeds)]
    kept = [(each.seed, each.seconds) for each in seeds.REGRESSIONS]
    is_broken = False
    for seed, seconds in kept if options.regressions else drawn:
        figures = trio.run(_run, seed, seconds, options)
        is_broken |= bool(figures.breaches)
        print(msgspec.json.encode(figures).decode() if options.json else _text(figures))
        sys.stdout.flush()
    return int(is_broken)


async def _run(seed: int, seconds: float, options: Soak) -> run.Figures:
    return await run.run(
        seed=seed, seconds=seconds, entries=options.entries, workers=options.workers
    )


def _text(figures: run.Figures) -> str:
    first = (
        f"seed {figures.seed}: {sum(figures.injected.values())} faults, "
        f"{sum(figures.jobs.values())} jobs, {figures.starts} starts, {figures.checks} checks, "
        f"recovered after {figures.recovered_s} s, {len(figures.breaches)} breaches"
    )
    return "\n".join([first, *(f"  {breach}" for breach in figures.breaches)])


if __name__ == "__main__":
    sys.exit(main())
