"""Fair queueing of flows by virtual time (the resource time that each has used)."""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

K = TypeVar("K")
V = TypeVar("V")


class Flow(Generic[K, V]):
    """One flow that shares the resource, and its virtual time.

    ``correction_s`` is added to the next charge: the difference between the actual and the
    estimated use of earlier charges.

    :param content: what the flow has queued
    """

    __slots__ = ("content", "correction_s", "is_active", "key", "vtime_s")

    def __init__(self, key: K, content: V) -> None:
        self.key = key
        self.content = content
        self.vtime_s = 0.0
        self.correction_s = 0.0
        self.is_active = False


class FlowSet(Generic[K, V]):
    """Flows ordered by virtual time, lowest first.

    A flow that was idle restarts at the virtual clock, so it gains no credit by idling.
    """

    __slots__ = ("_flows", "_heap", "_max_vtime_s", "_serial", "_virtual_clock_s")

    def __init__(self) -> None:
        self._flows: dict[K, Flow[K, V]] = {}
        self._heap: list[tuple[float, int, Flow[K, V]]] = []
        self._serial = itertools.count()
        self._virtual_clock_s = 0.0
        self._max_vtime_s = 0.0

    def __len__(self) -> int:
        """Return the number of flows, idle ones included."""
        return len(self._flows)

    def get(self, key: K) -> Flow[K, V] | None:
        """Return the flow of a key, or none."""
        return self._flows.get(key)

    def add(self, key: K, content: V) -> Flow[K, V]:
        """Add an idle flow."""
        flow = Flow(key, content)
        self._flows[key] = flow
        return flow

    def activate(self, flow: Flow[K, V]) -> None:
        """Add a flow that has something queued to the order."""
        if flow.is_active:
            return
        flow.is_active = True
        flow.vtime_s = max(flow.vtime_s, self._virtual_clock_s)
        self._push(flow)

    def first(self) -> Flow[K, V] | None:
        """Return the active flow with the lowest virtual time."""
        return self._heap[0][2] if self._heap else None

    def charge_first(self, cost_s: float, *, has_more: bool) -> None:
        """Charge the first flow and move it to its new position.

        :param cost_s: estimated use in seconds
        :param has_more: whether the flow has more queued
        """
        flow = heapq.heappop(self._heap)[2]
        self._virtual_clock_s = max(self._virtual_clock_s, flow.vtime_s)
        flow.vtime_s = max(self._virtual_clock_s, flow.vtime_s + cost_s + flow.correction_s)
        flow.correction_s = 0.0
        flow.is_active = has_more
        self._max_vtime_s = max(self._max_vtime_s, flow.vtime_s)
        if has_more:
            self._push(flow)
        self._end_busy_period()

    def deactivate(self, flow: Flow[K, V]) -> None:
        """Remove a flow with nothing queued from the order."""
        flow.is_active = False
        self._heap = [entry for entry in self._heap if entry[2] is not flow]
        heapq.heapify(self._heap)
        self._end_busy_period()

    def evict_idle(self) -> None:
        """Remove idle flows at or behind the virtual clock; they would restart there anyway."""
        self._flows = {
            key: flow
            for key, flow in self._flows.items()
            if flow.is_active or flow.vtime_s + flow.correction_s > self._virtual_clock_s
        }

    def contents(self) -> list[V]:
        """Return the content of every flow."""
        return [flow.content for flow in self._flows.values()]

    def _end_busy_period(self) -> None:
        """Advance the clock past all use once nothing is queued.

        Use in a finished busy period is not held against a flow: none was denied its share.
        """
        if not self._heap:
            self._virtual_clock_s = self._max_vtime_s

    def _push(self, flow: Flow[K, V]) -> None:
        heapq.heappush(self._heap, (flow.vtime_s, next(self._serial), flow))


__all__ = ["Flow", "FlowSet"]
