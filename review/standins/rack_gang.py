"""A large gang comes while a service has one small task on every rack."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from standins import site

if TYPE_CHECKING:
    from standins.site import Site

WORKERS, PER_RACK, GPUS = 24, 6, 8
"""Workers, workers of a rack and accelerators of a worker, as in quispe-sort."""
RACKS = WORKERS // PER_RACK
SERVICE = "00000000000000f0"
GANG = "00000000000000f1"
SERVICE_STEPS = [
    {
        "count": 1,
        "cpu": 1000,
        "memMb": 256,
        "gpu": 1,
        "estimateMs": 60000,
        "longRunning": True,
        "affinity": f"r{rack}",
    }
    for rack in range(RACKS)
]
"""One lasting task near its data on every rack."""
SETTLED_S = 5.0
"""Time after the start in which the scheduler gets to know all executors."""
FINISH_S = 14.0
"""``finish_s``: this long after the end of the traffic jobs are asked for."""
IDLE_S = 3.0
"""Time for which a job has nothing running although there is room, from which it counts as lost."""


async def case(site_: Site) -> bool:
    """Submit the service, then the gang; the gang must be running or done in the end."""
    await site_.start(instances=3, workers=WORKERS, per_rack=PER_RACK)
    await trio.sleep(SETTLED_S)
    await _submit(site_, SERVICE, SERVICE_STEPS, {"lasts": True, "gpu": 1})
    with trio.fail_after(10.0):
        while len(site_.runs_of(SERVICE)) < RACKS:  # noqa: ASYNC110
            await trio.sleep(0.1)
    await trio.sleep(1.0)
    site_.record.write(f"service: {site_.runs_of(SERVICE)}")
    racks = {site_.world.executors[name].labels[-1] for name, *_ in site_.runs_of(SERVICE)}
    if len(racks) != RACKS:
        raise RuntimeError(f"the service is on the racks {racks}")
    members = PER_RACK if site.has_trouble() else PER_RACK - 1
    gang_plan = {"run_s": 1.0, "gpu": GPUS, "gang": members}
    await _submit(site_, GANG, [_gang_step(members)], gang_plan)
    await trio.sleep(FINISH_S)
    with trio.move_on_after(IDLE_S):
        while not site_.runs_of(GANG):
            if await site_.state_of(GANG, is_recorded=False) == "completed":
                break
            await trio.sleep(0.1)
        await site_.state_of(GANG)
        return True
    await site_.state_of(GANG)
    _record_room(site_)
    return False


def _gang_step(members: int) -> dict[str, Any]:
    return {
        "count": members,
        "cpu": 13000,
        "memMb": 1024,
        "gpu": GPUS,
        "estimateMs": 1000,
        "gang": True,
        "sameRack": True,
    }


async def _submit(site_: Site, job: str, steps: list[dict[str, Any]], plan: dict[str, Any]) -> None:
    site_.record.write(f"caller: {job}: {steps}")
    if not await site_.submit(job, steps, plan):
        raise RuntimeError(f"{job} was not accepted")


def _record_room(site_: Site) -> None:
    idle = [name for name, executor in site_.world.executors.items() if not executor.runs]
    used = sum(
        run.plan.gpu for other in site_.world.executors.values() for run in other.runs.values()
    )
    site_.record.write(
        f"{GANG}: nothing has run for {IDLE_S:g} s; {len(idle)} executors of {WORKERS} are idle "
        f"and hold {len(idle) * GPUS} accelerators; it needs {PER_RACK * GPUS}; in use: {used} of "
        f"{WORKERS * GPUS}"
    )


if __name__ == "__main__":
    site.run(case)
