"""Follows the operator's evacuations of data centres, where no task may start."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import structlog

from bronzequay import figures
from bronzequay.control import freshness, prefix
from bronzequay.platform import evacuations, kv

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids
    from bronzequay.core.state import State
    from bronzequay.platform.kv import Item, Store

WATCH_S = 1.5
"""Longest wait of one watch call; a silent connection is noticed 0.75 s after it."""
REREAD_S = 1.0
"""Age of the last read of all keys from which the next call is another one, which also finds what
an answered watch has left out. Between watches of 1.5 s this is one small read each 1.5 s."""

_log = structlog.get_logger()


class Evacuations:
    """Knows which data centres are under evacuation, and for how long that is certain.

    Starts and advice queries are checked right before they are sent. The core learns of a change
    at its next pass, which may wait for the journal.

    :param post: queues a change of the core's state
    :param epoch: epoch of the term whose orders are checked
    :param evac_s: time within which an evacuation must take effect, infinity for no limit
    """

    def __init__(
        self,
        store: Store,
        post: Callable[[Callable[[State], None]], object],
        *,
        epoch: ids.Epoch,
        evac_s: float,
    ) -> None:
        self._store = store
        self._post = post
        self._epoch = epoch
        self._freshness = freshness.Freshness("evacuations", evac_s)
        self._evacuated: frozenset[ids.DataCentreId] | None = None
        self._unreadable_keys: set[str] = set()

    @property
    def age_s(self) -> float:
        """Return the time since the last read, infinity before the first."""
        return self._freshness.age_s

    def check_known(self) -> bool:
        """Return whether the evacuations were read recently enough for starts; log a change.

        Without a time limit starts do not depend on it.
        """
        if not self._freshness.has_limit:
            return True
        return self._evacuated is not None and self._freshness.check()

    def reason_to_withhold(self, data_centre: ids.DataCentreId | None) -> str | None:
        """Return why no start may be sent to a data centre now, None if one may.

        :param data_centre: None for that of a worker that has left, which is not known any more
        """
        if not self.check_known():
            return "unread"
        evacuated = self._evacuated or frozenset()
        is_affected = bool(evacuated) if data_centre is None else data_centre in evacuated
        return "evacuated" if is_affected else None

    async def run(self) -> None:
        """Follow the keys until cancelled."""
        figures.gauge("evacuated_data_centres", lambda: len(self._evacuated or ()))
        figures.gauge("evacuations_age_seconds", lambda: self.age_s)
        wait_s = self._freshness.watch_s(WATCH_S)
        try:
            snapshot = await prefix.read_with_retries(
                self._store, evacuations.PREFIX, on_answer=self._freshness.confirm
            )
            self._on_snapshot(snapshot.items)
            await prefix.follow(
                self._store,
                evacuations.PREFIX,
                snapshot.rev,
                on_change=self._on_change,
                on_snapshot=self._on_snapshot,
                wait_s=wait_s,
                margin_s=kv.WATCH_MARGIN_S,
                reread_s=min(REREAD_S, wait_s),
                on_answer=self._freshness.confirm,
            )
        finally:
            # An instance that does not schedule reads no evacuations.
            for name in ("evacuated_data_centres", "evacuations_age_seconds"):
                figures.gauge(name, lambda: 0)

    def _on_snapshot(self, items: tuple[Item, ...]) -> None:
        self._adopt({name for item in items if (name := self._data_centre(item)) is not None})

    def _on_change(self, items: tuple[Item, ...]) -> None:
        evacuated = set(self._evacuated or ())
        for item in items:
            name = self._data_centre(item)
            if name is not None and item.value is None:
                evacuated.discard(name)
            elif name is not None:
                evacuated.add(name)
        self._adopt(evacuated)

    def _data_centre(self, item: Item) -> ids.DataCentreId | None:
        name = evacuations.data_centre_from_key(item.key)
        if name is None and item.key not in self._unreadable_keys:
            self._unreadable_keys.add(item.key)
            figures.count("evacuations_invalid")
            _log.warning("evacuation_invalid", key=item.key, revision=item.rev)
        return name

    def _adopt(self, names: set[ids.DataCentreId]) -> None:
        evacuated = frozenset(names)
        if evacuated != self._evacuated:
            self._evacuated = evacuated
            self._post(functools.partial(_apply, evacuated=evacuated))


def _apply(state: State, evacuated: frozenset[ids.DataCentreId]) -> None:
    """Have the core adopt the evacuated data centres, and record what has changed."""
    change = state.evacuations.update(evacuated, state.now_s)
    for event, names in (("evacuation_began", change.began), ("evacuation_ended", change.ended)):
        for name in names:
            counts = [
                len(worker.tasks)
                for worker in state.workers.values()
                if worker.spec.data_centre == name
            ]
            state.record_decision(
                event, None, data_centre=name, workers=len(counts), tasks=sum(counts)
            )
            if state.workers and not counts:
                figures.count("evacuations_unmatched")
                state.record_decision("evacuation_unmatched", None, data_centre=name)
    state.is_changed = True


__all__ = ["Evacuations"]
