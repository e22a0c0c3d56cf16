"""Arithmetic of cells, as in a buddy allocator.

A cell is an aligned block of 1, 2, 4, ... adjacent accelerators of one worker; a cell of
level ``n`` has ``2 ** n`` accelerators. In a mask, bit ``i`` stands for device ``i``. Each cell
size divides the next, so serving the largest cells first is optimal.
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
"""Number of cell levels; the largest cell has ``2 ** (LEVELS - 1)`` accelerators."""


class Share(enum.Enum):
    """Capacity that a placed gang is charged to.

    ``BORROWED`` capacity is reclaimed when a guarantee needs it. ``FIXED`` cells lie beyond the
    organisation's guarantee and stay bound, as their gang cannot be reclaimed.
    """

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


def level_for(count: int) -> int:
    """Return the level of the smallest cell that holds ``count`` accelerators."""
    return max(0, count - 1).bit_length()


def block(first: int, size: int) -> int:
    """Return the mask of ``size`` adjacent devices that start at ``first``."""
    return ((1 << size) - 1) << first


def enclosing_block(device: int, level: int) -> int:
    """Return the mask of the cell of the given level that contains a device."""
    size = 1 << level
    return block(device // size * size, size)


def cell_of(worker: ids.WorkerId, mask: int) -> Cell:
    """Return the cell that consists of the adjacent devices in a mask."""
    return Cell(worker, (mask & -mask).bit_length() - 1, mask.bit_count())


def mask_of(cell: Cell) -> int:
    """Return the mask of a cell's devices."""
    return block(cell.first, cell.size)


def devices(mask: int) -> tuple[int, ...]:
    """Return the indexes of the devices in a mask, in ascending order."""
    return tuple(index for index in range(mask.bit_length()) if mask >> index & 1)


def mask_of_devices(indexes: Sequence[int]) -> int:
    """Return the mask of device indexes."""
    return sum(1 << index for index in indexes)


@functools.lru_cache(maxsize=65_536)
def cells_within(mask: int, level: int) -> tuple[int, ...]:
    """Return the masks of all cells of a level that lie entirely within a mask."""
    size = 1 << level
    blocks = [block(first, size) for first in range(0, mask.bit_length(), size)]
    return tuple(cell for cell in blocks if cell & mask == cell)


def _largest_cells(mask: int) -> Iterator[tuple[int, int]]:
    for level in reversed(range(LEVELS)):
        for cell in cells_within(mask, level):
            if cell & mask == cell:
                mask &= ~cell
                yield level, cell


@functools.lru_cache(maxsize=65_536)
def largest_cells(mask: int) -> tuple[tuple[int, int], ...]:
    """Split a mask into its largest disjoint cells, as ``(level, mask)``, smallest first."""
    return tuple(sorted(_largest_cells(mask)))


@functools.lru_cache(maxsize=65_536)
def histogram(mask: int) -> tuple[int, ...]:
    """Return the number of cells by level in the split by ``largest_cells``."""
    counts = [0] * LEVELS
    for level, _cell in largest_cells(mask):
        counts[level] += 1
    return tuple(counts)


@functools.lru_cache(maxsize=65_536)
def pick_devices(mask: int, count: int) -> int:
    """Choose devices from the smallest cell that has enough, or else from several cells.

    :param mask: usable devices, at least ``count`` of them
    :return: the mask of the chosen devices
    """
    chosen = 0
    for level, cell in largest_cells(mask):
        if 1 << level >= count:
            return mask_of_devices(devices(cell)[:count])
        chosen |= cell
    return mask_of_devices(devices(chosen)[:count])


def shortfall(available_cells: Sequence[int], need: Sequence[int]) -> list[int]:
    """Return how many required cells of each level cannot be carved out of those available.

    :param available_cells: number of largest cells by level
    :param need: number of required cells by level
    """
    missing = [0] * LEVELS
    surplus = 0
    for level in reversed(range(LEVELS)):
        available = available_cells[level] + 2 * surplus
        missing[level] = max(0, need[level] - available)
        surplus = max(0, available - need[level])
    return missing


def remaining_cells(total: Sequence[int], used: Sequence[int]) -> list[int]:
    """Return the cells that remain when each used block is charged to the smallest fitting cell.

    :param total: number of cells by level
    :param used: number of blocks by level; blocks that fit into no cell are ignored
    """
    remaining = list(total)
    for level in reversed(range(LEVELS)):
        for _ in range(used[level]):
            charged_level = next(
                (upper_level for upper_level in range(level, LEVELS) if remaining[upper_level]),
                None,
            )
            if charged_level is None:
                break
            remaining[charged_level] -= 1
            for lower_level in range(level, charged_level):
                remaining[lower_level] += 1
    return remaining


__all__ = [
    "LEVELS",
    "Cell",
    "Share",
    "block",
    "cell_of",
    "cells_within",
    "devices",
    "enclosing_block",
    "histogram",
    "largest_cells",
    "level_for",
    "mask_of",
    "mask_of_devices",
    "pick_devices",
    "remaining_cells",
    "shortfall",
]
