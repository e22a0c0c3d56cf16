"""Decoding of executors' entries and of the answers to orders."""

from __future__ import annotations

import json
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from bronzequay import ids
from bronzequay.core import model
from bronzequay.net import client
from bronzequay.platform import executor_entries, workers

ENTRY = {
    "service": "s",
    "addr": "10.0.0.1:80",
    "state": "draining",
    "capacity": {"cpu": 32000, "memMb": 1000, "gpu": 8},
    "labels": ["a", "r1-2"],
    "born": 5,
    "machine": "m-1",
    "remainingMs": 1500,
}
TASK = "00ff00ff00ff00ff.0.1.17"
KEY = model.TaskKey(ids.JobId("00ff00ff00ff00ff"), 0, 1, 17)


def test_an_entry_is_decoded() -> None:
    entry = executor_entries.decode("servers/i-1", json.dumps(ENTRY).encode())
    assert entry is not None
    assert entry.spec == model.WorkerSpec(
        worker=ids.WorkerId("i-1@5"),
        service=ids.ServiceId("s"),
        capacity=model.Resources(32000, 1000, 8),
        labels=("a", "r1-2"),
        rack="r1-2",
        machine=ids.MachineId("m-1"),
        started_s=0.005,
    )
    assert (entry.is_draining, entry.remaining_s) == (True, 1.5)
    assert executor_entries.executor_of(entry.spec.worker) == "i-1"


@pytest.mark.parametrize(
    "change",
    [{"state": "odd"}, {"addr": "nowhere"}, {"capacity": None}, {"labels": 3}, {"service": 1}],
)
def test_a_malformed_entry_is_decoded_to_none(change: dict[str, Any]) -> None:
    assert executor_entries.decode("servers/x", json.dumps({**ENTRY, **change}).encode()) is None


@hypothesis.given(st.binary(max_size=60))
def test_arbitrary_bytes_are_decoded_to_none(value: bytes) -> None:
    assert executor_entries.decode("servers/x", value) is None


def test_task_names_are_encoded_and_decoded() -> None:
    assert workers.task_name(KEY) == TASK
    assert workers.decode_task(TASK) == KEY


async def reply_to(
    monkeypatch: pytest.MonkeyPatch, answer: client.Response | Exception
) -> workers.Reply:
    async def request(*_args: object, **_options: object) -> client.Response:
        if isinstance(answer, Exception):
            raise answer
        return answer

    monkeypatch.setattr(client.Client, "request", request)
    order_client = workers.OrderClient(ids.ExecutorId("i-1"), "10.0.0.1:80", ids.Epoch(3))
    return await order_client.hold(last_seen_end=0, deadline_ms=1.0, wait_s=0.0, timeout_s=1.0)


def answer(status: int, body: dict[str, Any] | None = None) -> client.Response:
    return client.Response(status, {}, b"" if body is None else json.dumps(body).encode())


@pytest.mark.parametrize(
    ("received", "outcome"),
    [
        (answer(409, {"reason": "fence"}), workers.Outcome.STALE_EPOCH),
        (answer(409, {"reason": "old"}), workers.Outcome.STALE_RUN),
        (answer(409, {"reason": "late"}), workers.Outcome.LATE),
        (answer(409, {"reason": "room"}), workers.Outcome.NO_ROOM),
        (answer(409, {"reason": "ticket"}), workers.Outcome.NO_TICKET),
        (answer(409, {"reason": "new"}), workers.Outcome.REFUSED),
        (answer(421), workers.Outcome.OTHER_INCARNATION),
        (answer(503), workers.Outcome.REFUSED),
        (answer(500), workers.Outcome.UNKNOWN),
        (client.Response(200, {}, b"{"), workers.Outcome.UNKNOWN),
        (answer(200, {"clockMs": 5, "ended": [["x"]]}), workers.Outcome.UNKNOWN),
        (client.NotSentError(), workers.Outcome.NOT_SENT),
        (client.NoResponseError(), workers.Outcome.UNKNOWN),
    ],
)
async def test_answers_are_mapped_to_outcomes(
    monkeypatch: pytest.MonkeyPatch,
    received: client.Response | Exception,
    outcome: workers.Outcome,
) -> None:
    assert (await reply_to(monkeypatch, received)).outcome is outcome


async def test_a_listing_is_decoded(monkeypatch: pytest.MonkeyPatch) -> None:
    body = {
        "clockMs": 500,
        "born": 7,
        "running": [[TASK, 2, "0001", 41, 3.5], [TASK, 3, "", 0]],
        "ended": [[58, TASK, 1, "done", ""], [59, TASK, 2, "lapsed", "0002"]],
    }
    listing = (await reply_to(monkeypatch, answer(200, body))).listing
    assert listing is not None
    assert (listing.clock_ms, listing.started_ms) == (500, 7)
    assert listing.running[0] == workers.ActiveRun(KEY, 2, "0001", 41.0, 3.5)
    assert listing.running[1].load == 0.0
    assert listing.ended[1] == workers.EndedRun(59, KEY, 2, model.End.LAPSED, "0002")
