"""Two services whose tasks fail soon after each start run beside sound work."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from standins import site

if TYPE_CHECKING:
    from standins.site import Site

WORKERS, PER_RACK, GPUS = 24, 6, 8
"""Workers, workers of a rack and accelerators of a worker, as in quispe-sort."""
SERVICES = ("0000000000000080", "0000000000000081")
SERVICE_STEP = {
    "count": 1,
    "cpu": 1000,
    "memMb": 256,
    "gpu": 1,
    "estimateMs": 60000,
    "longRunning": True,
}
FAILING_PLAN = {"run_s": 0.3, "gpu": 1, "fails": 1_000_000}
SOUND_PLAN = {"lasts": True, "gpu": 1}
GANG = "0000000000000082"
MEMBERS = 4
GANG_PLAN = {"run_s": 1.0, "gpu": GPUS, "gang": MEMBERS}
GANG_STEP = {
    "count": MEMBERS,
    "cpu": 13000,
    "memMb": 1024,
    "gpu": GPUS,
    "estimateMs": 1000,
    "gang": True,
}
SETTLED_S = 5.0
"""Time after the start in which the scheduler gets to know all executors."""
FAILING_S = 30.0
"""Time for which the services fail before the gang comes."""
FINISH_S = 14.0
"""``finish_s``: this long after the end of the traffic jobs are asked for."""
IDLE_S = 3.0
"""Time for which a job has nothing running although there is room, from which it counts as lost."""


async def case(site_: Site) -> bool:
    """Submit the services, then the gang; the gang must be running or done in the end."""
    await site_.start(instances=3, workers=WORKERS, per_rack=PER_RACK)
    await trio.sleep(SETTLED_S)
    plan = FAILING_PLAN if site.has_trouble() else SOUND_PLAN
    for job in SERVICES:
        await _submit(site_, job, SERVICE_STEP, plan)
    await trio.sleep(FAILING_S)
    await _submit(site_, GANG, GANG_STEP, GANG_PLAN)
    await trio.sleep(FINISH_S)
    is_held = False
    with trio.move_on_after(IDLE_S):
        while not site_.runs_of(GANG):
            if await site_.state_of(GANG, is_recorded=False) == "completed":
                break
            await trio.sleep(0.05)
        is_held = True
    await site_.state_of(GANG)
    _record_room(site_)
    return is_held


async def _submit(site_: Site, job: str, step: dict[str, Any], plan: dict[str, Any]) -> None:
    site_.record.write(f"caller: {job}: {step}, behaviour on the executor: {plan}")
    if not await site_.submit(job, [step], plan):
        raise RuntimeError(f"{job} was not accepted")


def _record_room(site_: Site) -> None:
    executors = site_.world.executors.values()
    idle = sum(not executor.runs for executor in executors)
    used = sum(run.plan.gpu for executor in executors for run in executor.runs.values())
    starts = sum(event == "start" for _, event, *_ in site_.world.log)
    pauses = sum(len(instance.log_lines("event='worker_paused'")) for instance in site_.instances)
    site_.record.write(
        f"{idle} executors of {WORKERS} are idle; in use: {used} of {WORKERS * GPUS} accelerators; "
        f"{GANG} needs {MEMBERS * GPUS}; starts of all tasks: {starts}; pauses of workers: {pauses}"
    )


if __name__ == "__main__":
    site.run(case)
