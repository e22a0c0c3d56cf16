"""Compares strategies to share executors' slots among instances, in virtual time.

``python -m bench.slots --seed N --json`` prints, for each strategy and load, the overcommitted
share of slot time, the share idle while a request waits at an instance, and waiting times.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import hashlib
import heapq
import itertools
import json
import math
import random
from typing import TYPE_CHECKING

from bronzequay import ids
from bronzequay.route import model, slots

if TYPE_CHECKING:
    from collections.abc import Callable

    Chooser = Callable[[int, list["Executor"], float], int | None]

INSTANCES = 7
EXECUTORS = 24
SLOTS = 8
MEAN_RUNS_S = (0.05, 2.0)
RUN_SIGMA = 1.0
HOP_S = 0.0005  # one way between instance and executor
SIMULATED_RUN_TIMES = 120.0  # length of a simulation, in mean run times
HINT_TTL_S = 0.25
TICK_S = 0.25
LOADS = (0.8, 0.95, 1.1)
SPREADS = {"even": (1.0,) * INSTANCES, "uneven": (6.0,) + (1.0,) * (INSTANCES - 1)}


@dataclasses.dataclass(slots=True)
class Executor:
    """True state of one executor, and what the instances know of it.

    :param request_count: requests that run or wait at the executor
    :param waiting: requests that wait at the executor for a slot
    :param local_counts: requests that each instance has in flight to the executor
    :param remote_counts: requests of the others at the executor, as last known to each instance
    :param updated_s: time at which each instance last updated ``remote_counts``
    """

    request_count: int = 0
    waiting: collections.deque[Request] = dataclasses.field(default_factory=collections.deque)
    local_counts: list[int] = dataclasses.field(default_factory=lambda: [0] * INSTANCES)
    remote_counts: list[int] = dataclasses.field(default_factory=lambda: [0] * INSTANCES)
    updated_s: list[float] = dataclasses.field(default_factory=lambda: [-math.inf] * INSTANCES)


@dataclasses.dataclass(slots=True)
class Request:
    """One request."""

    instance: int
    arrived_s: float
    run_s: float
    executor: int = -1
    sent_s: float = 0.0


class Strategy:
    """Strategy to share slots: chooses executors, and learns from answers, peers or descriptions.

    :param choose: chooser of an executor; a subclass may override ``choose`` instead
    :param uses_peers: whether instances learn the counts from each other instead of from answers
    """

    def __init__(self, choose: Chooser | None = None, *, uses_peers: bool = False) -> None:
        self.chooser = choose
        self.uses_peers = uses_peers

    def choose(self, sim: Simulation, instance: int) -> int | None:
        """Return an executor with a slot that the instance may use, or None."""
        if self.chooser is None:
            raise NotImplementedError
        return self.chooser(instance, sim.fleet, sim.now_s)

    def observe_answer(self, sim: Simulation, request: Request, request_count: int) -> None:
        """Update the counts from an answer that states how many requests the executor holds."""
        if self.uses_peers:
            return
        executor = sim.fleet[request.executor]
        executor.remote_counts[request.instance] = max(
            0, request_count - executor.local_counts[request.instance]
        )
        executor.updated_s[request.instance] = sim.now_s

    def tick(self, sim: Simulation) -> None:
        """Update the counts from peers, once per ``TICK_S``."""
        if not self.uses_peers:
            return
        for executor in sim.fleet:
            total = sum(executor.local_counts)
            for instance in range(INSTANCES):
                executor.remote_counts[instance] = total - executor.local_counts[instance]
                executor.updated_s[instance] = sim.now_s


class SlotTableStrategy(Strategy):
    """Strategy of the router: one slot table per instance."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.tables = [self._new_table(instance) for instance in range(INSTANCES)]

    def choose(self, sim: Simulation, instance: int) -> int | None:
        """Return an executor from the instance's table, or None."""
        self.now_s = sim.now_s
        executor = self.tables[instance].acquire()
        return None if executor is None else int(executor.executor)

    def observe_answer(self, sim: Simulation, request: Request, request_count: int) -> None:
        """Pass the load stated in the answer to the instance's table."""
        self.now_s = sim.now_s
        table, name = self.tables[request.instance], ids.ExecutorId(str(request.executor))
        table.record_hint(name, busy=request_count)
        table.record_live(name)
        table.release(name, run_s=sim.now_s - request.sent_s)

    def tick(self, sim: Simulation) -> None:
        """Pass the descriptions of executors with stale hints to the tables of busy instances."""
        self.now_s = sim.now_s
        for instance, table in enumerate(self.tables):
            if not sim.queues[instance]:
                continue
            for executor in table.stale_executors():
                request_count = sim.fleet[int(executor.executor)].request_count
                table.record_live(executor.executor)
                table.record_description(executor.executor, busy=min(SLOTS, request_count))

    def _new_table(self, seed: int) -> slots.SlotTable:
        table = slots.SlotTable(instances=lambda: INSTANCES, clock=lambda: self.now_s, seed=seed)
        table.set_executors(
            [
                model.Executor(ids.ExecutorId(str(n)), f"http://x{n}", ids.DataCentreId("d"))
                for n in range(EXECUTORS)
            ]
        )
        return table


def two_choices(limit: int, rng: random.Random) -> Chooser:
    """Choose the less loaded of two random executors by local counts, up to a fixed limit."""

    def choose(instance: int, fleet: list[Executor], now_s: float) -> int | None:
        del now_s
        free = [n for n, executor in enumerate(fleet) if executor.local_counts[instance] < limit]
        if not free:
            return None
        pair = rng.sample(free, min(2, len(free)))
        return min(pair, key=lambda n: fleet[n].local_counts[instance])

    return choose


def rendezvous_owner() -> Chooser:
    """Assign each executor by rendezvous hashing to one instance, which alone uses its slots."""

    def weight(executor: int, instance: int) -> bytes:
        return hashlib.sha256(f"{executor}/{instance}".encode()).digest()

    owner = [
        max(range(INSTANCES), key=lambda instance, n=n: weight(n, instance))  # type: ignore[misc]
        for n in range(EXECUTORS)
    ]

    def choose(instance: int, fleet: list[Executor], now_s: float) -> int | None:
        del now_s
        owned = [n for n in range(EXECUTORS) if owner[n] == instance]
        free = [n for n in owned if fleet[n].local_counts[instance] < SLOTS]
        return min(free, key=lambda n: fleet[n].local_counts[instance], default=None)

    return choose


def share_and_hints(base: int, rng: random.Random) -> Chooser:
    """Use a fixed share of slots always, and more while the last hint shows free slots.

    :param base: slots of each executor that an instance may always use
    """

    def load(executor: Executor, instance: int, now_s: float) -> int:
        is_fresh = now_s - executor.updated_s[instance] < HINT_TTL_S
        remote_count = executor.remote_counts[instance] if is_fresh else SLOTS - base
        return executor.local_counts[instance] + remote_count

    def choose(instance: int, fleet: list[Executor], now_s: float) -> int | None:
        free = [
            n
            for n, executor in enumerate(fleet)
            if executor.local_counts[instance] < base or load(executor, instance, now_s) < SLOTS
        ]
        if not free:
            return None
        pair = rng.sample(free, min(2, len(free)))
        return min(pair, key=lambda n: load(fleet[n], instance, now_s))

    return choose


class Simulation:
    """Discrete-event simulation of arrivals, starts and ends at executors, answers at instances."""

    def __init__(
        self,
        strategy: Strategy,
        *,
        load: float,
        spread: tuple[float, ...],
        mean_run_s: float,
        seed: int,
    ) -> None:
        self.rng = random.Random(seed)
        self.strategy = strategy
        self.mean_run_s = mean_run_s
        self.end_s = SIMULATED_RUN_TIMES * mean_run_s
        self.fleet = [Executor() for _ in range(EXECUTORS)]
        self.queues: list[collections.deque[Request]] = [
            collections.deque() for _ in range(INSTANCES)
        ]
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.sequence = itertools.count()
        self.spread = spread
        self.rate = load * EXECUTORS * SLOTS / mean_run_s
        self.now_s = 0.0
        self.overcommitted_s = 0.0
        self.idle_s = 0.0
        self.waits_s: list[float] = []

    def run(self) -> dict[str, float]:
        """Run until all requests have ended and return the shares and waiting times."""
        self._schedule(0.0, self._arrive)
        self._schedule(TICK_S, self._tick)
        while self.events:
            at_s, _sequence, event, args = heapq.heappop(self.events)
            self._add_elapsed(at_s - self.now_s)
            self.now_s = at_s
            event(*args)
        capacity_s = self.now_s * EXECUTORS * SLOTS
        waits_s = sorted(self.waits_s)
        return {
            "overcommitted": round(self.overcommitted_s / capacity_s, 4),
            "idle_while_waiting": round(self.idle_s / capacity_s, 4),
            "wait_p50_ms": round(1e3 * waits_s[len(waits_s) // 2], 2),
            "wait_p99_ms": round(1e3 * waits_s[int(len(waits_s) * 0.99)], 2),
        }

    def _schedule(self, at_s: float, event: Callable[..., None], *args: object) -> None:
        heapq.heappush(self.events, (at_s, next(self.sequence), event, args))

    def _add_elapsed(self, elapsed_s: float) -> None:
        self.overcommitted_s += elapsed_s * sum(
            max(0, executor.request_count - SLOTS) for executor in self.fleet
        )
        if any(self.queues):
            self.idle_s += elapsed_s * sum(
                max(0, SLOTS - executor.request_count) for executor in self.fleet
            )

    def _arrive(self) -> None:
        instance = self.rng.choices(range(INSTANCES), self.spread)[0]
        run_s = self.mean_run_s * self.rng.lognormvariate(-(RUN_SIGMA**2) / 2, RUN_SIGMA)
        self.queues[instance].append(Request(instance, self.now_s, run_s))
        self._dispatch(instance)
        next_s = self.now_s + self.rng.expovariate(self.rate)
        if next_s < self.end_s:
            self._schedule(next_s, self._arrive)

    def _dispatch(self, instance: int) -> None:
        queue = self.queues[instance]
        while queue:
            executor = self.strategy.choose(self, instance)
            if executor is None:
                return
            request = queue.popleft()
            request.executor = executor
            request.sent_s = self.now_s
            self.fleet[executor].local_counts[instance] += 1
            self._schedule(self.now_s + HOP_S, self._reach_executor, request)

    def _reach_executor(self, request: Request) -> None:
        executor = self.fleet[request.executor]
        executor.request_count += 1
        if executor.request_count > SLOTS:
            executor.waiting.append(request)
        else:
            self._start_execution(request)

    def _start_execution(self, request: Request) -> None:
        self.waits_s.append(self.now_s - request.arrived_s)
        self._schedule(self.now_s + request.run_s, self._end_execution, request)

    def _end_execution(self, request: Request) -> None:
        executor = self.fleet[request.executor]
        executor.request_count -= 1
        if executor.waiting:
            self._start_execution(executor.waiting.popleft())
        self._schedule(self.now_s + HOP_S, self._receive_answer, request, executor.request_count)

    def _receive_answer(self, request: Request, request_count: int) -> None:
        executor = self.fleet[request.executor]
        executor.local_counts[request.instance] -= 1
        self.strategy.observe_answer(self, request, request_count)
        self._dispatch(request.instance)

    def _tick(self) -> None:
        self.strategy.tick(self)
        for instance in range(INSTANCES):
            self._dispatch(instance)
        if self.now_s < self.end_s or any(self.queues):
            self._schedule(self.now_s + TICK_S, self._tick)


def measure(seed: int, only_name: str | None = None) -> dict[str, dict[str, dict[str, float]]]:
    """Run all strategies, or the one named, under all run times, spreads and loads."""
    rng = random.Random(seed)
    strategies: dict[str, Callable[[], Strategy]] = {
        "two_choices_limit_9": lambda: Strategy(two_choices(64 // INSTANCES, rng)),
        "two_choices_limit_2": lambda: Strategy(two_choices(2, rng)),
        "owned": lambda: Strategy(rendezvous_owner()),
        "answer_hints_base_2": lambda: Strategy(share_and_hints(2, rng)),
        "peer_hints_base_1": lambda: Strategy(share_and_hints(1, rng), uses_peers=True),
        "slot_table": SlotTableStrategy,
    }
    return {
        name: {
            f"{spread} run {run_s} load {load}": Simulation(
                factory(), load=load, spread=SPREADS[spread], mean_run_s=run_s, seed=seed
            ).run()
            for run_s in MEAN_RUNS_S
            for spread in SPREADS
            for load in LOADS
        }
        for name, factory in strategies.items()
        if only_name in {None, name}
    }


def main() -> None:
    """Run the benchmark and print the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--way", help="measure this strategy only")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    result = measure(args.seed, args.way)
    if args.json:
        print(json.dumps(result))
        return
    for name, rows in result.items():
        for row, figures in rows.items():
            print(f"{name:20} {row:24} {figures}")


if __name__ == "__main__":
    main()
