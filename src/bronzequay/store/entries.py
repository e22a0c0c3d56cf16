"""Results of the store's calls."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from bronzequay import ids

if TYPE_CHECKING:
    from bronzequay.store import history

ABSENT = ids.Revision(0)
"""Revision of a key that does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key's value and the revision of its last write."""

    key: str
    value: bytes
    rev: ids.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceEntry:
    """An entry of the platform's list of instances, which lags behind the changes.

    :param kind: ``entry``, ``worker`` or ``executor``
    :param state: ``live`` or ``leaving``
    """

    id: ids.InstanceId
    kind: str
    address: str
    data_centre: ids.DataCentreId
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The latest change of a key; ``value`` is None for a deletion."""

    key: str
    value: bytes | None
    rev: ids.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes from a watch or a snapshot, complete up to the store-wide revision ``rev``."""

    rev: ids.Revision
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A key as stored, with its latest writes; ``value`` is None if it is absent or deleted."""

    key: str
    rev: ids.Revision
    writes: tuple[history.WriteEntry, ...]
    value: bytes | None


__all__ = ["ABSENT", "Change", "Changes", "Entry", "InstanceEntry", "Record"]
