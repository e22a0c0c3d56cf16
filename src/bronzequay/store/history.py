"""The last few write ids of a key, kept in front of its value.

A writer that lost its answer finds out from them whether its write took effect, also
after others have written the key since.
"""

from __future__ import annotations

import enum
import secrets
import struct
from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids

if TYPE_CHECKING:
    from collections.abc import Sequence

MAGIC = b"\xc1bq1"
KEPT_STEPS = 8
MAX_HEADER_BYTES = 512
WRITE_ID_BYTES = 8

_LENGTH = struct.Struct(">H")
_START = len(MAGIC) + _LENGTH.size


class Step(msgspec.Struct, array_like=True, frozen=True):
    """One write of a key.

    :param write: its id
    :param base: the revision that it replaced; 0 when the key was absent
    """

    write: ids.WriteId
    base: ids.Revision


class Verdict(enum.Enum):
    """What a key's present value tells about an earlier write."""

    HAPPENED = enum.auto()
    LOST_RACE = enum.auto()
    OPEN = enum.auto()
    UNKNOWN = enum.auto()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[Step, ...])


def new_step(base: ids.Revision) -> Step:
    """Make a step with a fresh write id."""
    return Step(write=ids.WriteId(secrets.token_urlsafe(WRITE_ID_BYTES)), base=base)


def encode(steps: Sequence[Step], value: bytes) -> bytes:
    """Put the newest steps in front of a value."""
    header = _ENCODER.encode(tuple(steps[-KEPT_STEPS:]))
    return b"".join((MAGIC, _LENGTH.pack(len(header)), header, value))


def decode(data: bytes) -> tuple[tuple[Step, ...], bytes]:
    """Split stored bytes into steps and value; a value without steps is whole."""
    if not data.startswith(MAGIC) or len(data) < _START:
        return (), data
    (length,) = _LENGTH.unpack_from(data, len(MAGIC))
    try:
        steps = _DECODER.decode(data[_START : _START + length])
    except msgspec.MsgspecError:
        return (), data
    return steps, data[_START + length :]


def judge(
    step: Step, steps: Sequence[Step], rev: ids.Revision
) -> tuple[Verdict, ids.Revision | None]:
    """Tell from a key's present steps and revision what became of a write.

    :return: the verdict, and the write's own revision if it happened
    """
    if rev == step.base:
        return Verdict.OPEN, None
    for index, seen in enumerate(steps):
        if seen.write == step.write:
            newer = steps[index + 1 :]
            return Verdict.HAPPENED, newer[0].base if newer else rev
    if step.base and any(seen.base == step.base for seen in steps):
        return Verdict.LOST_RACE, None
    return Verdict.UNKNOWN, None


__all__ = ["KEPT_STEPS", "MAX_HEADER_BYTES", "Step", "Verdict", "decode", "encode", "judge"]
