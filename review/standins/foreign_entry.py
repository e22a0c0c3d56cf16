"""Another writer's entry, which names no executor to use, appears among the executors' entries."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from standins import site

if TYPE_CHECKING:
    from standins.site import Site

FOREIGN_ENTRY = {
    "service": "thumbnailer",
    "addr": "unix:/run/thumbnailer/0.sock",
    "zone": "z1",
    "version": "4.1",
    "slots": 2,
    "state": "ready",
    "capacity": {"cpu": 2000, "memMb": 512, "gpu": 0},
    "labels": ["a", "r9"],
}
"""Its service is not named in the configuration and its address is no ``IP:PORT``."""
FINISH_S = 14.0
"""``finish_s``: this long after the end of the traffic jobs are asked for."""
IDLE_S = 3.0
"""Time for which a job has nothing running although there is room, from which it counts as lost."""
EARLIER_JOB = "00000000000000a0"
JOB = "00000000000000a1"
STEPS = [{"count": 2, "cpu": 1000, "memMb": 256, "gpu": 1, "estimateMs": 1000}]


async def case(site_: Site) -> bool:
    """Submit one job after the entry has appeared; it must be running or done in the end."""
    await site_.start(instances=3, workers=4)
    await _submit(site_, EARLIER_JOB, run_s=9.0)
    while len(site_.runs_of(EARLIER_JOB)) < 2:  # noqa: ASYNC110, PLR2004  # both of its tasks
        await trio.sleep(0.1)
    if site.has_trouble():
        site_.record.write(f"disruption: another writer puts servers/thumb-0: {FOREIGN_ENTRY}")
        site_.kv.put("servers/thumb-0", json.dumps(FOREIGN_ENTRY).encode())
    await trio.sleep(1.0)
    await _submit(site_, JOB, run_s=1.0)
    await trio.sleep(FINISH_S)
    is_held = await _runs_or_is_done(site_, within_s=IDLE_S)
    await site_.state_of(EARLIER_JOB)
    await site_.state_of(JOB)
    for instance in site_.instances:
        count = len(instance.log_lines("event='term_failed'"))
        site_.record.write(f"{instance.name}: {count} terms failed with an unexpected error")
    return is_held


async def _submit(site_: Site, job: str, *, run_s: float) -> None:
    if not await site_.submit(job, STEPS, {"run_s": run_s, "gpu": 1}):
        raise RuntimeError(f"{job} was not accepted")


async def _runs_or_is_done(site_: Site, *, within_s: float) -> bool:
    with trio.move_on_after(within_s):
        while await site_.state_of(JOB, is_recorded=False) != "completed":
            if site_.runs_of(JOB):
                return True
            await trio.sleep(0.1)
        return True
    site_.record.write(f"{JOB}: nothing has run for {within_s:g} s, and no executor is in use")
    return False


if __name__ == "__main__":
    site.run(case)
