"""HTTP requests of callers: submit, query and cancel a job, count the waiting jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from bronzequay import clock, errors, figures, ids
from bronzequay.control import keys, status
from bronzequay.core import model
from bronzequay.front import tombstones, writes
from bronzequay.net import server
from bronzequay.platform import config, ingress, kv

if TYPE_CHECKING:
    from bronzequay.front.admission import Admission
    from bronzequay.front.config_watcher import ConfigurationWatcher
    from bronzequay.platform.config import Configuration
    from bronzequay.platform.kv import Store

RETRY_AFTER_S = 1
MAX_RACES = 3
"""Attempts to write a tombstone that other writers may forestall; then the cancel gets 503."""
CANCELLED_BEFORE_REASON = "cancelled before it was submitted"
_REJECTION_STATUSES = frozenset({400, 401, 404, 405, 413})
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
        self._tombstones = tombstones.Tombstones(store)

    async def run(self) -> None:
        """Remove tombstones at the end of their lifetime until cancelled."""
        await self._tombstones.run()

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
        refusal = await self._refuse(job_req, spec, current.rules)
        if refusal is not None:
            return refusal
        job_status = status.from_spec(spec, model.JobState.QUEUED)
        puts = [
            kv.Put(keys.state(job), status.encode(job_status)),
            kv.Put(keys.job(job), msgspec.msgpack.encode(spec)),
        ]
        if not spec.times:
            puts.append(kv.Put(keys.waiting(queue, job), b""))
        response = await self._accept(job_req, spec, puts)
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

    async def _accept(
        self, job_req: _JobRequest, spec: model.JobSpec, puts: list[kv.Put]
    ) -> server.Response:
        """Store a job unless its key exists: the same job, or a tombstone.

        A conflict with the job counts as success, since an earlier attempt or an earlier submission
        has written it.
        """
        key, found = keys.state(spec.job), None
        deadline_s = writes.deadline_s(job_req.req)
        while True:
            rev = kv.ABSENT if found is None else found.rev
            written = puts
            if found is not None and _is_cancelled(found, job_req):
                ended = status.from_spec(spec, model.JobState.CANCELLED)
                ended = msgspec.structs.replace(
                    ended, ended_s=clock.wall_s(), reason=CANCELLED_BEFORE_REASON
                )
                written = [kv.Put(key, status.encode(ended))]
            outcome = await writes.write(
                self._store, expect=[(key, rev)], puts=written, deadline_s=deadline_s
            )
            found = outcome.found
            is_absent = found is not None and found.value is None
            if found is None or not (is_absent or tombstones.is_tombstone(found)):
                return self._response_to(spec.job, outcome)
            found = None if is_absent else found

    async def _refuse(
        self, job_req: _JobRequest, spec: model.JobSpec, rules: model.Rules
    ) -> server.Response | None:
        """Return the refusal of a job that can no longer end in time, None if it is not refused.

        A job that the store lists was accepted, so that a refusal of it would be false. One that it
        does not list may still be accepted by an earlier request, unless a tombstone prevents that.
        Without an answer of the store, the job is submitted as usual.
        """
        if self._admission is None:
            return None
        retry_after_s = self._admission.retry_after_s(spec, rules)
        if retry_after_s is None or not await self._bar_earlier(job_req):
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
        if item is None or tombstones.is_tombstone(item):
            return await self._bar(job_req, item)
        return await self._cancel_found(job_req, item)

    async def _cancel_found(self, job_req: _JobRequest, item: kv.Item) -> server.Response:
        job = job_req.job
        job_status = _visible_status(item, job_req)
        if job_status is None:
            _log.info("cancel_of_unknown_job", job=job, is_stored=True)
            return server.Response(410)
        if model.JobState(job_status.state) in model.FINAL_STATES:
            return server.Response(200)
        outcome = await writes.write(
            self._store,
            expect=[],
            puts=[kv.Put(keys.cancel(job), b"")],
            deadline_s=writes.deadline_s(job_req.req),
        )
        response = self._response_to(job, outcome)
        _log.info(
            "job_cancel_asked",
            job=job,
            version=job_req.version,
            configuration_age_s=self._configuration_age_s,
            status=response.status,
        )
        return response

    async def _bar(self, job_req: _JobRequest, found: kv.Item | None) -> server.Response:
        """Answer the cancel of an unknown job, whose submission may still be on its way.

        :param found: an earlier tombstone of the job
        """
        job = job_req.job
        for _ in range(MAX_RACES):
            outcome = await self._write_tombstone(job_req, found, model.JobState.CANCELLED)
            if outcome is None:
                break
            _log.info(
                "cancel_of_unknown_job",
                job=job,
                is_stored=found is not None,
                revision=outcome.rev,
                is_unknown=outcome.is_unknown,
            )
            if outcome.error is not None:
                return self._response_to(job, outcome)
            # Another writer was first: a job, or a tombstone that has come, changed or gone.
            item = outcome.found
            if outcome.rev is not None or (item is not None and _is_cancelled(item, job_req)):
                return server.Response(410)
            found = None if item is None or item.value is None else item
            if found is not None and not tombstones.is_tombstone(found):
                return await self._cancel_found(job_req, found)
        return _unavailable(503)

    async def _bar_earlier(self, job_req: _JobRequest) -> bool:
        """Keep earlier requests for a job from taking effect; a later one may.

        :return: whether that is certain
        """
        try:
            item = await self._store.get(keys.state(job_req.job), timeout_s=writes.PROBE_TIMEOUT_S)
        except errors.BronzequayError:
            return False
        if item is not None and tombstones.state_in(item) is not model.JobState.QUEUED:
            return False
        outcome = await self._write_tombstone(job_req, item, model.JobState.QUEUED)
        return outcome is not None and outcome.rev is not None

    async def _write_tombstone(
        self, job_req: _JobRequest, found: kv.Item | None, state: model.JobState
    ) -> writes.Outcome | None:
        return await self._tombstones.write(
            job_req.job,
            tombstones.Placeholder(job_req.org, job_req.route.queue, state),
            rev=kv.ABSENT if found is None else found.rev,
            deadline_s=writes.deadline_s(job_req.req),
        )

    def _response_to(self, job: ids.JobId, outcome: writes.Outcome) -> server.Response:
        """Return 200 if a write took effect, 503 if it never will, 504 if that is unknown."""
        if outcome.error is None:
            return server.Response(200)
        _log.warning(
            "write_failed", job=job, is_unknown=outcome.is_unknown, error=str(outcome.error)
        )
        return _unavailable(504 if outcome.is_unknown else 503, outcome.error)

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
    is_visible = _may_see(job_status, job_req) and not job_status.is_tombstone
    return job_status if is_visible else None


def _may_see(job_status: status.Status, job_req: _JobRequest) -> bool:
    is_own = job_req.org != NO_ORG and job_req.org == job_status.org
    is_public = job_req.route.is_public and job_req.route.queue == job_status.queue
    return is_own or is_public


def _is_cancelled(item: kv.Item, job_req: _JobRequest) -> bool:
    """Return whether an item is the tombstone of a cancel by a caller with the same rights."""
    is_cancel = tombstones.state_in(item) is model.JobState.CANCELLED
    return is_cancel and _may_see(status.decode(item.value or b""), job_req)


def _encode_error(exc: errors.BronzequayError) -> bytes:
    return msgspec.json.encode({"code": exc.code, "error": str(exc)})


def _unavailable(status: int, exc: errors.BronzequayError | None = None) -> server.Response:
    body = b"" if exc is None else _encode_error(exc)
    return server.Response(status, body, (("Retry-After", str(RETRY_AFTER_S)),))


__all__ = ["Handler"]
