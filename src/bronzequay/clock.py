"""Clocks that keep running while the machine is suspended, unlike CLOCK_MONOTONIC."""

from __future__ import annotations

import time


def boot_s() -> float:
    """Return seconds since the machine's boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return seconds since the Unix epoch."""
    return time.time()


__all__ = ["boot_s", "wall_s"]
