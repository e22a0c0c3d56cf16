"""The operator's requests for machine upkeep (waves), and the client that starts the upkeep."""

from __future__ import annotations

import enum

import msgspec

from bronzequay import codec, figures, ids
from bronzequay.net import client

WAVES = "op/wave/"


class WaveRequest(msgspec.Struct, frozen=True):
    """The operator's request for the upkeep of a group of machines, a wave.

    :param time_limit_s: seconds within which the upkeep of all machines is to be done
    :param max_down: machines that may be down for upkeep at the same time
    """

    number: int
    machines: tuple[ids.MachineId, ...]
    time_limit_s: float
    max_down: int


class Outcome(enum.Enum):
    """Known outcome of an order to a machine."""

    OK = "ok"
    STALE_EPOCH = "stale_epoch"
    BUSY = "busy"
    REFUSED = "refused"
    UNKNOWN = "unknown"


_OUTCOMES = {
    (200, ""): Outcome.OK,
    (409, "fence"): Outcome.STALE_EPOCH,
    (409, "busy"): Outcome.BUSY,
    (409, "wave"): Outcome.REFUSED,
    (400, ""): Outcome.REFUSED,
}


class _Wave(msgspec.Struct, rename="camel"):
    wave: codec.Count
    machines: list[str]
    complete_by_s: codec.Amount
    cap: codec.Count = 1


class _Status(msgspec.Struct):
    wave: int
    state: str


class _Answer(msgspec.Struct):
    reason: str = ""


def decode_wave(value: bytes) -> WaveRequest | None:
    """Decode the operator's request; None when it is malformed."""
    try:
        wire = codec.from_json(value, _Wave)
    except msgspec.DecodeError:
        return None
    machines = tuple(map(ids.MachineId, wire.machines))
    return WaveRequest(wire.wave, machines, wire.complete_by_s, wire.cap)


def status_key(number: int) -> str:
    """Return the key under which the operator reads a wave's progress."""
    return f"status/wave/{number}"


def encode_status(number: int, *, is_done: bool) -> bytes:
    """Encode a wave's progress."""
    return msgspec.json.encode(_Status(number, "completed" if is_done else "running"))


class MachineClient:
    """Client of the platform's interface to machines, for one epoch.

    :param address: ``IP:PORT`` of the platform's interface
    :param holder: the instance that sends the orders
    :param epoch: fencing token of the scheduler's term
    """

    def __init__(self, address: str, holder: ids.InstanceId, epoch: ids.Epoch) -> None:
        self._http = client.Client(address, max_response_bytes=client.MAX_SHORT_RESPONSE_BYTES)
        self._headers = {"Duty-Holder": holder, "Fencing-Token": str(epoch)}

    async def begin_upkeep(self, machine: ids.MachineId, wave: int, *, timeout_s: float) -> Outcome:
        """Take a machine down for its upkeep, which ends every task that runs on it."""
        body = msgspec.json.encode({"machine": machine, "wave": wave})
        try:
            resp = await self._http.request(
                "POST", "/machine-upkeep", body=body, headers=self._headers, timeout_s=timeout_s
            )
        except client.NotSentError:
            outcome = Outcome.BUSY
        except client.NoResponseError:
            outcome = Outcome.UNKNOWN
        else:
            outcome = _OUTCOMES.get((resp.status, _reason(resp)), Outcome.BUSY)
        figures.count(f'machine_calls{{call="upkeep",outcome="{outcome.value}"}}')
        return outcome


def _reason(resp: client.Response) -> str:
    if resp.status != 409 or not resp.body:  # noqa: PLR2004
        return ""
    try:
        return codec.from_json(resp.body, _Answer).reason
    except msgspec.DecodeError:
        return ""


__all__ = [
    "WAVES",
    "MachineClient",
    "Outcome",
    "WaveRequest",
    "decode_wave",
    "encode_status",
    "status_key",
]
