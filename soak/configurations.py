"""Configurations that grow, slow links to the store, and when each version has to be in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from soak import plan

if TYPE_CHECKING:
    from soak.harness import Harness
    from soak.plan import Fault

CONFIG_S = 3.0
"""Time within which a configuration has to be in force, as the instances' settings state it."""
MAX_ROUTES = 3300
"""These routes have 0.83 MB; the store holds values of up to a megabyte."""
SLOW_FACTOR = 3.0
"""Length of slow links relative to other faults, so that versions are written meanwhile."""
SLOW_BYTES_PER_S = 625_000.0
"""Bandwidth of the slowest links of the users' sheets."""


class Versions:
    """When each version was acknowledged, and since when watches report changes.

    :ivar padding: number of routes that only make the configuration larger
    :ivar unwatchable_s: time until which the store has left changes out of watches
    """

    def __init__(self) -> None:
        self.padding = 0
        self.unwatchable_s = float("-inf")
        self._acked_s: dict[int, float] = {}

    def acknowledge(self, version: int) -> None:
        """Record that the store has a version."""
        self._acked_s[version] = trio.current_time()

    def is_due(self, version: int, sent_s: float) -> bool:
        """Return whether a request that was sent at a time must not be answered without it."""
        visible_s = max(self._acked_s[version], self.unwatchable_s)
        return sent_s > visible_s + CONFIG_S


async def inject(site: Harness, fault: Fault) -> None:
    """Carry out a fault of the kinds in ``plan.GROWTHS``."""
    if fault.kind is plan.Kind.CONFIGURATION_GROWS:
        site.versions.padding = MAX_ROUTES
        site.write_configuration()
        return
    slow_links = [instance.store for instance in site.instances[fault.selector % 2 :: 2]]
    for link in slow_links:
        link.bytes_per_s = SLOW_BYTES_PER_S
    await trio.sleep(SLOW_FACTOR * fault.duration_s)
    for link in slow_links:
        link.bytes_per_s = float("inf")


__all__ = ["CONFIG_S", "Versions", "inject"]
