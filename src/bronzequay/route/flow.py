"""Virtual-time order among flows that share a resource."""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

K = TypeVar("K")
V = TypeVar("V")


class Flow(Generic[K, V]):
    """One sharer and what it has used.

    :param content: what the sharer has waiting
    """

    __slots__ = ("content", "correction_s", "is_active", "key", "vtime_s")

    def __init__(self, key: K, content: V) -> None:
        self.key = key
        self.content = content
        self.vtime_s = 0.0
        self.correction_s = 0.0
        self.is_active = False


class FlowSet(Generic[K, V]):
    """Flows ordered by the time they have used, least first.

    A flow that was idle starts again at the clock: it gains nothing by waiting.
    """

    __slots__ = ("_clock_s", "_flows", "_heap", "_last_s", "_serial")

    def __init__(self) -> None:
        self._flows: dict[K, Flow[K, V]] = {}
        self._heap: list[tuple[float, int, Flow[K, V]]] = []
        self._serial = itertools.count()
        self._clock_s = 0.0
        self._last_s = 0.0

    def __len__(self) -> int:
        """Return the number of flows, idle ones included."""
        return len(self._flows)

    def get(self, key: K) -> Flow[K, V] | None:
        """Return a flow if it is known."""
        return self._flows.get(key)

    def add(self, key: K, content: V) -> Flow[K, V]:
        """Add an idle flow."""
        flow = Flow(key, content)
        self._flows[key] = flow
        return flow

    def activate(self, flow: Flow[K, V]) -> None:
        """Let a flow take part in the order."""
        if flow.is_active:
            return
        flow.is_active = True
        flow.vtime_s = max(flow.vtime_s, self._clock_s)
        self._enter(flow)

    def first(self) -> Flow[K, V] | None:
        """Return the active flow that has used least."""
        return self._heap[0][2] if self._heap else None

    def charge_first(self, cost_s: float, *, stays: bool) -> None:
        """Charge the first flow and put it into its new place.

        :param cost_s: expected use, in seconds
        :param stays: whether the flow has more waiting
        """
        flow = heapq.heappop(self._heap)[2]
        self._clock_s = max(self._clock_s, flow.vtime_s)
        flow.vtime_s = max(self._clock_s, flow.vtime_s + cost_s + flow.correction_s)
        flow.correction_s = 0.0
        flow.is_active = stays
        self._last_s = max(self._last_s, flow.vtime_s)
        if stays:
            self._enter(flow)
        self._end_busy_period()

    def withdraw(self, flow: Flow[K, V]) -> None:
        """Take a flow with nothing waiting out of the order."""
        flow.is_active = False
        self._heap = [entry for entry in self._heap if entry[2] is not flow]
        heapq.heapify(self._heap)
        self._end_busy_period()

    def forget_idle(self) -> None:
        """Drop idle flows that would start again at the clock anyhow."""
        self._flows = {
            key: flow
            for key, flow in self._flows.items()
            if flow.is_active or flow.vtime_s + flow.correction_s > self._clock_s
        }

    def values(self) -> list[V]:
        """Return the content of every flow."""
        return [flow.content for flow in self._flows.values()]

    def _end_busy_period(self) -> None:
        """Forget past use once nothing waits: no flow has been kept from its share."""
        if not self._heap:
            self._clock_s = self._last_s

    def _enter(self, flow: Flow[K, V]) -> None:
        heapq.heappush(self._heap, (flow.vtime_s, next(self._serial), flow))


__all__ = ["Flow", "FlowSet"]
