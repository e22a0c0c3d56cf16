"""Single attempts of the platform's calls; docs/reference/platform.md documents the protocol."""

from __future__ import annotations

import base64
import dataclasses
import urllib.parse
from typing import TYPE_CHECKING, Any, TypeVar

import httpx
import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.store import entries, history, retry
from bronzequay.store import purpose as purposes

if TYPE_CHECKING:
    from bronzequay.store import budget as budgets

T = TypeVar("T")

_STATUS_ERRORS = {
    409: (codes.ResultCode.STORE_CONFLICT, "another writer changed the key first"),
    410: (codes.ResultCode.LEASE_LOST, "the lease has expired"),
    413: (codes.ResultCode.VALUE_TOO_LARGE, "the value is larger than 1 MB"),
    429: (codes.ResultCode.STORE_BUDGET, "the platform's call budget is exhausted"),
    503: (codes.ResultCode.STORE_UNAVAILABLE, "the platform's service rejects calls"),
}


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


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Subject of a call for error messages, its purpose and its deadline."""

    subject: str
    purpose: purposes.Purpose
    deadline_s: float


def status_error(status: int, subject: str) -> errors.BronzequayError:
    """Return the error for an HTTP status that is not accepted."""
    if status not in _STATUS_ERRORS and status >= httpx.codes.INTERNAL_SERVER_ERROR:
        return unknown_outcome(subject)
    code, text = _STATUS_ERRORS.get(
        status, (codes.ResultCode.INTERNAL, f"unexpected HTTP status {status}")
    )
    return errors.BronzequayError(code, f"{text}: {subject}")


def _path(key: str) -> str:
    return f"/v1/kv/{urllib.parse.quote(key)}"


def _decode(resp: httpx.Response, item_type: type[T]) -> T:
    try:
        return msgspec.json.decode(resp.content, type=item_type)
    except msgspec.MsgspecError as exc:
        raise errors.BronzequayError(
            codes.ResultCode.INTERNAL, f"cannot decode the platform's answer: {exc}"
        ) from exc


def _to_record(item: _Item) -> entries.Record:
    rev = ids.Revision(item.rev)
    if item.value_b64 is None:
        return entries.Record(key=item.key, rev=rev, writes=(), value=None)
    writes, value = history.decode(base64.b64decode(item.value_b64))
    return entries.Record(key=item.key, rev=rev, writes=writes, value=value)


class WireClient:
    """Makes single attempts of calls, without retries.

    STORE_TIMEOUT is the only error after which a write may have taken effect or may still
    do so; after any other error it has not.

    :param base_url: the service's URL
    :param http: HTTP client for the calls
    :param budget: rate limits of the calls; unlimited if None
    """

    def __init__(
        self, *, base_url: str, http: httpx.AsyncClient, budget: budgets.Budget | None
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._http = http
        self.budget = budget
        self._timeout = retry.AttemptTimeout()
        self.max_seen_rev = ids.Revision(0)

    async def get(self, key: str, call: Call) -> entries.Record:
        """Read a key; an absent key has revision 0."""
        resp = await self._attempt("GET", _path(key), call, accept=(200, 404))
        if resp.status_code == httpx.codes.NOT_FOUND:
            return entries.Record(key=key, rev=entries.ABSENT, writes=(), value=None)
        writes, value = history.decode(resp.content)
        rev = self._track_rev(int(resp.headers["x-revision"]))
        return entries.Record(key=key, rev=rev, writes=writes, value=value)

    async def put(
        self, key: str, data: bytes, *, rev: ids.Revision, lease: ids.LeaseId | None, call: Call
    ) -> ids.Revision:
        """Write a key's stored bytes if its revision is still ``rev``."""
        params: dict[str, Any] = {"rev": rev}
        if lease is not None:
            params["lease"] = lease
        resp = await self._attempt("PUT", _path(key), call, params=params, content=data)
        try:
            return self._track_rev(_decode(resp, _Rev).rev)
        except errors.BronzequayError as exc:
            raise unknown_outcome(key) from exc

    async def delete(self, key: str, *, rev: ids.Revision, call: Call) -> None:
        """Delete a key if its revision is still ``rev``; an absent key is no error."""
        params = {"rev": rev}
        await self._attempt("DELETE", _path(key), call, params=params, accept=(200, 404))

    async def range(
        self, prefix: str, call: Call
    ) -> tuple[ids.Revision, tuple[entries.Record, ...]]:
        """Read all keys under a prefix.

        :return: the store-wide revision and each key's record
        """
        resp = await self._attempt("GET", "/v1/range", call, params={"prefix": prefix})
        answer = _decode(resp, _Items)
        return ids.Revision(answer.rev), tuple(_to_record(item) for item in answer.items)

    async def watch(
        self, prefix: str, *, after: ids.Revision, wait_s: float, call: Call
    ) -> tuple[ids.Revision, tuple[entries.Record, ...]]:
        """Wait for changes under a prefix, as one long poll.

        :param after: the store-wide revision after which changes count
        :param wait_s: seconds after which the service answers without changes
        :return: the store-wide revision and each changed key's latest record
        """
        params = {"prefix": prefix, "after": after, "wait_s": wait_s}
        resp = await self._attempt("GET", "/v1/watch", call, params=params, extra_timeout_s=wait_s)
        answer = _decode(resp, _Events)
        return ids.Revision(answer.rev), tuple(_to_record(item) for item in answer.events)

    async def grant(self, ttl_s: float, call: Call) -> ids.LeaseId:
        """Create a lease that expires ``ttl_s`` seconds after its last renewal."""
        resp = await self._attempt("POST", "/v1/lease", call, params={"ttl_s": ttl_s})
        return ids.LeaseId(_decode(resp, _Granted).lease)

    async def renew(self, lease: ids.LeaseId, call: Call, *, extra_timeout_s: float = 0.0) -> None:
        """Renew a lease.

        :param extra_timeout_s: seconds added to the timeout of the attempt
        """
        await self._attempt(
            "POST", f"/v1/lease/{lease}/renew", call, extra_timeout_s=extra_timeout_s
        )

    async def revoke(self, lease: ids.LeaseId, call: Call) -> None:
        """End a lease; its keys are deleted."""
        await self._attempt("DELETE", f"/v1/lease/{lease}", call)

    async def instances(self, call: Call) -> tuple[entries.InstanceEntry, ...]:
        """Read the platform's list of instances, which lags behind the changes."""
        resp = await self._attempt("GET", "/v1/instances", call)
        return tuple(
            entries.InstanceEntry(
                id=ids.InstanceId(item.id),
                kind=item.kind,
                address=item.address,
                data_centre=ids.DataCentreId(item.data_centre),
                state=item.state,
            )
            for item in _decode(resp, _Instances).instances
        )

    def _track_rev(self, rev: int) -> ids.Revision:
        self.max_seen_rev = max(self.max_seen_rev, ids.Revision(rev))
        return ids.Revision(rev)

    async def _attempt(
        self,
        method: str,
        path: str,
        call: Call,
        *,
        params: dict[str, Any] | None = None,
        content: bytes | None = None,
        accept: tuple[int, ...] = (200,),
        extra_timeout_s: float = 0.0,
    ) -> httpx.Response:
        is_write = method != "GET"
        if self.budget is not None:
            await self.budget.acquire(call.purpose, is_write=is_write, deadline_s=call.deadline_s)
        started_s = trio.current_time()
        attempt_deadline_s = min(
            call.deadline_s, started_s + self._timeout.timeout_s + extra_timeout_s
        )
        try:
            with trio.fail_at(attempt_deadline_s):
                resp = await self._http.request(
                    method, self._base_url + path, params=params, content=content, timeout=None
                )
        except httpx.ConnectError as exc:
            raise errors.BronzequayError(
                codes.ResultCode.STORE_UNAVAILABLE, f"no connection to the platform: {call.subject}"
            ) from exc
        except (httpx.TransportError, trio.TooSlowError) as exc:
            if isinstance(exc, trio.TooSlowError):
                self._timeout.on_timeout()
            raise unknown_outcome(call.subject) from exc
        if not extra_timeout_s:
            self._timeout.on_answer(trio.current_time() - started_s)
        if resp.status_code == httpx.codes.TOO_MANY_REQUESTS and self.budget is not None:
            self.budget.slow_down(is_write=is_write)
        if resp.status_code not in accept:
            raise status_error(resp.status_code, call.subject)
        return resp


def unknown_outcome(subject: str) -> errors.BronzequayError:
    """Return the error of a call whose outcome is unknown."""
    return errors.BronzequayError(
        codes.ResultCode.STORE_TIMEOUT, f"no answer, the outcome is unknown: {subject}"
    )


__all__ = ["Call", "WireClient", "status_error", "unknown_outcome"]
