"""Client of the platform's key-value store."""

from __future__ import annotations

import base64
import math
import urllib.parse
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from bronzequay import codes, errors, figures, ids
from bronzequay.net import client
from bronzequay.platform import kv_wire, store_contact

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

CALL_TIMEOUT_S = 1.5
"""An answer usually takes 4 ms, and about 250 ms when the store is slow."""
FIRST_TIMEOUT_S = 0.4
"""Timeout of a small read that is repeated soon; a slow store takes 0.25 s."""
WATCH_MARGIN_S = 0.75
"""Time in which the answer of a watch has to begin, beyond the wait that the watch requests: a slow
store takes 0.25 s, and other answers occupy a slow link."""
BULK_WATCH_MARGIN_S = 1.5
"""The same for prefixes with thousands of changes a second."""
PROBE_KEY = "bronzequay/leader"
"""Key that probes read; whether it exists does not matter."""
FRESH_S = 0.05
"""Age of the latest answer up to which the store counts as answering without a probe."""
LOST_S = 1.0
"""Time over which all calls have failed and after which writes are not tried at all; the watch of
the configuration goes on trying."""
REFUSALS = frozenset({429, 503})
"""HTTP statuses with which the store guarantees that the call had no effect."""
ABSENT = ids.Revision(0)
"""Expected revision of a key that must not exist."""
MAX_ENTRIES = 32
"""Limit on the entries of one transaction: conditions, writes and deletions together."""


class Item(msgspec.Struct, frozen=True):
    """A key with its value and revision.

    :param value: None when the key was deleted
    :param rev: revision of the key's last write
    :param seen_rev: the store's revision when the key was read, from which to watch
    """

    key: str
    value: bytes | None
    rev: ids.Revision
    seen_rev: ids.Revision = ABSENT


class Snapshot(msgspec.Struct, frozen=True):
    """Items under a prefix, or changes of them, and the revision from which to watch."""

    items: tuple[Item, ...]
    rev: ids.Revision


class Page(msgspec.Struct, frozen=True):
    """Some items under a prefix, and whether more follow."""

    items: tuple[Item, ...]
    rev: ids.Revision
    has_more: bool


class Put(msgspec.Struct, frozen=True):
    """One write of a transaction.

    :param lease: id of the lease whose end deletes the key, 0 for none
    """

    key: str
    value: bytes
    lease: int = 0


class Lease(msgspec.Struct, frozen=True):
    """A lease of the store.

    :param lease: its id in the store
    :param ttl_s: seconds for which it holds after its last renewal arrived at the store
    """

    lease: int
    ttl_s: float


class Conflict(errors.BronzequayError):
    """A condition of a transaction did not hold; nothing was written.

    :param items: current state of the keys that the conditions name
    """

    def __init__(self, items: tuple[Item, ...]) -> None:
        super().__init__(codes.ResultCode.STORE_CONFLICT, "another writer changed the key first")
        self.items = items


class Store:
    """Client of the store; it never retries a call.

    STORE_UNAVAILABLE and STORE_BUDGET mean that the call had no effect; STORE_TIMEOUT means that
    it may have taken effect, or may do so seconds later.

    :param address: ``IP:PORT``
    """

    def __init__(self, address: str) -> None:
        self._http = client.Client(address)
        self._contact = store_contact.StoreContact()

    async def get(
        self,
        key: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        transfer: client.Transfer | None = None,
    ) -> Item | None:
        """Return a key's item, None when the key does not exist.

        :param timeout_s: with ``transfer`` the time until the answer begins
        :param transfer: limits the rest of an answer of any size
        """
        path = f"/kv-key?{urllib.parse.urlencode({'key': key})}"
        resp = await self._call("GET", path, key, timeout_s=timeout_s, transfer=transfer)
        if resp.status == 404:  # noqa: PLR2004
            return None
        return _decode_item(kv_wire.decode(_check_status(resp, key).body, kv_wire.Item))

    async def ensure_answering(self, *, timeout_s: float = FIRST_TIMEOUT_S) -> None:
        """Check that the store answers, so that a write need not be tried while it does not.

        Unless the latest call was answered just now, this makes a read whose answer may be stale,
        at a tenth of the cost of others.

        :raises errors.BronzequayError: STORE_UNAVAILABLE when the store does not answer
        """
        if self._contact.has_answered_within(FRESH_S):
            return
        if self._contact.has_failed_for(LOST_S):
            raise errors.BronzequayError(
                codes.ResultCode.STORE_UNAVAILABLE,
                f"the store has not answered for {LOST_S:g} s: nothing was sent",
            )
        query = urllib.parse.urlencode({"key": PROBE_KEY, "serializable": "1"})
        try:
            resp = await self._call("GET", f"/kv-key?{query}", "probe", timeout_s=timeout_s)
        except errors.BronzequayError as exc:
            raise errors.BronzequayError(
                codes.ResultCode.STORE_UNAVAILABLE, f"the store does not answer: {exc}"
            ) from exc
        if resp.status != 404:  # noqa: PLR2004
            _check_status(resp, "probe")

    async def range(self, prefix: str, *, is_stale_ok: bool = False) -> Snapshot:
        """Read all items under a prefix, page by page; the pages are not one consistent snapshot.

        :param is_stale_ok: whether the answer may be seconds old, at a tenth of the cost
        :return: the items, and the first page's revision; the items include every change up to it,
            so a watch from it misses none
        """
        items: list[Item] = []
        rev: ids.Revision | None = None
        after = ""
        while True:
            page = await self.page(prefix, after=after, is_stale_ok=is_stale_ok)
            items.extend(page.items)
            rev = page.rev if rev is None else rev
            if not page.has_more:
                return Snapshot(tuple(items), rev)
            after = page.items[-1].key

    async def page(self, prefix: str, *, after: str = "", is_stale_ok: bool = False) -> Page:
        """Read one page of the items under a prefix, in the order of their keys.

        :param after: the last key of the previous page, empty for the first page
        :param is_stale_ok: whether the answer may be seconds old, at a tenth of the cost
        """
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        if is_stale_ok:
            query["serializable"] = "1"
        path = f"/kv-range?{urllib.parse.urlencode(query)}"
        # A page of 1 MB takes longer on a slow link than other calls may.
        resp = await self._call("GET", path, prefix, transfer=client.Transfer())
        wire = kv_wire.decode(_check_status(resp, prefix).body, kv_wire.Range)
        items = tuple(map(_decode_item, wire.items))
        return Page(items, ids.Revision(wire.at), wire.hasMore and bool(items))

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait_s: float,
        margin_s: float = WATCH_MARGIN_S,
        answer_s: float = math.inf,
        transfer: client.Transfer | None = None,
    ) -> Snapshot:
        """Wait for changes under a prefix.

        :param after: revision after which changes are returned
        :param wait_s: seconds after which the store answers without changes
        :param margin_s: further seconds allowed for the answer to begin
        :param answer_s: limit on the time from its first bytes to its last
        :param transfer: records its progress
        :raises errors.BronzequayError: HISTORY_LOST when the store has compacted these changes, or
            they are larger than ``transfer`` permits; STORE_TIMEOUT also when the store answers
            other calls again after an outage
        """
        query = {"prefix": prefix, "after": after, "waitMs": round(wait_s * 1000)}
        path = f"/kv-watch?{urllib.parse.urlencode(query)}"
        resp: client.Response | None = None
        transfer = transfer or client.Transfer(max_s=answer_s)
        with self._contact.watch_scope(transfer):
            resp = await self._call(
                "GET", path, prefix, timeout_s=wait_s + margin_s, transfer=transfer
            )
        if resp is None:
            raise errors.BronzequayError(
                codes.ResultCode.STORE_TIMEOUT, f"a watch from before an outage was ended: {prefix}"
            )
        if resp.status == 410:  # noqa: PLR2004
            raise errors.BronzequayError(
                codes.ResultCode.HISTORY_LOST,
                f"changes since revision {after} were compacted: {prefix}",
            )
        wire = kv_wire.decode(_check_status(resp, prefix).body, kv_wire.Events)
        return Snapshot(tuple(map(_decode_item, wire.events)), ids.Revision(wire.at))

    async def txn(
        self,
        *,
        expect: Iterable[tuple[str, ids.Revision]],
        puts: Iterable[Put] = (),
        deletes: Sequence[str] = (),
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ids.Revision:
        """Apply all writes atomically if every expected key still has its revision.

        :param expect: keys and their expected revisions, ``ABSENT`` for a key that must not exist
        :param deletes: keys to delete
        :return: the revision of the writes
        :raises Conflict: when a condition does not hold
        :raises errors.BronzequayError: LEASE_LOST when a put's lease has ended
        """
        body = msgspec.json.encode(
            {
                "expectRev": [{"key": key, "revision": rev} for key, rev in expect],
                "puts": [_encode_put(put) for put in puts],
                "deletes": deletes,
            }
        )
        resp = await self._call("POST", "/kv-txn", "transaction", body=body, timeout_s=timeout_s)
        if resp.status == 412:  # noqa: PLR2004
            raise Conflict(
                tuple(map(_decode_item, kv_wire.decode(resp.body, kv_wire.ConflictItems).items))
            )
        if resp.status == 404:  # noqa: PLR2004
            raise _lease_lost()
        return ids.Revision(
            kv_wire.decode(_check_status(resp, "transaction").body, kv_wire.Committed).revision
        )

    async def grant(self, ttl_s: float, *, timeout_s: float = CALL_TIMEOUT_S) -> Lease:
        """Grant a lease.

        :param ttl_s: seconds for which it holds without a renewal
        """
        body = msgspec.json.encode({"ttlMs": round(ttl_s * 1000)})
        resp = await self._call("POST", "/kv-lease", "lease", body=body, timeout_s=timeout_s)
        granted = kv_wire.decode(_check_status(resp, "lease").body, kv_wire.Lease)
        return Lease(granted.lease, granted.ttlMs / 1000)

    async def renew(self, lease: int, *, timeout_s: float = CALL_TIMEOUT_S) -> None:
        """Renew a lease.

        :param lease: its id
        :raises errors.BronzequayError: LEASE_LOST when it has ended
        """
        resp = await self._call("POST", f"/kv-keep/{lease}", "lease", timeout_s=timeout_s)
        if resp.status == 404:  # noqa: PLR2004
            raise _lease_lost()
        _check_status(resp, "lease")

    async def revoke(self, lease: int, *, timeout_s: float = CALL_TIMEOUT_S) -> None:
        """Revoke a lease, which deletes its keys.

        :param lease: its id
        """
        path = f"/kv-lease-end/{lease}"
        _check_status(await self._call("DELETE", path, "lease", timeout_s=timeout_s), "lease")

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
        transfer: client.Transfer | None = None,
    ) -> client.Response:
        call = path[1:].partition("?")[0].partition("/")[0]
        started_s = trio.current_time()
        try:
            resp = await self._http.request(
                method, path, body=body, timeout_s=timeout_s, transfer=transfer
            )
        except client.NotSentError as exc:
            figures.count(f'store_calls{{call="{call}",outcome="not_sent"}}')
            self._contact.record_failure(call, str(exc))
            raise errors.BronzequayError(
                codes.ResultCode.STORE_UNAVAILABLE, f"{exc}: {subject}"
            ) from exc
        except client.TooLargeError as exc:
            figures.count(f'store_calls{{call="{call}",outcome="too_large"}}')
            self._contact.record_answer(call, 0.0)
            raise errors.BronzequayError(
                codes.ResultCode.HISTORY_LOST, f"{exc}: {subject}"
            ) from exc
        except client.NoResponseError as exc:
            figures.count(f'store_calls{{call="{call}",outcome="no_answer"}}')
            self._contact.record_failure(call, str(exc))
            raise errors.BronzequayError(
                codes.ResultCode.STORE_TIMEOUT, f"{exc}: {subject}"
            ) from exc
        figures.count(f'store_calls{{call="{call}",outcome="{resp.status}"}}')
        if resp.status in REFUSALS:
            self._contact.record_failure(call, f"HTTP {resp.status}")
            return resp
        elapsed_s = 0.0 if call == "kv-watch" else trio.current_time() - started_s
        if call != "kv-watch":
            figures.observe("store_call", elapsed_s)
        self._contact.record_answer(call, elapsed_s)
        return resp


def _encode_put(put: Put) -> dict[str, Any]:
    text = base64.b64encode(put.value).decode("ascii")
    wire: dict[str, Any] = {"key": put.key, "value": text}
    if put.lease:
        wire["lease"] = put.lease
    return wire


def _decode_item(wire: kv_wire.Item) -> Item:
    value = kv_wire.decode_value(wire)
    return Item(wire.key, value, ids.Revision(wire.revision), ids.Revision(wire.at))


def _check_status(resp: client.Response, subject: str) -> client.Response:
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
