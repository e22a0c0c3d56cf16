"""Metrics of a process: counters, gauges and latency histograms, rendered as text."""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

BOUNDS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
"""Upper bounds of the histograms' buckets, in seconds; a call to the store usually takes 4 ms."""

counters: collections.Counter[str] = collections.Counter()
_histograms: dict[str, list[int]] = {}
_sums: dict[str, float] = {}
_gauges: dict[str, Callable[[], float]] = {}


def count(name: str, amount: int = 1) -> None:
    """Increase a counter.

    :param name: may end in labels, as in ``calls{kind="get"}``
    """
    counters[name] += amount


def observe(name: str, seconds: float) -> None:
    """Add one duration to a histogram."""
    buckets = _histograms.setdefault(name, [0] * (len(BOUNDS_S) + 1))
    buckets[bisect.bisect_left(BOUNDS_S, seconds)] += 1
    _sums[name] = _sums.get(name, 0.0) + seconds


def gauge(name: str, read: Callable[[], float]) -> None:
    """Register a gauge.

    :param read: returns its value, called at each ``render``
    """
    _gauges[name] = read


def render() -> str:
    """Return all metrics in the text format of Prometheus."""
    lines = [f"bronzequay_{name} {value}" for name, value in sorted(counters.items())]
    lines += [f"bronzequay_{name} {read():g}" for name, read in sorted(_gauges.items())]
    for name, buckets in sorted(_histograms.items()):
        cumulative_count = 0
        for bound, bucket_count in zip((*BOUNDS_S, float("inf")), buckets, strict=True):
            cumulative_count += bucket_count
            lines.append(f'bronzequay_{name}_seconds_bucket{{le="{bound:g}"}} {cumulative_count}')
        lines.append(f"bronzequay_{name}_seconds_sum {_sums[name]:g}")
        lines.append(f"bronzequay_{name}_seconds_count {cumulative_count}")
    return "\n".join([*lines, ""])


__all__ = ["count", "counters", "gauge", "observe", "render"]
