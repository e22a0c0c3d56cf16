"""Answers of the platform's key-value store as they arrive."""

from __future__ import annotations

import base64
from typing import TypeVar

import msgspec

from bronzequay import codec, codes, errors

T = TypeVar("T")


class Item(msgspec.Struct):
    """A key with its value, or a deletion of it.

    :param at: the store's revision when the key was read
    """

    key: str
    revision: int
    value: str = ""
    deleted: bool = False
    at: int = 0


class Range(msgspec.Struct):
    """A page of the items under a prefix.

    :param at: the store's revision when the page was read
    """

    items: list[Item]
    at: int
    hasMore: bool = False  # noqa: N815  # the wire's name


class Events(msgspec.Struct):
    """Changes of the keys under a prefix.

    :param at: revision from which to watch next
    """

    events: list[Item]
    at: int


class Committed(msgspec.Struct):
    """Answer to a transaction that was carried out."""

    revision: int


class ConflictItems(msgspec.Struct):
    """Answer to a transaction whose conditions did not hold: the keys that they name."""

    items: list[Item] = []


class Lease(msgspec.Struct):
    """A lease that the store has granted."""

    lease: int
    ttlMs: float  # noqa: N815  # the wire's name


def decode(body: bytes, wire_type: type[T]) -> T:
    """Decode an answer.

    :raises errors.BronzequayError: STORE_TIMEOUT when it cannot be read
    """
    try:
        return codec.from_json(body, wire_type)
    except msgspec.DecodeError as exc:
        raise _unreadable(exc) from exc


def decode_value(item: Item) -> bytes | None:
    """Return the value of an item, None when its key does not exist.

    :raises errors.BronzequayError: STORE_TIMEOUT when it cannot be read
    """
    if item.deleted or not item.revision:
        return None
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as exc:
        raise _unreadable(exc) from exc


def _unreadable(exc: Exception) -> errors.BronzequayError:
    return errors.BronzequayError(
        codes.ResultCode.STORE_TIMEOUT, f"cannot decode the store's answer: {exc}"
    )


__all__ = [
    "Committed",
    "ConflictItems",
    "Events",
    "Item",
    "Lease",
    "Range",
    "decode",
    "decode_value",
]
