"""The executors of one lasting task are cut off, one after the other, and run on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from standins import site

if TYPE_CHECKING:
    from standins.site import Site

JOB = "00000000000000d1"
STEPS = [
    {"count": 1, "cpu": 1000, "memMb": 256, "gpu": 1, "estimateMs": 60000, "longRunning": True}
]
PLAN = {"lasts": True, "gpu": 1}
WORKERS = 6
"""One of six executors is cut off at a time: a share of 0.167."""
CUT_S = 5.5
CUTS = 6
CALM_S = 2.0
"""Time for which the task is at work before its executor is cut off."""
PLACED_S = 12.0


async def case(site_: Site) -> bool:
    """Cut off whichever executor runs the task, and look for the state ``failed``."""
    await site_.start(instances=3, workers=WORKERS)
    if not await site_.submit(JOB, STEPS, PLAN):
        raise RuntimeError("the job was not accepted")
    for number in range(CUTS):
        name = await _wait_for_run(site_)
        if name is None:
            break
        await trio.sleep(CALM_S)
        if site.has_trouble():
            site_.record.write(f"cut {number + 1}")
            site_.cut(name)
        await trio.sleep(CUT_S)
        if site.has_trouble():
            site_.heal(name)
        if await site_.state_of(JOB) == "failed":
            break
    await trio.sleep(1.0)
    crashes = sum(event == "gone" for _, event, *_ in site_.world.log)
    ends = sum(event == "failed" for _, event, *_ in site_.world.log)
    site_.record.write(f"executors that crashed: {crashes}; runs that ended failed: {ends}")
    return await site_.state_of(JOB) != "failed"


async def _wait_for_run(site_: Site) -> str | None:
    """Return the executor, in contact, on which the task runs; None if it does not run again."""
    with trio.move_on_after(PLACED_S):
        while True:
            names = [name for name, *_ in site_.runs_of(JOB) if name not in site_.cut_off]
            if names:
                return names[0]
            await trio.sleep(0.05)
    return None


if __name__ == "__main__":
    site.run(case)
