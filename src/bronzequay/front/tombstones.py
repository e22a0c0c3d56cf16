"""Marks that keep jobs from being accepted after a caller has been told that they do not run.

The store may carry out a submission seconds after its caller has given up, so that a cancel which
finds no job proves nothing. Under the key that each submission expects to be absent, a tombstone
makes such a submission fail. It has a lifetime, after which no earlier submission can arrive.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

import msgspec
import structlog
import trio

from bronzequay import clock, errors, figures, ids
from bronzequay.control import keys, status
from bronzequay.core import model
from bronzequay.front import writes
from bronzequay.platform import kv

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


class Placeholder(NamedTuple):
    """Content of a tombstone.

    :param org: organisation whose later submissions it applies to
    :param state: what a later submission makes of the job
    """

    org: ids.OrgId
    queue: ids.QueueId
    state: model.JobState

    def encode(self) -> bytes:
        """Encode a new tombstone."""
        return status.encode(
            status.Status(
                self.state.value, self.org, self.queue, ended_s=clock.wall_s(), is_tombstone=True
            )
        )


class _Tombstone(NamedTuple):
    """A tombstone of this instance.

    :param rev: its revision, None if it is not known whether it has been written
    """

    placeholder: Placeholder
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

    def _has_room(self, org: ids.OrgId) -> bool:
        held = [*(held.placeholder.org for held in self._held.values()), *self._pending.elements()]
        return len(held) < MAX_TOMBSTONES and held.count(org) < MAX_PER_ORG

    async def write(
        self, job: ids.JobId, placeholder: Placeholder, *, rev: ids.Revision, deadline_s: float
    ) -> writes.Outcome | None:
        """Write a tombstone and take charge of it; return None if there is no room for one.

        :param rev: revision of the tombstone that it replaces, ``ABSENT`` for none
        :param deadline_s: when the last attempt to write it begins, at the latest
        """
        if not self._has_room(placeholder.org):
            figures.count("tombstones_refused")
            _log.warning("tombstone_refused", job=job, org=placeholder.org)
            return None
        key, value = keys.state(job), placeholder.encode()
        self._pending[placeholder.org] += 1
        try:
            outcome = await writes.write(
                self._store, expect=[(key, rev)], puts=[kv.Put(key, value)], deadline_s=deadline_s
            )
        finally:
            self._pending -= collections.Counter([placeholder.org])
        if outcome.found is not None and outcome.found.value == value:
            # An attempt without an answer has written it.
            outcome = writes.Outcome(rev=outcome.found.rev)
        if outcome.rev is not None or outcome.is_unknown:
            end_s = trio.current_time() + status.TOMBSTONE_S
            self._held[job] = _Tombstone(placeholder, value, outcome.rev, end_s)
        return outcome

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


def state_in(item: kv.Item) -> model.JobState | None:
    """Return what a submission makes of a job after its tombstone, None if there is none."""
    if item.value is None:
        return None
    try:
        found = status.decode(item.value)
    except msgspec.MsgspecError as exc:
        _log.error("status_unreadable", key=item.key, error=str(exc))
        return None
    return model.JobState(found.state) if found.is_tombstone else None


def is_tombstone(item: kv.Item) -> bool:
    """Return whether an item is a tombstone."""
    return state_in(item) is not None


__all__ = ["Placeholder", "Tombstones", "is_tombstone", "state_in"]
