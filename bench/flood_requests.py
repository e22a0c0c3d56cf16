"""A flood of short requests: what the other work keeps, in virtual time.

``python -m bench.flood_requests --seed N --class low|urgent --json`` runs the router's fair
queues and slot tables of 7 instances before 24 executors, with and without a flood of one
class by one large caller of each organisation, and prints one JSON object:

- ``other_kept``: answers of the least served other class, as a share of those without flood
- ``small_p99_ratio``: 99th percentile of small callers' times in all classes, by that without
- ``jain``: fairness of slot time among organisations that all flood
- ``refuse_p99_us``: real time of a refusal
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import heapq
import itertools
import json
import random
import time
from typing import TYPE_CHECKING

from bronzequay import errors, ids
from bronzequay.policy import model
from bronzequay.route import fair, slots
from bronzequay.route import model as route_model

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

INSTANCES = 7
EXECUTORS = 24
SLOTS = 8
MEAN_RUN_S = 0.05
RUN_SIGMA = 1.0
HOP_S = 0.0005
SIMULATED_S = 10.0
DEADLINE_S = 2.0
ORGS = 4
SMALL_CALLERS = 40
FLOOD = 3.0
CAPACITY_PER_S = EXECUTORS * SLOTS / MEAN_RUN_S
BACKGROUND = {model.Urgency.URGENT: 0.10, model.Urgency.NORMAL: 0.15, model.Urgency.LOW: 0.03}
NOWHERE = ids.ExecutorId("")
TARGETS = {"other_kept": 0.97, "small_p99_ratio": 1.2, "jain": 0.98}


@dataclasses.dataclass(slots=True)
class Run:
    """One request."""

    instance: int
    urgency: model.Urgency
    org: ids.OrgId
    caller: ids.CallerId
    is_flood: bool
    arrived_s: float
    run_s: float
    executor: ids.ExecutorId = NOWHERE
    sent_s: float = 0.0
    ticket: fair.Ticket[Run] | None = None


@dataclasses.dataclass
class Result:
    """What one simulation counted."""

    answered: collections.Counter[model.Urgency]
    small_s: list[float]
    org_slot_s: dict[ids.OrgId, float]
    refusals_us: list[float]


class Simulation:
    """Discrete events at 7 instances and 24 executors."""

    def __init__(self, arrivals: Iterator[Run]) -> None:
        self.now_s = 0.0
        self.arrivals = arrivals
        self.queues = [fair.FairQueue[Run]() for _ in range(INSTANCES)]
        self.tables = [self._make_table(instance) for instance in range(INSTANCES)]
        self.present: collections.Counter[ids.ExecutorId] = collections.Counter()
        self.waiting: dict[ids.ExecutorId, collections.deque[Run]] = collections.defaultdict(
            collections.deque
        )
        self.events: list[tuple[float, int, Callable[[Run], None], Run]] = []
        self.serial = itertools.count()
        self.result = Result(collections.Counter(), [], collections.defaultdict(float), [])

    def run(self) -> Result:
        """Run until every request has ended."""
        self._next_arrival()
        while self.events:
            self.now_s, _serial, event, run = heapq.heappop(self.events)
            event(run)
        return self.result

    def _make_table(self, seed: int) -> slots.SlotTable:
        table = slots.SlotTable(instances=lambda: INSTANCES, clock=lambda: self.now_s, seed=seed)
        table.set_executors(
            [
                route_model.Executor(ids.ExecutorId(f"x{n}"), "", ids.DataCentreId("d"))
                for n in range(EXECUTORS)
            ]
        )
        return table

    def _at(self, at_s: float, event: Callable[[Run], None], run: Run) -> None:
        heapq.heappush(self.events, (at_s, next(self.serial), event, run))

    def _next_arrival(self) -> None:
        run = next(self.arrivals, None)
        if run is not None:
            self._at(run.arrived_s, self._arrive, run)

    def _arrive(self, run: Run) -> None:
        self._next_arrival()
        queue = self.queues[run.instance]
        table = self.tables[run.instance]
        begin_s = time.perf_counter()
        try:
            run.ticket = queue.push(
                run,
                urgency=run.urgency,
                org=run.org,
                caller=run.caller,
                slots=table.capacity(),
            )
        except errors.BronzequayError:
            self.result.refusals_us.append(1e6 * (time.perf_counter() - begin_s))
            self._lose(run)
            return
        self._dispatch(run.instance)

    def _lose(self, run: Run) -> None:
        if not run.is_flood:
            self.result.small_s.append(DEADLINE_S)

    def _dispatch(self, instance: int) -> None:
        queue, table = self.queues[instance], self.tables[instance]
        while queue and table.has_free():
            ticket = queue.pop()
            if ticket is None:
                return
            run = ticket.item
            if self.now_s > run.arrived_s + DEADLINE_S:
                queue.correct_cost(ticket, cost_s=0.0)
                self._lose(run)
                continue
            executor = table.acquire()
            if executor is None:
                raise AssertionError("no slot is free")
            run.executor = executor.executor
            run.sent_s = self.now_s
            self._at(self.now_s + HOP_S, self._reach, run)

    def _reach(self, run: Run) -> None:
        self.present[run.executor] += 1
        if self.present[run.executor] > SLOTS:
            self.waiting[run.executor].append(run)
        else:
            self._at(self.now_s + run.run_s, self._end, run)

    def _end(self, run: Run) -> None:
        self.present[run.executor] -= 1
        if self.waiting[run.executor]:
            following = self.waiting[run.executor].popleft()
            self._at(self.now_s + following.run_s, self._end, following)
        busy = self.present[run.executor]
        self._at(self.now_s + HOP_S, lambda each: self._answer(each, busy), run)

    def _answer(self, run: Run, busy: int) -> None:
        table = self.tables[run.instance]
        held_s = self.now_s - run.sent_s
        table.record_hint(run.executor, busy=busy)
        table.record_live(run.executor)
        table.release(run.executor, run_s=held_s)
        if run.ticket is not None:
            self.queues[run.instance].correct_cost(run.ticket, cost_s=held_s)
        if run.arrived_s < SIMULATED_S:
            self.result.org_slot_s[run.org] += run.run_s
        if not run.is_flood:
            self.result.answered[run.urgency] += 1
            self.result.small_s.append(self.now_s - run.arrived_s)
        self._dispatch(run.instance)


def arrivals(seed: int, flood: model.Urgency | None, shares: tuple[float, ...]) -> Iterator[Run]:
    """Yield background requests of small callers and, if any, the flood of large ones.

    :param flood: class of the flood
    :param shares: each organisation's part in the flood
    """
    small = _stream(random.Random(seed), sum(BACKGROUND.values()), is_flood=False)
    if flood is None:
        return small
    large = _stream(random.Random(seed + 1), FLOOD, is_flood=True, flood=flood, shares=shares)
    return heapq.merge(small, large, key=lambda run: run.arrived_s)


def _stream(
    rng: random.Random,
    load: float,
    *,
    is_flood: bool,
    flood: model.Urgency = model.Urgency.LOW,
    shares: tuple[float, ...] = (1.0,) * ORGS,
) -> Iterator[Run]:
    now_s = 0.0
    while (now_s := now_s + rng.expovariate(load * CAPACITY_PER_S)) < SIMULATED_S:
        org = rng.choices(range(ORGS), shares)[0]
        urgency = flood if is_flood else rng.choices(*zip(*BACKGROUND.items(), strict=True))[0]
        caller = "large" if is_flood else f"c{rng.randrange(SMALL_CALLERS)}"
        yield Run(
            instance=rng.randrange(INSTANCES),
            urgency=urgency,
            org=ids.OrgId(f"org-{'abcd'[org]}"),
            caller=ids.CallerId(caller),
            is_flood=is_flood,
            arrived_s=now_s,
            run_s=MEAN_RUN_S * rng.lognormvariate(-(RUN_SIGMA**2) / 2, RUN_SIGMA),
        )


def measure(seed: int, flood: model.Urgency) -> dict[str, float]:
    """Compare a run with the flood to one without."""
    quiet = Simulation(arrivals(seed, None, ())).run()
    one = Simulation(arrivals(seed, flood, (1.0, 0.0, 0.0, 0.0))).run()
    all_flood = Simulation(arrivals(seed, flood, (8.0, 4.0, 2.0, 2.0))).run()
    others = [urgency for urgency in model.Urgency if urgency is not flood]
    slot_s = list(all_flood.org_slot_s.values())
    refusals_us = sorted(one.refusals_us)
    return {
        "other_kept": round(min(one.answered[each] / quiet.answered[each] for each in others), 4),
        "flooded_class_small_kept": round(one.answered[flood] / quiet.answered[flood], 4),
        "small_p99_ratio": round(_p99(one.small_s) / _p99(quiet.small_s), 3),
        "small_p99_ms": round(1e3 * _p99(one.small_s), 1),
        "jain": round(sum(slot_s) ** 2 / (ORGS * sum(each**2 for each in slot_s)), 4),
        "refuse_p99_us": round(refusals_us[int(len(refusals_us) * 0.99)], 1),
        "refused": len(refusals_us),
    }


def _p99(values: list[float]) -> float:
    return sorted(values)[int(len(values) * 0.99)]


def main() -> None:
    """Print the measurement."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--class", dest="flood", choices=["low", "urgent"], default="low")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    result = measure(args.seed, model.Urgency(args.flood))
    print(json.dumps(result if args.json else {**result, "targets": TARGETS}))


if __name__ == "__main__":
    main()
