"""Calls entry instances as callers, operators and analysts do."""

from __future__ import annotations

import base64
import collections
import dataclasses
import itertools
import sys
from typing import TYPE_CHECKING, Any

import httpx
import msgspec
import trio

from bronzequay import ids
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from bronzequay.demo import trace

OPERATOR = "example-operator"
REVIEWER = "example-reviewer"
ANALYST = "example-analyst"
RETRY_DELAY_S = 0.3
READY_ATTEMPTS = 200
CALL_TIMEOUT_S = 20.0
CALL_ATTEMPTS = 40
POLL_INTERVAL_S = 2.0
SETTLE_TIMEOUT_S = 120.0
SETTLED_STATES = model.FINAL_STATES | {model.JobState.INFEASIBLE}
HTTP_SERVER_ERROR = 500


@dataclasses.dataclass
class Tally:
    """Counts of the answers that a driver received.

    :param requests: number of answers to short requests, by kind
    :param submits: number of answers to submits, by HTTP status
    :param jobs: ids of the accepted jobs, by their name in the trace
    """

    requests: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    submits: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    jobs: dict[str, ids.JobId] = dataclasses.field(default_factory=dict)


class Driver:
    """Callers and operators of a deployment; calls its entry instances in turn.

    :param urls: addresses of the entry instances, without a load balancer in front
    :param http: client for every call
    """

    def __init__(self, *, urls: Sequence[str], http: httpx.AsyncClient) -> None:
        self._urls = urls
        self._url_cycle: Iterator[str] = itertools.cycle(urls)
        self._http = http
        self.tally = Tally()

    async def wait_ready(self) -> None:
        """Wait until every instance is healthy, at most ``READY_ATTEMPTS`` checks of each."""
        for url in self._urls:
            for _ in range(READY_ATTEMPTS):
                if await self._is_healthy(url):
                    break
                await trio.sleep(RETRY_DELAY_S)

    async def _is_healthy(self, url: str) -> bool:
        try:
            return (await self._http.get(f"{url}/healthz")).is_success
        except httpx.TransportError:
            return False

    async def call(
        self, method: str, path: str, *, token: str, body: Any = None, raw: bytes | None = None
    ) -> httpx.Response:
        """Call instances in turn until one answers without a server error.

        A call may be carried out more than once, so it must be safe to repeat.

        :return: the answer, or the last server error after ``CALL_ATTEMPTS`` attempts
        :raises SystemExit: if no attempt was answered
        """
        content = raw if raw is not None else msgspec.json.encode(body)
        headers = {"authorization": f"Bearer {token}"}
        answer: httpx.Response | None = None
        for _ in range(CALL_ATTEMPTS):
            try:
                answer = await self._http.request(
                    method, next(self._url_cycle) + path, content=content, headers=headers
                )
            except httpx.TransportError:
                await trio.sleep(RETRY_DELAY_S)
                continue
            if answer.status_code < HTTP_SERVER_ERROR:
                return answer
            await trio.sleep(RETRY_DELAY_S)
        if answer is None:
            raise SystemExit(f"no entry instance answered in {CALL_ATTEMPTS} attempts")
        return answer

    async def roll_out(self, text: bytes) -> int:
        """Draft, review, sign off and roll out a bundle.

        :return: the version that is in force afterwards
        """
        draft = (await self.call("POST", "/v1/bundles", token=OPERATOR, raw=text)).json()
        path = f"/v1/bundles/{draft['digest']}"
        await self.call("POST", f"{path}/review", token=OPERATOR)
        await self.call("POST", f"{path}/sign-off", token=REVIEWER)
        body = {"digest": draft["digest"], "expected": 0}
        await self.call("POST", "/v1/bundles/roll-out", token=OPERATOR, body=body)
        versions = (await self.call("GET", "/v1/bundles", token=ANALYST)).json()["versions"]
        return int(versions[-1]["version"])

    async def submit_trace(self, jobs: Sequence[trace.TraceJob], *, run: str) -> None:
        """Submit and cancel the jobs of a trace at their times.

        :param run: prefix that makes the deduplication keys of this run unique
        """
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for job in jobs:
                nursery.start_soon(self._submit_and_cancel, job, start_s, run)

    async def _submit_and_cancel(self, job: trace.TraceJob, start_s: float, run: str) -> None:
        await trio.sleep_until(start_s + job.at_s)
        token = f"example-{job.org}"
        answer = await self.call("POST", "/v1/jobs", token=token, body=_submit_body(job, run))
        self.tally.submits[str(answer.status_code)] += 1
        if not answer.is_success:
            return
        job_id = answer.json()["job"]
        self.tally.jobs[job.job] = ids.JobId(job_id)
        if job.cancel_at_s is not None:
            await trio.sleep_until(start_s + job.cancel_at_s)
            await self.call("POST", "/v1/jobs/cancel", token=token, body={"jobs": [job_id]})

    async def send_requests(self, service: str, *, count: int, interval_s: float) -> None:
        """Send idempotent requests and check that each answer echoes its request.

        :param count: number of requests
        :param interval_s: time between two requests, in seconds
        """
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self._send_request, service, number)
                await trio.sleep(interval_s)

    async def _send_request(self, service: str, number: int) -> None:
        org = "abcd"[number % 4]
        body = f"sack {number}".encode()
        headers = {
            "authorization": f"Bearer example-org-{org}",
            "x-caller": f"c{number % 7}",
            "x-idempotent": "true",
        }
        url = f"{next(self._url_cycle)}/v1/services/{service}/requests"
        try:
            answer = await self._http.post(url, content=body, headers=headers)
        except httpx.TransportError:
            self.tally.requests["no answer"] += 1
            return
        self.tally.requests[_answer_kind(answer, body)] += 1

    async def wait_settled(self) -> list[model.JobRecord]:
        """Wait until every job is final or infeasible, and return the records.

        After ``SETTLE_TIMEOUT_S`` seconds, return the last records as they are.
        """
        records: list[model.JobRecord] = []
        with trio.move_on_after(SETTLE_TIMEOUT_S):
            while True:
                records = [await self._fetch_record(job) for job in self.tally.jobs.values()]
                states = collections.Counter(record.state.value for record in records)
                sys.stdout.write(f"jobs: {format_counts(states)}\n")
                if all(record.state in SETTLED_STATES for record in records):
                    break
                await trio.sleep(POLL_INTERVAL_S)
        return records

    async def _fetch_record(self, job: ids.JobId) -> model.JobRecord:
        answer = await self.call("GET", f"/v1/jobs/{job}", token=ANALYST)
        return msgspec.json.decode(answer.content, type=model.JobRecord)


def format_counts(tally: Mapping[str, int]) -> str:
    """Return the counts as one line, sorted by name."""
    return ", ".join(f"{name} {count}" for name, count in sorted(tally.items()))


def _submit_body(job: trace.TraceJob, run: str) -> dict[str, Any]:
    return {
        "organisation": job.org,
        "caller": job.caller,
        "members": job.members,
        "accelerators": job.accelerators,
        "cpu": job.cpu,
        "mem_gb": job.mem_gb,
        "declared_s": job.declared_s,
        "urgency": job.urgency,
        "idempotent": job.idempotent,
        "reclaimable": job.reclaimable,
        "key": f"{run}-{job.job}",
        "payload": {
            "actual_s": job.actual_s,
            "outcome": "fail" if job.outcome == "fail" else "ok",
        },
    }


def _answer_kind(answer: httpx.Response, sent: bytes) -> str:
    if not answer.is_success:
        return f"code {answer.json()['code']}"
    echo = base64.b64decode(answer.json()["echo_b64"])
    return "whole" if echo == sent else "wrong answer"


__all__ = ["Driver", "Tally", "format_counts"]
