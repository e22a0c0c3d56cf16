"""Purposes of calls to the store, in order of urgency."""

from __future__ import annotations

import enum


class Purpose(enum.IntEnum):
    """Purpose of a call; a lower value is more urgent."""

    JOURNAL = 0
    CLAIM = 1
    BUNDLE = 2
    LEASE = 3
    MEMBERSHIP = 4
    READ = 5
    WATCH = 6


__all__ = ["Purpose"]
