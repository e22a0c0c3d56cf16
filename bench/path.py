"""Latency of a short request, direct to an executor and through an entry instance.

One client process sends both kinds of request alternately, to separate processes of the
executor stand-in and of the entry instance. Prints one JSON object.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import time
from typing import TYPE_CHECKING

import httpx
import trio

from bench import deployment
from bronzequay.fakes import sites

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

WARM_UP = 200
ROUNDS = 1500
LOAD_TASKS = 64
LOAD_S = 6.0
TARGET_ADDED = 1.0
HEADERS = {
    "authorization": "Bearer example-org-a",
    "x-caller": "bench",
    "x-idempotent": "true",
    "x-deadline-s": "10",
}


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Client:
    """Sends requests on both paths and checks each answer."""

    def __init__(self, run: deployment.Deployment, http: httpx.AsyncClient, seed: int) -> None:
        self._http = http
        self._rng = random.Random(seed)
        service = run.site.service
        self._entry_url = f"{run.entries[0].url}/v1/services/{service}/requests"
        names = run.site.executors()
        self._executor_urls = [f"{run.executors.url}/e/{name}/v1/run" for name in names]
        self.wrong_answers = 0

    async def send_direct(self) -> None:
        """Send one request to an executor."""
        request_id = f"{self._rng.getrandbits(64):016x}"
        url = self._rng.choice(self._executor_urls)
        await self._send(url, request_id)

    async def send_through_entry(self) -> None:
        """Send one request through the entry instance."""
        request_id = f"{self._rng.getrandbits(64):016x}"
        await self._send(self._entry_url, request_id)

    async def _send(self, url: str, request_id: str) -> None:
        headers = {**HEADERS, "x-request-id": request_id}
        answer = await self._http.post(url, content=request_id.encode(), headers=headers)
        if answer.status_code != httpx.codes.OK or answer.json()["request"] != request_id:
            self.wrong_answers += 1


async def time_call_us(send: Callable[[], object]) -> float:
    """Return the time of one call, in microseconds."""
    start = time.perf_counter()
    await send()  # type: ignore[misc]
    return (time.perf_counter() - start) * 1e6


async def measure_rate(client: Client) -> float:
    """Send through the entry instance from ``LOAD_TASKS`` tasks; return requests per second."""
    sent = 0

    async def work(until_s: float) -> None:
        nonlocal sent
        while time.perf_counter() < until_s:
            await client.send_through_entry()
            sent += 1

    start = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for _ in range(LOAD_TASKS):
            nursery.start_soon(work, start + LOAD_S)
    return sent / (time.perf_counter() - start)


async def measure(run: deployment.Deployment, seed: int) -> dict[str, float | int | str]:
    """Return the figures of one run."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=LOAD_TASKS)
    async with httpx.AsyncClient(limits=limits, timeout=30) as http:
        await run.roll_out(http)
        await trio.sleep(2.0)
        client = Client(run, http, seed)
        for _ in range(WARM_UP):
            await client.send_direct()
            await client.send_through_entry()
        direct_us: list[float] = []
        via_us: list[float] = []
        for _ in range(ROUNDS):
            direct_us.append(await time_call_us(client.send_direct))
            via_us.append(await time_call_us(client.send_through_entry))
        entry = run.entries[0]
        before_s = entry.cpu_s()
        requests_per_s = await measure_rate(client)
        cpu_us = (entry.cpu_s() - before_s) * 1e6 / (requests_per_s * LOAD_S)
    direct_p50_us = statistics.median(direct_us)
    via_p50_us = statistics.median(via_us)
    return {
        "seed": seed,
        "direct_p50_us": round(direct_p50_us),
        "via_p50_us": round(via_p50_us),
        "via_p99_us": round(percentile(via_us, 0.99)),
        "added_over_direct": round((via_p50_us - direct_p50_us) / direct_p50_us, 3),
        "target_added_over_direct": TARGET_ADDED,
        "requests_per_s": round(requests_per_s),
        "cpu_us_per_request": round(cpu_us),
        "rss_mb": round(entry.rss_mb(), 1),
        "wrong_answers": client.wrong_answers,
    }


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--deployment", choices=sorted(sites.SITES), default="quispe")
    parser.add_argument("--json", action="store_true", help="accepted; the output is JSON")
    options = parser.parse_args()
    with deployment.Deployment(site=options.deployment, entries=1) as run:
        print(json.dumps(trio.run(measure, run, options.seed)))


if __name__ == "__main__":
    main()
