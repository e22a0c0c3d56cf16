"""Tuning of the C library's memory allocator."""

from __future__ import annotations

import ctypes
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

M_MMAP_THRESHOLD = -3
"""Number of the option in ``malloc.h`` of the GNU C library."""
THRESHOLD_BYTES = 131_072
"""Blocks from this size on are mapped one by one and returned to the system when freed. It is the
library's first threshold; at 64 KB each read of a response would map and unmap its buffer."""

TRIM_INTERVAL_S = 1.0
TRIM_SHARE = 0.5
"""A peak is over when use has fallen to this share of it."""
MIN_PEAK = 50
"""Least peak after which memory is returned; a trim of 50 MB takes 8 ms."""


def return_large_blocks() -> None:
    """Return freed large blocks to the system at once.

    The GNU C library raises the threshold to the size of the largest freed block. Bodies of 256 KB
    would then stay in its heap, which cannot shrink while a later block is in use. Other C
    libraries have no such option and are left as they are.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, THRESHOLD_BYTES)


async def return_freed_memory(used: Callable[[], int]) -> None:
    """Return freed small blocks to the system after each peak of use, until cancelled.

    :param used: returns what is in use, in any unit
    """
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    peak = used()
    while trim is not None:
        await trio.sleep(TRIM_INTERVAL_S)
        now = used()
        if peak >= MIN_PEAK and now < peak * TRIM_SHARE:
            trim(0)
            peak = now
        peak = max(peak, now)


__all__ = ["return_freed_memory", "return_large_blocks"]
