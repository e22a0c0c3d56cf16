# ruff: noqa: INP001
"""A requester that gets no answer to its job cancels it; the job runs all the same."""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

import trio

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

import site_on_loopback as site  # noqa: E402

if TYPE_CHECKING:
    from site_on_loopback import Site

LOST_SHARE = 0.35
LOST_FOR_S = 4.5
LATE_S = (1.0, 6.0)
CONTACT_S = 3.0
CANCEL_S = 3.0
JOBS = 200
ACCEPTED = 200
ACCEPTED_CANCELLED = 20
"""One in this many of the accepted jobs is cancelled too, with and without the disturbance."""
FIRST_STEP_S = 14.0
"""The second step then begins when the store has been without impairment for over 3 s."""


def job_body() -> dict[str, object]:
    """Return a job of two steps, the second of which starts after the first is done."""
    need = {"count": 1, "cpu": 100, "memMb": 64}
    spec = f'{{"run_s":{FIRST_STEP_S}}}'
    steps = [{**need, "estimateMs": 14000}, {**need, "estimateMs": 14000, "after": [0]}]
    return {"spec": spec, "steps": steps}


async def play(world: Site, is_troubled: bool) -> bool:  # noqa: FBT001
    """Submit jobs while answers of the store are lost; cancel those that got no answer."""
    await world.begin(instances=3, workers=6)
    record, cancelled = world.record, {}
    if is_troubled:
        record.write(f"the store loses {LOST_SHARE:.0%} of its writes for {LOST_FOR_S} s")
        world.store.lost_share, world.store.late_s = LOST_SHARE, LATE_S
    end_s = trio.current_time() + LOST_FOR_S

    async def request(number: int) -> None:
        job = world.new_job()
        await trio.sleep(number * 0.9 * LOST_FOR_S / JOBS)
        first, second = world.draws.sample(world.instances, 2)
        status, _ = await world.call(first, "POST", job, job_body())
        if status == ACCEPTED and number % ACCEPTED_CANCELLED:
            return
        status, _ = await world.call(second, "DELETE", job)
        if status in (200, 410):
            cancelled[job] = trio.current_time()

    async with trio.open_nursery() as nursery:
        for number in range(JOBS):
            nursery.start_soon(request, number)
        await trio.sleep_until(end_s)
        world.store.lost_share = 0.0
        record.write("the store answers every call again")
    late_s = end_s + LATE_S[1] + CONTACT_S
    await trio.sleep_until(late_s + FIRST_STEP_S)
    broken = 0
    for job, cancelled_s in cancelled.items():
        for at_s, executor, task, run in world.starts(job):
            after_s = at_s - cancelled_s
            is_late = at_s > late_s and after_s > CANCEL_S
            broken += is_late
            record.write(
                f"{task} run {run} started on {executor} {after_s:.1f} s after the cancel of its "
                f"job was acknowledged{', with all in touch' if is_late else ''}"
            )
    record.write(f"{len(cancelled)} cancels acknowledged, {broken} such starts in touch")
    return not broken


if __name__ == "__main__":
    site.run(play, HERE)
