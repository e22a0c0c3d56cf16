"""Recovery of separate processes: takeover, roll-outs, leaving executors, shutdown, idle cost.

One deployment with three entry instances runs through these phases, in this order: idle,
roll-outs, a leaving executor, a graceful shutdown under requests, kills of the active
scheduler under jobs. Prints one JSON object.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import random
import signal
import time
from typing import TYPE_CHECKING, Any

import httpx
import msgspec
import trio

from bench import deployment, history
from bench.path import percentile
from bronzequay import ids
from bronzequay.demo import drive
from bronzequay.fakes import sites
from bronzequay.policy import model
from bronzequay.store import instance_list

if TYPE_CHECKING:
    from collections.abc import Sequence

ENTRIES = 3
SETTLE_S = 5.0
IDLE_S = 10.0
ROLL_OUTS = 10
KILLS = 2
JOBS = 40
RUN_S = (1.0, 6.0)
START_TIMEOUT_S = 30.0
END_TIMEOUT_S = 120.0
LEAVING_WATCH_S = 8.0
POLL_S = 0.02
TARGETS = {
    "takeover_s": 4.0,
    "takeover_bound_s": 8.3,
    "bundle_in_force_p99_s": 2.0,
    "leaving_last_work_s": 3.0,
    "idle_bytes_per_s": 2048,
    "idle_core_share": 0.02,
}


class Recovery:
    """One run through all phases.

    :param run: the deployment
    :param http: HTTP client for callers and operators
    :param seed: seed of the jobs and of the times of the kills
    """

    def __init__(self, run: deployment.Deployment, http: httpx.AsyncClient, seed: int) -> None:
        self._run = run
        self._http = http
        self._rng = random.Random(seed)
        self._jobs: dict[ids.JobId, bool] = {}
        self._reported_not_run: set[ids.JobId] = set()
        self._last_answer_s: dict[str, float] = {}
        self._cut_requests = 0
        self._answered_requests = 0

    async def measure(self) -> dict[str, Any]:
        """Run the phases and return the figures."""
        driver = await self._run.roll_out(self._http)
        await trio.sleep(instance_list.STARTUP_PERIOD_S + SETTLE_S)
        figures: dict[str, Any] = await self._measure_idle()
        figures["bundle_in_force_p99_s"] = await self._measure_roll_outs(driver)
        figures["leaving_last_work_s"] = await self._measure_leaving()
        await self._measure_shutdown()
        figures["cut_requests"] = self._cut_requests
        figures["requests_answered"] = self._answered_requests
        figures["takeover_s"] = [await self._measure_takeover() for _ in range(KILLS)]
        return figures | await self._count_outcomes()

    async def _measure_idle(self) -> dict[str, float]:
        calls = await self._store_calls()
        sent_before_bytes = _loopback_bytes()
        cpu_s = [entry.cpu_s() for entry in self._run.entries]
        await trio.sleep(IDLE_S)
        after = await self._store_calls()
        sent_bytes = _loopback_bytes() - sent_before_bytes
        spent_s = [
            entry.cpu_s() - before for entry, before in zip(self._run.entries, cpu_s, strict=True)
        ]
        writes = sum(after[kind] - calls.get(kind, 0) for kind in after if _is_write(kind))
        total = sum(after[kind] - calls.get(kind, 0) for kind in after)
        return {
            "store_writes_per_s": round(writes / IDLE_S, 2),
            "store_reads_per_s": round((total - writes) / IDLE_S, 2),
            "idle_bytes_per_s": round(sent_bytes / IDLE_S / ENTRIES),
            "idle_core_share": round(max(spent_s) / IDLE_S, 4),
            "rss_mb": round(max(entry.rss_mb() for entry in self._run.entries), 1),
        }

    async def _store_calls(self) -> dict[str, int]:
        answer = await self._http.get(f"{self._run.platform.url}/stats")
        calls: dict[str, int] = answer.json()["calls"]
        return calls

    async def _measure_roll_outs(self, driver: drive.Driver) -> float:
        name = next(name for name, site in sites.SITES.items() if site is self._run.site)
        text = (deployment.ROOT / "examples" / f"{name}.toml").read_bytes()
        times: list[float] = []
        for number in range(1, ROLL_OUTS + 1):
            body = text + f"\n# change {number}\n".encode()
            digest = (await self._call_bundles(driver, "", raw=body))["digest"]
            await self._call_bundles(driver, f"/{digest}/review")
            await self._call_bundles(driver, f"/{digest}/sign-off", token=drive.REVIEWER)
            start = time.perf_counter()
            change = {"digest": digest, "expected": number}
            version = (await self._call_bundles(driver, "/roll-out", body=change))["version"]
            for entry in self._run.entries:
                await self._wait_for_version(entry.url, version)
            times.append(time.perf_counter() - start)
        return round(percentile(times, 0.99), 3)

    async def _call_bundles(
        self,
        driver: drive.Driver,
        path: str,
        *,
        token: str = drive.OPERATOR,
        body: Any = None,
        raw: bytes | None = None,
    ) -> dict[str, Any]:
        answer = await driver.call("POST", f"/v1/bundles{path}", token=token, body=body, raw=raw)
        answer.raise_for_status()
        result: dict[str, Any] = answer.json()
        return result

    async def _wait_for_version(self, url: str, version: int) -> None:
        while (await self._get_state(url))["bundle"]["version"] < version:
            await trio.sleep(POLL_S)

    async def _get_state(self, url: str) -> dict[str, Any]:
        headers = {"authorization": f"Bearer {drive.OPERATOR}"}
        answer = await self._http.get(f"{url}/v1/state", headers=headers)
        result: dict[str, Any] = answer.json()
        return result

    async def _measure_leaving(self) -> float:
        """Return the seconds for which an executor that announced its leaving still answered."""
        name = self._run.site.executors()[0]
        url = f"{self._run.executors.url}/e/{name}"
        async with trio.open_nursery() as nursery:
            for entry in self._run.entries:
                nursery.start_soon(self._send_requests, entry.url, 60.0)
            await trio.sleep(1.0)
            await self._http.put(f"{url}/faults", json={"leaving": True})
            start = trio.current_time()
            await trio.sleep(LEAVING_WATCH_S)
            nursery.cancel_scope.cancel()
        await self._http.put(f"{url}/faults", json={})
        return round(max(0.0, self._last_answer_s.get(name, start) - start), 2)

    async def _send_requests(self, url: str, duration_s: float) -> None:
        """Send requests one after another and count those whose connection breaks."""
        deadline_s = trio.current_time() + duration_s
        path = f"{url}/v1/services/{self._run.site.service}/requests"
        headers = {
            "authorization": "Bearer example-org-a",
            "x-caller": "bench",
            "x-idempotent": "true",
        }
        while trio.current_time() < deadline_s:
            try:
                answer = await self._http.post(path, content=b"sack", headers=headers)
            except httpx.ConnectError:
                return
            except httpx.TransportError:
                self._cut_requests += 1
                return
            if answer.is_success:
                self._answered_requests += 1
                self._last_answer_s[answer.json()["executor"]] = trio.current_time()
            if answer.status_code == httpx.codes.SERVICE_UNAVAILABLE:
                return

    async def _measure_shutdown(self) -> None:
        """Shut down one entry instance gracefully under requests, and restart it."""
        entry = self._run.entries[-1]
        async with trio.open_nursery() as nursery:
            for _ in range(16):
                nursery.start_soon(self._send_requests, entry.url, 20.0)
            await trio.sleep(1.0)
            entry.signal(signal.SIGTERM)
            await trio.to_thread.run_sync(entry.wait)
        entry.start()
        await trio.to_thread.run_sync(self._run.wait_ready, entry)
        await trio.sleep(SETTLE_S)

    async def _measure_takeover(self) -> float:
        """Kill the active scheduler under jobs; return the seconds to the next urgent start."""
        victim = await self._wait_for_active()
        for _ in range(JOBS):
            await self._submit(self._rng.choice(self._run.urls), urgent=False)
        await trio.sleep(self._rng.uniform(0.0, 1.0))
        victim.kill()
        start = time.perf_counter()
        others = [entry.url for entry in self._run.entries if entry is not victim]
        job = await self._submit(others[0], urgent=True)
        if job is None:
            return START_TIMEOUT_S
        took_s = START_TIMEOUT_S
        with trio.move_on_after(START_TIMEOUT_S):
            await self._wait_for_start(others, job)
            took_s = time.perf_counter() - start
        victim.start()
        await trio.to_thread.run_sync(self._run.wait_ready, victim)
        await trio.sleep(SETTLE_S)
        return round(took_s, 2)

    async def _wait_for_active(self) -> deployment.Process:
        while True:
            for entry in self._run.entries:
                if (await self._get_state(entry.url))["scheduler"]["active"]:
                    return entry
            await trio.sleep(POLL_S)

    async def _submit(self, url: str, *, urgent: bool) -> ids.JobId | None:
        org = self._rng.choice("abcd")
        actual_s = self._rng.uniform(*RUN_S)
        body = {
            "organisation": f"org-{org}",
            "caller": f"c{self._rng.randrange(5)}",
            "members": self._rng.choice((1, 1, 2, 4)),
            "accelerators": self._rng.choice((1, 2, 4)),
            "cpu": 1,
            "mem_gb": 4,
            "declared_s": actual_s,
            "urgency": "urgent" if urgent else "normal",
            "idempotent": self._rng.random() < 0.5,
            "reclaimable": True,
            "key": f"{self._rng.getrandbits(64):x}",
            "payload": {"actual_s": actual_s, "outcome": "ok"},
        }
        headers = {"authorization": f"Bearer example-org-{org}"}
        deadline_s = trio.current_time() + START_TIMEOUT_S
        while trio.current_time() < deadline_s:
            try:
                answer = await self._http.post(f"{url}/v1/jobs", json=body, headers=headers)
            except httpx.TransportError:
                continue
            if answer.is_success:
                job = ids.JobId(answer.json()["job"])
                self._jobs[job] = bool(body["idempotent"])
                return job
            await trio.sleep(POLL_S)
        return None

    async def _wait_for_start(self, urls: Sequence[str], job: ids.JobId) -> None:
        waiting = {model.JobState.ACCEPTED, model.JobState.STARTING}
        while (await self._get_record(urls[0], job)).state in waiting:
            await trio.sleep(POLL_S)

    async def _get_record(self, url: str, job: ids.JobId) -> model.JobRecord:
        headers = {"authorization": f"Bearer {drive.ANALYST}"}
        while True:
            try:
                answer = await self._http.get(f"{url}/v1/jobs/{job}", headers=headers)
            except httpx.TransportError:
                await trio.sleep(POLL_S)
                continue
            if answer.is_success or answer.status_code == httpx.codes.NOT_FOUND:
                return msgspec.json.decode(answer.content, type=model.JobRecord)
            await trio.sleep(POLL_S)

    async def _count_outcomes(self) -> dict[str, Any]:
        records: dict[ids.JobId, model.JobRecord] = {}
        with trio.move_on_after(END_TIMEOUT_S):
            while True:
                records = {
                    job: await self._get_record(self._run.urls[0], job) for job in self._jobs
                }
                if all(record.state in history.SETTLED_STATES for record in records.values()):
                    break
                await trio.sleep(1.0)
        log = await trio.to_thread.run_sync(history.read_log, self._run)
        states = [record.state for record in records.values()]
        refused = [job for job, item in records.items() if item.state is model.JobState.REFUSED]
        return {
            "jobs": len(self._jobs),
            "finished": states.count(model.JobState.FINISHED),
            "in_doubt": states.count(model.JobState.IN_DOUBT),
            "failed": states.count(model.JobState.FAILED),
            "lost_jobs": sum(state not in history.SETTLED_STATES for state in states),
            "double_runs": len(history.double_runs(log, records)),
            "false_not_run": len(history.false_not_run(log, refused)),
            "partial_gangs": len(history.partial_gangs(log, records)),
        }


def _is_write(kind: str) -> bool:
    return not kind.startswith("GET ")


def _loopback_bytes() -> int:
    for line in pathlib.Path("/proc/net/dev").read_text(encoding="utf-8").splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            return int(counters.split()[0])
    return 0


async def _measure(run: deployment.Deployment, seed: int) -> dict[str, Any]:
    async with httpx.AsyncClient(timeout=drive.CALL_TIMEOUT_S) as http:
        return await Recovery(run, http, seed).measure()


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--deployment", choices=sorted(sites.SITES), default="quispe")
    parser.add_argument("--json", action="store_true", help="accepted; the output is JSON")
    options = parser.parse_args()
    with deployment.Deployment(site=options.deployment, entries=ENTRIES) as run:
        figures = trio.run(_measure, run, options.seed)
    print(json.dumps({"seed": options.seed, **figures, "targets": TARGETS}))


if __name__ == "__main__":
    main()
