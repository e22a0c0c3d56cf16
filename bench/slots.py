"""Compares ways to share executors' slots among instances, in virtual time.

``python -m bench.slots --seed N --json`` prints, for each way and load, the share of slot
time overcommitted, the share idle while a request waits at an instance, and waits.
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

    Pick = Callable[[int, list["Executor"], float], int | None]

INSTANCES = 7
EXECUTORS = 24
SLOTS = 8
MEAN_RUNS_S = (0.05, 2.0)
RUN_SIGMA = 1.0
HOP_S = 0.0005
SIMULATED_RUNS = 120.0
HINT_TTL_S = 0.25
TICK_S = 0.25
LOADS = (0.8, 0.95, 1.1)
SPREADS = {"even": (1.0,) * INSTANCES, "uneven": (6.0,) + (1.0,) * (INSTANCES - 1)}


@dataclasses.dataclass(slots=True)
class Executor:
    """True state of one executor, and what instances know of it."""

    present: int = 0
    waiting: collections.deque[Run] = dataclasses.field(default_factory=collections.deque)
    own: list[int] = dataclasses.field(default_factory=lambda: [0] * INSTANCES)
    others: list[int] = dataclasses.field(default_factory=lambda: [0] * INSTANCES)
    seen_s: list[float] = dataclasses.field(default_factory=lambda: [-math.inf] * INSTANCES)


@dataclasses.dataclass(slots=True)
class Run:
    """One request."""

    instance: int
    arrived_s: float
    run_s: float
    executor: int = -1
    sent_s: float = 0.0


class Way:
    """A way to share slots: chooses executors, and learns from answers, peers or descriptions."""

    def __init__(self, pick: Pick | None = None, *, by_peers: bool = False) -> None:
        self.choose = pick
        self.by_peers = by_peers

    def pick(self, sim: Simulation, instance: int) -> int | None:
        """Return an executor with a slot for the instance, or none."""
        if self.choose is None:
            raise NotImplementedError
        return self.choose(instance, sim.fleet, sim.now_s)

    def answered(self, sim: Simulation, run: Run, present: int) -> None:
        """Learn from an answer that says how many requests the executor holds."""
        if self.by_peers:
            return
        executor = sim.fleet[run.executor]
        executor.others[run.instance] = max(0, present - executor.own[run.instance])
        executor.seen_s[run.instance] = sim.now_s

    def tick(self, sim: Simulation) -> None:
        """Learn from peers, once an interval."""
        if not self.by_peers:
            return
        for executor in sim.fleet:
            total = sum(executor.own)
            for instance in range(INSTANCES):
                executor.others[instance] = total - executor.own[instance]
                executor.seen_s[instance] = sim.now_s


class TableWay(Way):
    """The router's own slot tables, one an instance."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.tables = [self._make(instance) for instance in range(INSTANCES)]

    def pick(self, sim: Simulation, instance: int) -> int | None:
        """Ask the instance's table."""
        self.now_s = sim.now_s
        executor = self.tables[instance].acquire()
        return None if executor is None else int(executor.executor)

    def answered(self, sim: Simulation, run: Run, present: int) -> None:
        """Give the hint to the instance's table."""
        self.now_s = sim.now_s
        table, name = self.tables[run.instance], ids.ExecutorId(str(run.executor))
        table.record_hint(name, busy=present)
        table.record_live(name)
        table.release(name, run_s=sim.now_s - run.sent_s)

    def tick(self, sim: Simulation) -> None:
        """Describe executors with old hints while requests wait."""
        self.now_s = sim.now_s
        for instance, table in enumerate(self.tables):
            if not sim.queues[instance]:
                continue
            for executor in table.stale_executors():
                present = sim.fleet[int(executor.executor)].present
                table.record_live(executor.executor)
                table.record_description(executor.executor, busy=min(SLOTS, present))

    def _make(self, seed: int) -> slots.SlotTable:
        table = slots.SlotTable(instances=lambda: INSTANCES, clock=lambda: self.now_s, seed=seed)
        table.set_executors(
            [
                model.Executor(ids.ExecutorId(str(n)), f"http://x{n}", ids.DataCentreId("d"))
                for n in range(EXECUTORS)
            ]
        )
        return table


def two_choices(limit: int, rng: random.Random) -> Pick:
    """Take the less loaded of two by local counts, up to a fixed limit."""

    def pick(instance: int, fleet: list[Executor], now_s: float) -> int | None:
        del now_s
        free = [n for n, executor in enumerate(fleet) if executor.own[instance] < limit]
        if not free:
            return None
        pair = rng.sample(free, min(2, len(free)))
        return min(pair, key=lambda n: fleet[n].own[instance])

    return pick


def owned() -> Pick:
    """Rendezvous-hash each executor to one instance, which alone uses its slots."""

    def weight(executor: int, instance: int) -> bytes:
        return hashlib.sha256(f"{executor}/{instance}".encode()).digest()

    owner = [
        max(range(INSTANCES), key=lambda instance, n=n: weight(n, instance))  # type: ignore[misc]
        for n in range(EXECUTORS)
    ]

    def pick(instance: int, fleet: list[Executor], now_s: float) -> int | None:
        del now_s
        mine = [n for n in range(EXECUTORS) if owner[n] == instance]
        free = [n for n in mine if fleet[n].own[instance] < SLOTS]
        return min(free, key=lambda n: fleet[n].own[instance], default=None)

    return pick


def hinted(base: int, rng: random.Random) -> Pick:
    """Use a share always, and more while the last hint shows free slots."""

    def load(executor: Executor, instance: int, now_s: float) -> int:
        fresh = now_s - executor.seen_s[instance] < HINT_TTL_S
        others = executor.others[instance] if fresh else SLOTS - base
        return executor.own[instance] + others

    def pick(instance: int, fleet: list[Executor], now_s: float) -> int | None:
        free = [
            n
            for n, executor in enumerate(fleet)
            if executor.own[instance] < base or load(executor, instance, now_s) < SLOTS
        ]
        if not free:
            return None
        pair = rng.sample(free, min(2, len(free)))
        return min(pair, key=lambda n: load(fleet[n], instance, now_s))

    return pick


class Simulation:
    """Discrete events: arrivals, starts and ends at executors, answers at instances."""

    def __init__(
        self, way: Way, *, load: float, spread: tuple[float, ...], mean_run_s: float, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.way = way
        self.mean_run_s = mean_run_s
        self.end_s = SIMULATED_RUNS * mean_run_s
        self.fleet = [Executor() for _ in range(EXECUTORS)]
        self.queues: list[collections.deque[Run]] = [collections.deque() for _ in range(INSTANCES)]
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.serial = itertools.count()
        self.spread = spread
        self.rate = load * EXECUTORS * SLOTS / mean_run_s
        self.now_s = 0.0
        self.over_s = 0.0
        self.idle_s = 0.0
        self.waits_s: list[float] = []

    def run(self) -> dict[str, float]:
        """Run to the end and return the shares and waits."""
        self._at(0.0, self._arrive)
        self._at(TICK_S, self._tick)
        while self.events:
            at_s, _serial, event, args = heapq.heappop(self.events)
            self._account(at_s - self.now_s)
            self.now_s = at_s
            event(*args)
        capacity_s = self.now_s * EXECUTORS * SLOTS
        waits_s = sorted(self.waits_s)
        return {
            "overcommitted": round(self.over_s / capacity_s, 4),
            "idle_while_waiting": round(self.idle_s / capacity_s, 4),
            "wait_p50_ms": round(1e3 * waits_s[len(waits_s) // 2], 2),
            "wait_p99_ms": round(1e3 * waits_s[int(len(waits_s) * 0.99)], 2),
        }

    def _at(self, at_s: float, event: Callable[..., None], *args: object) -> None:
        heapq.heappush(self.events, (at_s, next(self.serial), event, args))

    def _account(self, gone_s: float) -> None:
        self.over_s += gone_s * sum(max(0, each.present - SLOTS) for each in self.fleet)
        if any(self.queues):
            self.idle_s += gone_s * sum(max(0, SLOTS - each.present) for each in self.fleet)

    def _arrive(self) -> None:
        instance = self.rng.choices(range(INSTANCES), self.spread)[0]
        run_s = self.mean_run_s * self.rng.lognormvariate(-(RUN_SIGMA**2) / 2, RUN_SIGMA)
        self.queues[instance].append(Run(instance, self.now_s, run_s))
        self._dispatch(instance)
        next_s = self.now_s + self.rng.expovariate(self.rate)
        if next_s < self.end_s:
            self._at(next_s, self._arrive)

    def _dispatch(self, instance: int) -> None:
        queue = self.queues[instance]
        while queue:
            chosen = self.way.pick(self, instance)
            if chosen is None:
                return
            run = queue.popleft()
            run.executor = chosen
            run.sent_s = self.now_s
            self.fleet[chosen].own[instance] += 1
            self._at(self.now_s + HOP_S, self._reach, run)

    def _reach(self, run: Run) -> None:
        executor = self.fleet[run.executor]
        executor.present += 1
        if executor.present > SLOTS:
            executor.waiting.append(run)
        else:
            self._start(run)

    def _start(self, run: Run) -> None:
        self.waits_s.append(self.now_s - run.arrived_s)
        self._at(self.now_s + run.run_s, self._end, run)

    def _end(self, run: Run) -> None:
        executor = self.fleet[run.executor]
        executor.present -= 1
        if executor.waiting:
            self._start(executor.waiting.popleft())
        self._at(self.now_s + HOP_S, self._answer, run, executor.present)

    def _answer(self, run: Run, present: int) -> None:
        executor = self.fleet[run.executor]
        executor.own[run.instance] -= 1
        self.way.answered(self, run, present)
        self._dispatch(run.instance)

    def _tick(self) -> None:
        self.way.tick(self)
        for instance in range(INSTANCES):
            self._dispatch(instance)
        if self.now_s < self.end_s or any(self.queues):
            self._at(self.now_s + TICK_S, self._tick)


def measure(seed: int, only: str | None = None) -> dict[str, dict[str, dict[str, float]]]:
    """Run every way under every load and spread."""
    rng = random.Random(seed)
    ways: dict[str, Callable[[], Way]] = {
        "two_choices_limit_9": lambda: Way(two_choices(64 // INSTANCES, rng)),
        "two_choices_limit_2": lambda: Way(two_choices(2, rng)),
        "owned": lambda: Way(owned()),
        "answer_hints_base_2": lambda: Way(hinted(2, rng)),
        "peer_hints_base_1": lambda: Way(hinted(1, rng), by_peers=True),
        "slot_table": TableWay,
    }
    return {
        name: {
            f"{spread} run {run_s} load {load}": Simulation(
                make(), load=load, spread=SPREADS[spread], mean_run_s=run_s, seed=seed
            ).run()
            for run_s in MEAN_RUNS_S
            for spread in SPREADS
            for load in LOADS
        }
        for name, make in ways.items()
        if only in {None, name}
    }


def main() -> None:
    """Print the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--way", help="measure this way only")
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
