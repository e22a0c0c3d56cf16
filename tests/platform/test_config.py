"""Decoding of the operator's configuration."""

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


def test_every_field_of_a_configuration_is_decoded() -> None:
    configuration = config.decode(json.dumps(WIRE).encode())
    assert configuration.version == configuration.rules.version == 7
    assert [route.prefix for route in configuration.routes] == ["/a/b/", "/a/"]
    assert (configuration.routes[0].host, configuration.routes[0].is_public) == ("h.example", True)
    assert configuration.orgs_by_key == {"k1": "t", "k2": "t"}
    assert configuration.rules.guaranteed_gpus == {"t": 56}
    assert configuration.rules.queues[ids.QueueId("long")].latency_s == 0.25
    assert configuration.rules.queues[ids.QueueId("short")].requires_advice
    assert configuration.health_paths == {"s": "/health"}
    assert configuration.spare_services == {"off"}
    assert configuration.max_body_bytes == 1000


@hypothesis.given(st.binary(max_size=60))
def test_decoding_arbitrary_bytes_raises_only_a_numbered_error(value: bytes) -> None:
    try:
        config.decode(value)
    except errors.BronzequayError as exc:
        assert exc.code is codes.ResultCode.BUNDLE_INVALID


def test_a_field_of_the_wrong_type_is_an_error() -> None:
    with pytest.raises(errors.BronzequayError):
        config.decode(json.dumps({**WIRE, "routes": 5}).encode())
