"""Answers and records from outside: each is decoded into a valid value or a declared error."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING, Any

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from bronzequay import errors, ids
from bronzequay.core import model
from bronzequay.net import client
from bronzequay.platform import advisory, config, executor_entries, kv, machines, workers
from tests.platform.mutations import damaged

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

TASK = "00ff00ff00ff00ff.0.1.17"
LISTING: dict[str, Any] = {
    "clockMs": 500,
    "born": 7,
    "running": [[TASK, 2, "0001", 41, 3.5], [TASK, 3, "", 0]],
    "ended": [[58, TASK, 1, "done", ""], [59, TASK, 2, "lapsed", "0002"]],
}
ITEM: dict[str, Any] = {"key": "k", "revision": 3, "value": "YWJj", "at": 4, "lease": 0}
RANGE: dict[str, Any] = {"items": [ITEM, ITEM], "at": 4, "hasMore": False}
EVENTS: dict[str, Any] = {
    "events": [ITEM, {"key": "k", "revision": 4, "deleted": True}],
    "at": 9,
}
GRANTED: dict[str, Any] = {"lease": 4, "ttlMs": 2000}
COMMITTED: dict[str, Any] = {"revision": 4}
CONFLICT: dict[str, Any] = {"items": [ITEM]}
ADVICE: dict[str, Any] = {"good": [["i-1", "t1"], ["i-2", "t2"]], "validMs": 4000}
WAVE: dict[str, Any] = {"wave": 1, "machines": ["m1", "m2"], "completeByS": 30, "cap": 1}
CONFIG: dict[str, Any] = {
    "version": 4,
    "routes": [
        {"name": "q", "host": "h", "prefix": "/q/", "service": "s", "priority": 1, "attempts": 3,
         "stretch": 2.0, "targetLatencyMs": 500, "advice": {"decideMs": 50, "eachMs": 1}}
    ],
    "services": [{"name": "s", "healthPath": "/health", "spare": False}],
    "tenants": [{"name": "one", "apiKeys": ["k"], "guaranteed": {"gpu": 8}}],
    "limits": {"maxBodyBytes": 1000},
}  # fmt: skip
STATUSES = st.sampled_from([200, 200, 200, 404, 409, 410, 412, 421, 429, 500, 503])


def call(ask: Callable[[], Coroutine[Any, Any, Any]], body: bytes, status: int = 200) -> Any:
    """Run a client's call whose answer is given, and return its result."""

    async def request(*_args: object, **_options: object) -> client.Response:
        return client.Response(status, {}, body)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client.Client, "request", request)
        coroutine = ask()
        with pytest.raises(StopIteration) as stopped:
            coroutine.send(None)
        return stopped.value.value


async def hold() -> workers.Reply:
    order_client = workers.OrderClient(ids.ExecutorId("i-1"), "10.0.0.1:80", ids.Epoch(3))
    return await order_client.hold(last_seen_end=0, deadline_ms=1.0, wait_s=0.0, timeout_s=1.0)


def check_encodable(value: object) -> None:
    msgspec.msgpack.encode(value)
    msgspec.json.encode(value)


@hypothesis.settings(max_examples=400, deadline=None)
@hypothesis.given(damaged(LISTING), STATUSES)
def test_every_answer_of_an_executor_is_a_valid_reply(body: bytes, status: int) -> None:
    """Guards against an executor whose listing ends the term that reads it."""
    reply = call(hold, body, status)
    check_encodable(reply)
    assert reply.clock_ms is None or 0 <= reply.clock_ms <= 2**53
    if reply.listing is not None:
        runs = (*reply.listing.running, *reply.listing.ended)
        assert all(min(run.key.occurrence, run.key.step, run.key.number) >= 0 for run in runs)
        assert all(0 <= run.run <= 2**53 for run in runs)


async def get() -> object:
    return await kv.Store("10.0.0.9:80").get("k")


async def read_range() -> object:
    return await kv.Store("10.0.0.9:80").page("p")


async def watch() -> object:
    return await kv.Store("10.0.0.9:80").watch("p", after=ids.Revision(1), wait_s=1.0)


async def grant() -> object:
    return await kv.Store("10.0.0.9:80").grant(2.0)


async def commit() -> object:
    return await kv.Store("10.0.0.9:80").txn(expect=[("k", ids.Revision(3))])


@pytest.mark.parametrize(
    ("ask", "valid"),
    [
        (get, ITEM),
        (read_range, RANGE),
        (watch, EVENTS),
        (grant, GRANTED),
        (commit, COMMITTED),
        (commit, CONFLICT),
    ],
)
async def test_every_answer_of_the_store_is_valid_or_an_error(
    ask: Callable[[], Coroutine[Any, Any, Any]], valid: dict[str, Any]
) -> None:
    """Guards against an answer of the store that ends a term or the process."""

    @hypothesis.settings(max_examples=150, deadline=None)
    @hypothesis.given(damaged(valid), STATUSES)
    def check(body: bytes, status: int) -> None:
        with contextlib.suppress(errors.BronzequayError):
            call(ask, body, status)

    check()


@pytest.mark.parametrize("value", ["=", "YWJ", "Y W J j", "\u4e00", "YWJj\n"])
async def test_a_value_that_is_not_base64_is_an_error(value: str) -> None:
    """Guards against a damaged value that ends the process through the configuration's watch."""
    with pytest.raises(errors.BronzequayError):
        call(get, json.dumps({**ITEM, "value": value}).encode())


async def request_tickets() -> object:
    worker = executor_entries.worker_id(ids.ExecutorId("i-1"), 1)
    query = model.AdviceQuery(model.StepKey(ids.JobId("j"), 0, 0), (worker,))
    return await advisory.AdviceClient("10.0.0.2:80").request_tickets(query, timeout_s=1.0)


@hypothesis.settings(deadline=None)
@hypothesis.given(damaged(ADVICE), STATUSES)
def test_every_answer_of_the_advice_service_is_valid_or_none(body: bytes, status: int) -> None:
    check_encodable(call(request_tickets, body, status))


async def begin_upkeep() -> machines.Outcome:
    machine_client = machines.MachineClient("10.0.0.3:80", ids.InstanceId("a"), ids.Epoch(1))
    return await machine_client.begin_upkeep(ids.MachineId("m"), 1, timeout_s=1.0)


@hypothesis.settings(deadline=None)
@hypothesis.given(damaged({"reason": "fence"}), STATUSES)
def test_every_answer_to_an_order_to_a_machine_has_an_outcome(body: bytes, status: int) -> None:
    assert isinstance(call(begin_upkeep, body, status), machines.Outcome)


@hypothesis.settings(deadline=None)
@hypothesis.given(damaged(WAVE))
def test_every_request_for_a_wave_is_valid_or_none(value: bytes) -> None:
    check_encodable(machines.decode_wave(value))


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(damaged(CONFIG))
def test_every_configuration_is_valid_or_an_error(value: bytes) -> None:
    with contextlib.suppress(errors.BronzequayError):
        config.decode(value)
