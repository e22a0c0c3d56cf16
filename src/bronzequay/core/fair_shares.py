"""Shares of organisations: the least-served one comes first among work of one tier and priority.

Large jobs come before small ones of equally served organisations, since room for them is rarer.
Both move work only by a bounded time, so that no organisation is starved.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bronzequay import ids

SAMPLE_S = 0.5
"""Time between two samples of the room that organisations use; most tasks run for seconds."""
DECAY_S = 30.0
"""Time constant with which use is forgotten; about the objective of a usual batch job."""
MAX_ORG_SHIFT = 0.25
"""Largest time by which work of well-served organisations comes later, as a share of the time
that the job may take. It can then still start and end in time on a fleet that is not full."""
MAX_SIZE_SHIFT = 0.1
"""Largest time by which large jobs come earlier, as a share of the time that the job may take; less
than the shift between organisations, which comes first."""
_NEGLIGIBLE_USE = 1e-3
"""Accelerator-seconds below which the use of an organisation is dropped."""


class FairShares:
    """Decaying use of the fleet by organisations, sampled at passes.

    It is kept in memory and starts empty in each term.

    :ivar sampled_s: when the use was last sampled, minus infinity before
    """

    def __init__(self) -> None:
        self.sampled_s = -math.inf
        self._uses: dict[ids.OrgId, float] = {}
        self._served: dict[ids.OrgId, float] = {}
        self._mean = 0.0

    def is_due(self, now_s: float) -> bool:
        """Return whether the use has to be sampled again."""
        return now_s - self.sampled_s >= SAMPLE_S

    def record_use(
        self,
        now_s: float,
        in_use: Mapping[ids.OrgId, float],
        guaranteed: Mapping[ids.OrgId, int],
    ) -> None:
        """Add the use since the last sample, as if it had been as it is now.

        :param in_use: accelerators in use by organisation, 0 for one that only waits
        :param guaranteed: guaranteed accelerators by organisation; one without counts as one
        """
        passed_s = now_s - self.sampled_s
        kept = math.exp(-passed_s / DECAY_S) if passed_s >= 0 else 1.0
        gained_s = DECAY_S * (1.0 - kept) if math.isfinite(passed_s) else 0.0
        self.sampled_s = now_s
        uses = {
            org: self._uses.get(org, 0.0) * kept + in_use.get(org, 0.0) * gained_s
            for org in self._uses.keys() | in_use.keys()
        }
        self._uses = {org: use for org, use in uses.items() if use > _NEGLIGIBLE_USE}
        self._served = {org: use / max(1, guaranteed.get(org, 0)) for org, use in uses.items()}
        self._mean = sum(self._served.values()) / max(1, len(self._served))

    def shift(self, org: ids.OrgId, value_share: float) -> float:
        """Return by how much work comes later, as a share of the time that its job may take.

        It is 0 while one organisation alone uses the fleet or waits for it.

        :param value_share: value of its job, as a share of the largest value of a job
        """
        if len(self._served) <= 1:
            return 0.0
        served = self._served.get(org, 0.0)
        position = served / (served + self._mean) if served else 0.0
        return MAX_ORG_SHIFT * position - MAX_SIZE_SHIFT * value_share


__all__ = ["FairShares"]
