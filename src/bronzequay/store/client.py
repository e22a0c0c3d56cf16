"""Client of the platform's key-value service, with retries and safe writes."""

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
MAX_CACHED_HISTORIES = 4096

ABSENT = entries.ABSENT
Change = entries.Change
Changes = entries.Changes
Entry = entries.Entry
InstanceEntry = entries.InstanceEntry
Purpose = purposes.Purpose


def _to_changes(records: tuple[entries.Record, ...]) -> tuple[Change, ...]:
    return tuple(Change(key=record.key, value=record.value, rev=record.rev) for record in records)


class Store:
    """Reads and compare-and-swap writes of the platform's keys.

    Every call ends by the caller's deadline or after 12 s, whichever comes first. For
    a long poll, the 12 s are extended by its waiting time.

    :param base_url: the service's URL
    :param instance: id of this instance
    :param http: HTTP client for the calls
    :param budget: rate limits of the calls; unlimited if None
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
        self._wire = wire.WireClient(base_url=base_url, http=http, budget=budget)
        self._retry_budget: retry.RetryBudget | None = None
        self._histories: collections.OrderedDict[
            str, tuple[ids.Revision, tuple[history.WriteEntry, ...]]
        ] = collections.OrderedDict()

    def set_budget(self, budget: budgets.Budget) -> None:
        """Apply rate limits to the calls from now on."""
        self._wire.budget = budget

    async def get(self, key: str, *, purpose: Purpose) -> Entry | None:
        """Read a key.

        :return: the entry, or None if the key is absent
        :raises BronzequayError: STORE_TIMEOUT, STORE_UNAVAILABLE or STORE_BUDGET
        """
        record = await self._retry(functools.partial(self._wire.get, key), key, purpose)
        self._cache_histories((record,))
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
        :param lease: lease whose end deletes the key
        :return: the revision of this write, even if others have written since
        :raises BronzequayError: STORE_CONFLICT, LEASE_LOST, VALUE_TOO_LARGE, STORE_UNAVAILABLE
            and STORE_BUDGET: not written; STORE_TIMEOUT: outcome unknown
        """
        if len(value) > MAX_VALUE_BYTES:
            raise wire.status_error(413, key)
        backoff = self._new_backoff()
        call = wire.Call(subject=key, purpose=purpose, deadline_s=backoff.deadline_s)
        writes = await self._read_writes(key, rev, call)
        write_entry = history.new_write_entry(rev)
        data = history.encode((*writes, write_entry), value)

        async def attempt(call: wire.Call) -> ids.Revision:
            return await self._wire.put(key, data, rev=rev, lease=lease, call=call)

        new_rev = await self._new_write(attempt, key, write_entry, backoff, call).run()
        self._cache_history(key, new_rev, (*writes, write_entry))
        return new_rev

    async def delete(self, key: str, *, rev: ids.Revision, purpose: Purpose) -> None:
        """Delete a key if its revision is still ``rev``; an absent key is no error.

        :raises BronzequayError: STORE_CONFLICT, STORE_UNAVAILABLE and STORE_BUDGET: not
            deleted; STORE_TIMEOUT: outcome unknown
        """
        backoff = self._new_backoff()
        call = wire.Call(subject=key, purpose=purpose, deadline_s=backoff.deadline_s)

        async def attempt(call: wire.Call) -> ids.Revision:
            await self._wire.delete(key, rev=rev, call=call)
            return ABSENT

        write_entry = history.new_write_entry(rev)
        await self._new_write(attempt, key, write_entry, backoff, call, is_deletion=True).run()
        self._histories.pop(key, None)

    async def range(self, prefix: str, *, purpose: Purpose) -> tuple[Entry, ...]:
        """Read all keys under a prefix, sorted by key."""
        fetch = functools.partial(self._wire.range, prefix)
        _, records = await self._retry(fetch, prefix, purpose)
        self._cache_histories(records)
        return tuple(
            Entry(key=record.key, value=record.value, rev=record.rev)
            for record in records
            if record.value is not None
        )

    async def snapshot(self, prefix: str, *, purpose: Purpose) -> Changes:
        """Read all keys under a prefix and the store-wide revision, without retries."""
        deadline_s = self._new_backoff().deadline_s
        call = wire.Call(subject=prefix, purpose=purpose, deadline_s=deadline_s)
        rev, records = await self._wire.range(prefix, call)
        self._cache_histories(records)
        return Changes(rev=rev, changes=_to_changes(records))

    async def poll_changes(self, prefix: str, *, after: ids.Revision, wait_s: float) -> Changes:
        """Wait for changes under a prefix, as one long poll without retries.

        :param after: the store-wide revision up to which changes are known
        :param wait_s: seconds after which the service answers without changes
        """
        deadline_s = self._new_backoff(extra_timeout_s=wait_s).deadline_s
        call = wire.Call(subject=prefix, purpose=Purpose.WATCH, deadline_s=deadline_s)
        rev, records = await self._wire.watch(prefix, after=after, wait_s=wait_s, call=call)
        self._cache_histories(records)
        return Changes(rev=rev, changes=_to_changes(records))

    async def grant(self, ttl_s: float) -> ids.LeaseId:
        """Create a lease that expires ``ttl_s`` seconds after its last renewal."""
        fetch = functools.partial(self._wire.grant, ttl_s)
        return await self._retry(fetch, "lease", Purpose.LEASE)

    async def renew(self, lease: ids.LeaseId, *, extra_timeout_s: float = 0.0) -> None:
        """Renew a lease.

        :param extra_timeout_s: seconds added to the timeout of each attempt
        :raises BronzequayError: LEASE_LOST if it has expired
        """
        fetch = functools.partial(self._wire.renew, lease, extra_timeout_s=extra_timeout_s)
        await self._retry(fetch, lease, Purpose.LEASE)

    async def revoke(self, lease: ids.LeaseId) -> None:
        """End a lease; its keys are deleted immediately."""
        await self._retry(functools.partial(self._wire.revoke, lease), lease, Purpose.LEASE)

    async def instances(self) -> tuple[InstanceEntry, ...]:
        """Read the platform's list of instances, which lags behind the changes."""
        return await self._retry(self._wire.instances, "instances", Purpose.MEMBERSHIP)

    def _new_backoff(self, *, extra_timeout_s: float = 0.0) -> retry.Backoff:
        if self._retry_budget is None:
            self._retry_budget = retry.RetryBudget()
        return retry.Backoff(self._retry_budget, timeout_s=retry.CALL_TIMEOUT_S + extra_timeout_s)

    def _new_write(
        self,
        attempt: Callable[[wire.Call], Awaitable[ids.Revision]],
        key: str,
        write_entry: history.WriteEntry,
        backoff: retry.Backoff,
        call: wire.Call,
        *,
        is_deletion: bool = False,
    ) -> write.Write:
        return write.Write(
            attempt,
            wire_client=self._wire,
            key=key,
            write_entry=write_entry,
            backoff=backoff,
            call=call,
            is_deletion=is_deletion,
        )

    async def _retry(
        self, fetch: Callable[[wire.Call], Awaitable[T]], subject: str, purpose: Purpose
    ) -> T:
        """Make an idempotent call and retry it after errors that may be temporary."""
        backoff = self._new_backoff()
        call = wire.Call(subject=subject, purpose=purpose, deadline_s=backoff.deadline_s)
        while True:
            try:
                return await fetch(call)
            except errors.BronzequayError as exc:
                if not write.is_retriable(exc):
                    raise
                await backoff.wait(exc)

    async def _read_writes(
        self, key: str, rev: ids.Revision, call: wire.Call
    ) -> tuple[history.WriteEntry, ...]:
        """Return the write history at a revision, from the cache or else from the store."""
        if rev == ABSENT:
            return ()
        cached = self._histories.get(key)
        if cached is None or cached[0] != rev:
            fetch = functools.partial(self._wire.get, key)
            self._cache_histories((await self._retry(fetch, key, call.purpose),))
            cached = self._histories.get(key)
        if cached is None or cached[0] != rev:
            raise errors.BronzequayError(
                codes.ResultCode.STORE_CONFLICT, f"another writer changed the key first: {key}"
            )
        return cached[1]

    def _cache_histories(self, records: Iterable[entries.Record]) -> None:
        for record in records:
            if record.value is None:
                self._histories.pop(record.key, None)
            else:
                self._cache_history(record.key, record.rev, record.writes)

    def _cache_history(
        self, key: str, rev: ids.Revision, writes: tuple[history.WriteEntry, ...]
    ) -> None:
        self._histories[key] = (rev, writes[-history.MAX_KEPT_WRITES :])
        self._histories.move_to_end(key)
        if len(self._histories) > MAX_CACHED_HISTORIES:
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
