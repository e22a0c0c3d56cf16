"""Decoding of the operator's configuration, which the store holds under one key."""

from __future__ import annotations

import msgspec

from bronzequay import codec, codes, errors, ids
from bronzequay.core import model

KEY = "op/config"


class Route(msgspec.Struct, frozen=True):
    """Maps requests for one host and path prefix to a queue.

    :param is_public: whether requests are accepted without an API key
    """

    queue: ids.QueueId
    host: str
    prefix: str
    is_public: bool


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration.

    :param routes: longest prefix first
    :param orgs_by_key: the organisation that each caller's API key belongs to
    :param max_body_bytes: largest body of a request
    :param max_header_bytes: largest headers of a request
    :param header_timeout_s: time for which a request's headers may take to arrive
    :param health_paths: path of each service's health check, for the services that have one
    :param spare_services: services whose machines are switched off
    """

    version: int
    routes: tuple[Route, ...]
    orgs_by_key: dict[str, ids.OrgId]
    rules: model.Rules
    max_body_bytes: int
    max_header_bytes: int
    header_timeout_s: float
    health_paths: dict[ids.ServiceId, str]
    spare_services: frozenset[ids.ServiceId]


class _Advice(msgspec.Struct, rename="camel"):
    decide_ms: codec.Amount = 0
    each_ms: codec.Amount = 0
    valid_ms: codec.Amount = 0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0
    public: bool = False
    advice: _Advice | None = None


class _Service(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = ""
    spare: bool = False


class _Guaranteed(msgspec.Struct, frozen=True):
    gpu: int = 0


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    guaranteed: _Guaranteed = _Guaranteed()


class _Limits(msgspec.Struct, rename="camel", frozen=True):
    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384
    header_timeout_ms: float = 3000


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


def decode(value: bytes) -> Configuration:
    """Decode the value of the configuration's key.

    :raises errors.BronzequayError: BUNDLE_INVALID when it cannot be decoded
    """
    try:
        wire = codec.from_json(value, _Config)
    except msgspec.DecodeError as exc:
        raise errors.BronzequayError(
            codes.ResultCode.BUNDLE_INVALID, f"cannot decode the configuration: {exc}"
        ) from exc
    queues = {ids.QueueId(route.name): _decode_queue(route) for route in wire.routes}
    guaranteed = {ids.OrgId(org.name): org.guaranteed.gpu for org in wire.tenants}
    routes = (
        Route(ids.QueueId(route.name), route.host.lower(), route.prefix, route.public)
        for route in wire.routes
    )
    return Configuration(
        version=wire.version,
        routes=tuple(sorted(routes, key=lambda route: -len(route.prefix))),
        orgs_by_key={key: ids.OrgId(org.name) for org in wire.tenants for key in org.api_keys},
        rules=model.Rules(wire.version, queues, guaranteed),
        max_body_bytes=wire.limits.max_body_bytes,
        max_header_bytes=wire.limits.max_header_bytes,
        header_timeout_s=wire.limits.header_timeout_ms / 1000,
        health_paths={
            ids.ServiceId(service.name): service.health_path
            for service in wire.services
            if service.health_path
        },
        spare_services=frozenset(
            ids.ServiceId(service.name) for service in wire.services if service.spare
        ),
    )


def _decode_queue(wire: _Route) -> model.Queue:
    return model.Queue(
        queue=ids.QueueId(wire.name),
        service=ids.ServiceId(wire.service),
        priority=wire.priority,
        attempts=max(1, wire.attempts),
        stretch=wire.stretch,
        latency_s=wire.target_latency_ms / 1000,
        requires_advice=wire.advice is not None,
        advice_s=0.0 if wire.advice is None else wire.advice.decide_ms / 1000,
        advice_per_worker_s=0.0 if wire.advice is None else wire.advice.each_ms / 1000,
    )


__all__ = ["KEY", "Configuration", "Route", "decode"]
