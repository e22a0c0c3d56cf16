"""Throughput of other requests during a flood of short requests, in virtual time.

``python -m bench.flood_requests --seed N --class low|urgent --json`` runs the router's fair
queues and slot tables in 7 instances in front of 24 executors, with and without a flood of one
class by a large caller, and prints one JSON object:

- ``other_kept``: answers in the other class that loses most, over its answers without the flood
- ``flooded_class_small_kept``: the same for the small callers in the flooded class
- ``small_p99_ratio``: 99th percentile of the times of small callers' requests in all classes,
  over that without the flood
- ``jain``: Jain's index over the slot time of the organisations when a caller of each floods
- ``refuse_p99_us``: 99th percentile of the real time of a refusal, in microseconds
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
HOP_S = 0.0005  # one way between instance and executor
SIMULATED_S = 10.0
DEADLINE_S = 2.0
ORGS = 4
SMALL_CALLERS = 40
FLOOD_LOAD = 3.0
CAPACITY_PER_S = EXECUTORS * SLOTS / MEAN_RUN_S
BACKGROUND_LOADS = {model.Urgency.URGENT: 0.10, model.Urgency.NORMAL: 0.15, model.Urgency.LOW: 0.03}
NO_EXECUTOR = ids.ExecutorId("")
TARGETS = {"other_kept": 0.97, "small_p99_ratio": 1.2, "jain": 0.98}


@dataclasses.dataclass(slots=True)
class Request:
    """One request."""

    instance: int
    urgency: model.Urgency
    org: ids.OrgId
    caller: ids.CallerId
    is_flood: bool
    arrived_s: float
    run_s: float
    executor: ids.ExecutorId = NO_EXECUTOR
    sent_s: float = 0.0
    ticket: fair.Ticket[Request] | None = None


@dataclasses.dataclass
class Result:
    """Counts of one simulation.

    :param answered: answers to requests of small callers, by class
    :param small_times_s: times of requests of small callers; the deadline for those refused or late
    :param org_slot_s: run time of the answered requests that arrived in the simulated time, by
        organisation
    :param refusals_us: real time of each refusal, in microseconds
    """

    answered: collections.Counter[model.Urgency]
    small_times_s: list[float]
    org_slot_s: dict[ids.OrgId, float]
    refusals_us: list[float]


class Simulation:
    """Discrete-event simulation of 7 instances and 24 executors."""

    def __init__(self, arrivals: Iterator[Request]) -> None:
        self.now_s = 0.0
        self.arrivals = arrivals
        self.queues = [fair.FairQueue[Request]() for _ in range(INSTANCES)]
        self.tables = [self._new_table(instance) for instance in range(INSTANCES)]
        self.request_counts: collections.Counter[ids.ExecutorId] = collections.Counter()
        self.waiting: dict[ids.ExecutorId, collections.deque[Request]] = collections.defaultdict(
            collections.deque
        )
        self.events: list[tuple[float, int, Callable[[Request], None], Request]] = []
        self.sequence = itertools.count()
        self.result = Result(collections.Counter(), [], collections.defaultdict(float), [])

    def run(self) -> Result:
        """Run until all requests have ended and return the counts."""
        self._next_arrival()
        while self.events:
            self.now_s, _sequence, event, request = heapq.heappop(self.events)
            event(request)
        return self.result

    def _new_table(self, seed: int) -> slots.SlotTable:
        table = slots.SlotTable(instances=lambda: INSTANCES, clock=lambda: self.now_s, seed=seed)
        table.set_executors(
            [
                route_model.Executor(ids.ExecutorId(f"x{n}"), "", ids.DataCentreId("d"))
                for n in range(EXECUTORS)
            ]
        )
        return table

    def _schedule(self, at_s: float, event: Callable[[Request], None], request: Request) -> None:
        heapq.heappush(self.events, (at_s, next(self.sequence), event, request))

    def _next_arrival(self) -> None:
        request = next(self.arrivals, None)
        if request is not None:
            self._schedule(request.arrived_s, self._arrive, request)

    def _arrive(self, request: Request) -> None:
        self._next_arrival()
        queue = self.queues[request.instance]
        table = self.tables[request.instance]
        start_s = time.perf_counter()
        try:
            request.ticket = queue.push(
                request,
                urgency=request.urgency,
                org=request.org,
                caller=request.caller,
                slots=table.capacity(),
            )
        except errors.BronzequayError:
            self.result.refusals_us.append(1e6 * (time.perf_counter() - start_s))
            self._count_failure(request)
            return
        self._dispatch(request.instance)

    def _count_failure(self, request: Request) -> None:
        if not request.is_flood:
            self.result.small_times_s.append(DEADLINE_S)

    def _dispatch(self, instance: int) -> None:
        queue, table = self.queues[instance], self.tables[instance]
        while queue and table.has_free():
            ticket = queue.pop()
            if ticket is None:
                return
            request = ticket.item
            if self.now_s > request.arrived_s + DEADLINE_S:
                queue.correct_cost(ticket, cost_s=0.0)
                self._count_failure(request)
                continue
            executor = table.acquire()
            if executor is None:
                raise AssertionError("no slot is free")
            request.executor = executor.executor
            request.sent_s = self.now_s
            self._schedule(self.now_s + HOP_S, self._reach_executor, request)

    def _reach_executor(self, request: Request) -> None:
        self.request_counts[request.executor] += 1
        if self.request_counts[request.executor] > SLOTS:
            self.waiting[request.executor].append(request)
        else:
            self._schedule(self.now_s + request.run_s, self._end_execution, request)

    def _end_execution(self, request: Request) -> None:
        self.request_counts[request.executor] -= 1
        if self.waiting[request.executor]:
            next_request = self.waiting[request.executor].popleft()
            self._schedule(self.now_s + next_request.run_s, self._end_execution, next_request)
        busy = self.request_counts[request.executor]
        self._schedule(
            self.now_s + HOP_S, lambda answered: self._receive_answer(answered, busy), request
        )

    def _receive_answer(self, request: Request, busy: int) -> None:
        table = self.tables[request.instance]
        held_s = self.now_s - request.sent_s
        table.record_hint(request.executor, busy=busy)
        table.record_live(request.executor)
        table.release(request.executor, run_s=held_s)
        if request.ticket is not None:
            self.queues[request.instance].correct_cost(request.ticket, cost_s=held_s)
        if request.arrived_s < SIMULATED_S:
            self.result.org_slot_s[request.org] += request.run_s
        if not request.is_flood:
            self.result.answered[request.urgency] += 1
            self.result.small_times_s.append(self.now_s - request.arrived_s)
        self._dispatch(request.instance)


def arrivals(
    seed: int, flood: model.Urgency | None, shares: tuple[float, ...]
) -> Iterator[Request]:
    """Yield the background requests of small callers, and those of the flood by large callers.

    :param seed: seed of the background; that of the flood is one higher
    :param flood: class of the flood, None for none
    :param shares: weight of each organisation in the flood
    """
    small = _poisson_arrivals(random.Random(seed), sum(BACKGROUND_LOADS.values()), is_flood=False)
    if flood is None:
        return small
    large = _poisson_arrivals(
        random.Random(seed + 1), FLOOD_LOAD, is_flood=True, flood=flood, shares=shares
    )
    return heapq.merge(small, large, key=lambda request: request.arrived_s)


def _poisson_arrivals(
    rng: random.Random,
    load: float,
    *,
    is_flood: bool,
    flood: model.Urgency = model.Urgency.LOW,
    shares: tuple[float, ...] = (1.0,) * ORGS,
) -> Iterator[Request]:
    now_s = 0.0
    while (now_s := now_s + rng.expovariate(load * CAPACITY_PER_S)) < SIMULATED_S:
        org = rng.choices(range(ORGS), shares)[0]
        urgency = (
            flood if is_flood else rng.choices(*zip(*BACKGROUND_LOADS.items(), strict=True))[0]
        )
        caller = "large" if is_flood else f"c{rng.randrange(SMALL_CALLERS)}"
        yield Request(
            instance=rng.randrange(INSTANCES),
            urgency=urgency,
            org=ids.OrgId(f"org-{'abcd'[org]}"),
            caller=ids.CallerId(caller),
            is_flood=is_flood,
            arrived_s=now_s,
            run_s=MEAN_RUN_S * rng.lognormvariate(-(RUN_SIGMA**2) / 2, RUN_SIGMA),
        )


def measure(seed: int, flood: model.Urgency) -> dict[str, float]:
    """Compare runs with a flood to one without."""
    unflooded = Simulation(arrivals(seed, None, ())).run()
    flooded = Simulation(arrivals(seed, flood, (1.0, 0.0, 0.0, 0.0))).run()
    all_flood = Simulation(arrivals(seed, flood, (8.0, 4.0, 2.0, 2.0))).run()
    others = [urgency for urgency in model.Urgency if urgency is not flood]
    slot_s = list(all_flood.org_slot_s.values())
    refusals_us = sorted(flooded.refusals_us)
    return {
        "other_kept": round(
            min(flooded.answered[urgency] / unflooded.answered[urgency] for urgency in others), 4
        ),
        "flooded_class_small_kept": round(flooded.answered[flood] / unflooded.answered[flood], 4),
        "small_p99_ratio": round(_p99(flooded.small_times_s) / _p99(unflooded.small_times_s), 3),
        "small_p99_ms": round(1e3 * _p99(flooded.small_times_s), 1),
        "jain": round(sum(slot_s) ** 2 / (ORGS * sum(time_s**2 for time_s in slot_s)), 4),
        "refuse_p99_us": round(refusals_us[int(len(refusals_us) * 0.99)], 1),
        "refused": len(refusals_us),
    }


def _p99(values: list[float]) -> float:
    return sorted(values)[int(len(values) * 0.99)]


def main() -> None:
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--class", dest="flood", choices=["low", "urgent"], default="low")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    result = measure(args.seed, model.Urgency(args.flood))
    print(json.dumps(result if args.json else {**result, "targets": TARGETS}))


if __name__ == "__main__":
    main()
