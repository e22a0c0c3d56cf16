"""Decoding of submitted jobs and encoding of response bodies."""

from __future__ import annotations

import json
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from bronzequay import codes, errors, ids
from bronzequay.core import model
from bronzequay.platform import ingress


def decode(body: bytes) -> model.JobSpec:
    return ingress.decode_job(
        body,
        job=ids.JobId("0" * 16),
        queue=ids.QueueId("q"),
        org=ids.OrgId("o"),
        version=7,
        accepted_s=5.0,
    )


def test_every_field_of_a_submitted_job_is_decoded() -> None:
    wire = {
        "spec": "text",
        "times": 3,
        "initialDelayMs": 1_700_000_000_500,
        "intervalMs": 2000,
        "steps": [
            {"count": 2, "cpu": 500, "memMb": 256, "gpu": 1, "estimateMs": 900, "affinity": "r1"},
            {
                "count": 4,
                "after": [0],
                "gang": True,
                "sameRack": True,
                "savesProgress": True,
                "requires": "a",
                "antiAffinity": 2,
                "speculative": True,
                "longRunning": True,
                "image": "i",
                "targetMs": 40,
                "fills": True,
                "mayMiss": 1,
                "new": 1,
            },
        ],
    }
    spec = decode(json.dumps(wire).encode())
    assert (spec.payload, spec.times, spec.first_due_s) == ("text", 3, 1_700_000_000.5)
    assert spec.interval_s == 2.0
    assert spec.steps[0] == model.Step(
        count=2, need=model.Resources(500, 256, 1), estimate_s=0.9, data_rack="r1"
    )
    assert spec.steps[1] == model.Step(
        count=4,
        after=(0,),
        is_gang=True,
        same_rack=True,
        saves_progress=True,
        label="a",
        max_per_worker=2,
        is_speculative=True,
        is_endless=True,
        image="i",
        target_s=0.04,
        is_filler=True,
        may_miss=1,
    )


@pytest.mark.parametrize(
    ("wire", "field"),
    [
        ({"steps": []}, "steps"),
        ({"steps": [{"count": 0}]}, "steps[0].count"),
        ({"steps": [{"cpu": -1}]}, "steps[0]"),
        ({"steps": [{"after": [0]}]}, "steps[0].after"),
        ({"steps": [{}, {"after": [1]}]}, "steps[1].after"),
        ({"steps": [{"count": 10_001}]}, "steps"),
        ({"steps": [{}], "times": -1}, "times"),
    ],
)
def test_an_error_names_the_field_that_is_out_of_range(wire: dict[str, Any], field: str) -> None:
    with pytest.raises(errors.BronzequayError) as raised:
        decode(json.dumps(wire).encode())
    assert raised.value.code is codes.ResultCode.VALUE_OUT_OF_RANGE
    assert raised.value.field == field


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["steps", "count", "cpu", "after", "spec", "times", "gang"]), inner
        )
    ),
    max_leaves=12,
)


@hypothesis.given(st.binary(max_size=40) | JSON.map(lambda value: json.dumps(value).encode()))
def test_arbitrary_bodies_decode_to_a_job_or_raise_a_numbered_error(body: bytes) -> None:
    try:
        spec = decode(body)
    except errors.BronzequayError as exc:
        assert exc.code in (
            codes.ResultCode.MALFORMED_BODY,
            codes.ResultCode.VALUE_OUT_OF_RANGE,
        )
    else:
        assert spec.steps


def test_response_bodies_are_encoded() -> None:
    assert json.loads(ingress.encode_state(model.JobState.RUNNING)) == {"state": "running"}
    assert json.loads(ingress.encode_waiting(3)) == {"waiting": 3}


@pytest.mark.parametrize(
    ("text", "is_id"), [("0123456789abcdef", True), ("0123456789ABCDEF", False), ("12", False)]
)
def test_job_ids_have_sixteen_lower_case_hexadecimal_digits(text: str, is_id: bool) -> None:
    assert ingress.is_job_id(text) is is_id
