"""Stores what a term has learned about run times and speeds, and restores it in the next one.

Only the quality of predictions depends on it: reads and writes that fail delay nothing, and of two
terms that write, the later writer wins.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay import errors, figures
from bronzequay.control import keys
from bronzequay.core import speed_groups
from bronzequay.platform import kv

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids
    from bronzequay.control.term import Term
    from bronzequay.core.forecast import Forecast
    from bronzequay.core.state import State
    from bronzequay.platform.kv import Store

WRITE_INTERVAL_S = 5.0
"""Time between two writes; what is lost by a takeover is learned again in about that time."""
RETRY_S = 0.5
"""Pause after a failed read."""
TIMEOUT_S = 1.0
"""Limit for a read or a write, which usually take 4 ms; a store that is slow has other work."""
LOGGED_CHANGE = 1.15
"""Factor by which the speed of a group changes before the groups are logged again."""

_log = structlog.get_logger()


class Learned:
    """Keeps the learned values of one term in the store."""

    def __init__(self, store: Store, term: Term) -> None:
        self._store = store
        self._term = term
        self._written_revision = 0
        self._gauges: set[str] = set()
        self._logged: dict[ids.ServiceId, tuple[float, ...]] = {}

    async def run(self) -> None:
        """Restore the values of the earlier term, then store those of this one until cancelled."""
        try:
            await self._restore_and_store()
        finally:
            # Another instance schedules now; this one's figures would never change again.
            for name in self._gauges:
                figures.gauge(name, float)

    async def _restore_and_store(self) -> None:
        item = await self._read()
        if item is not None and item.value is not None:
            self._term.post(functools.partial(_restore, value=item.value))
        while True:
            await trio.sleep(WRITE_INTERVAL_S)
            taken: list[bytes] = []
            # Waits for the journal: while the store does not answer, nothing is written.
            await self._term.post(functools.partial(self._take, taken=taken)).wait()
            if taken:
                await self._write(taken[0])

    async def _read(self) -> kv.Item | None:
        while True:
            try:
                return await self._store.get(keys.LEARNED, timeout_s=TIMEOUT_S)
            except errors.BronzequayError as exc:
                _log.warning("learned_unread", error=str(exc))
                await trio.sleep(RETRY_S)

    def _take(self, state: State, taken: list[bytes]) -> None:
        forecast = state.forecast
        self._report(forecast)
        if forecast.revision != self._written_revision:
            self._written_revision = forecast.revision
            taken.append(forecast.snapshot())

    async def _write(self, value: bytes) -> None:
        put = kv.Put(keys.LEARNED, value)
        try:
            await self._store.txn(expect=(), puts=(put,), timeout_s=TIMEOUT_S)
        except errors.BronzequayError as exc:
            figures.count("learned_writes_failed")
            _log.warning("learned_unwritten", bytes=len(value), error=str(exc))

    def _report(self, forecast: Forecast) -> None:
        accuracy = forecast.accuracy
        for percent in (50, 90):
            read = functools.partial(accuracy.quantile, percent / 100)
            self._gauge(f"predicted_run_time_ratio_p{percent}", read)
        self._gauge("runs_below_predicted_p90_share", lambda: accuracy.share_below)
        for service in forecast.services():
            for number in range(speed_groups.MAX_GROUPS):
                labels = f'service="{_escape(service)}",group="{number}"'
                name = f"worker_group_speed{{{labels}}}"
                self._gauge(name, _group_reader(forecast, service, number))
            self._log_groups(forecast, service)

    def _gauge(self, name: str, read: Callable[[], float]) -> None:
        self._gauges.add(name)
        figures.gauge(name, read)

    def _log_groups(self, forecast: Forecast, service: ids.ServiceId) -> None:
        groups = forecast.groups(service)
        logged = self._logged.get(service, (1.0,))
        is_close = len(groups) == len(logged) and all(
            1 / LOGGED_CHANGE < now / before < LOGGED_CHANGE
            for now, before in zip(groups, logged, strict=True)
        )
        if not is_close:
            self._logged[service] = groups
            speeds = [round(speed, 2) for speed in groups]
            _log.info("worker_groups", service=service, speeds=speeds, epoch=self._term.epoch)


def _restore(state: State, value: bytes) -> None:
    if state.forecast.restore(value):
        _log.info("learned_restored", bytes=len(value))
    else:
        _log.warning("learned_unreadable", bytes=len(value))


def _group_reader(forecast: Forecast, service: ids.ServiceId, number: int) -> Callable[[], float]:
    def read() -> float:
        groups = forecast.groups(service)
        return groups[number] if number < len(groups) else 0.0

    return read


def _escape(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


__all__ = ["Learned"]
