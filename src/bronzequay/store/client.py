"""Client of the platform's key-value service."""

from __future__ import annotations

import collections
import functools
from typing import TYPE_CHECKING, TypeVar

from bronzequay import codes, errors, ids
from bronzequay.store import entries, history, retry, wire, write
from bronzequay.store import purpose as purposes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    import httpx

    from bronzequay.store import budget as budgets

T = TypeVar("T")

PLATFORM_MAX_BYTES = 1_000_000
MAX_VALUE_BYTES = PLATFORM_MAX_BYTES - history.MAX_HEADER_BYTES
KEPT_HISTORIES = 4096

ABSENT = entries.ABSENT
Change = entries.Change
Changes = entries.Changes
Entry = entries.Entry
InstanceEntry = entries.InstanceEntry
Purpose = purposes.Purpose


def _changes(records: tuple[entries.Record, ...]) -> tuple[Change, ...]:
    return tuple(Change(key=each.key, value=each.value, rev=each.rev) for each in records)


class Store:
    """Reads and compare-and-swap writes of the platform's keys.

    Every call ends by the caller's deadline, or after 12 s.

    :param base_url: the service's URL
    :param instance: this instance
    :param http: the client to call through
    :param budget: limits the calls; none is kept when left out
    """

    def __init__(
        self,
        *,
        base_url: str,
        instance: ids.InstanceId,
        http: httpx.AsyncClient,
        budget: budgets.Budget | None = None,
    ) -> None:
        self.instance = instance
        self._wire = wire.Wire(base_url=base_url, http=http, budget=budget)
        self._retries: retry.RetryBudget | None = None
        self._histories: collections.OrderedDict[
            str, tuple[ids.Revision, tuple[history.Step, ...]]
        ] = collections.OrderedDict()

    def use_budget(self, budget: budgets.Budget) -> None:
        """Limit the calls from now on."""
        self._wire.budget = budget

    async def get(self, key: str, *, purpose: Purpose) -> Entry | None:
        """Read a key.

        :return: the entry, or None when the key is absent
        :raises BronzequayError: STORE_TIMEOUT, STORE_UNAVAILABLE or STORE_BUDGET
        """
        record = await self._retry(functools.partial(self._wire.get, key), key, purpose)
        self._remember((record,))
        if record.value is None:
            return None
        return Entry(key=key, value=record.value, rev=record.rev)

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        rev: ids.Revision,
        purpose: Purpose,
        lease: ids.LeaseId | None = None,
    ) -> ids.Revision:
        """Write a key if its revision is still ``rev`` (0: absent).

        :param value: at most ``MAX_VALUE_BYTES``
        :param lease: the key goes when this lease ends
        :return: the revision of this write, also if others have written since
        :raises BronzequayError: STORE_CONFLICT, LEASE_LOST, VALUE_TOO_LARGE, STORE_UNAVAILABLE
            and STORE_BUDGET: not written; STORE_TIMEOUT: unknown
        """
        if len(value) > MAX_VALUE_BYTES:
            raise wire.refusal(413, key)
        tries = self._tries()
        call = wire.Call(subject=key, purpose=purpose, deadline_s=tries.deadline_s)
        steps = await self._steps(key, rev, call)
        step = history.new_step(rev)
        data = history.encode((*steps, step), value)

        async def attempt(call: wire.Call) -> ids.Revision:
            return await self._wire.put(key, data, rev=rev, lease=lease, call=call)

        new_rev = await self._write(attempt, key, step, tries, call).run()
        self._keep(key, new_rev, (*steps, step))
        return new_rev

    async def delete(self, key: str, *, rev: ids.Revision, purpose: Purpose) -> None:
        """Delete a key if its revision is still ``rev``; an absent key is left so.

        :raises BronzequayError: STORE_CONFLICT, STORE_UNAVAILABLE and STORE_BUDGET: not
            deleted; STORE_TIMEOUT: unknown
        """
        tries = self._tries()
        call = wire.Call(subject=key, purpose=purpose, deadline_s=tries.deadline_s)

        async def attempt(call: wire.Call) -> ids.Revision:
            await self._wire.delete(key, rev=rev, call=call)
            return ABSENT

        step = history.new_step(rev)
        await self._write(attempt, key, step, tries, call, is_deletion=True).run()
        self._histories.pop(key, None)

    async def range(self, prefix: str, *, purpose: Purpose) -> tuple[Entry, ...]:
        """Read all keys under a prefix, sorted by key."""
        fetch = functools.partial(self._wire.range, prefix)
        _, records = await self._retry(fetch, prefix, purpose)
        self._remember(records)
        return tuple(
            Entry(key=record.key, value=record.value, rev=record.rev)
            for record in records
            if record.value is not None
        )

    async def snapshot(self, prefix: str, *, purpose: Purpose) -> Changes:
        """Read all keys under a prefix with the store-wide revision: not retried."""
        deadline_s = self._tries().deadline_s
        call = wire.Call(subject=prefix, purpose=purpose, deadline_s=deadline_s)
        rev, records = await self._wire.range(prefix, call)
        self._remember(records)
        return Changes(rev=rev, changes=_changes(records))

    async def changes(self, prefix: str, *, after: ids.Revision, wait_s: float) -> Changes:
        """Wait for changes of the keys under a prefix: one long poll, not retried.

        :param after: the store-wide revision seen last
        :param wait_s: seconds after which the service answers without changes
        """
        deadline_s = self._tries(extra_s=wait_s).deadline_s
        call = wire.Call(subject=prefix, purpose=Purpose.WATCH, deadline_s=deadline_s)
        rev, records = await self._wire.watch(prefix, after=after, wait_s=wait_s, call=call)
        self._remember(records)
        return Changes(rev=rev, changes=_changes(records))

    async def grant(self, ttl_s: float) -> ids.LeaseId:
        """Make a lease that runs out ``ttl_s`` seconds after its last renewal."""
        fetch = functools.partial(self._wire.grant, ttl_s)
        return await self._retry(fetch, "lease", Purpose.LEASE)

    async def renew(self, lease: ids.LeaseId, *, patience_s: float = 0.0) -> None:
        """Renew a lease.

        :param patience_s: seconds to wait for an answer beyond the usual timeout
        :raises BronzequayError: LEASE_LOST when it has run out
        """
        fetch = functools.partial(self._wire.renew, lease, patience_s=patience_s)
        await self._retry(fetch, lease, Purpose.LEASE)

    async def revoke(self, lease: ids.LeaseId) -> None:
        """End a lease; its keys go at once."""
        await self._retry(functools.partial(self._wire.revoke, lease), lease, Purpose.LEASE)

    async def instances(self) -> tuple[InstanceEntry, ...]:
        """Read the platform's lagging list of instances."""
        return await self._retry(self._wire.instances, "instances", Purpose.MEMBERSHIP)

    def _tries(self, *, extra_s: float = 0.0) -> retry.Tries:
        if self._retries is None:
            self._retries = retry.RetryBudget()
        return retry.Tries(self._retries, timeout_s=retry.CALL_TIMEOUT_S + extra_s)

    def _write(
        self,
        attempt: Callable[[wire.Call], Awaitable[ids.Revision]],
        key: str,
        step: history.Step,
        tries: retry.Tries,
        call: wire.Call,
        *,
        is_deletion: bool = False,
    ) -> write.Write:
        return write.Write(
            attempt,
            wires=self._wire,
            key=key,
            step=step,
            tries=tries,
            call=call,
            is_deletion=is_deletion,
        )

    async def _retry(
        self, fetch: Callable[[wire.Call], Awaitable[T]], subject: str, purpose: Purpose
    ) -> T:
        """Repeat a call whose repetition does no harm."""
        tries = self._tries()
        call = wire.Call(subject=subject, purpose=purpose, deadline_s=tries.deadline_s)
        while True:
            try:
                return await fetch(call)
            except errors.BronzequayError as exc:
                if not write.is_retried(exc):
                    raise
                await tries.pause(exc)

    async def _steps(
        self, key: str, rev: ids.Revision, call: wire.Call
    ) -> tuple[history.Step, ...]:
        """Return the steps that led to a revision, read if they are not known."""
        if rev == ABSENT:
            return ()
        known = self._histories.get(key)
        if known is None or known[0] != rev:
            fetch = functools.partial(self._wire.get, key)
            self._remember((await self._retry(fetch, key, call.purpose),))
            known = self._histories.get(key)
        if known is None or known[0] != rev:
            raise errors.BronzequayError(
                codes.ResultCode.STORE_CONFLICT, f"another writer changed the key first: {key}"
            )
        return known[1]

    def _remember(self, records: Iterable[entries.Record]) -> None:
        for record in records:
            if record.value is None:
                self._histories.pop(record.key, None)
            else:
                self._keep(record.key, record.rev, record.steps)

    def _keep(self, key: str, rev: ids.Revision, steps: tuple[history.Step, ...]) -> None:
        self._histories[key] = (rev, steps[-history.KEPT_STEPS :])
        self._histories.move_to_end(key)
        if len(self._histories) > KEPT_HISTORIES:
            self._histories.popitem(last=False)


__all__ = [
    "ABSENT",
    "MAX_VALUE_BYTES",
    "Change",
    "Changes",
    "Entry",
    "InstanceEntry",
    "Purpose",
    "Store",
]
