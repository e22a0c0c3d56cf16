"""What the store's calls return."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from bronzequay import ids

if TYPE_CHECKING:
    from bronzequay.store import history

ABSENT = ids.Revision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key's value at a revision."""

    key: str
    value: bytes
    rev: ids.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceEntry:
    """A line of the platform's lagging list of instances.

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
    """A key's newest change; ``value`` is None for a deletion."""

    key: str
    value: bytes | None
    rev: ids.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """An answer of a watch, complete up to the store-wide revision ``rev``."""

    rev: ids.Revision
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A key as stored; ``value`` is None when it is absent or deleted."""

    key: str
    rev: ids.Revision
    steps: tuple[history.Step, ...]
    value: bytes | None


__all__ = ["ABSENT", "Change", "Changes", "Entry", "InstanceEntry", "Record"]
