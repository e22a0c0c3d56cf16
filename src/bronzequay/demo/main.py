"""The command of ``make demo``: plays a trace against running entry instances."""

from __future__ import annotations

import dataclasses
import pathlib
import secrets
from typing import Annotated

import cappa
import httpx
import msgspec
import trio

from bronzequay.demo import drive, trace
from bronzequay.fakes import sites
from bronzequay.obs import report

REQUESTS = 300
REQUEST_INTERVAL_S = 0.05


@cappa.command(name="demo", help="Play a trace and print the analyst's report.")
@dataclasses.dataclass
class Demo:
    """Options of the demo."""

    deployment: Annotated[str, cappa.Arg(long=True, help="quispe or trentmere")]
    urls: Annotated[str, cappa.Arg(long=True, help="entry instances, comma-separated")]
    trace: Annotated[pathlib.Path, cappa.Arg(long=True, help="the trace's file")]
    bundle: Annotated[pathlib.Path, cappa.Arg(long=True, help="the bundle's file")]


async def _run(options: Demo) -> None:
    site = sites.SITES[options.deployment]
    async with httpx.AsyncClient(timeout=drive.CALL_TIMEOUT_S) as http:
        driver = drive.Driver(urls=options.urls.split(","), http=http)
        await driver.wait_ready()
        print(f"{options.deployment}: entry instances ready")
        version = await driver.roll_out(options.bundle.read_bytes())
        print(f"bundle version {version} is in force")
        jobs = trace.load(options.trace)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_play, driver, jobs)
            nursery.start_soon(_request, driver, site.service)
        records = await driver.wait_settled()
        print(f"requests: {drive.counts(driver.tally.requests)}")
        print(f"submits by HTTP status: {drive.counts(driver.tally.submits)}")
        answer = await driver.call("GET", "/v1/report", token=drive.ANALYST)
        kept = msgspec.json.decode(answer.content, type=report.Report)
        print(report.render_text(kept))
        if len(records) != len(jobs):
            raise SystemExit(f"{len(jobs) - len(records)} jobs were not accepted")


async def _play(driver: drive.Driver, jobs: list[trace.TraceJob]) -> None:
    print(f"playing {len(jobs)} jobs")
    await driver.play(jobs, run=secrets.token_hex(4))


async def _request(driver: drive.Driver, service: str) -> None:
    print(f"sending {REQUESTS} requests")
    await driver.send_requests(service, count=REQUESTS, interval_s=REQUEST_INTERVAL_S)


def main() -> None:
    """Run the demo."""
    trio.run(_run, cappa.parse(Demo, completion=False))


if __name__ == "__main__":
    main()
