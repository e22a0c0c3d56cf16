"""Client of the platform's key-value store."""

from __future__ import annotations

import base64
import urllib.parse
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
import trio

from bronzequay import codes, errors, figures, ids
from bronzequay.net import client
from bronzequay.platform import contact

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

T = TypeVar("T")

CALL_TIMEOUT_S = 1.5
"""An answer takes 4 ms, and some 250 ms when the store is slow."""
WATCH_MARGIN_S = 1.5
"""Time for the answer of a watch beyond the wait that it asks for."""
REFUSALS = frozenset({429, 503})
"""Statuses that tell that nothing was done."""
ABSENT = ids.Revision(0)
MAX_ENTRIES = 32
"""Entries of one transaction, conditions, writes and deletions together."""


class Item(msgspec.Struct, frozen=True):
    """A key as it was written; a deleted one has no value.

    :param seen_rev: the store's revision when the key was read, to watch from
    """

    key: str
    value: bytes | None
    rev: ids.Revision
    seen_rev: ids.Revision = ABSENT


class Snapshot(msgspec.Struct, frozen=True):
    """Items, or changes of them, and the store's revision to continue from."""

    items: tuple[Item, ...]
    rev: ids.Revision


class Page(msgspec.Struct, frozen=True):
    """Some items of a prefix, and whether there are more after them."""

    items: tuple[Item, ...]
    rev: ids.Revision
    has_more: bool


class Put(msgspec.Struct, frozen=True):
    """One write of a transaction; the key ends with the lease, if there is one."""

    key: str
    value: bytes
    lease: int = 0


class Lease(msgspec.Struct, frozen=True):
    """A lease of the store, counted from the arrival of its last renewal."""

    lease: int
    ttl_s: float


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False
    at: int = 0


class _Range(msgspec.Struct):
    items: list[_Item]
    at: int
    hasMore: bool = False  # noqa: N815  # the wire's name


class _Events(msgspec.Struct):
    events: list[_Item]
    at: int


class _Done(msgspec.Struct):
    revision: int


class _Found(msgspec.Struct):
    items: list[_Item] = []


class _Lease(msgspec.Struct):
    lease: int
    ttlMs: float  # noqa: N815  # the wire's name


class Conflict(errors.BronzequayError):
    """A condition of a transaction did not hold; nothing was written.

    :param items: the keys of its conditions as they are now
    """

    def __init__(self, items: tuple[Item, ...]) -> None:
        super().__init__(codes.ResultCode.STORE_CONFLICT, "another writer changed the key first")
        self.items = items


class Store:
    """Calls to the store; each is tried once.

    Errors tell what is known: STORE_UNAVAILABLE and STORE_BUDGET mean that nothing was done,
    STORE_TIMEOUT that the call may take effect, now or seconds later.

    :param address: ``IP:PORT``
    """

    def __init__(self, address: str) -> None:
        self._http = client.Client(address)
        self._contact = contact.Contact()

    async def get(self, key: str, *, timeout_s: float = CALL_TIMEOUT_S) -> Item | None:
        """Read a key; None when it does not exist."""
        query = urllib.parse.urlencode({"key": key})
        resp = await self._call("GET", f"/kv-key?{query}", key, timeout_s=timeout_s)
        if resp.status == 404:  # noqa: PLR2004
            return None
        return _item(_decode(_check(resp, key), _Item))

    async def range(self, prefix: str, *, is_stale_ok: bool = False) -> Snapshot:
        """Read all items under a prefix, page by page; not one moment's view.

        :param is_stale_ok: whether the answer may be seconds old, at a tenth of the price
        :return: the items, and the revision before which no change is missing from them
        """
        found: list[Item] = []
        rev: ids.Revision | None = None
        after = ""
        while True:
            page = await self.page(prefix, after=after, is_stale_ok=is_stale_ok)
            found.extend(page.items)
            rev = page.rev if rev is None else rev
            if not page.has_more:
                return Snapshot(tuple(found), rev)
            after = page.items[-1].key

    async def page(self, prefix: str, *, after: str = "", is_stale_ok: bool = False) -> Page:
        """Read some of the items under a prefix, in the order of their keys.

        :param after: the last key of the page before, empty for the first
        :param is_stale_ok: whether the answer may be seconds old, at a tenth of the price
        """
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        if is_stale_ok:
            query["serializable"] = "1"
        path = f"/kv-range?{urllib.parse.urlencode(query)}"
        resp = await self._call("GET", path, prefix)
        found = _decode(_check(resp, prefix), _Range)
        items = tuple(map(_item, found.items))
        return Page(items, ids.Revision(found.at), found.hasMore and bool(items))

    async def watch(self, prefix: str, *, after: ids.Revision, wait_s: float) -> Snapshot:
        """Wait for changes under a prefix.

        :param after: the revision seen last
        :param wait_s: seconds after which the answer comes without changes
        :raises errors.BronzequayError: HISTORY_LOST when the changes since are not kept
        """
        query = {"prefix": prefix, "after": after, "waitMs": round(wait_s * 1000)}
        path = f"/kv-watch?{urllib.parse.urlencode(query)}"
        resp = await self._call("GET", path, prefix, timeout_s=wait_s + WATCH_MARGIN_S)
        if resp.status == 410:  # noqa: PLR2004
            raise errors.BronzequayError(
                codes.ResultCode.HISTORY_LOST, f"changes since {after} are not kept: {prefix}"
            )
        page = _decode(_check(resp, prefix), _Events)
        return Snapshot(tuple(map(_item, page.events)), ids.Revision(page.at))

    async def txn(
        self,
        *,
        expect: Iterable[tuple[str, ids.Revision]],
        puts: Iterable[Put] = (),
        deletes: Sequence[str] = (),
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ids.Revision:
        """Write all or nothing if each expected key still has its revision.

        :return: the revision of the writes
        :raises Conflict: a condition did not hold
        :raises errors.BronzequayError: LEASE_LOST when a put's lease has ended
        """
        body = msgspec.json.encode(
            {
                "expectRev": [{"key": key, "revision": rev} for key, rev in expect],
                "puts": [_put(each) for each in puts],
                "deletes": deletes,
            }
        )
        resp = await self._call("POST", "/kv-txn", "transaction", body=body, timeout_s=timeout_s)
        if resp.status == 412:  # noqa: PLR2004
            raise Conflict(tuple(map(_item, _decode(resp, _Found).items)))
        if resp.status == 404:  # noqa: PLR2004
            raise _lease_lost()
        return ids.Revision(_decode(_check(resp, "transaction"), _Done).revision)

    async def grant(self, ttl_s: float, *, timeout_s: float = CALL_TIMEOUT_S) -> Lease:
        """Make a lease."""
        body = msgspec.json.encode({"ttlMs": round(ttl_s * 1000)})
        resp = await self._call("POST", "/kv-lease", "lease", body=body, timeout_s=timeout_s)
        granted = _decode(_check(resp, "lease"), _Lease)
        return Lease(granted.lease, granted.ttlMs / 1000)

    async def renew(self, lease: int, *, timeout_s: float = CALL_TIMEOUT_S) -> None:
        """Renew a lease.

        :raises errors.BronzequayError: LEASE_LOST when it has ended
        """
        resp = await self._call("POST", f"/kv-keep/{lease}", "lease", timeout_s=timeout_s)
        if resp.status == 404:  # noqa: PLR2004
            raise _lease_lost()
        _check(resp, "lease")

    async def revoke(self, lease: int, *, timeout_s: float = CALL_TIMEOUT_S) -> None:
        """End a lease and remove its keys."""
        path = f"/kv-lease-end/{lease}"
        _check(await self._call("DELETE", path, "lease", timeout_s=timeout_s), "lease")

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    async def _call(
        self,
        method: str,
        path: str,
        subject: str,
        *,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> client.Response:
        kind = path[1:].partition("?")[0].partition("/")[0]
        started_s = trio.current_time()
        try:
            resp = await self._http.request(method, path, body=body, timeout_s=timeout_s)
        except client.NotSentError as exc:
            figures.count(f'store_calls{{call="{kind}",outcome="not_sent"}}')
            self._contact.note_failure(kind, str(exc))
            raise errors.BronzequayError(
                codes.ResultCode.STORE_UNAVAILABLE, f"{exc}: {subject}"
            ) from exc
        except client.NoAnswerError as exc:
            figures.count(f'store_calls{{call="{kind}",outcome="no_answer"}}')
            self._contact.note_failure(kind, str(exc))
            raise errors.BronzequayError(
                codes.ResultCode.STORE_TIMEOUT, f"{exc}: {subject}"
            ) from exc
        figures.count(f'store_calls{{call="{kind}",outcome="{resp.status}"}}')
        if resp.status in REFUSALS:
            self._contact.note_failure(kind, f"HTTP {resp.status}")
            return resp
        took_s = 0.0 if kind == "kv-watch" else trio.current_time() - started_s
        if kind != "kv-watch":
            figures.observe("store_call", took_s)
        self._contact.note_answer(kind, took_s)
        return resp


def _put(each: Put) -> dict[str, Any]:
    text = base64.b64encode(each.value).decode("ascii")
    put: dict[str, Any] = {"key": each.key, "value": text}
    if each.lease:
        put["lease"] = each.lease
    return put


def _item(item: _Item) -> Item:
    value = None if item.deleted or not item.revision else base64.b64decode(item.value)
    return Item(item.key, value, ids.Revision(item.revision), ids.Revision(item.at))


def _decode(resp: client.Response, form: type[T]) -> T:
    try:
        return msgspec.json.decode(resp.body, type=form)
    except msgspec.MsgspecError as exc:
        raise errors.BronzequayError(
            codes.ResultCode.STORE_TIMEOUT, f"unreadable answer of the store: {exc}"
        ) from exc


def _check(resp: client.Response, subject: str) -> client.Response:
    if resp.status == 200:  # noqa: PLR2004
        return resp
    code = {
        429: codes.ResultCode.STORE_BUDGET,
        503: codes.ResultCode.STORE_UNAVAILABLE,
    }.get(resp.status, codes.ResultCode.INTERNAL)
    raise errors.BronzequayError(code, f"the store answered HTTP {resp.status}: {subject}")


def _lease_lost() -> errors.BronzequayError:
    return errors.BronzequayError(codes.ResultCode.LEASE_LOST, "the lease has ended")


__all__ = [
    "ABSENT",
    "MAX_ENTRIES",
    "Conflict",
    "Item",
    "Lease",
    "Page",
    "Put",
    "Snapshot",
    "Store",
]
