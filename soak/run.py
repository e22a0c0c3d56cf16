"""One run of the soak: a fault phase, a recovery phase, and checks during both."""

from __future__ import annotations

import pathlib
import tempfile
from typing import TYPE_CHECKING

import msgspec
import trio

from soak import callers, harness, invariants, plan

if TYPE_CHECKING:
    from collections.abc import Callable

START_TIMEOUT_S = 15.0
"""Longest time until an entry instance serves after a cold start on a loaded machine."""
FAULTS_PER_S = 0.7
HAZARDS_PER_S = 0.25
INTRUSIONS_PER_S = 0.4
EVACUATIONS_PER_S = 0.06
CROWDS_PER_S = 0.15
GROWTHS_PER_S = 0.25
RECUTS_PER_S = 0.15
LOSSES_PER_S = 0.05
HOLDS_PER_S = 0.05
JOBS_PER_S = 2.5
CHECK_INTERVAL_S = 0.25
RECOVERY_TIMEOUT_S = 12.0
"""Time after the last fault within which a new job must complete."""
END_TIMEOUT_S = 90.0
"""Time after the recovery phase within which every accepted job must end."""


class Figures(msgspec.Struct):
    """Figures of a run.

    :param injected: number of faults by kind
    :param answers: number of answers to callers by status
    :param jobs: number of jobs by the state or submit result that their callers saw last
    :param starts: number of tasks that were started
    :param checks: number of times that the checks ran
    :param evacuated_s: time for which a start in an evacuated data centre would have been a breach
    :param recovered_s: time from the end of the fault phase until a new job completed
    :param breaches: descriptions of the breaches
    """

    seed: int
    injected: dict[str, int]
    answers: dict[str, int]
    jobs: dict[str, int]
    starts: int
    checks: int
    evacuated_s: float
    recovered_s: float | None
    breaches: list[str]


async def run(
    *,
    seed: int,
    seconds: float,
    entries: int,
    workers: int,
    folder: pathlib.Path | None = None,
    has_hazards: bool = False,
) -> Figures:
    """Run one seed.

    :param seconds: length of the fault phase, in seconds
    :param folder: folder for the logs of the instances; without one, a temporary one is left behind
    :param has_hazards: whether tasks also crash their workers and workers shrink while they run
    """
    folder = folder or pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    async with trio.open_nursery() as nursery:
        site = harness.Harness(
            nursery,
            seed=seed,
            entries=entries,
            workers=workers,
            folder=folder,
            has_hazards=has_hazards,
        )
        try:
            await site.start()
            figures = await _run_phases(
                nursery, site, seed=seed, seconds=seconds, has_hazards=has_hazards
            )
        finally:
            site.stop()
        nursery.cancel_scope.cancel()
    return figures


async def _run_phases(
    nursery: trio.Nursery,
    site: harness.Harness,
    *,
    seed: int,
    seconds: float,
    has_hazards: bool,
) -> Figures:
    traffic = callers.Callers(site, seed, has_hazards=has_hazards)
    checker = _Checker(site, traffic)
    nursery.start_soon(checker.run)
    first_job = traffic.draw_job(is_plain=True)
    nursery.start_soon(traffic.submit_until_accepted, first_job)
    await _wait_until(lambda: first_job.state in callers.FINAL_STATES, START_TIMEOUT_S)
    nursery.start_soon(traffic.run, nursery, JOBS_PER_S)
    nursery.start_soon(traffic.probe_configuration)
    async with trio.open_nursery() as fault_nursery:
        started_s = trio.current_time()
        faults = plan.draw_faults(seed, seconds, per_s=FAULTS_PER_S)
        faults += plan.draw_intrusions(seed, seconds, per_s=INTRUSIONS_PER_S)
        faults += plan.draw_evacuations(seed, seconds, per_s=EVACUATIONS_PER_S)
        faults += plan.draw_crowds(seed, seconds, per_s=CROWDS_PER_S)
        faults += plan.draw_growths(seed, seconds, per_s=GROWTHS_PER_S)
        faults += plan.draw_recuts(seed, seconds, per_s=RECUTS_PER_S)
        faults += plan.draw_losses(seed, seconds, per_s=LOSSES_PER_S)
        faults += plan.draw_holds(seed, seconds, per_s=HOLDS_PER_S)
        if has_hazards:
            faults += plan.draw_hazards(seed, seconds, per_s=HAZARDS_PER_S)
        for fault in sorted(faults, key=lambda fault: fault.at_s):
            await trio.sleep_until(started_s + fault.at_s)
            fault_nursery.start_soon(site.inject, fault)
    ended_s = trio.current_time()
    traffic.is_submitting = False
    probe_job = traffic.draw_job(is_plain=True)
    nursery.start_soon(traffic.submit_until_accepted, probe_job)
    has_recovered = await _wait_until(lambda: probe_job.state == "completed", RECOVERY_TIMEOUT_S)
    recovered_s = trio.current_time() - ended_s if has_recovered else None
    if not has_recovered:
        traffic.breaches.append(
            f"no job completed within {RECOVERY_TIMEOUT_S:g} s after the last fault"
        )
    with trio.move_on_after(END_TIMEOUT_S):
        while traffic.unfinished_jobs():  # noqa: ASYNC110  # polls what callers see
            await trio.sleep(CHECK_INTERVAL_S)
    for job in traffic.unfinished_jobs():
        traffic.breaches.append(f"job {job.name} is still {job.state or 'unknown'}")
    checker.check()
    traffic.breaches.extend(site.unexpected_exits)
    return Figures(
        seed=seed,
        injected=dict(site.injected),
        answers=dict(traffic.answers),
        jobs=traffic.count_states(),
        starts=len(site.run_checker.started),
        checks=checker.checks,
        evacuated_s=round(site.evacuation_checker.checked_s(), 3),
        recovered_s=recovered_s,
        breaches=checker.all_breaches(),
    )


async def _wait_until(condition: Callable[[], bool], within_s: float) -> bool:
    """Wait until a condition holds; return false if it does not within ``within_s`` seconds."""
    with trio.move_on_after(within_s):
        while not condition():  # noqa: ASYNC110  # polls what callers see
            await trio.sleep(0.05)
        return True
    return False


class _Checker:
    """Runs all checks periodically."""

    def __init__(self, site: harness.Harness, traffic: callers.Callers) -> None:
        self._site = site
        self._traffic = traffic
        self._room_checker = invariants.RoomChecker(site.world)
        self.checks = 0

    async def run(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        self.checks += 1
        self._site.run_checker.check()
        self._site.evacuation_checker.check()
        self._traffic.check()
        self._room_checker.check(trio.current_time())

    def all_breaches(self) -> list[str]:
        """Return all breaches without duplicates."""
        return list(
            dict.fromkeys(
                [
                    *self._site.run_checker.breaches,
                    *self._site.evacuation_checker.breaches,
                    *self._traffic.breaches,
                    *self._room_checker.breaches,
                ]
            )
        )
