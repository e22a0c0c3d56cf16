"""History of a key's latest writes, stored as a header in front of its value.

A writer that got no answer learns from the write ids whether its write took effect, even
if others have written the key since.
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
MAX_KEPT_WRITES = 8
MAX_HEADER_BYTES = 512
WRITE_ID_BYTES = 8

_LENGTH = struct.Struct(">H")
_HEADER_START = len(MAGIC) + _LENGTH.size


class WriteEntry(msgspec.Struct, array_like=True, frozen=True):
    """One write of a key.

    :param write_id: unique id of the write
    :param base_rev: the revision that the write replaced; 0 if the key was absent
    """

    write_id: ids.WriteId
    base_rev: ids.Revision


class Verdict(enum.Enum):
    """Outcome of an earlier write, as far as the key's current history shows it.

    ``HAPPENED``: it took effect. ``LOST_RACE``: another write replaced its base revision.
    ``OPEN``: the key is still at the base revision, so that the write may yet take effect.
    ``UNKNOWN``: the history shows none of these.
    """

    HAPPENED = enum.auto()
    LOST_RACE = enum.auto()
    OPEN = enum.auto()
    UNKNOWN = enum.auto()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[WriteEntry, ...])


def new_write_entry(base_rev: ids.Revision) -> WriteEntry:
    """Create the entry of a new write, with a random write id."""
    return WriteEntry(
        write_id=ids.WriteId(secrets.token_urlsafe(WRITE_ID_BYTES)), base_rev=base_rev
    )


def encode(writes: Sequence[WriteEntry], value: bytes) -> bytes:
    """Return the stored form of a value: a header with the latest writes, then the value."""
    header = _ENCODER.encode(tuple(writes[-MAX_KEPT_WRITES:]))
    return b"".join((MAGIC, _LENGTH.pack(len(header)), header, value))


def decode(data: bytes) -> tuple[tuple[WriteEntry, ...], bytes]:
    """Split stored bytes into writes and value; without a valid header, all bytes are value."""
    if not data.startswith(MAGIC) or len(data) < _HEADER_START:
        return (), data
    (length,) = _LENGTH.unpack_from(data, len(MAGIC))
    try:
        writes = _DECODER.decode(data[_HEADER_START : _HEADER_START + length])
    except msgspec.MsgspecError:
        return (), data
    return writes, data[_HEADER_START + length :]


def judge_write(
    write_entry: WriteEntry, writes: Sequence[WriteEntry], rev: ids.Revision
) -> tuple[Verdict, ids.Revision | None]:
    """Judge from a key's current history and revision whether a write took effect.

    :return: the verdict, and the revision of the write if it took effect
    """
    if rev == write_entry.base_rev:
        return Verdict.OPEN, None
    for index, stored in enumerate(writes):
        if stored.write_id == write_entry.write_id:
            newer = writes[index + 1 :]
            return Verdict.HAPPENED, newer[0].base_rev if newer else rev
    # A base revision of 0 decides nothing: the key may have been created, deleted and created
    # again since.
    if write_entry.base_rev and any(stored.base_rev == write_entry.base_rev for stored in writes):
        return Verdict.LOST_RACE, None
    return Verdict.UNKNOWN, None


__all__ = [
    "MAX_HEADER_BYTES",
    "MAX_KEPT_WRITES",
    "Verdict",
    "WriteEntry",
    "decode",
    "encode",
    "judge_write",
]
