"""Reading of the settings file that the platform writes for each process."""

from __future__ import annotations

import math
import os
import pathlib
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from bronzequay import codes, errors, ids
from bronzequay.net import address

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

T = TypeVar("T")

PATH_VARIABLE = "BRONZEQUAY_BOOT"


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that the platform passes to a process at its start.

    Settings that no component uses appear only in the state dump.

    :param instance: name of this machine
    :param data_centre: the data centre that it is in
    :param address: its IP address
    :param first_port: first port of the range that this process may listen on
    :param callers_address: ``IP:PORT`` on which to serve callers
    :param ready_address: ``IP:PORT`` on which to serve the load balancer's readiness checks
    :param store_address: ``IP:PORT`` of the key-value store
    :param machines_address: ``IP:PORT`` of the interface for orders to machines, empty when none
    :param advice_address: ``IP:PORT`` of the advice service, empty when there is none
    :param cores: processor share of this machine, in cores of the reference machine
    :param memory_mb: memory of this machine, in MB
    :param max_fds: limit on the file descriptors of this process, 0 when the file states none
    :param min_lease_s: shortest lease that the store grants
    :param max_value_bytes: largest value that the store accepts
    :param heartbeat_s: time between two heartbeats of an executor
    :param max_hold_s: longest lease on running tasks
    :param kill_grace_s: longest time that stopping a task takes
    :param gang_timeout_s: longest time that a gang's member waits for the others to start
    :param reclaim_s: time within which guaranteed work is to start
    :param cancel_s: time after the cancellation of a job from which none of its tasks starts
    :param drain_s: time after which a draining executor is to be sent no more start orders
    :param grace_s: time between SIGTERM and SIGKILL
    :param early_s: how long before its due time an occurrence may start
    :param status_s: shortest time for which the state of an ended job is kept
    :param config_s: time within which a configuration takes effect; infinity where the file states
        none, or 0
    :param evac_s: time within which an evacuation of a data centre takes effect; infinity where the
        file states none, or 0
    :param remote_factor: slow-down of a task that runs off its data's rack or is split over racks
    :param harm_s: how long a serving task may exceed its target response time
    :param pace_s: time until a change of pace takes effect
    :param notice_s: time at work that counts as available
    :param max_duties_per_s: limit on orders to machines per second, all instances together
    :param duty_lease_s: time for which another holder sends no orders to machines
    :param checks_epochs: whether orders to machines are checked against earlier epochs
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentreId
    address: str
    first_port: int
    callers_address: str
    ready_address: str
    store_address: str
    machines_address: str
    advice_address: str
    cores: float
    memory_mb: int
    max_fds: int
    min_lease_s: float
    max_value_bytes: int
    heartbeat_s: float
    max_hold_s: float
    kill_grace_s: float
    gang_timeout_s: float
    reclaim_s: float
    cancel_s: float
    drain_s: float
    grace_s: float
    early_s: float
    status_s: float
    config_s: float
    evac_s: float
    remote_factor: float
    harm_s: float
    pace_s: float
    notice_s: float
    max_duties_per_s: float
    checks_epochs: bool
    duty_lease_s: float


def load(environ: Mapping[str, str] = os.environ) -> Settings:
    """Read the settings file that the environment variable names.

    :raises errors.BronzequayError: SETTING_MISSING or SETTING_INVALID
    """
    path = environ.get(PATH_VARIABLE)
    if not path:
        raise errors.BronzequayError(
            codes.ResultCode.SETTING_MISSING,
            "must be set to the path of the settings file",
            field=PATH_VARIABLE,
        )
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise errors.BronzequayError(
            codes.ResultCode.SETTING_MISSING,
            f"cannot read the settings file: {exc}",
            field=PATH_VARIABLE,
        ) from exc
    return parse(text)


def parse(text: str) -> Settings:
    """Parse the file's lines of ``a.b=value``, ignoring unknown names.

    :raises errors.BronzequayError: SETTING_MISSING or SETTING_INVALID
    """
    values = dict(_pairs(text))
    get = _setting_getter(values)
    return Settings(
        instance=ids.InstanceId(get("node", str)),
        data_centre=ids.DataCentreId(get("zone", str)),
        address=get("ip", str),
        first_port=get("portRange", _first_port),
        callers_address=get("listen.front", _address),
        ready_address=get("listen.ready", _address),
        store_address=get("platform.addr", _address),
        machines_address=get("cloud.addr", _address_or_empty, ""),
        advice_address=get("advice", _address_or_empty, ""),
        # cpuShare is the share of one core that is limits.cores times as fast as the reference.
        cores=get("limits.cpuShare", float, "1") * get("limits.cores", float, "1"),
        memory_mb=get("limits.memoryMb", _not_negative, "256"),
        max_fds=get("limits.maxFds", _not_negative, "0"),
        min_lease_s=get("platform.ttlMinMs", _ms, "1000"),
        max_value_bytes=get("platform.valueBytes", int, "1048576"),
        heartbeat_s=get("heartbeatMs", _ms, "1500"),
        max_hold_s=get("bounds.holdMaxMs", _ms, "10000"),
        kill_grace_s=get("bounds.killGraceMs", _ms, "900"),
        gang_timeout_s=get("bounds.gangTimeoutMs", _ms, "3000"),
        reclaim_s=get("bounds.reclaimMs", _ms, "3400"),
        cancel_s=get("bounds.cancel_ms", _ms, "3000"),
        drain_s=get("bounds.drainMs", _ms, "2000"),
        grace_s=get("bounds.graceS", float, "6"),
        early_s=get("bounds.early_ms", _ms, "250"),
        status_s=get("bounds.status_s", float, "120"),
        config_s=get("bounds.configMs", _ms_or_unlimited, "0"),
        evac_s=get("bounds.evacMs", _ms_or_unlimited, "0"),
        remote_factor=get("bounds.remoteFactor", float, "3"),
        harm_s=get("bounds.harmMs", _ms, "4000"),
        pace_s=get("bounds.paceMs", _ms, "100"),
        notice_s=get("bounds.noticeMs", _ms, "4500"),
        max_duties_per_s=get("cloud.dutyPerS", float, "60"),
        checks_epochs=get("bounds.fencing", _boolean, "false"),
        duty_lease_s=get("bounds.leaseMs", _ms, "3000"),
    )


def _pairs(text: str) -> list[tuple[str, str]]:
    pairs = []
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not line.startswith("#"):
            pairs.append((name.strip(), value.strip()))
    return pairs


def _setting_getter(values: Mapping[str, str]) -> Callable[..., Any]:
    def get(name: str, parse_value: Callable[[str], T], default: str | None = None) -> T:
        raw = values.get(name, default)
        if raw is None:
            raise errors.BronzequayError(
                codes.ResultCode.SETTING_MISSING, "missing from the settings file", field=name
            )
        try:
            return parse_value(raw)
        except ValueError as exc:
            raise errors.BronzequayError(
                codes.ResultCode.SETTING_INVALID, f"{raw!r}: {exc}", field=name
            ) from None

    return get


def _address(value: str) -> str:
    address.parse(value)
    return value


def _address_or_empty(value: str) -> str:
    return _address(value) if value else ""


def _first_port(value: str) -> int:
    return int(value.partition(",")[0])


def _ms(value: str) -> float:
    return float(value) / 1000


def _ms_or_unlimited(value: str) -> float:
    """Convert a time limit to seconds; 0 stands for no limit."""
    limit_s = _ms(value)
    if not 0.0 <= limit_s < math.inf:
        raise ValueError("must be a time of 0 or more")
    return limit_s or math.inf


def _not_negative(value: str) -> int:
    if int(value) < 0:
        raise ValueError("must not be negative")
    return int(value)


def _boolean(value: str) -> bool:
    if value not in ("true", "false"):
        raise ValueError("must be true or false")
    return value == "true"


__all__ = ["PATH_VARIABLE", "Settings", "load", "parse"]
