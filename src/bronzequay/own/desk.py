"""Answers the analyst and callers on an instance's own port."""

from __future__ import annotations

import hmac
import urllib.parse
from typing import TYPE_CHECKING, Any

import msgspec
import structlog

from bronzequay import codes, errors, figures, ids
from bronzequay.control import keys, lease, status
from bronzequay.core import model as core
from bronzequay.net import client, server
from bronzequay.obs import report, sheet
from bronzequay.own import records
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.front.follow import Follower
    from bronzequay.platform.kv import Store

JOBS = "/v1/jobs"
MAX_LIST = 1000
DEFAULT_LIST = 100
MAX_SHEET = 500
ASK_TIMEOUT_S = 1.0
"""Wait for the scheduler's own words on a job."""
FORWARDED = "forwarded"
STATUSES = {
    codes.ResultCode.UNAUTHENTICATED: 401,
    codes.ResultCode.UNKNOWN_JOB: 404,
    codes.ResultCode.NOT_FOUND: 404,
    codes.ResultCode.METHOD_NOT_ALLOWED: 405,
    codes.ResultCode.VALUE_OUT_OF_RANGE: 400,
}
"""HTTP statuses of result codes; others are 503, as the store cannot be asked."""

_log = structlog.get_logger()


class _JobPage(msgspec.Struct, frozen=True):
    jobs: tuple[model.JobRecord, ...]


class _Why(msgspec.Struct, frozen=True):
    job: ids.JobId
    why: str


class Desk:
    """Answers requests for jobs, reasons, the hire sheet, the state and the metrics.

    :param follower: the configuration, whose keys name organisations
    :param explain: the scheduler's reason for a job, None where this instance has none
    :param dump: the process's state
    :param analyst_token: opens every organisation's jobs; empty for nobody
    """

    def __init__(
        self,
        store: Store,
        follower: Follower,
        *,
        explain: Callable[[ids.JobId], str | None],
        dump: Callable[[], dict[str, Any]],
        analyst_token: str,
    ) -> None:
        self._store = store
        self._follower = follower
        self._explain = explain
        self._dump = dump
        self._analyst_token = analyst_token

    async def handle(self, req: server.Request) -> server.Answer:
        """Answer one request."""
        try:
            return await self._answer(req)
        except errors.BronzequayError as exc:
            _log.info("own_request_refused", path=req.path, code=exc.code.value, error=str(exc))
            body = msgspec.json.encode({"code": exc.code, "message": exc.message})
            return server.Answer(STATUSES.get(exc.code, 503), body)

    async def _answer(self, req: server.Request) -> server.Answer:
        if req.method != "GET":
            raise errors.BronzequayError(
                codes.ResultCode.METHOD_NOT_ALLOWED, f"{req.method} is not served here"
            )
        if req.path == "/metrics":
            return _text(figures.render(), "text/plain")
        if req.path == "/v1/state":
            return _json(self._dump())
        query = dict(urllib.parse.parse_qsl(req.query))
        org = self._identify(req)
        if req.path == JOBS:
            return _json(_JobPage(await self._list(org, query)))
        if req.path == "/hire-sheet":
            return await self._sheet(org, query)
        return await self._on_job(req, org, query)

    async def _on_job(
        self, req: server.Request, org: ids.OrgId | None, query: dict[str, str]
    ) -> server.Answer:
        path = req.path
        name, _, view = path.removeprefix(f"{JOBS}/").partition("/")
        if not path.startswith(f"{JOBS}/") or view not in ("", "why"):
            raise errors.BronzequayError(codes.ResultCode.NOT_FOUND, f"no such page: {path}")
        job = ids.JobId(name)
        told = await self._read(job, org)
        if not view:
            return _json(records.of(job, told))
        credentials = None if FORWARDED in query else req.headers["authorization"]
        return _json(_Why(job, await self._why(job, told, credentials)))

    def _identify(self, req: server.Request) -> ids.OrgId | None:
        """Return the organisation of a caller's key; None for the analyst.

        :raises errors.BronzequayError: UNAUTHENTICATED
        """
        scheme, _, key = req.headers.get("authorization", "").partition(" ")
        key = key.strip()
        if self._analyst_token and hmac.compare_digest(key.encode(), self._analyst_token.encode()):
            return None
        current = self._follower.current
        org = None if current is None else current.orgs_by_key.get(key)
        if scheme.lower() != "bearer" or org is None:
            raise errors.BronzequayError(codes.ResultCode.UNAUTHENTICATED, "no such key")
        return org

    async def _read(self, job: ids.JobId, org: ids.OrgId | None) -> status.Status:
        found = await self._store.get(keys.state(job))
        told = None if found is None or found.value is None else status.decode(found.value)
        if told is None or org not in (None, told.org):
            raise errors.BronzequayError(codes.ResultCode.UNKNOWN_JOB, f"no such job: {job}")
        return told

    async def _list(
        self, org: ids.OrgId | None, query: dict[str, str]
    ) -> tuple[model.JobRecord, ...]:
        """Return the newest jobs that the caller may see and asks for."""
        limit = _limit(query.get("limit"))
        state = _state(query.get("state"))
        wanted = query.get("org")
        found: list[model.JobRecord] = []
        after = ""
        while True:
            page = await self._store.page(keys.STATES, after=after, is_stale_ok=True)
            for item in page.items:
                told = status.decode(item.value or b"")
                record = records.of(keys.job_id_in(item.key), told)
                is_seen = org in (None, told.org) and wanted in (None, told.org)
                if is_seen and state in (None, record.state):
                    found.append(record)
            found.sort(key=lambda record: (-record.accepted_s, record.job))
            del found[limit:]
            if not page.has_more:
                return tuple(found)
            after = page.items[-1].key

    async def _sheet(self, org: ids.OrgId | None, query: dict[str, str]) -> server.Answer:
        state = _state(query.get("state") or None)
        chosen = {name: value for name, value in query.items() if value}
        found = await self._list(org, {**chosen, "limit": str(MAX_SHEET)})
        lines = [report.make_line(record) for record in found]
        page = sheet.render(lines, org=chosen.get("org") or org, state=state)
        return _text(page, "text/html; charset=utf-8")

    async def _why(self, job: ids.JobId, told: status.Status, credentials: str | None) -> str:
        """Tell what a job waits for, in the scheduler's words where it can be asked.

        :param credentials: to ask the scheduler with, None when it is not to be asked
        """
        state = core.JobState(told.state)
        if state in core.FINAL_STATES:
            return f"{state.value}: {told.reason or 'every task is done'}"
        reason = self._explain(job)
        if reason is None and credentials is not None:
            reason = await self._ask_scheduler(job, credentials)
        return reason or f"{state.value}; the scheduler could not be asked"

    async def _ask_scheduler(self, job: ids.JobId, credentials: str) -> str | None:
        found = await self._store.get(keys.LEADER)
        if found is None or found.value is None:
            return None
        leader = msgspec.msgpack.decode(found.value, type=lease.Leader)
        if not leader.address:
            return None
        calls = client.Client(leader.address)
        headers = {"Authorization": credentials}
        path = f"{JOBS}/{job}/why?{FORWARDED}=1"
        try:
            resp = await calls.request("GET", path, headers=headers, timeout_s=ASK_TIMEOUT_S)
        except (client.NotSentError, client.NoAnswerError) as exc:
            _log.info("scheduler_not_asked", job=job, scheduler=leader.instance, error=str(exc))
            return None
        finally:
            calls.close()
        return msgspec.json.decode(resp.body, type=_Why).why if resp.status == 200 else None  # noqa: PLR2004


def _limit(text: str | None) -> int:
    if text is None:
        return DEFAULT_LIST
    if not text.isdigit() or not 1 <= int(text) <= MAX_LIST:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_OUT_OF_RANGE, f"from 1 to {MAX_LIST}", field="limit"
        )
    return int(text)


def _state(text: str | None) -> model.JobState | None:
    try:
        return None if text is None else model.JobState(text)
    except ValueError:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_OUT_OF_RANGE, "no such state", field="state"
        ) from None


def _json(body: object) -> server.Answer:
    return server.Answer(200, msgspec.json.encode(body))


def _text(body: str, kind: str) -> server.Answer:
    return server.Answer(200, body.encode(), (("Content-Type", kind),))


__all__ = ["Desk"]
