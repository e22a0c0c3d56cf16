"""Decoding of data from outside: one kind of error, whatever makes the data unusable."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

T = TypeVar("T")

MAX_NUMBER = 2**53
"""Largest amount, or time in milliseconds: the limit up to which JSON numbers are exact. Sums and
products of a few such numbers can still be encoded."""
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A whole number that is not negative."""
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A number that is not negative."""


def from_json(data: bytes, wire_type: type[T]) -> T:
    """Decode JSON.

    :raises msgspec.DecodeError: it is malformed, nested too deeply or not of the type
    """
    try:
        return msgspec.json.decode(data, type=wire_type)
    except (RecursionError, UnicodeDecodeError) as exc:
        raise msgspec.DecodeError(str(exc)) from exc


def from_msgpack(data: bytes, wire_type: type[T]) -> T:
    """Decode MessagePack.

    :raises msgspec.DecodeError: it is malformed, nested too deeply or not of the type
    """
    try:
        return msgspec.msgpack.decode(data, type=wire_type)
    except (RecursionError, UnicodeDecodeError) as exc:
        raise msgspec.DecodeError(str(exc)) from exc


__all__ = ["MAX_NUMBER", "Amount", "Count", "from_json", "from_msgpack"]
