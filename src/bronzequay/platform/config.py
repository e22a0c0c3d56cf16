"""The operator's configuration, as it stands in the store."""

from __future__ import annotations

import msgspec

from bronzequay import codes, errors, ids
from bronzequay.core import model

KEY = "op/config"


class Route(msgspec.Struct, frozen=True):
    """Leads requests of one host and path prefix to a queue.

    :param is_public: no key is asked for
    """

    queue: ids.QueueId
    host: str
    prefix: str
    is_public: bool


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration.

    :param orgs_by_key: the organisation that each caller's key belongs to
    :param max_body_bytes: largest body of a request
    :param health_paths: path of each service's health check, where it has one
    :param spare_services: services whose machines are off
    """

    version: int
    routes: tuple[Route, ...]
    orgs_by_key: dict[str, ids.OrgId]
    rules: model.Rules
    max_body_bytes: int
    health_paths: dict[ids.ServiceId, str]
    spare_services: frozenset[ids.ServiceId]


class _Advice(msgspec.Struct, rename="camel"):
    decide_ms: float = 0
    each_ms: float = 0
    valid_ms: float = 0


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


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


def decode(value: bytes) -> Configuration:
    """Decode the value of the configuration's key.

    :raises errors.BronzequayError: BUNDLE_INVALID
    """
    try:
        wire = msgspec.json.decode(value, type=_Config)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise errors.BronzequayError(
            codes.ResultCode.BUNDLE_INVALID, f"unreadable configuration: {exc}"
        ) from exc
    queues = {ids.QueueId(each.name): _queue(each) for each in wire.routes}
    guaranteed = {ids.OrgId(each.name): each.guaranteed.gpu for each in wire.tenants}
    routes = (
        Route(ids.QueueId(each.name), each.host.lower(), each.prefix, each.public)
        for each in wire.routes
    )
    return Configuration(
        version=wire.version,
        routes=tuple(sorted(routes, key=lambda route: -len(route.prefix))),
        orgs_by_key={key: ids.OrgId(org.name) for org in wire.tenants for key in org.api_keys},
        rules=model.Rules(wire.version, queues, guaranteed),
        max_body_bytes=wire.limits.max_body_bytes,
        health_paths={
            ids.ServiceId(each.name): each.health_path for each in wire.services if each.health_path
        },
        spare_services=frozenset(ids.ServiceId(each.name) for each in wire.services if each.spare),
    )


def _queue(wire: _Route) -> model.Queue:
    return model.Queue(
        queue=ids.QueueId(wire.name),
        service=ids.ServiceId(wire.service),
        priority=wire.priority,
        attempts=max(1, wire.attempts),
        stretch=wire.stretch,
        latency_s=wire.target_latency_ms / 1000,
        requires_advice=wire.advice is not None,
    )


__all__ = ["KEY", "Configuration", "Route", "decode"]
