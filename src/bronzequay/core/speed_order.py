"""Use of workers of different speed: hurried steps on the fast ones, other steps on the slow ones.

A gang is as slow as its slowest worker, so gangs stay within one group of equally fast workers
where they fit. Nothing here has an effect on a service whose workers are equally fast.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import order

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from bronzequay.core.fleet_view import FleetView
    from bronzequay.core.state import State, StepRun, Worker

SPARE_SHARE = 0.4
"""Share of its objective that a step must have left when it ends on the slowest workers, or else it
is hurried. Predictions are off by 20% in the middle, and a wait or a restart may still come."""


class SpeedOrder:
    """In which order a step uses the workers of its service.

    :ivar is_even: the workers are equally fast, as far as is known
    :ivar is_hurried: the step may miss its objective on the slowest workers
    """

    def __init__(self, state: State, step: StepRun) -> None:
        queue = state.queue_of(step.job)
        self._forecast = state.forecast
        self._speeds = (1.0,) if queue is None else state.forecast.groups(queue.service)
        self.is_even = len(self._speeds) == 1 or step.spec.is_endless
        self.is_hurried = False
        self._work_s = 0.0
        if not self.is_even and queue is not None:
            self._work_s = state.work_s(step)
            slack_s, late_slack_s = order.slack_s(state, step, queue)
            objective_s = (late_slack_s - slack_s) / (order.LATE_LIMIT_FACTOR - 1.0)
            delay_s = self._work_s * (1.0 / self._speeds[-1] - 1.0)
            self.is_hurried = slack_s - delay_s < SPARE_SHARE * objective_s

    def groups(self, workers: list[Worker]) -> Iterator[list[Worker]]:
        """Yield the workers of each group of equal speed, in the order of their use."""
        groups: list[list[Worker]] = [[] for _ in self._speeds]
        for worker in workers:
            groups[self._group_of(worker)].append(worker)
        yield from groups if self.is_hurried else reversed(groups)

    def _group_of(self, worker: Worker) -> int:
        speed = self._forecast.speed_of(worker.spec)
        distances = [max(speed / other, other / speed) for other in self._speeds]
        return distances.index(min(distances))

    def key(self) -> Callable[[Worker], float]:
        """Return the sort key by which a step uses workers."""
        if self.is_even:
            return lambda _worker: 0.0
        sign = -1.0 if self.is_hurried else 1.0
        speed_of = self._forecast.speed_of
        return lambda worker: sign * round(speed_of(worker.spec), 1)

    def slowness(self, workers: list[Worker]) -> float:
        """Return the run time of a hurried gang on some workers, as a multiple of that at speed 1.

        It does not matter for a gang that is not hurried.
        """
        if self.is_even or not self.is_hurried or not workers:
            return 0.0
        return 1.0 / min(self._forecast.speed_of(worker.spec) for worker in workers)

    def waits_for(self, fast: list[Worker], step: StepRun, view: FleetView) -> bool:
        """Return whether a hurried gang ends sooner if it waits for room on the fastest workers."""
        saved_s = self._work_s * (1.0 / self._speeds[-1] - 1.0 / self._speeds[0])
        fit = view.earliest_fit(step, fast, with_stops=True)
        return fit is not None and fit.wait_s < saved_s


__all__ = ["SPARE_SHARE", "SpeedOrder"]
