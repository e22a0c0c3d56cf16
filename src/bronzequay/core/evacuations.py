"""Evacuated data centres: which workers get no starts, and how work returns afterwards.

After an evacuation the workers of the data centre get starts in steps: a first share of them at
once and a further one with each step, warm workers first. Where no data centre was evacuated,
nothing here has any effect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay import ids

RETURN_STEPS = 4
"""Steps in which the workers of a data centre get starts again."""
RETURN_STEP_S = 0.7
"""Time between two steps. All workers get starts after 2.1 s, so that guaranteed work, which has to
begin within 2.7 s, is not late because of the steps."""
MAX_COLD_S = 60.0
"""Longest time after an evacuation for which cold workers come last, whatever their entries
state."""


class Site(NamedTuple):
    """Where a worker is, and until when its tasks run slowly after an idle time.

    :param cold_until_s: on the runtime's clock
    """

    worker: ids.WorkerId
    data_centre: ids.DataCentreId
    rack: str
    cold_until_s: float


class Change(NamedTuple):
    """Data centres whose evacuation has begun or ended."""

    began: tuple[ids.DataCentreId, ...]
    ended: tuple[ids.DataCentreId, ...]


class Restriction(NamedTuple):
    """What evacuations mean for the placement of tasks at one moment.

    :param excluded: workers that get no starts
    :param cold: workers that get starts after the others
    """

    excluded: frozenset[ids.WorkerId] = frozenset()
    cold: frozenset[ids.WorkerId] = frozenset()


UNRESTRICTED = Restriction()


class Evacuations:
    """The data centres under evacuation, and those to which work returns.

    :ivar evacuated: data centres whose workers get no starts
    :ivar is_known: whether that was read recently enough; no worker gets starts otherwise
    """

    def __init__(self) -> None:
        self.evacuated: frozenset[ids.DataCentreId] = frozenset()
        self.is_known = True
        self._ended_s: dict[ids.DataCentreId, float] = {}

    def update(self, evacuated: frozenset[ids.DataCentreId], now_s: float) -> Change:
        """Adopt the data centres that are under evacuation now; return what has changed."""
        began, ended = evacuated - self.evacuated, self.evacuated - evacuated
        self.evacuated = evacuated
        for data_centre in began:
            self._ended_s.pop(data_centre, None)
        self._ended_s.update(dict.fromkeys(ended, now_s))
        return Change(tuple(sorted(began)), tuple(sorted(ended)))

    def is_restricting(self, now_s: float) -> bool:
        """Return whether some workers may be excluded or cold."""
        for data_centre, ended_s in list(self._ended_s.items()):
            if now_s - ended_s > MAX_COLD_S:
                del self._ended_s[data_centre]
        return not self.is_known or bool(self.evacuated) or bool(self._ended_s)

    def restrict(self, sites: Iterable[Site], now_s: float) -> Restriction:
        """Return which of some workers get no starts now, and which come last."""
        sites = list(sites)
        if not self.is_known:
            return Restriction(frozenset(site.worker for site in sites))
        excluded = {site.worker for site in sites if site.data_centre in self.evacuated}
        cold: set[ids.WorkerId] = set()
        for data_centre, ended_s in self._ended_s.items():
            returning = [site for site in sites if site.data_centre == data_centre]
            cold |= {site.worker for site in returning if site.cold_until_s > now_s}
            excluded |= _held_back(returning, cold, now_s - ended_s)
        return Restriction(frozenset(excluded), frozenset(cold))


def _held_back(
    returning: list[Site], cold: set[ids.WorkerId], elapsed_s: float
) -> set[ids.WorkerId]:
    """Return the workers of a data centre whose step has not come yet.

    The workers of a rack follow one another, so that gangs find whole racks.
    """
    steps = 1 + int(elapsed_s / RETURN_STEP_S)
    if steps >= RETURN_STEPS:
        return set()
    order = sorted(returning, key=lambda site: (site.worker in cold, site.rack, site.worker))
    admitted = -(-len(order) * steps // RETURN_STEPS)
    return {site.worker for site in order[admitted:]}


__all__ = [
    "UNRESTRICTED",
    "Change",
    "Evacuations",
    "Restriction",
    "Site",
]
