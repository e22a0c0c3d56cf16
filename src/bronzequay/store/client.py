"""Client of the platform's key-value service."""

from __future__ import annotations

import base64
import dataclasses
import urllib.parse
from typing import TYPE_CHECKING, Any

import httpx
import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.store import purpose as purposes

if TYPE_CHECKING:
    from bronzequay.store import budget as budgets

ATTEMPT_TIMEOUT_S = 2.0
MAX_VALUE_BYTES = 1_000_000
ABSENT = ids.Revision(0)

Purpose = purposes.Purpose

_REFUSALS = {
    409: (codes.ResultCode.STORE_CONFLICT, "another writer changed the key first"),
    410: (codes.ResultCode.LEASE_LOST, "the lease has run out"),
    413: (codes.ResultCode.VALUE_TOO_LARGE, "the value is over 1 MB"),
    429: (codes.ResultCode.STORE_BUDGET, "the platform's call budget is spent"),
    503: (codes.ResultCode.STORE_UNAVAILABLE, "the platform's service refuses calls"),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key's value at a revision."""

    key: str
    value: bytes
    rev: ids.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceEntry:
    """A line of the platform's lagging list of instances.

    :param kind: ``entry``, ``worker`` or ``executor``
    :param state: ``live`` or ``leaving``
    """

    id: ids.InstanceId
    kind: str
    address: str
    data_centre: ids.DataCentreId
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A key's newest change; ``value`` is None for a deletion."""

    key: str
    value: bytes | None
    rev: ids.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """An answer of a watch, complete up to the store-wide revision ``rev``."""

    rev: ids.Revision
    changes: tuple[Change, ...]


class _Item(msgspec.Struct):
    key: str
    rev: int
    value_b64: str | None


class _Items(msgspec.Struct):
    rev: int
    items: list[_Item]


class _Events(msgspec.Struct):
    rev: int
    events: list[_Item]


class _Rev(msgspec.Struct):
    rev: int


class _Granted(msgspec.Struct):
    lease: str


class _Instance(msgspec.Struct):
    id: str
    kind: str
    address: str
    data_centre: str
    state: str


class _Instances(msgspec.Struct):
    instances: list[_Instance]


def _path(key: str) -> str:
    return f"/v1/kv/{urllib.parse.quote(key)}"


def _refusal(status: int, key: str) -> errors.BronzequayError:
    code, text = _REFUSALS.get(status, (codes.ResultCode.INTERNAL, f"answered HTTP {status}"))
    return errors.BronzequayError(code, f"{text}: {key}")


def _change(item: _Item) -> Change:
    value = None if item.value_b64 is None else base64.b64decode(item.value_b64)
    return Change(key=item.key, value=value, rev=ids.Revision(item.rev))


class Store:
    """Reads and compare-and-swap writes of the platform's keys.

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
        self._base_url = base_url.rstrip("/")
        self._instance = instance
        self._http = http
        self._budget = budget

    async def get(self, key: str, *, purpose: Purpose) -> Entry | None:
        """Read a key.

        :return: the entry, or None when the key is absent
        :raises BronzequayError: STORE_TIMEOUT, STORE_UNAVAILABLE or STORE_BUDGET
        """
        resp = await self._call("GET", _path(key), key, purpose=purpose, accept=(200, 404))
        if resp.status_code == httpx.codes.NOT_FOUND:
            return None
        rev = ids.Revision(int(resp.headers["x-revision"]))
        return Entry(key=key, value=resp.content, rev=rev)

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

        :param lease: the key goes when this lease ends
        :return: the new revision
        :raises BronzequayError: STORE_CONFLICT, LEASE_LOST, VALUE_TOO_LARGE, STORE_UNAVAILABLE
            and STORE_BUDGET: not written; STORE_TIMEOUT: unknown
        """
        if len(value) > MAX_VALUE_BYTES:
            raise _refusal(413, key)
        params: dict[str, Any] = {"rev": rev}
        if lease is not None:
            params["lease"] = lease
        resp = await self._call(
            "PUT", _path(key), key, purpose=purpose, params=params, content=value
        )
        return ids.Revision(msgspec.json.decode(resp.content, type=_Rev).rev)

    async def delete(self, key: str, *, rev: ids.Revision, purpose: Purpose) -> None:
        """Delete a key if its revision is still ``rev``."""
        await self._call(
            "DELETE", _path(key), key, purpose=purpose, params={"rev": rev}, accept=(200, 404)
        )

    async def range(self, prefix: str, *, purpose: Purpose) -> tuple[Entry, ...]:
        """Read all keys under a prefix, sorted by key."""
        resp = await self._call(
            "GET", "/v1/range", prefix, purpose=purpose, params={"prefix": prefix}
        )
        items = msgspec.json.decode(resp.content, type=_Items).items
        changes = [_change(item) for item in items]
        return tuple(
            Entry(key=change.key, value=change.value or b"", rev=change.rev) for change in changes
        )

    async def changes(self, prefix: str, *, after: ids.Revision, wait_s: float) -> Changes:
        """Wait for changes of the keys under a prefix: one long poll.

        :param after: the store-wide revision seen last
        :param wait_s: seconds after which the service answers without changes
        """
        params = {"prefix": prefix, "after": after, "wait_s": wait_s}
        resp = await self._call(
            "GET",
            "/v1/watch",
            prefix,
            purpose=Purpose.WATCH,
            params=params,
            timeout_s=wait_s + ATTEMPT_TIMEOUT_S,
        )
        answer = msgspec.json.decode(resp.content, type=_Events)
        found = tuple(_change(item) for item in answer.events)
        return Changes(rev=ids.Revision(answer.rev), changes=found)

    async def grant(self, ttl_s: float) -> ids.LeaseId:
        """Make a lease that runs out ``ttl_s`` seconds after its last renewal."""
        resp = await self._call(
            "POST", "/v1/lease", "lease", purpose=Purpose.LEASE, params={"ttl_s": ttl_s}
        )
        return ids.LeaseId(msgspec.json.decode(resp.content, type=_Granted).lease)

    async def renew(self, lease: ids.LeaseId) -> None:
        """Renew a lease.

        :raises BronzequayError: LEASE_LOST when it has run out
        """
        await self._call("POST", f"/v1/lease/{lease}/renew", lease, purpose=Purpose.LEASE)

    async def revoke(self, lease: ids.LeaseId) -> None:
        """End a lease; its keys go at once."""
        await self._call("DELETE", f"/v1/lease/{lease}", lease, purpose=Purpose.LEASE)

    async def instances(self) -> tuple[InstanceEntry, ...]:
        """Read the platform's lagging list of instances."""
        resp = await self._call("GET", "/v1/instances", "instances", purpose=Purpose.MEMBERSHIP)
        lines = msgspec.json.decode(resp.content, type=_Instances).instances
        return tuple(
            InstanceEntry(
                id=ids.InstanceId(line.id),
                kind=line.kind,
                address=line.address,
                data_centre=ids.DataCentreId(line.data_centre),
                state=line.state,
            )
            for line in lines
        )

    async def _call(
        self,
        method: str,
        path: str,
        subject: str,
        *,
        purpose: Purpose,
        params: dict[str, Any] | None = None,
        content: bytes | None = None,
        accept: tuple[int, ...] = (200,),
        timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> httpx.Response:
        if self._budget is not None:
            await self._budget.acquire(purpose)
        try:
            with trio.fail_after(timeout_s):
                resp = await self._http.request(
                    method, self._base_url + path, params=params, content=content, timeout=None
                )
        except httpx.ConnectError as exc:
            raise errors.BronzequayError(
                codes.ResultCode.STORE_UNAVAILABLE, f"no connection to the platform: {subject}"
            ) from exc
        except (httpx.TransportError, trio.TooSlowError) as exc:
            raise errors.BronzequayError(
                codes.ResultCode.STORE_TIMEOUT, f"no answer, the outcome is unknown: {subject}"
            ) from exc
        if resp.status_code not in accept:
            raise _refusal(resp.status_code, subject)
        return resp


__all__ = [
    "ABSENT",
    "Change",
    "Changes",
    "Entry",
    "InstanceEntry",
    "Purpose",
    "Store",
]
