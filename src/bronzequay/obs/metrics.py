"""Metrics, sent to statsd and kept for the state dump."""

from __future__ import annotations

import collections

import statsd

PREFIX = "bronzequay"


class Metrics:
    """Counters, gauges and timings of one process.

    :param address: ``IP:PORT`` of the statsd daemon; empty sends no metrics
    """

    def __init__(self, *, address: str = "") -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self._client = _connect(address) if address else None

    def count(self, name: str, increment: int = 1) -> None:
        """Increase a counter."""
        self.counters[name] += increment
        if self._client is not None:
            self._client.incr(name, increment)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Send a duration to statsd and count it under ``NAME.n``."""
        self.counters[name + ".n"] += 1
        if self._client is not None:
            self._client.timing(name, seconds * 1000)


def _connect(address: str) -> statsd.StatsClient:
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(host, int(port), prefix=PREFIX)


__all__ = ["Metrics"]
