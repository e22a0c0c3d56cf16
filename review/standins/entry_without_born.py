"""Another writer puts an entry without ``born`` under the id of an executor that is at work."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from standins import site

if TYPE_CHECKING:
    from standins.site import Site

JOB = "00000000000000b1"
STEPS = [{"count": 1, "cpu": 1000, "memMb": 256, "gpu": 1, "estimateMs": 12000}]
PLAN = {"run_s": 12.0, "gpu": 1}
WATCHED_S = 8.0
"""Time after the foreign entry in which the runs of the task are watched."""
BORN_FIELDS = ("born", "clockMs", "machine")
"""Fields of the executor's own entry that the other writer does not know."""


async def case(site_: Site) -> bool:
    """Start one task, overwrite its executor's entry once, and look for two runs at once."""
    await site_.start(instances=3, workers=4)
    if not await site_.submit(JOB, STEPS, PLAN):
        raise RuntimeError("the job was not accepted")
    while not site_.runs_of(JOB):  # noqa: ASYNC110
        await trio.sleep(0.05)
    await trio.sleep(2.0)
    name = site_.runs_of(JOB)[0][0]
    if site.has_trouble():
        own_entry = json.loads(site_.kv.get(f"servers/{name}") or b"{}")
        entry = {field: own_entry[field] for field in own_entry if field not in BORN_FIELDS}
        site_.record.write(f"disruption: another writer puts servers/{name}: {entry}")
        site_.kv.put(f"servers/{name}", json.dumps(entry).encode())
    is_held = True
    with trio.move_on_after(WATCHED_S):
        while True:
            await trio.sleep(0.02)
            runs = site_.runs_of(JOB)
            if len(runs) > 1 and is_held:
                site_.record.write(f"two runs of one task at once: {runs}")
                is_held = False
    await site_.wait_for_state(JOB, "completed", 20.0)
    return is_held


if __name__ == "__main__":
    site.run(case)
