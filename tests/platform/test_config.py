"""The operator's configuration."""

from __future__ import annotations

import json

import hypothesis
import pytest
from hypothesis import strategies as st

from bronzequay import codes, errors, ids
from bronzequay.platform import config

WIRE = {
    "version": 7,
    "routes": [
        {"name": "long", "host": "H.example", "prefix": "/a/b/", "service": "s", "priority": 1,
         "attempts": 3, "stretch": 3.0, "targetLatencyMs": 250, "public": True},
        {"name": "short", "host": "h.example", "prefix": "/a/", "service": "s",
         "advice": {"decideMs": 5, "eachMs": 1, "validMs": 3000}},
    ],
    "services": [{"name": "s", "healthPath": "/health"}, {"name": "off", "spare": True}],
    "limits": {"maxBodyBytes": 1000},
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "guaranteed": {"gpu": 56}}],
}  # fmt: skip


def test_a_configuration_is_decoded() -> None:
    found = config.decode(json.dumps(WIRE).encode())
    assert found.version == found.rules.version == 7
    assert [route.prefix for route in found.routes] == ["/a/b/", "/a/"]
    assert (found.routes[0].host, found.routes[0].is_public) == ("h.example", True)
    assert found.orgs_by_key == {"k1": "t", "k2": "t"}
    assert found.rules.guaranteed_gpus == {"t": 56}
    assert found.rules.queues[ids.QueueId("long")].latency_s == 0.25
    assert found.rules.queues[ids.QueueId("short")].requires_advice
    assert found.health_paths == {"s": "/health"}
    assert found.spare_services == {"off"}
    assert found.max_body_bytes == 1000


@hypothesis.given(st.binary(max_size=60))
def test_an_unreadable_configuration_is_a_numbered_error(value: bytes) -> None:
    try:
        config.decode(value)
    except errors.BronzequayError as exc:
        assert exc.code is codes.ResultCode.BUNDLE_INVALID


def test_a_field_of_another_type_is_an_error() -> None:
    with pytest.raises(errors.BronzequayError):
        config.decode(json.dumps({**WIRE, "routes": 5}).encode())
