"""One run of the soak: trouble, then calm, and what was promised meanwhile."""

from __future__ import annotations

import pathlib
import tempfile
from typing import TYPE_CHECKING

import msgspec
import trio

from soak import callers, harness, plan, promises

if TYPE_CHECKING:
    from collections.abc import Callable

START_S = 15.0
"""Longest time until an entry instance serves after a cold start on a busy machine."""
FAULTS_PER_S = 0.7
JOBS_PER_S = 2.5
CHECK_S = 0.25
RECOVER_S = 12.0
"""Time after the last fault in which service has to be back."""
SETTLE_S = 90.0
"""Time after that in which every accepted job has to have ended."""


class Figures(msgspec.Struct):
    """What a run did and found.

    :param injected: faults by kind
    :param answers: answers to callers by status
    :param jobs: jobs by what their callers were told last
    :param checks: how often the promises were checked
    :param recovered_s: time from the end of the trouble until a new job was done
    :param breaches: broken promises, in words
    """

    seed: int
    injected: dict[str, int]
    answers: dict[str, int]
    jobs: dict[str, int]
    starts: int
    checks: int
    recovered_s: float | None
    breaches: list[str]


async def run(
    *, seed: int, seconds: float, entries: int, workers: int, folder: pathlib.Path | None = None
) -> Figures:
    """Play one seed.

    :param seconds: length of the trouble
    :param folder: for the logs of the instances; a temporary one is left behind otherwise
    """
    folder = folder or pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    async with trio.open_nursery() as nursery:
        site = harness.Harness(nursery, seed=seed, entries=entries, workers=workers, folder=folder)
        try:
            await site.start()
            figures = await _play(nursery, site, seed=seed, seconds=seconds)
        finally:
            site.stop()
        nursery.cancel_scope.cancel()
    return figures


async def _play(
    nursery: trio.Nursery, site: harness.Harness, *, seed: int, seconds: float
) -> Figures:
    crowd = callers.Callers(site, seed)
    watch = _Watch(site, crowd)
    nursery.start_soon(watch.run)
    first = crowd.draw()
    nursery.start_soon(crowd.insist, first)
    await _until(lambda: first.state in callers.FINAL, START_S)
    nursery.start_soon(crowd.run, nursery, JOBS_PER_S)
    nursery.start_soon(crowd.probe_configuration)
    async with trio.open_nursery() as troubles:
        began_s = trio.current_time()
        for fault in plan.draw(seed, seconds, per_s=FAULTS_PER_S):
            await trio.sleep_until(began_s + fault.at_s)
            troubles.start_soon(site.inject, fault)
    ended_s = trio.current_time()
    crowd.is_open = False
    probe = crowd.draw()
    nursery.start_soon(crowd.insist, probe)
    is_back = await _until(lambda: probe.state == "completed", RECOVER_S)
    recovered_s = trio.current_time() - ended_s if is_back else None
    if not is_back:
        crowd.breaches.append(f"no job was done within {RECOVER_S:g} s after the last fault")
    with trio.move_on_after(SETTLE_S):
        while crowd.unsettled():  # noqa: ASYNC110  # polls what callers see
            await trio.sleep(CHECK_S)
    for job in crowd.unsettled():
        crowd.breaches.append(f"job {job.name} is still {job.state or 'unknown'}")
    watch.check()
    return Figures(
        seed=seed,
        injected=dict(site.injected),
        answers=dict(crowd.answers),
        jobs=crowd.states(),
        starts=len(site.runs.started),
        checks=watch.checks,
        recovered_s=recovered_s,
        breaches=watch.found(),
    )


async def _until(is_so: Callable[[], bool], within_s: float) -> bool:
    """Wait until something is so; false when it takes too long."""
    with trio.move_on_after(within_s):
        while not is_so():  # noqa: ASYNC110  # polls what callers see
            await trio.sleep(0.05)
        return True
    return False


class _Watch:
    """Checks the promises again and again."""

    def __init__(self, site: harness.Harness, crowd: callers.Callers) -> None:
        self._site = site
        self._crowd = crowd
        self._over: list[str] = []
        self.checks = 0

    async def run(self) -> None:
        while True:
            await trio.sleep(CHECK_S)
            self.check()

    def check(self) -> None:
        self.checks += 1
        self._site.runs.check()
        self._crowd.check()
        self._over += promises.over_capacity(self._site.world)

    def found(self) -> list[str]:
        """Return each broken promise once."""
        return list(dict.fromkeys([*self._site.runs.breaches, *self._crowd.breaches, *self._over]))
