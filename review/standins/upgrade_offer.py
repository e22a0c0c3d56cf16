"""A caller's HTTP/1.1 client offers an upgrade to HTTP/2, which a server may ignore."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from standins import site

if TYPE_CHECKING:
    from standins.site import Site

UPGRADE_OFFER = (
    "Connection: Upgrade, HTTP2-Settings",
    "Upgrade: h2c",
    "HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA",
)
"""Headers with which HTTP/1.1 clients offer HTTP/2 on a connection without TLS."""
JOBS = 4
ATTEMPTS = 5
"""A first attempt and four retries, as in the site files."""
RETRY_S = 1.5
"""Pause before a retry; an instance that ended is back by then."""
MAX_EXITS = 3
"""Ends of a process by itself in a day from which its machine counts."""
MIN_MACHINES = 2
"""Machines with as many ends from which the day counts 0."""
STEPS = [{"count": 1, "cpu": 1000, "memMb": 256, "gpu": 1, "estimateMs": 500}]


async def case(site_: Site) -> bool:
    """Submit some jobs, with retries at other instances, and count the ends of processes."""
    await site_.start(instances=3, workers=4)
    accepted = 0
    for number in range(JOBS):
        accepted += await _submit(site_, f"00000000000000c{number}", number)
    site_.record.write(f"jobs accepted: {accepted} of {JOBS}")
    for instance in site_.instances:
        site_.record.write(f"{instance.name}: ends by itself: {len(instance.exits)}")
    machines = sum(len(instance.exits) >= MAX_EXITS for instance in site_.instances)
    return machines < MIN_MACHINES


async def _submit(site_: Site, job: str, first: int) -> bool:
    body = json.dumps({"spec": json.dumps({"run_s": 0.5, "gpu": 1}), "steps": STEPS}).encode()
    offer = UPGRADE_OFFER if site.has_trouble() else ("Connection: close",)
    lines = [f"POST /queue/{job} HTTP/1.1", *site.HEADERS, *offer]
    lines += ["Content-Type: application/json", f"Content-Length: {len(body)}", "", ""]
    for attempt in range(ATTEMPTS):
        instance = site_.instances[(first + attempt) % len(site_.instances)]
        answers = await site.exchange(instance.front, "\r\n".join(lines).encode() + body)
        status = answers[0][0] if answers else "the connection broke without an answer"
        site_.record.write(f"caller: POST {job} at {instance.name} with {offer}: {status}")
        if answers:
            return answers[0][0] == 200  # noqa: PLR2004  # HTTP status
        await trio.sleep(RETRY_S)
    return False


if __name__ == "__main__":
    site.run(case)
