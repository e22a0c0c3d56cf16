"""Jobs and cancellations that instances wrote into the store for the scheduler."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay.control import keys, prefix
from bronzequay.core import lifecycle, model, records
from bronzequay.platform import kv

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bronzequay import ids
    from bronzequay.control.journal import Journal
    from bronzequay.control.term import Term
    from bronzequay.core.state import State
    from bronzequay.platform.kv import Item, Snapshot, Store

WATCH_S = 1.5
"""Wait of one watch; a silent connection is noticed after it."""

_log = structlog.get_logger()


class Intake:
    """Follows the keys under which jobs and cancellations are handed in.

    :param term: that takes them up
    """

    def __init__(self, store: Store, term: Term) -> None:
        self._store = store
        self._term = term
        self._rev = kv.ABSENT
        self.stray_cancels: set[ids.JobId] = set()

    async def load(self, state: State, journal: Journal) -> None:
        """Read all jobs with their progress, after earlier terms were fenced.

        :raises errors.BronzequayError: when the store cannot be read
        """
        found: dict[str, Snapshot] = {}

        async def read(prefix: str) -> None:
            found[prefix] = await self._store.range(prefix)

        async with trio.open_nursery() as nursery:
            for prefix in (keys.PROGRESS, keys.INBOX):
                nursery.start_soon(read, prefix)
        inbox = found[keys.INBOX]
        values = {keys.name_in(item.key): item.value for item in found[keys.PROGRESS].items}
        for spec in _specs(inbox.items):
            try:
                records.restore(state, spec, values.get(spec.job))
            except (msgspec.MsgspecError, IndexError, KeyError) as exc:
                _log.error("progress_unreadable", job=spec.job, error=str(exc))
                continue
            if spec.job in state.jobs:
                journal.know(state.jobs[spec.job])
        self._cancel(state, inbox.items)
        self._rev = inbox.rev

    async def run(self) -> None:
        """Follow the keys until cancelled."""
        await prefix.follow(
            self._store,
            keys.INBOX,
            self._rev,
            on_change=self._post,
            on_reading=self._post,
            wait_s=WATCH_S,
        )

    def _post(self, items: tuple[Item, ...]) -> None:
        self._term.post(functools.partial(self._apply, items=items))

    def _apply(self, state: State, items: tuple[Item, ...]) -> None:
        for spec in _specs(items):
            lifecycle.accept(state, spec)
        self._cancel(state, items)

    def _cancel(self, state: State, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key.startswith(keys.CANCELS) and item.value is not None:
                name = keys.name_in(item.key)
                if name in state.jobs:
                    lifecycle.cancel(state, name)
                else:
                    self.stray_cancels.add(name)


def _specs(items: Iterable[Item]) -> list[model.JobSpec]:
    """Decode the jobs among some items; one that cannot be read is left out."""
    found = []
    for item in items:
        if not item.key.startswith(keys.JOBS) or item.value is None:
            continue
        try:
            found.append(msgspec.msgpack.decode(item.value, type=model.JobSpec))
        except msgspec.MsgspecError as exc:
            _log.error("job_unreadable", key=item.key, revision=item.rev, error=str(exc))
    return found


__all__ = ["Intake"]
