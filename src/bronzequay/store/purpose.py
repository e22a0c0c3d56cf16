"""What a call to the store is for, by urgency."""

from __future__ import annotations

import enum


class Purpose(enum.IntEnum):
    """Purpose of a call; the lower the value, the more urgent."""

    JOURNAL = 0
    CLAIM = 1
    BUNDLE = 2
    LEASE = 3
    MEMBERSHIP = 4
    READ = 5
    WATCH = 6


__all__ = ["Purpose"]
