"""Arithmetic of cells: aligned blocks of 1, 2, 4, ... adjacent accelerators of one worker.

A mask has bit ``i`` set when device ``i`` belongs to the set. Levels are powers of two: a
cell of level 2 is a quad. Sizes divide one another, so filling the largest first is optimal.
"""

from __future__ import annotations

import enum
import functools
from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

LEVELS = 6
"""Levels of cells on a worker; the largest cell has ``2 ** (LEVELS - 1)`` accelerators."""


class Share(enum.Enum):
    """What a placed gang is held against."""

    GUARANTEED = "guaranteed"
    BORROWED = "borrowed"
    FIXED = "fixed"


class Cell(msgspec.Struct, frozen=True):
    """An aligned block of a worker's accelerators.

    :param first: index of its first accelerator
    :param size: number of its accelerators
    """

    worker: ids.WorkerId
    first: int
    size: int


def level(count: int) -> int:
    """Return the level of the smallest cell that holds ``count`` accelerators."""
    return max(0, count - 1).bit_length()


def block(first: int, size: int) -> int:
    """Return the mask of ``size`` devices from ``first``."""
    return ((1 << size) - 1) << first


def around(device: int, at_level: int) -> int:
    """Return the mask of the cell of a level that holds a device."""
    size = 1 << at_level
    return block(device // size * size, size)


def cell_of(worker: ids.WorkerId, mask: int) -> Cell:
    """Return the cell that a mask of adjacent devices describes."""
    return Cell(worker, (mask & -mask).bit_length() - 1, mask.bit_count())


def mask_of(cell: Cell) -> int:
    """Return a cell's mask."""
    return block(cell.first, cell.size)


def devices(mask: int) -> tuple[int, ...]:
    """Return the indexes in a mask."""
    return tuple(index for index in range(mask.bit_length()) if mask >> index & 1)


def mask_of_devices(indexes: Sequence[int]) -> int:
    """Return the mask of device indexes."""
    return sum(1 << index for index in indexes)


@functools.lru_cache(maxsize=65_536)
def inside(mask: int, at_level: int) -> tuple[int, ...]:
    """Return the masks of all cells of a level that lie whole in a mask."""
    size = 1 << at_level
    found = [block(first, size) for first in range(0, mask.bit_length(), size)]
    return tuple(cell for cell in found if cell & mask == cell)


def _maximal(mask: int) -> Iterator[tuple[int, int]]:
    for at_level in reversed(range(LEVELS)):
        for cell in inside(mask, at_level):
            if cell & mask == cell:
                mask &= ~cell
                yield at_level, cell


@functools.lru_cache(maxsize=65_536)
def maximal(mask: int) -> tuple[tuple[int, int], ...]:
    """Return ``(level, mask)`` of the largest disjoint cells in a mask, smallest first."""
    return tuple(sorted(_maximal(mask)))


@functools.lru_cache(maxsize=65_536)
def histogram(mask: int) -> tuple[int, ...]:
    """Return how many largest cells of each level a mask splits into."""
    counts = [0] * LEVELS
    for at_level, _cell in maximal(mask):
        counts[at_level] += 1
    return tuple(counts)


@functools.lru_cache(maxsize=65_536)
def pick(mask: int, count: int) -> int:
    """Choose devices out of a mask: in the smallest cell that holds them, else scattered.

    :param mask: usable devices, at least ``count`` of them
    :return: the chosen devices as a mask
    """
    chosen = 0
    for at_level, cell in maximal(mask):
        if 1 << at_level >= count:
            return mask_of_devices(devices(cell)[:count])
        chosen |= cell
    return mask_of_devices(devices(chosen)[:count])


def shortfall(have: Sequence[int], need: Sequence[int]) -> list[int]:
    """Return how many cells of each level cannot be carved out.

    :param have: largest cells by level
    :param need: wanted cells by level
    """
    short = [0] * LEVELS
    spare = 0
    for at_level in reversed(range(LEVELS)):
        there = have[at_level] + 2 * spare
        short[at_level] = max(0, need[at_level] - there)
        spare = max(0, there - need[at_level])
    return short


def rest(total: Sequence[int], used: Sequence[int]) -> list[int]:
    """Return the cells left over when used blocks are charged to the smallest that hold them.

    :param total: cells by level
    :param used: blocks by level; those that no cell holds are not charged
    """
    left = list(total)
    for at_level in reversed(range(LEVELS)):
        for _ in range(used[at_level]):
            grade = next((up for up in range(at_level, LEVELS) if left[up]), None)
            if grade is None:
                break
            left[grade] -= 1
            for below in range(at_level, grade):
                left[below] += 1
    return left


__all__ = [
    "LEVELS",
    "Cell",
    "Share",
    "around",
    "block",
    "cell_of",
    "devices",
    "histogram",
    "inside",
    "level",
    "mask_of",
    "mask_of_devices",
    "maximal",
    "pick",
    "rest",
    "shortfall",
]
