"""HTTP requests of callers: submit, query and cancel a job, count the waiting jobs."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import clock, codes, errors, figures, ids
from bronzequay.control import keys, status
from bronzequay.core import model
from bronzequay.net import server
from bronzequay.platform import config, ingress, kv

if TYPE_CHECKING:
    from bronzequay.front.admission import Admission
    from bronzequay.front.config_watcher import ConfigurationWatcher
    from bronzequay.platform.config import Configuration
    from bronzequay.platform.kv import Store

RETRY_AFTER_S = 1
ATTEMPT_TIMEOUT_S = 0.5
"""Timeout of one attempt to write; a slow store takes 0.25 s."""
MIN_ATTEMPT_TIMEOUT_S = 0.05
"""Timeout of an attempt whose caller has hardly any time left; an answer usually takes 4 ms."""
PROBE_TIMEOUT_S = 0.4
"""Timeout of the check that the store answers; a slow store takes 0.25 s."""
WRITE_TIMEOUT_S = 1.1
"""Time for which an unanswered write is retried before the caller gets a 504."""
RETRY_DELAY_S = 0.05
RESPONSE_MARGIN_S = 0.2
"""Part of the caller's timeout that is reserved for sending the response."""
DEFAULT_TIMEOUT_S = 3.0
_REJECTION_STATUSES = frozenset({400, 401, 404, 405, 413})
_MILLISECONDS = re.compile(r"[0-9]{1,15}")
NO_ORG = ids.OrgId("")
"""Organisation of callers of public routes that send no known API key."""

_log = structlog.get_logger()


class _JobRequest(msgspec.Struct, frozen=True):
    """A request about one job, after routing and authentication.

    :param version: version of the configuration by which it was routed
    """

    version: int
    route: config.Route
    org: ids.OrgId
    job: ids.JobId
    req: server.Request


class Handler:
    """Serves callers' requests from the store alone.

    :param configuration: watches the configuration in force
    :param admission: refuses jobs that can no longer end in time, None if none are refused
    """

    def __init__(
        self,
        store: Store,
        configuration: ConfigurationWatcher,
        admission: Admission | None = None,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._admission = admission

    async def handle(self, req: server.Request) -> server.Response:
        """Respond to one request."""
        current = self._configuration.confirmed
        if current is None:
            return self._refuse_unconfirmed(req)
        started_s = trio.current_time()
        try:
            return await self._respond(current, req)
        finally:
            figures.observe("answer", trio.current_time() - started_s)

    def _refuse_unconfirmed(self, req: server.Request) -> server.Response:
        """Refuse a request: a later version may withdraw what it uses, or add what it asks for."""
        _log.warning(
            "request_refused",
            path=req.path,
            status=503,
            why="configuration unconfirmed",
            version=self._configuration.version,
            configuration_age_s=self._configuration_age_s,
        )
        figures.count('requests_refused{why="configuration_unconfirmed"}')
        return _unavailable(503)

    @property
    def _configuration_age_s(self) -> float:
        return round(self._configuration.age_s, 3)

    async def _respond(self, current: Configuration, req: server.Request) -> server.Response:
        response = await self._dispatch(current, req)
        if response.status in _REJECTION_STATUSES:
            _log.info(
                "request_rejected",
                method=req.method,
                path=req.path,
                status=response.status,
                version=current.version,
                configuration_age_s=self._configuration_age_s,
            )
        figures.count(f'answers{{method="{req.method}",status="{response.status}"}}')
        return response

    async def _dispatch(self, current: Configuration, req: server.Request) -> server.Response:
        route = _match_route(current, req)
        if route is None:
            return server.Response(404)
        org = _authenticate(current, req)
        if org is None and not route.is_public:
            return server.Response(401)
        name = req.path[len(route.prefix) :]
        if not name:
            return await self._count_waiting(route) if req.method == "GET" else server.Response(405)
        if not ingress.is_job_id(name):
            return server.Response(400)
        return await self._handle_job(
            current,
            _JobRequest(current.version, route, org or NO_ORG, ids.JobId(name), req),
        )

    async def _handle_job(self, current: Configuration, job_req: _JobRequest) -> server.Response:
        if job_req.req.method == "GET":
            return await self._query(job_req)
        if job_req.req.method == "DELETE":
            return await self._cancel(job_req)
        if job_req.req.method != "POST":
            return server.Response(405)
        if len(job_req.req.body) > current.max_body_bytes:
            return server.Response(413)
        return await self._submit(job_req, current)

    async def _submit(self, job_req: _JobRequest, current: Configuration) -> server.Response:
        version = current.version
        job, queue = job_req.job, job_req.route.queue
        try:
            spec = ingress.decode_job(
                job_req.req.body,
                job=job,
                queue=queue,
                org=job_req.org,
                version=version,
                accepted_s=clock.wall_s(),
            )
        except errors.BronzequayError as exc:
            _log.info("job_malformed", job=job, error=str(exc))
            return server.Response(400, _encode_error(exc))
        refusal = await self._refuse(spec, current.rules)
        if refusal is not None:
            return refusal
        job_status = status.from_spec(spec, model.JobState.QUEUED)
        puts = [
            kv.Put(keys.state(job), status.encode(job_status)),
            kv.Put(keys.job(job), msgspec.msgpack.encode(spec)),
        ]
        if not spec.times:
            puts.append(kv.Put(keys.waiting(queue, job), b""))
        response = await self._write(job, [(keys.state(job), kv.ABSENT)], puts, job_req.req)
        _log.info(
            "job_submitted",
            job=job,
            queue=queue,
            org=job_req.org,
            version=version,
            configuration_age_s=self._configuration_age_s,
            status=response.status,
        )
        return response

    async def _refuse(self, spec: model.JobSpec, rules: model.Rules) -> server.Response | None:
        """Return the refusal of a job that can no longer end in time, None if it is not refused.

        A job that the store lists was accepted, so that a refusal of it would be false. Without an
        answer of the store, the job is submitted as usual.
        """
        if self._admission is None:
            return None
        retry_after_s = self._admission.retry_after_s(spec, rules)
        if retry_after_s is None:
            return None
        try:
            item = await self._store.get(keys.state(spec.job), timeout_s=PROBE_TIMEOUT_S)
        except errors.BronzequayError:
            return None
        if item is not None:
            return None
        figures.count(f'jobs_refused{{queue="{spec.queue}"}}')
        _log.info(
            "job_refused", job=spec.job, queue=spec.queue, org=spec.org, retry_after_s=retry_after_s
        )
        return server.Response(503, b"", (("Retry-After", str(retry_after_s)),))

    async def _cancel(self, job_req: _JobRequest) -> server.Response:
        job = job_req.job
        try:
            item = await self._store.get(keys.state(job))
        except errors.BronzequayError as exc:
            _log.warning("job_not_read", job=job, error=str(exc))
            return _unavailable(503, exc)
        job_status = _visible_status(item, job_req)
        if job_status is None:
            _log.info("cancel_of_unknown_job", job=job, is_stored=item is not None)
            return server.Response(410)
        if model.JobState(job_status.state) in model.FINAL_STATES:
            return server.Response(200)
        response = await self._write(job, [], [kv.Put(keys.cancel(job), b"")], job_req.req)
        _log.info(
            "job_cancel_asked",
            job=job,
            version=job_req.version,
            configuration_age_s=self._configuration_age_s,
            status=response.status,
        )
        return response

    async def _write(
        self,
        job: ids.JobId,
        expect: list[tuple[str, ids.Revision]],
        puts: list[kv.Put],
        req: server.Request,
    ) -> server.Response:
        """Retry a write until its outcome is known or the time left for it has passed.

        A write is not tried while the store does not answer: it may take effect later, and its
        caller can safely submit again only after a refusal. A conflict counts as success, since
        the keys were written by an earlier attempt or by an earlier submission of the same job.

        :return: 200 when it took effect, 503 when it never will, 504 when its outcome is unknown
        """
        deadline_s = trio.current_time() + min(WRITE_TIMEOUT_S, _timeout_s(req) - RESPONSE_MARGIN_S)
        is_unknown = False
        while True:
            remaining_s = max(MIN_ATTEMPT_TIMEOUT_S, deadline_s - trio.current_time())
            timeout_s = min(ATTEMPT_TIMEOUT_S, remaining_s)
            try:
                if not is_unknown:
                    await self._store.ensure_answering(timeout_s=min(PROBE_TIMEOUT_S, remaining_s))
                await self._store.txn(expect=expect, puts=puts, timeout_s=timeout_s)
            except kv.Conflict:
                return server.Response(200)
            except errors.BronzequayError as exc:
                is_unknown |= exc.code is codes.ResultCode.STORE_TIMEOUT
                if not is_unknown or trio.current_time() >= deadline_s:
                    _log.warning("write_failed", job=job, is_unknown=is_unknown, error=str(exc))
                    return _unavailable(504 if is_unknown else 503, exc)
                await trio.sleep(RETRY_DELAY_S)
            else:
                return server.Response(200)

    async def _query(self, job_req: _JobRequest) -> server.Response:
        try:
            item = await self._store.get(keys.state(job_req.job))
        except errors.BronzequayError as exc:
            _log.warning("job_not_read", job=job_req.job, error=str(exc))
            return _unavailable(503, exc)
        job_status = _visible_status(item, job_req)
        revision = None if item is None else item.rev
        state = None if job_status is None else job_status.state
        _log.info(
            "job_asked",
            job=job_req.job,
            version=job_req.version,
            configuration_age_s=self._configuration_age_s,
            state=state,
            revision=revision,
        )
        if job_status is None:
            return server.Response(410)
        return server.Response(200, ingress.encode_state(model.JobState(job_status.state)))

    async def _count_waiting(self, route: config.Route) -> server.Response:
        try:
            waiting = await self._store.range(keys.waiting_prefix(route.queue))
        except errors.BronzequayError as exc:
            _log.warning("queue_not_read", queue=route.queue, error=str(exc))
            return _unavailable(503, exc)
        return server.Response(200, ingress.encode_waiting(len(waiting.items)))


def _match_route(current: Configuration, req: server.Request) -> config.Route | None:
    host = req.headers.get("host", "").lower()
    for route in current.routes:
        if route.host == host and req.path.startswith(route.prefix):
            return route
    return None


def _authenticate(current: Configuration, req: server.Request) -> ids.OrgId | None:
    scheme, _, key = req.headers.get("authorization", "").partition(" ")
    return current.orgs_by_key.get(key.strip()) if scheme.lower() == "bearer" else None


def _visible_status(item: kv.Item | None, job_req: _JobRequest) -> status.Status | None:
    """Return a job's status, None when there is no such job or the caller may not see it."""
    if item is None or item.value is None:
        return None
    job_status = status.decode(item.value)
    is_own = job_req.org != NO_ORG and job_req.org == job_status.org
    is_public = job_req.route.is_public and job_req.route.queue == job_status.queue
    return job_status if is_own or is_public else None


def _timeout_s(req: server.Request) -> float:
    text = req.headers.get("deadline-ms", "")
    is_number = _MILLISECONDS.fullmatch(text) is not None
    return int(text) / 1000 if is_number else DEFAULT_TIMEOUT_S


def _encode_error(exc: errors.BronzequayError) -> bytes:
    return msgspec.json.encode({"code": exc.code, "error": str(exc)})


def _unavailable(status: int, exc: errors.BronzequayError | None = None) -> server.Response:
    body = b"" if exc is None else _encode_error(exc)
    return server.Response(status, body, (("Retry-After", str(RETRY_AFTER_S)),))


__all__ = ["Handler"]
