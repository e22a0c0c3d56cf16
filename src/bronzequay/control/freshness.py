"""How old a copy of keys in the store is, and how old it may be for starts."""

from __future__ import annotations

import math

import structlog

from bronzequay import clock

START_MARGIN_S = 0.6
"""Time from the check of a start to its arrival at the worker: the timeout of an order."""
MIN_LIMIT_SHARE = 0.5
"""Smallest part of the time limit for which a read allows starts, where that limit is short."""
WAITS_PER_LIMIT = 3
"""Watches that fit into the time for which a read allows starts: one lost call withholds none."""

_log = structlog.get_logger()


class Freshness:
    """Age of a copy, counted from when the latest answered read was sent.

    :param subject: what is copied, for the log
    :param effect_s: time after which a change in the store must affect starts, infinity for no
        limit
    """

    def __init__(self, subject: str, effect_s: float) -> None:
        self._subject = subject
        self._limit_s = max(effect_s - START_MARGIN_S, effect_s * MIN_LIMIT_SHARE)
        self._read_s = -math.inf
        self._is_late = False

    @property
    def age_s(self) -> float:
        """Return the time for which changes may be missing, infinity before the first read."""
        return clock.boot_s() - self._read_s

    @property
    def has_limit(self) -> bool:
        """Return whether starts depend on the age at all."""
        return math.isfinite(self._limit_s)

    def watch_s(self, longest_s: float) -> float:
        """Return the wait of a watch that keeps the copy fresh."""
        return min(longest_s, self._limit_s / WAITS_PER_LIMIT)

    def confirm(self, read_s: float) -> None:
        """Record an answered read.

        :param read_s: time on the boot clock whose changes the copy contains
        """
        self._read_s = max(self._read_s, read_s)

    def check(self) -> bool:
        """Return whether starts may rely on the copy; log a change after the first read."""
        is_fresh = self.age_s <= self._limit_s
        if math.isfinite(self._read_s) and is_fresh is self._is_late:
            self._is_late = not is_fresh
            _log.warning(
                f"{self._subject}_read_again" if is_fresh else f"{self._subject}_unread",
                age_s=round(self.age_s, 3),
            )
        return is_fresh


__all__ = ["Freshness"]
