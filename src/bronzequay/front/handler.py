"""Answers callers: submit, ask, cancel, count."""

from __future__ import annotations

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
    from bronzequay.front.follow import Follower
    from bronzequay.platform.config import Configuration
    from bronzequay.platform.kv import Store

RETRY_AFTER_S = 1
TRY_TIMEOUT_S = 0.5
"""Wait for the answer of one write; a slow store takes 0.25 s."""
PATIENCE_S = 1.1
"""Time for which an unanswered write is repeated before the caller is told."""
RETRY_S = 0.05
ANSWER_MARGIN_S = 0.2
"""Part of a caller's time that is left for the answer's way back."""
DEFAULT_TIMEOUT_S = 3.0
_REJECTIONS = frozenset({400, 401, 404, 405, 413})
NO_ORG = ids.OrgId("")
"""Of callers of public routes."""

_log = structlog.get_logger()


class _Call(msgspec.Struct, frozen=True):
    """A request about one job."""

    route: config.Route
    org: ids.OrgId
    job: ids.JobId
    req: server.Request


class Handler:
    """Answers callers' requests from the store alone.

    :param follower: the configuration in force
    """

    def __init__(self, store: Store, follower: Follower) -> None:
        self._store = store
        self._follower = follower

    async def handle(self, req: server.Request) -> server.Answer:
        """Answer one request."""
        current = self._follower.current
        if current is None:
            _log.warning("request_refused", path=req.path, status=503, why="no configuration yet")
            return _refuse(503)
        began_s = trio.current_time()
        try:
            return await self._answer(current, req)
        finally:
            figures.observe("answer", trio.current_time() - began_s)

    async def _answer(self, current: Configuration, req: server.Request) -> server.Answer:
        answer = await self._on_route(current, req)
        if answer.status in _REJECTIONS:
            _log.info(
                "request_rejected",
                method=req.method,
                path=req.path,
                status=answer.status,
                version=current.version,
            )
        figures.count(f'answers{{method="{req.method}",status="{answer.status}"}}')
        return answer

    async def _on_route(self, current: Configuration, req: server.Request) -> server.Answer:
        route = _route(current, req)
        if route is None:
            return server.Answer(404)
        org = _org(current, req)
        if org is None and not route.is_public:
            return server.Answer(401)
        name = req.path[len(route.prefix) :]
        if not name:
            return await self._count(route) if req.method == "GET" else server.Answer(405)
        if not ingress.is_job_id(name):
            return server.Answer(400)
        return await self._on_job(current, _Call(route, org or NO_ORG, ids.JobId(name), req))

    async def _on_job(self, current: Configuration, call: _Call) -> server.Answer:
        if call.req.method == "GET":
            return await self._ask(call)
        if call.req.method == "DELETE":
            return await self._cancel(call)
        if call.req.method != "POST":
            return server.Answer(405)
        if len(call.req.body) > current.max_body_bytes:
            return server.Answer(413)
        return await self._submit(call, current.version)

    async def _submit(self, call: _Call, version: int) -> server.Answer:
        job, queue = call.job, call.route.queue
        try:
            spec = ingress.decode_job(
                call.req.body,
                job=job,
                queue=queue,
                org=call.org,
                version=version,
                accepted_s=clock.wall_s(),
            )
        except errors.BronzequayError as exc:
            _log.info("job_malformed", job=job, error=str(exc))
            return server.Answer(400, _error(exc))
        told = status.from_spec(spec, model.JobState.QUEUED)
        puts = [
            kv.Put(keys.state(job), status.encode(told)),
            kv.Put(keys.job(job), msgspec.msgpack.encode(spec)),
        ]
        if not spec.times:
            puts.append(kv.Put(keys.waiting(queue, job), b""))
        answer = await self._write(job, [(keys.state(job), kv.ABSENT)], puts, call.req)
        _log.info(
            "job_submitted",
            job=job,
            queue=queue,
            org=call.org,
            version=version,
            status=answer.status,
        )
        return answer

    async def _cancel(self, call: _Call) -> server.Answer:
        job = call.job
        try:
            found = await self._store.get(keys.state(job))
        except errors.BronzequayError as exc:
            _log.warning("job_not_read", job=job, error=str(exc))
            return _refuse(503, exc)
        told = _status(found, call)
        if told is None:
            return server.Answer(410)
        if model.JobState(told.state) in model.FINAL_STATES:
            return server.Answer(200)
        answer = await self._write(job, [], [kv.Put(keys.cancel(job), b"")], call.req)
        _log.info("job_cancel_asked", job=job, status=answer.status)
        return answer

    async def _write(
        self,
        job: ids.JobId,
        expect: list[tuple[str, ids.Revision]],
        puts: list[kv.Put],
        req: server.Request,
    ) -> server.Answer:
        """Write until it is certain that it is done or that it is not.

        :return: 200 when it is done, 503 when it never will be, 504 when that is not known
        """
        until_s = trio.current_time() + min(PATIENCE_S, _timeout_s(req) - ANSWER_MARGIN_S)
        is_unknown = False
        while True:
            try:
                await self._store.txn(expect=expect, puts=puts, timeout_s=TRY_TIMEOUT_S)
            except kv.Conflict:
                return server.Answer(200)
            except errors.BronzequayError as exc:
                is_unknown |= exc.code is codes.ResultCode.STORE_TIMEOUT
                if not is_unknown or trio.current_time() >= until_s:
                    _log.warning("write_failed", job=job, is_unknown=is_unknown, error=str(exc))
                    return _refuse(504 if is_unknown else 503, exc)
                await trio.sleep(RETRY_S)
            else:
                return server.Answer(200)

    async def _ask(self, call: _Call) -> server.Answer:
        try:
            found = await self._store.get(keys.state(call.job))
        except errors.BronzequayError as exc:
            _log.warning("job_not_read", job=call.job, error=str(exc))
            return _refuse(503, exc)
        told = _status(found, call)
        revision = None if found is None else found.rev
        state = None if told is None else told.state
        _log.info("job_asked", job=call.job, state=state, revision=revision)
        if told is None:
            return server.Answer(410)
        return server.Answer(200, ingress.encode_state(model.JobState(told.state)))

    async def _count(self, route: config.Route) -> server.Answer:
        try:
            found = await self._store.range(keys.waiting_prefix(route.queue))
        except errors.BronzequayError as exc:
            _log.warning("queue_not_read", queue=route.queue, error=str(exc))
            return _refuse(503, exc)
        return server.Answer(200, ingress.encode_waiting(len(found.items)))


def _route(current: Configuration, req: server.Request) -> config.Route | None:
    host = req.headers.get("host", "").lower()
    for route in current.routes:
        if route.host == host and req.path.startswith(route.prefix):
            return route
    return None


def _org(current: Configuration, req: server.Request) -> ids.OrgId | None:
    scheme, _, key = req.headers.get("authorization", "").partition(" ")
    return current.orgs_by_key.get(key.strip()) if scheme.lower() == "bearer" else None


def _status(found: kv.Item | None, call: _Call) -> status.Status | None:
    """Return what callers are told of a job, None when it is not one of the caller's."""
    if found is None or found.value is None:
        return None
    told = status.decode(found.value)
    is_own = call.org == told.org or call.route.is_public
    return told if is_own else None


def _timeout_s(req: server.Request) -> float:
    text = req.headers.get("deadline-ms", "")
    return int(text) / 1000 if text.isdigit() else DEFAULT_TIMEOUT_S


def _error(exc: errors.BronzequayError) -> bytes:
    return msgspec.json.encode({"code": exc.code, "error": str(exc)})


def _refuse(status: int, exc: errors.BronzequayError | None = None) -> server.Answer:
    body = b"" if exc is None else _error(exc)
    return server.Answer(status, body, (("Retry-After", str(RETRY_AFTER_S)),))


__all__ = ["Handler"]
