"""Callers that submit jobs and send requests in the failure tests."""

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
POLL_INTERVAL_S = 0.1


class Callers:
    """Submits jobs and sends requests, and records the answers.

    :ivar accepted: ids of the accepted jobs
    :ivar not_run_codes: result codes of the submits that were refused as not run
    """

    def __init__(self, run: deployment.Deployment, http: httpx.AsyncClient) -> None:
        self._run = run
        self._http = http
        self.accepted: list[ids.JobId] = []
        self.not_run_codes: list[int] = []

    async def submit(self, url: str, number: int, **fields: Any) -> httpx.Response:
        """Submit a job with a deduplication key to an instance."""
        body = {
            "organisation": "org-a",
            "caller": f"c{number % 3}",
            "members": 1 + number % 3,
            "accelerators": 2,
            "declared_s": 3.0,
            "idempotent": number % 2 == 0,
            "key": f"k{number}",
            "payload": {"actual_s": 3.0, "outcome": "ok"},
            **fields,
        }
        headers = {"authorization": "Bearer example-org-a"}
        answer = await self._http.post(f"{url}/v1/jobs", json=body, headers=headers)
        if answer.is_success:
            self.accepted.append(ids.JobId(answer.json()["job"]))
        elif answer.json()["is_not_run"]:
            self.not_run_codes.append(answer.json()["code"])
        return answer

    async def request(self, url: str) -> httpx.Response:
        """Send an idempotent request to an instance."""
        headers = {"authorization": "Bearer example-org-a", "x-idempotent": "true"}
        path = f"{url}/v1/services/{self._run.site.service}/requests"
        return await self._http.post(path, content=b"sack", headers=headers)

    async def fetch_state(self, url: str) -> dict[str, Any]:
        """Return the state dump of an instance."""
        headers = {"authorization": f"Bearer {drive.OPERATOR}"}
        answer = await self._http.get(f"{url}/v1/state", headers=headers)
        state_dump: dict[str, Any] = answer.json()
        return state_dump

    async def find_active_instance(self) -> deployment.Process:
        """Wait for an active scheduler; return its instance."""
        with trio.fail_after(END_TIMEOUT_S):
            while True:
                for entry in self._run.entries:
                    if (await self.fetch_state(entry.url))["scheduler"]["active"]:
                        return entry
                await trio.sleep(POLL_INTERVAL_S)

    async def wait_for_records(self, url: str) -> dict[ids.JobId, model.JobRecord]:
        """Wait until every accepted job has settled; return the records."""
        headers = {"authorization": f"Bearer {drive.ANALYST}"}
        with trio.fail_after(END_TIMEOUT_S):
            while True:
                records = {}
                for job in self.accepted:
                    answer = await self._http.get(f"{url}/v1/jobs/{job}", headers=headers)
                    if answer.is_success:
                        records[job] = msgspec.json.decode(answer.content, type=model.JobRecord)
                states = [record.state for record in records.values()]
                has_all_records = len(records) == len(set(self.accepted))
                if has_all_records and all(state in history.SETTLED_STATES for state in states):
                    return records
                await trio.sleep(POLL_INTERVAL_S)

    def check_log(self, records: dict[ids.JobId, model.JobRecord]) -> None:
        """Check that no job was run twice and that no gang ran with some members missing.

        An idempotent job, or one with a checkpoint of every member, may run again. Each finished
        job must also have run on a worker.
        """
        log = history.read_log(self._run)
        assert history.double_runs(log, records) == []
        assert history.partial_gangs(log, records) == []
        for job, record in records.items():
            members = [key for key in history.by_attempt(log) if key[0] == job]
            if record.state is model.JobState.FINISHED:
                assert members, f"{job} is reported as finished, but no worker ran it"


NOT_ACCEPTED_CODES = {
    codes.ResultCode.STORE_UNAVAILABLE.value,
    codes.ResultCode.NO_SCHEDULER.value,
    codes.ResultCode.QUEUE_FULL.value,
}
