"""Jobs of extreme sizes and times: each is either rejected or can be scheduled and stored."""

from __future__ import annotations

import contextlib
import json
import time
from typing import Any

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from bronzequay import errors, ids
from bronzequay.core import explain, lifecycle, model, records
from bronzequay.platform import ingress
from tests.core import world
from tests.core.test_schedule import build_state, confirm_starts, run_pass

NOW_S = 1.8e9
MAX_DECISION_S = 5.0
AMOUNTS = st.sampled_from([0, 1, 7, 10_000, 2**31, 2**53, 2**63, 2**64, 10**30, -1])
TIMES_MS = st.sampled_from([0, 1, 1e3, 1.8e12, 1e17, 1e300, 1e308, -1, -1e308])
STEPS = st.fixed_dictionaries(
    {},
    optional={
        "count": st.sampled_from([1, 2, 64, 10_000, 10**9, 10**30]),
        **dict.fromkeys(("cpu", "memMb", "gpu", "antiAffinity", "mayMiss"), AMOUNTS),
        **dict.fromkeys(("estimateMs", "targetMs"), TIMES_MS),
        **{
            name: st.booleans()
            for name in ("gang", "sameRack", "fills", "longRunning", "savesProgress", "speculative")
        },
        "after": st.lists(st.sampled_from([0, 1, -1, 2**63]), max_size=2),
    },
)
JOBS = st.fixed_dictionaries(
    {"steps": st.lists(STEPS, min_size=1, max_size=2)},
    optional={
        "times": st.sampled_from([0, 1, 3, 10_000, 10**9, 10**30, -1]),
        "initialDelayMs": TIMES_MS,
        "intervalMs": TIMES_MS,
    },
)


def decode(body: dict[str, Any]) -> model.JobSpec:
    return ingress.decode_job(
        json.dumps(body).encode(),
        job=ids.JobId("a" * 16),
        queue=ids.QueueId("q1"),
        org=ids.OrgId("big"),
        version=1,
        accepted_s=NOW_S,
    )


def schedule(spec: model.JobSpec) -> None:
    """Take up a job, start what fits, explain it, and store and restore its progress."""
    state = build_state(4)
    state.wall_s = NOW_S
    lifecycle.accept(state, spec)
    for now_s in (0.0, 1.0):
        state.wall_s = NOW_S + now_s
        confirm_starts(state, run_pass(state, now_s))
    explain.why(state, spec.job)
    stored = msgspec.msgpack.decode(msgspec.msgpack.encode(spec), type=model.JobSpec)
    records.restore(world.new_state(), stored, records.encode(state.jobs[spec.job]))


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(JOBS)
def test_every_accepted_job_can_be_scheduled_and_stored(body: dict[str, Any]) -> None:
    """Guards against a job that ends the term of one scheduler after the other."""
    began_s = time.process_time()
    with contextlib.suppress(errors.BronzequayError):
        schedule(decode(body))
    assert time.process_time() - began_s < MAX_DECISION_S


@pytest.mark.parametrize(
    "body",
    [
        {"steps": [{}], "times": 10**9},
        {"steps": [{"count": 5000}], "times": 11},
        {"steps": [{}], "times": 2, "intervalMs": -1},
        {"steps": [{"cpu": 2**64}]},
    ],
)
def test_a_job_that_cannot_be_kept_is_rejected(body: dict[str, Any]) -> None:
    """Guards against occurrences whose progress no store value can hold."""
    with pytest.raises(errors.BronzequayError):
        decode(body)
