"""Callers' work for the failure tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from bench import history
from bronzequay import codes, ids
from bronzequay.demo import drive
from bronzequay.policy import model

if TYPE_CHECKING:
    import httpx

    from bench import deployment

END_TIMEOUT_S = 90.0
POLL_S = 0.1


class Callers:
    """Submits jobs, sends requests, and keeps what was told.

    :param accepted: jobs that were accepted
    :param not_run: codes of submits told as not run
    """

    def __init__(self, run: deployment.Deployment, http: httpx.AsyncClient) -> None:
        self._run = run
        self._http = http
        self.accepted: list[ids.JobId] = []
        self.not_run: list[int] = []

    async def submit(self, url: str, number: int, **changes: Any) -> httpx.Response:
        """Submit one job, with a key, on one instance."""
        body = {
            "organisation": "org-a",
            "caller": f"c{number % 3}",
            "members": 1 + number % 3,
            "accelerators": 2,
            "declared_s": 3.0,
            "idempotent": number % 2 == 0,
            "key": f"k{number}",
            "payload": {"actual_s": 3.0, "outcome": "ok"},
            **changes,
        }
        headers = {"authorization": "Bearer example-org-a"}
        answer = await self._http.post(f"{url}/v1/jobs", json=body, headers=headers)
        if answer.is_success:
            self.accepted.append(ids.JobId(answer.json()["job"]))
        elif answer.json()["is_not_run"]:
            self.not_run.append(answer.json()["code"])
        return answer

    async def request(self, url: str) -> httpx.Response:
        """Send one idempotent request."""
        headers = {"authorization": "Bearer example-org-a", "x-idempotent": "true"}
        path = f"{url}/v1/services/{self._run.site.service}/requests"
        return await self._http.post(path, content=b"sack", headers=headers)

    async def state(self, url: str) -> dict[str, Any]:
        """Return an instance's state dump."""
        headers = {"authorization": f"Bearer {drive.OPERATOR}"}
        answer = await self._http.get(f"{url}/v1/state", headers=headers)
        result: dict[str, Any] = answer.json()
        return result

    async def active(self) -> deployment.Process:
        """Return the instance whose scheduler is active."""
        with trio.fail_after(END_TIMEOUT_S):
            while True:
                for entry in self._run.entries:
                    if (await self.state(entry.url))["scheduler"]["active"]:
                        return entry
                await trio.sleep(POLL_S)

    async def records(self, url: str) -> dict[ids.JobId, model.JobRecord]:
        """Wait until every accepted job has come to rest; return the records."""
        headers = {"authorization": f"Bearer {drive.ANALYST}"}
        with trio.fail_after(END_TIMEOUT_S):
            while True:
                found = {}
                for job in self.accepted:
                    answer = await self._http.get(f"{url}/v1/jobs/{job}", headers=headers)
                    if answer.is_success:
                        found[job] = msgspec.json.decode(answer.content, type=model.JobRecord)
                states = [record.state for record in found.values()]
                is_whole = len(found) == len(set(self.accepted))
                if is_whole and all(state in history.SETTLED_STATES for state in states):
                    return found
                await trio.sleep(POLL_S)

    def check(self, records: dict[ids.JobId, model.JobRecord]) -> None:
        """Nothing ran twice that must run once, and no gang with part of its members."""
        log = history.read_log(self._run)
        assert history.double_runs(log, records) == []
        assert history.partial_gangs(log, records) == []
        for job, record in records.items():
            members = [key for key in history.by_attempt(log) if key[0] == job]
            if record.state is model.JobState.FINISHED:
                assert members, f"{job} is told as finished and no worker ran it"


NOT_ACCEPTED = {
    codes.ResultCode.STORE_UNAVAILABLE.value,
    codes.ResultCode.NO_SCHEDULER.value,
    codes.ResultCode.QUEUE_FULL.value,
}
