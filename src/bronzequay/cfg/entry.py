"""Settings of ``bronzequay-entry``."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from bronzequay.cfg import flags, settings

if TYPE_CHECKING:
    from bronzequay import ids

MAX_SECONDS = 86_400.0

ResolvedSettings = dict[str, settings.ResolvedSetting]
"""Resolved settings by name."""

SETTINGS = (
    settings.Setting(
        name="instance",
        default=None,
        unit="",
        description="name of this instance, unique in the deployment",
        parse=settings.non_empty_text,
    ),
    settings.Setting(
        name="region",
        default="local",
        unit="",
        description="region, the partition whose jobs this instance schedules",
        parse=settings.non_empty_text,
    ),
    settings.Setting(
        name="data_centre",
        default="local",
        unit="",
        description="data centre of this instance",
        parse=settings.non_empty_text,
    ),
    settings.Setting(
        name="host",
        default="127.0.0.1",
        unit="",
        description="IP address to listen on",
        parse=settings.non_empty_text,
    ),
    settings.Setting(
        name="port",
        default="8080",
        unit="",
        description="TCP port for callers and operators; 0 selects a free port",
        parse=settings.integer(0, settings.MAX_PORT),
    ),
    settings.Setting(
        name="mesh_port",
        default="0",
        unit="",
        description="TCP port for the other instances; 0 selects a free port",
        parse=settings.integer(0, settings.MAX_PORT),
    ),
    settings.Setting(
        name="platform_url",
        default="http://127.0.0.1:7000",
        unit="",
        description="base URL of the platform's key-value service",
        parse=settings.url,
    ),
    settings.Setting(
        name="discovery_s",
        default="1",
        unit="s",
        description="interval between reads of the platform's list of instances",
        parse=settings.decimal(0.1, 60),
    ),
    settings.Setting(
        name="drain_timeout_s",
        default="60",
        unit="s",
        description="longest time for which a shutdown waits for requests in progress",
        parse=settings.decimal(0, MAX_SECONDS),
    ),
    settings.Setting(
        name="peers",
        default="",
        unit="",
        description="mesh addresses (tcp://IP:PORT) of instances known at start, comma-separated",
        parse=settings.any_text,
    ),
    settings.Setting(
        name="store_reads_per_s",
        default="250",
        unit="calls/s",
        description="this instance's budget of reads from the platform's service",
        parse=settings.decimal(1, 10_000),
    ),
    settings.Setting(
        name="store_writes_per_s",
        default="40",
        unit="calls/s",
        description="this instance's budget of writes to the platform's service",
        parse=settings.decimal(1, 10_000),
    ),
    settings.Setting(
        name="statsd_address",
        default="",
        unit="",
        description="IP address and port of the statsd daemon; empty sends no metrics",
        parse=settings.any_text,
    ),
    settings.LOG_LEVEL,
    settings.Setting(
        name="operator_tokens",
        default="",
        unit="",
        description="initial operators as NAME=ROLE:TOKEN, comma-separated; bundles add others",
        parse=settings.any_text,
        is_secret=True,
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryCfg:
    """Typed values of the settings in ``SETTINGS``."""

    instance: ids.InstanceId
    region: ids.RegionId
    data_centre: ids.DataCentreId
    host: str
    port: int
    mesh_port: int
    platform_url: str
    discovery_s: float
    drain_timeout_s: float
    peers: str
    store_reads_per_s: float
    store_writes_per_s: float
    statsd_address: str
    log_level: str
    operator_tokens: str


def load() -> tuple[EntryCfg, ResolvedSettings]:
    """Read the settings of this process.

    :return: the typed settings, and each setting with its origin
    :raises errors.BronzequayError: for an invalid, missing or unknown setting
    """
    return flags.load(
        EntryCfg,
        SETTINGS,
        program="bronzequay-entry",
        description="Entry instance: serves callers and operators, schedules jobs.",
    )


__all__ = ["SETTINGS", "EntryCfg", "ResolvedSettings", "load"]
