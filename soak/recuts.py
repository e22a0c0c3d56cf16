"""Workers that restart under their ids and are cut off soon after, and the executors for that."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING, Any

import trio

from bronzequay.fakes import executors

if TYPE_CHECKING:
    from bronzequay.fakes import kv
    from bronzequay.net import server
    from soak.harness import Harness
    from soak.plan import Fault

MIN_SHARE, MAX_SHARE = 0.2, 0.45
"""Share of the workers that a fault affects. Work of workers that are cut off restarts elsewhere
only while the scheduler reaches more than half of them."""
IN_FLIGHT_S = 0.25
DOWN_S = 0.6
MAX_LATE_S = 12.0
"""Longest time after which the next life carries out a call."""
LATE_SHARE = 0.5
LISTED_S = 1.2
"""Longest time until a worker that has restarted writes its entry."""
CUT_AFTER_S = (1.5, 4.0)
"""Time from the restart to the cut; the takeover from a killed scheduler ends before it or not."""
CUT_S = (6.0, 10.0)
REPLACED_SHARE = 0.5
"""Share of the faults in which the scheduler is replaced between the crash and the cut."""
MAX_S = IN_FLIGHT_S + DOWN_S + CUT_AFTER_S[1] + CUT_S[1]
MAX_CLOCK_START_MS = 120_000.0
MIN_CLOCK_RATE = 0.98


class World(executors.World):
    """Executors each life of which has a clock of its own.

    :param seed: seed of the clocks
    """

    def __init__(self, store: kv.Kv, seed: int) -> None:
        super().__init__(store)
        self.executor_type = Executor
        self.clock_rng = random.Random(f"clocks {seed}")


class Executor(executors.Executor):
    """An executor that can leave calls to its next life.

    :ivar is_recut: whether it is being restarted and cut off
    :ivar held_calls: calls that the next life carries out, each with the time when; None while
        calls are carried out as they arrive
    """

    world: World

    def __init__(self, world: World, name: str, address: str, **options: Any) -> None:
        self.held_calls: list[tuple[server.Request, float]] | None = None
        self.is_recut = False
        super().__init__(world, name, address, **options)

    def boot(self) -> None:
        """Start a new incarnation with a clock of its own."""
        rng = self.world.clock_rng
        self.clock_start_ms = rng.uniform(0.0, MAX_CLOCK_START_MS)
        self.clock_rate = rng.uniform(MIN_CLOCK_RATE, 1.0)
        super().boot()

    async def handle(self, req: server.Request) -> server.Response:
        """Answer a call, or keep it for the next life."""
        if self.held_calls is not None:
            rng = self.world.clock_rng
            late_s = rng.uniform(0.0, MAX_LATE_S) if rng.random() < LATE_SHARE else 0.0
            self.held_calls.append((req, trio.current_time() + late_s))
            await trio.sleep_forever()
        return await super().handle(req)

    async def carry_out(self, req: server.Request, at_s: float) -> None:
        """Carry out a call that was sent to an earlier life; nobody awaits the answer."""
        await trio.sleep_until(at_s)
        if self.is_up:
            self.advance()
            self._execute(req)


async def inject(site: Harness, fault: Fault) -> None:
    """Restart a share of the workers and cut them off; replace the scheduler in between, or not."""
    rng = random.Random(fault.selector)
    everyone = [other for other in site.world.executors.values() if isinstance(other, Executor)]
    idle = [
        executor
        for executor in everyone
        if executor.is_up
        and executor.state == "ready"
        and not executor.is_recut
        # A call that a cut has held back for long must not be held back again.
        and not site.worker_link(executor.name).cut
    ]
    recut_count = sum(executor.is_recut for executor in everyone)
    wanted = max(1, int(len(everyone) * rng.uniform(MIN_SHARE, MAX_SHARE)))
    count = min(wanted, (len(everyone) - 1) // 2 - recut_count, len(idle))
    if count <= 0:
        return
    site.faults_until_s = site.recuts_until_s = trio.current_time() + MAX_S
    crash_at_s = trio.current_time() + IN_FLIGHT_S
    cut_at_s = crash_at_s + DOWN_S + rng.uniform(*CUT_AFTER_S)
    cut_s = rng.uniform(*CUT_S)
    with contextlib.ExitStack() as stack:
        async with trio.open_nursery() as nursery:
            for executor in rng.sample(idle, count):
                stack.enter_context(site.evacuation_checker.disturbance(executor.name, 1.0))
                executor.is_recut = True
                nursery.start_soon(_recut, site, executor, cut_at_s, cut_s)
            if rng.random() < REPLACED_SHARE:
                await trio.sleep_until(
                    rng.uniform(crash_at_s, crash_at_s + DOWN_S + CUT_AFTER_S[0])
                )
                leader = site.leader()
                if leader is not None and leader.is_running:
                    # SIGTERM hands over at once, SIGKILL only when the lease has expired.
                    nursery.start_soon(rng.choice([site.kill, site.terminate]), leader, fault)


async def _recut(site: Harness, executor: Executor, cut_at_s: float, cut_s: float) -> None:
    executor.held_calls = []
    await trio.sleep(IN_FLIGHT_S)
    link = site.worker_link(executor.name)
    if executor.is_up:
        executor.crash(keeps_entry=True)
        link.reset()
        await trio.sleep(DOWN_S)
        executor.boot()
    calls, executor.held_calls = executor.held_calls, None
    async with trio.open_nursery() as nursery:
        for req, at_s in calls:
            nursery.start_soon(executor.carry_out, req, at_s)
        await trio.sleep(site.world.clock_rng.uniform(0.0, LISTED_S))
        if executor.is_up:
            executor.list_entry()
        await trio.sleep_until(cut_at_s)
        site.mark_all_disturbed()
        link.cut = {"up", "down"}
        await trio.sleep(cut_s)
        link.heal()
        executor.is_recut = False
        site.mark_all_disturbed()


__all__ = ["Executor", "World", "inject"]
