"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
import pathlib
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from bronzequay import codes, errors, ids

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

T = TypeVar("T")

PATH_VARIABLE = "BRONZEQUAY_BOOT"


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """What the platform tells a process at its start.

    :param instance: name of this machine
    :param data_centre: where it stands
    :param address: its IP number
    :param first_port: first of the ports that are free for our own use
    :param callers_address: ``IP:PORT`` for callers
    :param ready_address: ``IP:PORT`` that the balancer asks
    :param store_address: ``IP:PORT`` of the key-value store
    :param machines_address: ``IP:PORT`` of the machines' interface, empty when there is none
    :param advice_address: ``IP:PORT`` of the advice service, empty when there is none
    :param cores: processor share of this machine, in cores
    :param min_lease_s: shortest lease that the store grants
    :param max_value_bytes: largest value that the store takes
    :param heartbeat_s: time between two reports of an executor
    :param max_hold_s: longest lease on running tasks
    :param kill_grace_s: longest time that a stop takes
    :param gang_timeout_s: longest time that a member waits for the others
    :param reclaim_s: time within which guaranteed work is to begin
    :param drain_s: time after which a draining executor is to get no start
    :param grace_s: time between SIGTERM and SIGKILL
    :param early_s: how long before its time an occurrence may start
    :param status_s: how long an ended job's state is kept at least
    :param remote_factor: how many times slower work is away from its data or split over racks
    :param harm_s: how long a serving task may be over its target
    :param pace_s: time until a pace takes effect
    :param notice_s: time at work that counts as available
    :param max_duties_per_s: limit on orders for machines, all instances together
    :param duty_lease_s: time for which another holder gives no orders for machines
    :param checks_epochs: whether orders for machines are checked against earlier epochs
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
    min_lease_s: float
    max_value_bytes: int
    heartbeat_s: float
    max_hold_s: float
    kill_grace_s: float
    gang_timeout_s: float
    reclaim_s: float
    drain_s: float
    grace_s: float
    early_s: float
    status_s: float
    remote_factor: float
    harm_s: float
    pace_s: float
    notice_s: float
    max_duties_per_s: float
    checks_epochs: bool
    duty_lease_s: float


def load(environ: Mapping[str, str] = os.environ) -> Settings:
    """Read the file that the environment names.

    :raises errors.BronzequayError: SETTING_MISSING or SETTING_INVALID
    """
    path = environ.get(PATH_VARIABLE)
    if not path:
        raise errors.BronzequayError(
            codes.ResultCode.SETTING_MISSING, "names the settings file", field=PATH_VARIABLE
        )
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise errors.BronzequayError(
            codes.ResultCode.SETTING_MISSING, f"cannot be read: {exc}", field=PATH_VARIABLE
        ) from exc
    return parse(text)


def parse(text: str) -> Settings:
    """Decode the file's lines of ``a.b=value``; unknown names are left out.

    :raises errors.BronzequayError: SETTING_MISSING or SETTING_INVALID
    """
    values = dict(_pairs(text))
    get = _reader(values)
    return Settings(
        instance=ids.InstanceId(get("node", str)),
        data_centre=ids.DataCentreId(get("zone", str)),
        address=get("ip", str),
        first_port=get("portRange", _first_port),
        callers_address=get("listen.front", _address),
        ready_address=get("listen.ready", _address),
        store_address=get("platform.addr", _address),
        machines_address=get("cloud.addr", str, ""),
        advice_address=get("advice", str, ""),
        # The share is of one core that runs `cores` times as fast as the reference.
        cores=get("limits.cpuShare", float, "1") * get("limits.cores", float, "1"),
        min_lease_s=get("platform.ttlMinMs", _ms, "1000"),
        max_value_bytes=get("platform.valueBytes", int, "1048576"),
        heartbeat_s=get("heartbeatMs", _ms, "1500"),
        max_hold_s=get("bounds.holdMaxMs", _ms, "10000"),
        kill_grace_s=get("bounds.killGraceMs", _ms, "900"),
        gang_timeout_s=get("bounds.gangTimeoutMs", _ms, "3000"),
        reclaim_s=get("bounds.reclaimMs", _ms, "3400"),
        drain_s=get("bounds.drainMs", _ms, "2000"),
        grace_s=get("bounds.graceS", float, "6"),
        early_s=get("bounds.early_ms", _ms, "250"),
        status_s=get("bounds.status_s", float, "120"),
        remote_factor=get("bounds.remoteFactor", float, "3"),
        harm_s=get("bounds.harmMs", _ms, "4000"),
        pace_s=get("bounds.paceMs", _ms, "100"),
        notice_s=get("bounds.noticeMs", _ms, "4500"),
        max_duties_per_s=get("cloud.dutyPerS", float, "60"),
        checks_epochs=get("bounds.fencing", _flag, "false"),
        duty_lease_s=get("bounds.leaseMs", _ms, "3000"),
    )


def _pairs(text: str) -> list[tuple[str, str]]:
    found = []
    for line in text.splitlines():
        name, mark, value = line.partition("=")
        if mark and not line.startswith("#"):
            found.append((name.strip(), value.strip()))
    return found


def _reader(values: Mapping[str, str]) -> Callable[..., Any]:
    def get(name: str, parse_value: Callable[[str], T], default: str | None = None) -> T:
        raw = values.get(name, default)
        if raw is None:
            raise errors.BronzequayError(
                codes.ResultCode.SETTING_MISSING, "the settings file has no such line", field=name
            )
        try:
            return parse_value(raw)
        except ValueError as exc:
            raise errors.BronzequayError(
                codes.ResultCode.SETTING_INVALID, f"{raw!r}: {exc}", field=name
            ) from None

    return get


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError("must be IP:PORT")
    return value


def _first_port(value: str) -> int:
    return int(value.partition(",")[0])


def _ms(value: str) -> float:
    return float(value) / 1000


def _flag(value: str) -> bool:
    if value not in ("true", "false"):
        raise ValueError("must be true or false")
    return value == "true"


__all__ = ["PATH_VARIABLE", "Settings", "load", "parse"]
