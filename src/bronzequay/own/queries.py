"""Read-only HTTP interface for the analyst and callers on an instance's own port."""

from __future__ import annotations

import hmac
import re
import urllib.parse
from typing import TYPE_CHECKING, Any

import msgspec
import structlog

from bronzequay import clock, codes, errors, figures, ids
from bronzequay.control import keys, lease, status
from bronzequay.core import model as core
from bronzequay.net import client, server
from bronzequay.obs import report, sheet
from bronzequay.own import records
from bronzequay.platform import instances
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.front.config_watcher import ConfigurationWatcher
    from bronzequay.platform.kv import Store

JOBS = "/v1/jobs"
MAX_LIMIT = 1000
DEFAULT_LIMIT = 100
MAX_SHEET_LINES = 500
SCHEDULER_TIMEOUT_S = 1.0
"""Timeout of a query to the scheduler for the reason why a job waits."""
_EPOCH = re.compile(r"[0-9]{1,16}")
FORWARDED = "forwarded"
"""Query parameter of a forwarded request, which is not forwarded again."""
STATUSES = {
    codes.ResultCode.UNAUTHENTICATED: 401,
    codes.ResultCode.UNKNOWN_JOB: 404,
    codes.ResultCode.NOT_FOUND: 404,
    codes.ResultCode.METHOD_NOT_ALLOWED: 405,
    codes.ResultCode.VALUE_OUT_OF_RANGE: 400,
}
"""HTTP statuses by result code; any other code means that the store failed and gives 503."""

_log = structlog.get_logger()


class _JobPage(msgspec.Struct, frozen=True):
    jobs: tuple[model.JobRecord, ...]


class _Why(msgspec.Struct, frozen=True):
    job: ids.JobId
    why: str


class QueryHandler:
    """Serves queries for jobs, reasons, the hire sheet, the state and the metrics.

    :param configuration: watches the configuration, whose API keys identify organisations
    :param explain: returns why a job waits, None when this instance is not the scheduler
    :param dump: returns the process's state
    :param term_state: returns whether this process holds a term
    :param analyst_token: gives access to every organisation's jobs; empty disables it
    """

    def __init__(
        self,
        store: Store,
        configuration: ConfigurationWatcher,
        *,
        explain: Callable[[ids.JobId], str | None],
        dump: Callable[[], dict[str, Any]],
        analyst_token: str,
        term_state: Callable[[ids.Epoch], instances.TermState],
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._explain = explain
        self._dump = dump
        self._analyst_token = analyst_token
        self._term_state = term_state

    async def handle(self, req: server.Request) -> server.Response:
        """Respond to one request."""
        try:
            return await self._respond(req)
        except errors.BronzequayError as exc:
            _log.info("own_request_refused", path=req.path, code=exc.code.value, error=str(exc))
            body = msgspec.json.encode({"code": exc.code, "message": exc.message})
            return server.Response(STATUSES.get(exc.code, 503), body)

    async def _respond(self, req: server.Request) -> server.Response:
        if req.method != "GET":
            raise errors.BronzequayError(
                codes.ResultCode.METHOD_NOT_ALLOWED, f"{req.method} is not allowed; use GET"
            )
        response = self._show_process(req.path)
        if response is not None:
            return response
        query = dict(urllib.parse.parse_qsl(req.query))
        org = self._identify(req)
        if req.path == JOBS:
            return _json(_JobPage(await self._list_jobs(org, query)))
        if req.path == "/v1/report":
            return _json(await self._report(org, query))
        if req.path == "/hire-sheet":
            return await self._render_sheet(org, query)
        return await self._show_job(req, org, query)

    def _show_process(self, path: str) -> server.Response | None:
        """Return a page about this process, which needs no key; None if the path names none."""
        if path == "/metrics":
            return _text(figures.render(), "text/plain")
        if path == "/v1/state":
            return _json(self._dump())
        if path.startswith(instances.TERMS):
            return _json(self._term_state(_parse_epoch(path.removeprefix(instances.TERMS))))
        return None

    async def _show_job(
        self, req: server.Request, org: ids.OrgId | None, query: dict[str, str]
    ) -> server.Response:
        path = req.path
        name, _, view = path.removeprefix(f"{JOBS}/").partition("/")
        if not path.startswith(f"{JOBS}/") or view not in ("", "why"):
            raise errors.BronzequayError(codes.ResultCode.NOT_FOUND, f"no such page: {path}")
        job = ids.JobId(name)
        job_status = await self._read_status(job, org)
        if not view:
            return _json(records.job_record(job, job_status))
        credentials = None if FORWARDED in query else req.headers["authorization"]
        return _json(_Why(job, await self._explain_job(job, job_status, credentials)))

    def _identify(self, req: server.Request) -> ids.OrgId | None:
        """Return the organisation of the request's API key; None for the analyst.

        :raises errors.BronzequayError: UNAUTHENTICATED when the key is missing or unknown,
            STORE_UNAVAILABLE when the keys may have changed
        """
        scheme, _, key = req.headers.get("authorization", "").partition(" ")
        key = key.strip()
        if self._analyst_token and hmac.compare_digest(key.encode(), self._analyst_token.encode()):
            return None
        current = self._configuration.confirmed
        if current is None:
            raise errors.BronzequayError(
                codes.ResultCode.STORE_UNAVAILABLE, "the API keys cannot be read at present"
            )
        org = current.orgs_by_key.get(key)
        if scheme.lower() != "bearer" or org is None:
            raise errors.BronzequayError(
                codes.ResultCode.UNAUTHENTICATED, "the API key is missing or unknown"
            )
        return org

    async def _read_status(self, job: ids.JobId, org: ids.OrgId | None) -> status.Status:
        item = await self._store.get(keys.state(job))
        job_status = None if item is None or item.value is None else status.decode(item.value)
        is_known = job_status is not None and not job_status.is_tombstone
        if job_status is None or not is_known or org not in (None, job_status.org):
            raise errors.BronzequayError(codes.ResultCode.UNKNOWN_JOB, f"no such job: {job}")
        return job_status

    async def _list_jobs(
        self, org: ids.OrgId | None, query: dict[str, str]
    ) -> tuple[model.JobRecord, ...]:
        """Return the newest jobs that match the query and that the caller may see."""
        limit = _parse_limit(query.get("limit"))
        state = _parse_state(query.get("state"))
        queried_org = query.get("org")
        matches: list[model.JobRecord] = []
        after = ""
        while True:
            page = await self._store.page(keys.STATES, after=after, is_stale_ok=True)
            for item in page.items:
                job_status = status.decode(item.value or b"")
                if job_status.is_tombstone:
                    continue
                record = records.job_record(keys.job_id_in(item.key), job_status)
                is_visible = org in (None, job_status.org) and queried_org in (None, job_status.org)
                if is_visible and state in (None, record.state):
                    matches.append(record)
            matches.sort(key=lambda record: (-record.accepted_s, record.job))
            del matches[limit:]
            if not page.has_more:
                return tuple(matches)
            after = page.items[-1].key

    async def _report(self, org: ids.OrgId | None, query: dict[str, str]) -> report.Report:
        """Return the newest jobs of a period, and how well their run times are predicted."""
        filters = {name: value for name, value in query.items() if name == "org"}
        jobs = await self._list_jobs(org, {**filters, "limit": str(MAX_LIMIT)})
        # Speeds of the fleet are the analyst's business alone.
        item = await self._store.get(keys.LEARNED) if org is None else None
        value = None if item is None else item.value
        found = report.build(
            jobs,
            from_s=_parse_time(query.get("from"), 0.0),
            to_s=_parse_time(query.get("to"), clock.wall_s()),
        )
        return msgspec.structs.replace(found, predictions=records.predictions(value))

    async def _render_sheet(self, org: ids.OrgId | None, query: dict[str, str]) -> server.Response:
        state = _parse_state(query.get("state") or None)
        filters = {name: value for name, value in query.items() if value}
        jobs = await self._list_jobs(org, {**filters, "limit": str(MAX_SHEET_LINES)})
        lines = [report.make_line(record) for record in jobs]
        page = sheet.render(lines, org=filters.get("org") or org, state=state)
        return _text(page, "text/html; charset=utf-8")

    async def _explain_job(
        self, job: ids.JobId, job_status: status.Status, credentials: str | None
    ) -> str:
        """Return the reason for a job's state; the scheduler explains jobs that have not ended.

        :param credentials: Authorization header for a query to the scheduler, None to send none
        """
        state = core.JobState(job_status.state)
        if state in core.FINAL_STATES:
            return f"{state.value}: {job_status.reason or 'every task is done'}"
        reason = self._explain(job)
        if reason is None and credentials is not None:
            reason = await self._query_scheduler(job, credentials)
        return reason or f"{state.value}; the scheduler could not be asked"

    async def _query_scheduler(self, job: ids.JobId, credentials: str) -> str | None:
        item = await self._store.get(keys.LEADER)
        if item is None or item.value is None:
            return None
        leader = msgspec.msgpack.decode(item.value, type=lease.LeaderRecord)
        if not leader.address:
            return None
        http_client = client.Client(
            leader.address, max_response_bytes=client.MAX_SHORT_RESPONSE_BYTES
        )
        headers = {"Authorization": credentials}
        path = f"{JOBS}/{job}/why?{FORWARDED}=1"
        try:
            resp = await http_client.request(
                "GET", path, headers=headers, timeout_s=SCHEDULER_TIMEOUT_S
            )
        except (client.NotSentError, client.NoResponseError) as exc:
            _log.info("scheduler_query_failed", job=job, scheduler=leader.instance, error=str(exc))
            return None
        finally:
            http_client.close()
        return msgspec.json.decode(resp.body, type=_Why).why if resp.status == 200 else None  # noqa: PLR2004


def _parse_limit(text: str | None) -> int:
    if text is None:
        return DEFAULT_LIMIT
    if not text.isdigit() or not 1 <= int(text) <= MAX_LIMIT:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_OUT_OF_RANGE,
            f"the limit must be from 1 to {MAX_LIMIT}",
            field="limit",
        )
    return int(text)


def _parse_epoch(text: str) -> ids.Epoch:
    if not _EPOCH.fullmatch(text):
        raise errors.BronzequayError(codes.ResultCode.NOT_FOUND, f"no such term: {text}")
    return ids.Epoch(int(text))


def _parse_time(text: str | None, default: float) -> float:
    try:
        return default if text is None else float(text)
    except ValueError:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_OUT_OF_RANGE,
            "must be seconds since the Unix epoch",
            field="from/to",
        ) from None


def _parse_state(text: str | None) -> model.JobState | None:
    try:
        return None if text is None else model.JobState(text)
    except ValueError:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_OUT_OF_RANGE, "unknown job state", field="state"
        ) from None


def _json(body: object) -> server.Response:
    return server.Response(200, msgspec.json.encode(body))


def _text(body: str, content_type: str) -> server.Response:
    return server.Response(200, body.encode(), (("Content-Type", content_type),))


__all__ = ["QueryHandler"]
