"""Marks that keep jobs from being accepted after a caller has been told that they do not run.

The store may carry out a submission seconds after its caller has given up, so that a cancel which
finds no job proves nothing. Under the key that each submission expects to be absent, a tombstone
makes such a submission fail. It has a lifetime, after which no earlier submission can arrive.
"""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING, NamedTuple

import structlog
import trio

from bronzequay import clock, errors, figures, ids
from bronzequay.control import keys, status
from bronzequay.platform import kv

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bronzequay.core import model

MAX_TOMBSTONES = 2000
"""Most tombstones of one instance. Each takes some 100 bytes in the store and here; more cancels of
unknown jobs are refused until others have reached the end of their lifetime."""
MAX_PER_ORG = 1000
"""Most of them for one organisation, so that it leaves some to others."""
REMOVAL_S = 1.0
"""Time between two removals of the tombstones whose lifetime is over."""
BATCH_KEYS = kv.MAX_ENTRIES // 2
"""Each key takes two entries of a transaction: its deletion and its condition."""

_log = structlog.get_logger()


class _Tombstone(NamedTuple):
    """A tombstone of this instance.

    :param rev: its revision, None if it is not known whether it has been written
    """

    org: ids.OrgId
    value: bytes
    rev: ids.Revision | None
    end_s: float


class Tombstones:
    """The tombstones that this instance has written and will remove."""

    def __init__(self, store: kv.Store) -> None:
        self._store = store
        self._held: dict[ids.JobId, _Tombstone] = {}
        self._pending: collections.Counter[ids.OrgId] = collections.Counter()
        figures.gauge("tombstones", lambda: len(self._held))

    def has_room(self, org: ids.OrgId) -> bool:
        """Return whether an organisation may add another tombstone."""
        held = [*(tombstone.org for tombstone in self._held.values()), *self._pending.elements()]
        return len(held) < MAX_TOMBSTONES and held.count(org) < MAX_PER_ORG

    @contextlib.contextmanager
    def adding(self, org: ids.OrgId) -> Iterator[None]:
        """Surround the write of a tombstone, which counts already."""
        self._pending[org] += 1
        try:
            yield
        finally:
            self._pending -= collections.Counter([org])

    def add(self, job: ids.JobId, org: ids.OrgId, value: bytes, rev: ids.Revision | None) -> None:
        """Take charge of a tombstone.

        :param rev: its revision, None if it is not known whether it has been written
        """
        end_s = trio.current_time() + status.TOMBSTONE_S
        self._held[job] = _Tombstone(org, value, rev, end_s)

    async def run(self) -> None:
        """Remove tombstones at the end of their lifetime until cancelled."""
        while True:
            await trio.sleep(REMOVAL_S)
            due = [job for job, held in self._held.items() if held.end_s <= trio.current_time()]
            for first in range(0, len(due), BATCH_KEYS):
                try:
                    await self._remove(due[first : first + BATCH_KEYS])
                except errors.BronzequayError as exc:
                    _log.warning("tombstones_not_removed", count=len(due), error=str(exc))
                    break

    async def _remove(self, jobs: list[ids.JobId]) -> None:
        due = {job: self._held[job] for job in jobs}
        revs = {keys.state(job): await self._find(job, held) for job, held in due.items()}
        expect = [(key, rev) for key, rev in revs.items() if rev is not None]
        if expect:
            try:
                await self._store.txn(expect=expect, deletes=[key for key, _ in expect])
            except kv.Conflict as exc:
                # Those that have been replaced are no longer in this instance's charge.
                replaced = {item.key for item in exc.items if item.rev != revs.get(item.key)}
                jobs = [job for job in jobs if keys.state(job) in replaced]
        for job in jobs:
            # A cancel may have renewed it meanwhile.
            if self._held.get(job) is due[job]:
                del self._held[job]

    async def _find(self, job: ids.JobId, held: _Tombstone) -> ids.Revision | None:
        """Return the revision of a tombstone, None if it is not there."""
        if held.rev is not None:
            return held.rev
        item = await self._store.get(keys.state(job))
        return item.rev if item is not None and item.value == held.value else None


def encode(org: ids.OrgId, queue: ids.QueueId, state: model.JobState) -> bytes:
    """Encode a new tombstone.

    :param state: what a submission that comes after it makes of the job
    """
    return status.encode(
        status.Status(state.value, org, queue, ended_s=clock.wall_s(), is_tombstone=True)
    )


__all__ = ["Tombstones", "encode"]
