"""Compares the results of callers with the runs on fake executors under random faults.

A result that says "not run" after a run, or a second run of a non-idempotent request, is a
failure: a caller would repeat or lose work. Faults occur on the network, at the executors and
in the store.
"""

from __future__ import annotations

import base64
import collections
import dataclasses
import enum
import json
import math
from typing import TYPE_CHECKING

import httpx
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzequay import codes, errors, ids
from bronzequay.fakes import executor as fake
from bronzequay.fakes import serve
from bronzequay.route import model, router
from bronzequay.work import executor as adapter
from tests.route import fleet as fleets

if TYPE_CHECKING:
    from collections.abc import Sequence

INSTANCES = 3
NOT_RUN_CODES = codes.ResultCode.QUEUE_FULL // 100


class Action(enum.Enum):
    """What the network does to one call."""

    DELIVER = "deliver"
    LATE = "late"
    NO_CONNECTION = "no_connection"
    DROP_REQUEST = "drop_request"
    DROP_ANSWER = "drop_answer"
    SILENT = "silent"
    SILENT_AFTER = "silent_after"
    ANSWER_OF_ANOTHER = "answer_of_another"


class Network(httpx.AsyncBaseTransport):
    """Transport to the fake executors that applies one action to each run."""

    def __init__(self, inner: httpx.AsyncBaseTransport, actions: Sequence[Action]) -> None:
        self.inner = inner
        self.actions = collections.deque(actions)
        self.earlier: list[httpx.Response] = []

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        is_run = request.url.path.endswith("/v1/run")
        action = self.actions.popleft() if is_run and self.actions else Action.DELIVER
        if action is Action.NO_CONNECTION:
            raise httpx.ConnectError("injected fault")
        if action is Action.DROP_REQUEST:
            raise httpx.ReadError("injected fault")
        if action is Action.SILENT:
            await trio.sleep_forever()
        answer = await self.inner.handle_async_request(request)
        complete = httpx.Response(
            answer.status_code, headers=answer.headers, content=await answer.aread()
        )
        if not is_run:
            return complete
        self.earlier.append(complete)
        if action is Action.DROP_ANSWER:
            raise httpx.ReadError("injected fault")
        if action is Action.SILENT_AFTER:
            await trio.sleep_forever()
        if action is Action.LATE:
            await trio.sleep(0.7)
        if action is Action.ANSWER_OF_ANOTHER:
            return self.earlier[0]
        return complete


@dataclasses.dataclass
class Plan:
    """One request of a caller."""

    instance: int
    key: int | None
    idempotent: bool
    after_s: float
    deadline_s: float
    cancel_s: float


@dataclasses.dataclass
class Case:
    """Requests and the faults that they meet."""

    actions: list[Action]
    faults: list[fake.Faults]
    plans: list[Plan]
    lost_writes: int
    late_s: float
    down_at_s: float


plans = st.builds(
    Plan,
    instance=st.integers(0, INSTANCES - 1),
    key=st.one_of(st.none(), st.integers(0, 2)),
    idempotent=st.booleans(),
    after_s=st.sampled_from([0.0, 0.0, 0.05, 0.3, 1.0]),
    deadline_s=st.sampled_from([0.05, 1.0, 5.0]),
    cancel_s=st.sampled_from([math.inf, math.inf, math.inf, 0.01, 0.2]),
)
fault_switches = st.builds(
    fake.Faults,
    fail=st.booleans(),
    refuse=st.booleans(),
    silent=st.sampled_from([False, False, True]),
    delay_s=st.sampled_from([0.0, 0.02, 0.4]),
    leaving=st.sampled_from([False, False, True]),
)
cases = st.builds(
    Case,
    actions=st.lists(st.sampled_from(list(Action)), max_size=20),
    faults=st.lists(st.one_of(st.just(fake.Faults()), fault_switches), min_size=3, max_size=3),
    plans=st.lists(plans, min_size=1, max_size=16),
    lost_writes=st.integers(0, 3),
    late_s=st.sampled_from([0.0, 0.5]),
    down_at_s=st.sampled_from([math.inf, 0.0, 0.2]),
)


class World:
    """Three instances, three executors and a store."""

    def __init__(self, case: Case) -> None:
        self.case = case
        names = [ids.ExecutorId(f"x{number}") for number in range(len(case.faults))]
        self.fleet = fake.Fleet(names)
        for name, faults in zip(names, case.faults, strict=True):
            self.fleet.executors[name].faults = faults
        app = fake.make_app(
            names, service=fleets.SERVICE, data_centre=fleets.DATA_CENTRE, fleet=self.fleet
        )
        network = Network(serve.LocalTransport(app), case.actions)
        client = adapter.ExecutorClient(http=httpx.AsyncClient(transport=network))
        self.store = fleets.MemoryStore()
        self.routers = [self._make_router(client, names, n) for n in range(INSTANCES)]
        self.results: dict[int, model.Response | errors.BronzequayError | None] = {}

    def _make_router(
        self, client: adapter.ExecutorClient, names: Sequence[ids.ExecutorId], number: int
    ) -> router.Router:
        new_router = router.Router(
            service=fleets.SERVICE,
            client=client,
            claims=fleets.make_claims(self.store, f"i{number}"),
            instances=lambda: INSTANCES,
        )
        new_router.set_executors(
            [model.Executor(name, f"http://fake/e/{name}", fleets.DATA_CENTRE) for name in names]
        )
        return new_router

    async def run(self) -> None:
        async with trio.open_nursery() as background:
            for instance in self.routers:
                background.start_soon(instance.run)
            background.start_soon(self._break_store)
            async with trio.open_nursery() as nursery:
                for number, plan in enumerate(self.case.plans):
                    await trio.sleep(plan.after_s)
                    nursery.start_soon(self._send, number, plan)
            for instance in self.routers:
                with trio.fail_after(60):
                    await instance.drain()
            background.cancel_scope.cancel()

    async def _break_store(self) -> None:
        self.store.lost_writes = self.case.lost_writes
        self.store.delayed_write_s = self.case.late_s
        if self.case.down_at_s < math.inf:
            await trio.sleep(self.case.down_at_s)
            self.store.is_down = True
            await trio.sleep(2)
            self.store.is_down = False

    async def _send(self, number: int, plan: Plan) -> None:
        self.results[number] = None
        with trio.move_on_after(plan.cancel_s):
            try:
                answer = await self.routers[plan.instance].send(request_of(number, plan))
            except errors.BronzequayError as exc:
                self.results[number] = exc
            else:
                self.results[number] = answer


def request_of(number: int, plan: Plan) -> model.Request:
    key = None if plan.key is None else f"k{plan.key}"
    return fleets.make_request(
        number,
        idempotent=plan.idempotent,
        key=key,
        deadline_s=plan.deadline_s,
        body=f"body {number}".encode() if key is None else key.encode(),
    )


def check(world: World) -> None:
    runs = world.fleet.runs
    runs_by_key: collections.Counter[int] = collections.Counter()
    for number, plan in enumerate(world.case.plans):
        ran = runs[f"r{number}"]
        if plan.key is not None:
            runs_by_key[plan.key] += ran
        elif not plan.idempotent:
            assert ran <= 1, "a non-idempotent request ran twice"
        result = world.results[number]
        if isinstance(result, model.Response):
            check_answer(number, plan, result)
        elif result is not None and result.code // 100 == NOT_RUN_CODES:
            assert ran == 0, f"reported as not run ({result}), but ran {ran} times"
    assert all(count <= 1 for count in runs_by_key.values()), "requests with the same key ran twice"


def check_answer(number: int, plan: Plan, answer: model.Response) -> None:
    complete = json.loads(answer.body)
    assert answer.request_id == f"r{number}"
    assert base64.b64decode(complete["echo_b64"]) == request_of(number, plan).body
    assert complete["executor"] == answer.executor
    if plan.key is None:
        assert complete["request"] == f"r{number}"


async def run_case(case: Case) -> None:
    world = World(case)
    await world.run()
    check(world)


@settings(max_examples=120, derandomize=True, deadline=None)
@given(cases)
def test_callers_get_their_own_answer_or_a_true_error(case: Case) -> None:
    trio.run(run_case, case, clock=trio.testing.MockClock(autojump_threshold=0))
