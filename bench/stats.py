"""Percentiles, slopes and fairness."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


def percentile(values: Iterable[float], share: float) -> float:
    """Return a percentile by the nearest rank, 0 for no values.

    :param values: in any order
    :param share: from 0 to 1
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, -int(-share * len(ordered) // 1) - 1)]


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the least-squares slope of log y against log x.

    :param points: pairs of x and y; those with a y of 0 or less are left out
    :return: 0 for fewer than two points
    """
    logs = [(math.log(x), math.log(y)) for x, y in points if y > 0]
    if len(logs) < 2:
        return 0.0
    mean_x = sum(x for x, _ in logs) / len(logs)
    mean_y = sum(y for _, y in logs) / len(logs)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in logs)
    return covariance / sum((x - mean_x) ** 2 for x, _ in logs)


def jain(shares: Sequence[float]) -> float:
    """Return Jain's fairness index, 1 for equal shares.

    :param shares: share of each party
    :return: the index, 0 when every share is 0
    """
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0


__all__ = ["jain", "percentile", "slope"]
