"""The command of ``make demo``: submits the jobs of a trace to running entry instances."""

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


@cappa.command(name="demo", help="Submit the jobs of a trace and print the analyst's report.")
@dataclasses.dataclass
class Demo:
    """Options of the demo."""

    deployment: Annotated[str, cappa.Arg(long=True, help="deployment: quispe or trentmere")]
    urls: Annotated[str, cappa.Arg(long=True, help="URLs of the entry instances, comma-separated")]
    trace: Annotated[pathlib.Path, cappa.Arg(long=True, help="file of the trace")]
    bundle: Annotated[pathlib.Path, cappa.Arg(long=True, help="file of the bundle")]


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
            nursery.start_soon(_submit_trace, driver, jobs)
            nursery.start_soon(_send_requests, driver, site.service)
        records = await driver.wait_settled()
        print(f"requests: {drive.format_counts(driver.tally.requests)}")
        print(f"submits by HTTP status: {drive.format_counts(driver.tally.submits)}")
        answer = await driver.call("GET", "/v1/report", token=drive.ANALYST)
        analyst_report = msgspec.json.decode(answer.content, type=report.Report)
        print(report.as_text(analyst_report))
        if len(records) != len(jobs):
            raise SystemExit(f"{len(jobs) - len(records)} jobs were not accepted")


async def _submit_trace(driver: drive.Driver, jobs: list[trace.TraceJob]) -> None:
    print(f"submitting {len(jobs)} jobs")
    await driver.submit_trace(jobs, run=secrets.token_hex(4))


async def _send_requests(driver: drive.Driver, service: str) -> None:
    print(f"sending {REQUESTS} requests")
    await driver.send_requests(service, count=REQUESTS, interval_s=REQUEST_INTERVAL_S)


def main() -> None:
    """Run the demo."""
    trio.run(_run, cappa.parse(Demo, completion=False))


if __name__ == "__main__":
    main()
