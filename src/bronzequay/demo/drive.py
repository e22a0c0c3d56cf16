"""Drives entry instances as callers and operators would."""

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
RETRY_S = 0.3
READY_TRIES = 200
CALL_TIMEOUT_S = 20.0
SEND_TRIES = 40
POLL_S = 2.0
SETTLE_TIMEOUT_S = 120.0
SETTLED_STATES = model.FINAL_STATES | {model.JobState.INFEASIBLE}
HTTP_SERVER_ERROR = 500


@dataclasses.dataclass
class Tally:
    """What the driver saw.

    :param requests: answers to short requests, by kind
    :param jobs: job ids by trace name
    """

    requests: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    submits: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    jobs: dict[str, ids.JobId] = dataclasses.field(default_factory=dict)


class Driver:
    """Callers and operators of one deployment; retries on the next instance.

    :param urls: addresses of the entry instances, behind no balancer here
    :param http: client for every call
    """

    def __init__(self, *, urls: Sequence[str], http: httpx.AsyncClient) -> None:
        self._urls = urls
        self._turn: Iterator[str] = itertools.cycle(urls)
        self._http = http
        self.tally = Tally()

    async def wait_ready(self) -> None:
        """Wait until every instance answers."""
        for url in self._urls:
            for _ in range(READY_TRIES):
                if await self._is_healthy(url):
                    break
                await trio.sleep(RETRY_S)

    async def _is_healthy(self, url: str) -> bool:
        try:
            return (await self._http.get(f"{url}/healthz")).is_success
        except httpx.TransportError:
            return False

    async def call(
        self, method: str, path: str, *, token: str, body: Any = None, raw: bytes | None = None
    ) -> httpx.Response:
        """Call one instance after the other until one answers for certain.

        Only calls that are safe to repeat go through here.
        """
        content = raw if raw is not None else msgspec.json.encode(body)
        headers = {"authorization": f"Bearer {token}"}
        answer: httpx.Response | None = None
        for _ in range(SEND_TRIES):
            try:
                answer = await self._http.request(
                    method, next(self._turn) + path, content=content, headers=headers
                )
            except httpx.TransportError:
                await trio.sleep(RETRY_S)
                continue
            if answer.status_code < HTTP_SERVER_ERROR:
                return answer
            await trio.sleep(RETRY_S)
        if answer is None:
            raise SystemExit("no entry instance answers")
        return answer

    async def roll_out(self, text: bytes) -> int:
        """Draft, review, sign off and roll out a bundle.

        :return: the version in force
        """
        draft = (await self.call("POST", "/v1/bundles", token=OPERATOR, raw=text)).json()
        path = f"/v1/bundles/{draft['digest']}"
        await self.call("POST", f"{path}/review", token=OPERATOR)
        await self.call("POST", f"{path}/sign-off", token=REVIEWER)
        body = {"digest": draft["digest"], "expected": 0}
        await self.call("POST", "/v1/bundles/roll-out", token=OPERATOR, body=body)
        versions = (await self.call("GET", "/v1/bundles", token=ANALYST)).json()["versions"]
        return int(versions[-1]["version"])

    async def play(self, jobs: Sequence[trace.TraceJob], *, run: str) -> None:
        """Submit and cancel the jobs of a trace at their times.

        :param run: makes the deduplication keys of this run its own
        """
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for job in jobs:
                nursery.start_soon(self._play_one, job, start, run)

    async def _play_one(self, job: trace.TraceJob, start: float, run: str) -> None:
        await trio.sleep_until(start + job.at_s)
        token = f"example-{job.org}"
        answer = await self.call("POST", "/v1/jobs", token=token, body=_submit_body(job, run))
        self.tally.submits[str(answer.status_code)] += 1
        if not answer.is_success:
            return
        job_id = answer.json()["job"]
        self.tally.jobs[job.job] = ids.JobId(job_id)
        if job.cancel_at_s is not None:
            await trio.sleep_until(start + job.cancel_at_s)
            await self.call("POST", "/v1/jobs/cancel", token=token, body={"jobs": [job_id]})

    async def send_requests(self, service: str, *, count: int, interval_s: float) -> None:
        """Send idempotent requests and check that each answer is its own."""
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self._send_one, service, number)
                await trio.sleep(interval_s)

    async def _send_one(self, service: str, number: int) -> None:
        org = "abcd"[number % 4]
        body = f"sack {number}".encode()
        headers = {
            "authorization": f"Bearer example-org-{org}",
            "x-caller": f"c{number % 7}",
            "x-idempotent": "true",
        }
        url = f"{next(self._turn)}/v1/services/{service}/requests"
        try:
            answer = await self._http.post(url, content=body, headers=headers)
        except httpx.TransportError:
            self.tally.requests["no answer"] += 1
            return
        self.tally.requests[_answer_kind(answer, body)] += 1

    async def wait_settled(self) -> list[model.JobRecord]:
        """Wait until every job has come to rest, and return the records.

        Gives up after ``SETTLE_TIMEOUT_S`` seconds.
        """
        records: list[model.JobRecord] = []
        with trio.move_on_after(SETTLE_TIMEOUT_S):
            while True:
                records = [await self._show(job) for job in self.tally.jobs.values()]
                states = collections.Counter(item.state.value for item in records)
                sys.stdout.write(f"jobs: {counts(states)}\n")
                if all(item.state in SETTLED_STATES for item in records):
                    break
                await trio.sleep(POLL_S)
        return records

    async def _show(self, job: ids.JobId) -> model.JobRecord:
        answer = await self.call("GET", f"/v1/jobs/{job}", token=ANALYST)
        return msgspec.json.decode(answer.content, type=model.JobRecord)


def counts(tally: Mapping[str, int]) -> str:
    """Return a tally as one line."""
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


__all__ = ["Driver", "Tally", "counts"]
